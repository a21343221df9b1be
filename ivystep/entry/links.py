"""Links from an entry to the sidecars.

A link is the contract with one sidecar: it runs attempts on data connections,
gives load orders on its own connections, and watches the status. A data
connection carries one attempt at a time and is reused only after a complete
answer.
"""

import random
import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors, types, units
from ivystep.entry import reception
from ivystep.runtime import clock, logs
from ivystep.wire import channel, convert, tls
from ivystep.wire.gen import ttypes

HELLO_TIMEOUT_S = 2.0
ACCEPT_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 90.0
# A caller waits for the answer meanwhile, perhaps past its deadline.
REVOKE_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 3.0
# Spread at random, so that the entries of a data centre that returns do not
# all connect at once.
MIN_RECONNECT_S = 0.25
MAX_RECONNECT_S = 1.5
MAX_IDLE_CHANNELS = 32

log = logs.get('entry')


class UpstreamLink(typing.Protocol):
    """What an entry needs of one sidecar."""

    def run(self, attempt: types.Attempt) -> types.Answer:
        """Start an attempt and wait for the head of its answer.

        Raises:
            errors.RequestError: The attempt failed; ``ran`` says how far it
                got.
        """

    def revoke(self, attempt: types.Attempt) -> types.ExecutionStatus:
        """Keep an attempt from starting and return whether it was run."""

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Give a load order and wait for its outcome."""


class ThriftLink:
    """``UpstreamLink`` over Thrift frames and mutual TLS.

    Args:
        process_id: Id of this entry.
        address: IP address and port of the sidecar.
        contexts: TLS contexts of this entry.
    """

    def __init__(
        self,
        process_id: str,
        address: tuple[str, int],
        contexts: tls.TlsContexts,
    ) -> None:
        self.address = address
        self.is_closed = False
        self._process_id = process_id
        self._contexts = contexts
        self._idle: list[channel.Channel] = []

    def run(self, attempt: types.Attempt) -> types.Answer:
        """Start an attempt; see ``UpstreamLink.run``."""
        link = self._take(attempt)
        budget_s = attempt.request.deadline - clock.now()
        message = convert.run_attempt(attempt, int(budget_s * units.MS_PER_S))
        received = reception.Reception(link, attempt, self._release)
        try:
            link.send(message)
            head = received.head(ACCEPT_TIMEOUT_S)
        except errors.LinkError as error:
            received.close()
            raise self._lost(attempt, error) from error
        except BaseException:
            # The request was given up; closing the connection tells the
            # sidecar, and a late answer cannot reach another request.
            received.close()
            raise
        return types.Answer(head, received)

    def revoke(self, attempt: types.Attempt) -> types.ExecutionStatus:
        """Revoke an attempt; see ``UpstreamLink.revoke``."""
        message = ttypes.RevokeAttempt(
            attempt.attempt_id, attempt.placement.sidecar_incarnation
        )
        try:
            with eventlet.Timeout(REVOKE_TIMEOUT_S, TimeoutError):
                reply = self._ask(message, REVOKE_TIMEOUT_S)
        except (errors.LinkError, TimeoutError):
            return types.ExecutionStatus.UNKNOWN
        is_answer = isinstance(reply, ttypes.AttemptState)
        if is_answer and reply.attempt_id == attempt.attempt_id:
            return types.ExecutionStatus(reply.ran)
        return types.ExecutionStatus.UNKNOWN

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Give a load order; see ``UpstreamLink.load``."""
        message = convert.load_adapter(order, setup_version)
        try:
            reply = self._ask(message, LOAD_TIMEOUT_S)
        except errors.LinkError as error:
            return types.LoadResult(False, 'link_failed', str(error))
        if not isinstance(reply, ttypes.LoadResult):
            return types.LoadResult(
                False, 'link_failed', f'unexpected {type(reply).__name__}'
            )
        return types.LoadResult(reply.ok, reply.code, reply.reason)

    def watch(
        self,
        on_status: Callable[[types.UpstreamStatus], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Report the sidecar's status until the link is closed.

        Args:
            on_status: Called with each status.
            on_lost: Called when the connection ends.
        """
        while not self.is_closed:
            try:
                link = self._open()
                link.send(ttypes.Watch())
                while not self.is_closed:
                    on_status(_status(link))
                link.close()
            except errors.LinkError as error:
                log.debug('Watch of %s ended: %s.', self.address, error)
                on_lost()
                clock.sleep(random.uniform(MIN_RECONNECT_S, MAX_RECONNECT_S))

    def close(self) -> None:
        """Stop watching and close idle connections."""
        self.is_closed = True
        while self._idle:
            self._idle.pop().close()

    def _take(self, attempt: types.Attempt) -> channel.Channel:
        while self._idle:
            link = self._idle.pop()
            if not link.is_stale():
                return link
            link.close()
        try:
            return self._open()
        except errors.LinkError as error:
            raise errors.RequestError(
                'upstream_unavailable',
                'The upstream cannot be reached.',
                status=503,
                ran=types.ExecutionStatus.NO,
                retry_after_s=1.0,
                step=error.step,
                peer=attempt.placement.upstream_id,
            ) from error

    def _open(self) -> channel.Channel:
        link = channel.Channel.connect(
            self.address, self._contexts, tls.SIDECAR_NAME
        )
        hello = ttypes.Hello(self._process_id, '', 'entry', 0)
        link.request(hello, HELLO_TIMEOUT_S)
        return link

    def _release(self, link: channel.Channel) -> None:
        if self.is_closed or len(self._idle) >= MAX_IDLE_CHANNELS:
            link.close()
        else:
            self._idle.append(link)

    def _ask(self, message: typing.Any, timeout_s: float) -> typing.Any:
        link = self._open()
        try:
            return link.request(message, timeout_s)
        finally:
            link.close()

    def _lost(
        self, attempt: types.Attempt, error: errors.LinkError
    ) -> errors.RequestError:
        ran = self.revoke(attempt)
        return errors.RequestError(
            'upstream_lost',
            'The connection to the upstream was lost.',
            status=502,
            ran=ran,
            step=error.step,
            peer=attempt.placement.upstream_id,
        )


def _status(link: channel.Channel) -> types.UpstreamStatus:
    message = link.receive(WATCH_TIMEOUT_S)
    if isinstance(message, ttypes.UpstreamStatus):
        return convert.upstream_status(message)
    link.close()
    raise errors.LinkError(
        f'unexpected {type(message).__name__}', step='watch', peer=link.peer
    )
