"""Client of the sidecars: runs attempts, sends load orders, watches status.

An entry has one link to each sidecar. A data connection carries one attempt
at a time and is reused only after a complete answer. Each revocation, each
load order and the status watch have a connection of their own.
"""

import random
import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors, types, units
from ivystep.entry import reception
from ivystep.runtime import clock, logs
from ivystep.wire import channel, convert, handshake, tls
from ivystep.wire.gen import ttypes

HELLO_TIMEOUT_S = 2.0
ACCEPT_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 90.0
# Short, because the caller waits meanwhile, perhaps beyond its deadline.
REVOKE_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 3.0
# Bounds of the random pause before a reconnection. It keeps all entries of a
# data centre from connecting at once when its network returns.
MIN_RECONNECT_S = 0.25
MAX_RECONNECT_S = 1.5
MAX_IDLE_CONNECTIONS = 32

log = logs.get('entry')


class UpstreamLink(typing.Protocol):
    """Interface of the calls of an entry to one sidecar."""

    def run(self, attempt: types.Attempt) -> types.Answer:
        """Start an attempt and wait for the head of its answer.

        Raises:
            errors.RequestError: The attempt failed; ``ran`` tells whether the
                request was run.
        """

    def revoke(self, attempt: types.Attempt) -> types.ExecutionStatus:
        """Prevent an attempt from starting; return whether it was run."""

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Send a load order and wait for its result."""


class ThriftLink:
    """``UpstreamLink`` over Thrift frames and mutual TLS.

    Args:
        process_id: Id of this entry.
        addressee: The sidecar.
        contexts: TLS contexts of this entry.
    """

    def __init__(
        self,
        process_id: str,
        addressee: handshake.Addressee,
        contexts: tls.TlsContexts,
    ) -> None:
        self.addressee = addressee
        self.is_closed = False
        self._process_id = process_id
        self._contexts = contexts
        self._idle_connections: list[channel.Channel] = []

    def run(self, attempt: types.Attempt) -> types.Answer:
        """Start an attempt; see ``UpstreamLink.run``."""
        connection = self._get_connection(attempt)
        budget_s = attempt.request.deadline - clock.now()
        message = convert.run_attempt(attempt, int(budget_s * units.MS_PER_S))
        received = reception.Reception(connection, attempt, self._release)
        try:
            connection.send(message)
            head = received.head(ACCEPT_TIMEOUT_S)
        except errors.LinkError as error:
            received.close()
            raise self._lost_error(attempt, error) from error
        except BaseException:
            # The request was aborted. Closing the connection tells the
            # sidecar and keeps a late answer from reaching another request.
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
                reply = self._request(message, REVOKE_TIMEOUT_S)
        except (errors.LinkError, TimeoutError):
            return types.ExecutionStatus.UNKNOWN
        is_attempt_state = isinstance(reply, ttypes.AttemptState)
        if is_attempt_state and reply.attempt_id == attempt.attempt_id:
            return types.ExecutionStatus(reply.ran)
        return types.ExecutionStatus.UNKNOWN

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Send a load order; see ``UpstreamLink.load``."""
        message = convert.load_adapter(order, setup_version)
        try:
            reply = self._request(message, LOAD_TIMEOUT_S)
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
        """Pass on the sidecar's status until the link is closed.

        Args:
            on_status: Called with each status report.
            on_lost: Called each time the connection fails.
        """
        while not self.is_closed:
            try:
                connection = self._open()
                connection.send(ttypes.Watch())
                while not self.is_closed:
                    on_status(_receive_status(connection))
                connection.close()
            except errors.LinkError as error:
                log.debug(
                    'Status watch of %s ended: %s.', self.addressee, error
                )
                on_lost()
                clock.sleep(random.uniform(MIN_RECONNECT_S, MAX_RECONNECT_S))

    def close(self) -> None:
        """Stop the status watch and close the idle connections."""
        self.is_closed = True
        while self._idle_connections:
            self._idle_connections.pop().close()

    def _get_connection(self, attempt: types.Attempt) -> channel.Channel:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.is_stale():
                return connection
            connection.close()
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
        connection = self._connect()
        handshake.introduce(
            connection, self._process_id, self.addressee, HELLO_TIMEOUT_S
        )
        return connection

    def _connect(self) -> channel.Channel:
        return channel.Channel.connect(
            self.addressee.address, self._contexts, tls.SIDECAR_NAME
        )

    def _release(self, connection: channel.Channel) -> None:
        if (
            self.is_closed
            or len(self._idle_connections) >= MAX_IDLE_CONNECTIONS
        ):
            connection.close()
        else:
            self._idle_connections.append(connection)

    def _request(self, message: typing.Any, timeout_s: float) -> typing.Any:
        connection = self._open()
        try:
            return connection.request(message, timeout_s)
        finally:
            connection.close()

    def _lost_error(
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


def _receive_status(connection: channel.Channel) -> types.UpstreamStatus:
    message = connection.receive(WATCH_TIMEOUT_S)
    if isinstance(message, ttypes.UpstreamStatus):
        return convert.upstream_status(message)
    connection.close()
    raise errors.LinkError(
        f'unexpected {type(message).__name__}',
        step='watch',
        peer=connection.peer,
    )
