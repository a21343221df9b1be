"""Links from an entry to the sidecars.

A link is the contract with one sidecar: it runs attempts on data connections,
gives load orders on its own connections, and watches the status. A data
connection carries one attempt at a time and is reused only after a complete
answer.
"""

import functools
import typing
from collections.abc import Callable, Iterator

from ivystep.core import errors, types, units
from ivystep.runtime import clock, logs
from ivystep.wire import channel, convert, tls
from ivystep.wire.gen import ttypes

HELLO_TIMEOUT_S = 2.0
ACCEPT_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 90.0
REVOKE_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 3.0
RECONNECT_S = 0.5
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

    def revoke(self, attempt: types.Attempt) -> types.Ran:
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
        try:
            reply = link.request(message, ACCEPT_TIMEOUT_S)
            if isinstance(reply, ttypes.AttemptAccepted):
                reply = link.receive(max(budget_s, 0) + HELLO_TIMEOUT_S)
        except errors.LinkError as error:
            link.close()
            raise self._lost(attempt, error) from error
        except BaseException:
            # The request was given up; closing the connection tells the
            # sidecar, and a late answer cannot reach another request.
            link.close()
            raise
        if isinstance(reply, ttypes.AttemptFailed):
            self._release(link)
            raise failure(reply, link.peer)
        if not isinstance(reply, ttypes.AnswerHead):
            link.close()
            raise self._lost(attempt, errors.LinkError('unexpected message'))
        head = types.AnswerHead(reply.status, reply.content_type)
        return types.Answer(head, self._chunks(link, attempt))

    def revoke(self, attempt: types.Attempt) -> types.Ran:
        """Revoke an attempt; see ``UpstreamLink.revoke``."""
        message = ttypes.RevokeAttempt(
            attempt.attempt_id, attempt.placement.sidecar_incarnation
        )
        try:
            reply = self._ask(message, REVOKE_TIMEOUT_S)
        except errors.LinkError:
            return types.Ran.UNKNOWN
        return types.Ran(reply.ran)

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Give a load order; see ``UpstreamLink.load``."""
        message = convert.load_adapter(order, setup_version)
        try:
            reply = self._ask(message, LOAD_TIMEOUT_S)
        except errors.LinkError as error:
            return types.LoadResult(False, 'link_failed', str(error))
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
                    message = link.receive(WATCH_TIMEOUT_S)
                    on_status(convert.upstream_status(message))
                link.close()
            except errors.LinkError as error:
                log.debug('Watch of %s ended: %s.', self.address, error)
                on_lost()
                clock.sleep(RECONNECT_S)

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
                ran=types.Ran.NO,
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

    def _chunks(
        self, link: channel.Channel, attempt: types.Attempt
    ) -> Iterator[bytes]:
        is_complete = False
        try:
            while not is_complete:
                message = link.receive(
                    attempt.request.deadline - clock.now() + HELLO_TIMEOUT_S
                )
                is_complete = _is_end(message, attempt)
                if not is_complete:
                    yield _chunk_data(message, link.peer)
        except errors.LinkError as error:
            raise errors.RequestError(
                'upstream_lost',
                'The answer was cut off.',
                status=502,
                ran=types.Ran.UNKNOWN,
                step=error.step,
                peer=attempt.placement.upstream_id,
            ) from error
        finally:
            if is_complete:
                self._release(link)
            else:
                link.close()


def failure(message: ttypes.AttemptFailed, peer: str) -> errors.RequestError:
    """Convert a failure message to the error that it stands for."""
    retry_after_s = None
    if message.retry_after_ms is not None:
        retry_after_s = message.retry_after_ms / units.MS_PER_S
    return errors.RequestError(
        message.code,
        message.reason,
        status=message.status,
        ran=types.Ran(message.ran),
        retry_after_s=retry_after_s,
        engine_lost=message.engine_lost,
        step='run',
        peer=peer,
    )


def _is_end(message: typing.Any, attempt: types.Attempt) -> bool:
    """Return whether a message ends the answer, and check whose it is."""
    if not isinstance(message, ttypes.AnswerEnd):
        return False
    ref = convert.optional_adapter_ref(message.adapter)
    if (
        message.attempt_id != attempt.attempt_id
        or ref != attempt.request.adapter
    ):
        log.error('Invariant violated: crossed %s.', attempt.attempt_id)
        raise errors.RequestError(
            'invalid_answer',
            'The answer belongs to another attempt.',
            status=502,
            ran=types.Ran.UNKNOWN,
            step='relay',
            peer=attempt.placement.upstream_id,
        )
    return True


@functools.singledispatch
def _chunk_data(message: typing.Any, peer: str) -> bytes:
    """Return the bytes in a message of an answer."""
    raise errors.LinkError(
        f'unexpected {type(message).__name__}', step='relay', peer=peer
    )


@_chunk_data.register
def _answer_chunk(message: ttypes.AnswerChunk, peer: str) -> bytes:
    return message.data


@_chunk_data.register
def _attempt_failed(message: ttypes.AttemptFailed, peer: str) -> bytes:
    raise failure(message, peer)
