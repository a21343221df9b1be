"""Serves one caller's connection.

The task reads a request, calls the request handler and reads the next
request.
"""

import contextlib
import math
import socket
import typing
from collections.abc import Callable, Generator

import eventlet
import greenlet
from eventlet import hubs

from ivystep.core import errors
from ivystep.gateway.requests import (
    answer_writer,
    disconnect_watch,
    incomplete_requests,
    relay,
    shared_state,
)
from ivystep.runtime import clock, peer_liveness, sockets, turns
from ivystep.traffic import http1

# Time for which input is still read after the last answer, and after its caller
# has taken it. Closing a socket with unread bytes sends a reset, which discards
# what the caller has not taken.
LINGER_S = 0.5
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

HandleRequest = Callable[[http1.RawRequest, 'CallerConnection'], None]


class CallerConnection:
    """A caller's connection.

    Args:
        connection: The accepted socket.
        caller: IP address of the caller.
        server_state: State shared by all connections.
        handle_request: Handles one request.

    Attributes:
        answer: The answer to the current request, or to the last one.
        is_waiting: Whether the task waits for the rest of a request.
        idle_since: Time at which the last wait for a request began.
        receiving_since: Time at which the first byte of the request arrived
            that is being received; infinite before.
        is_new: Whether no request has arrived on it in full.
        is_lingering: Whether its last answer has been sent.
        opened_at: Time at which it was accepted.
        is_last_answer: Whether it closes after the next answer that begins,
            even if further requests have been read.
    """

    def __init__(
        self,
        connection: typing.Any,
        caller: str,
        server_state: shared_state.ServerState,
        handle_request: HandleRequest,
    ) -> None:
        self.caller = caller
        self._socket = connection
        self._server_state = server_state
        self._handle_request = handle_request
        self._reader = http1.RequestReader(
            server_state.limits.max_header_bytes,
            server_state.limits.max_body_bytes,
        )
        self._watch = disconnect_watch.DisconnectWatch(
            connection, self._reader, self._cancel_task, self._may_buffer
        )
        self._liveness = peer_liveness.LivenessCheck(
            connection, self._on_caller_gone
        )
        self.answer = self._new_answer(is_http10=False, is_kept_alive=True)
        self._is_idle = True
        self.idle_since = clock.now()
        self.receiving_since = math.inf
        self.is_new = True
        self.is_lingering = False
        self.opened_at = clock.now()
        self.is_last_answer = False
        self.is_waiting = False
        self._refusal: http1.BadRequestError | None = None
        self._running_bytes = 0
        self._task: typing.Any = None

    def run(self) -> None:
        """Serve requests until the connection closes."""
        self._task = greenlet.getcurrent()
        try:
            sockets.set_tcp_options(self._socket)
            self._serve()
        except (OSError, relay.CallerDisconnectedError):
            # The caller has disconnected, so no answer can be delivered.
            self._watch.is_closed = True
        finally:
            self._close()

    def is_idle_for(self, seconds: float) -> bool:
        """Return whether the connection has been idle for a time.

        Args:
            seconds: The time.
        """
        return (
            self._is_idle
            and not self._watch.is_closed
            and clock.now() >= self.idle_since + seconds
        )

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived."""
        if self._is_idle and not self._peek():
            self._watch.is_closed = True
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun, or its answer is being sent."""
        return not (self._is_idle or self._watch.is_closed)

    def grow_send_buffer(self, size: int) -> None:
        """Have the kernel take more bytes of the answers; see ``sockets``."""
        with contextlib.suppress(OSError):
            sockets.grow_send_buffer(self._socket, size)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the requests that are received, waiting or in progress."""
        return self._running_bytes + self._reader.buffered_bytes

    def may_be_refused_with(self, other: 'CallerConnection') -> bool:
        """Return whether another connection's request may be refused now."""
        return other is self or other.is_waiting

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived, and not all of it."""
        return self.is_waiting and not self._is_idle

    def is_receiving_for(self, seconds: float) -> bool:
        """Return whether a request has been incomplete for a time.

        Args:
            seconds: The time.
        """
        return (
            self.is_receiving
            and self._refusal is None
            and clock.now() >= self.receiving_since + seconds
        )

    def close_after_next_answer(self) -> None:
        """Close the connection after the next answer that begins."""
        self.is_last_answer = True

    def stop_lingering(self) -> None:
        """Close the connection, as its last answer has been sent."""
        if self.is_lingering:
            self._watch.is_closed = True
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    @property
    def stalled_s(self) -> float:
        """Time in seconds for which the caller takes nothing of an answer."""
        return self._liveness.stalled_s

    def end_stalled(self) -> None:
        """Reset the connection, whose caller takes nothing, for new ones."""
        self._end(shared_state.CallerEnd.STALLED)

    def refuse_incomplete(self, refusal: http1.BadRequestError) -> None:
        """Refuse the request that is being received.

        Args:
            refusal: The error for the caller.
        """
        self._refusal = refusal
        hubs.get_hub().schedule_call_global(0, self._interrupt_waiting)

    def refuse_for_room(self) -> None:
        """Refuse the request that is being received, for a new connection."""
        self.refuse_incomplete(incomplete_requests.no_connection_left())

    @contextlib.contextmanager
    def raise_on_disconnect(self) -> Generator[None]:
        """Raise an error in the task when the caller disconnects.

        The error is ``relay.CallerDisconnectedError``. A request that is not
        admitted as this host ends is refused.
        """
        with (
            self._server_state.stop.refuse_unplaced(),
            self._watch.raise_on_disconnect(),
        ):
            yield

    def _close(self) -> None:
        self._server_state.open_connections.discard(self)
        self._server_state.buffered.hold(self, 0)
        self._reader.discard()
        self._liveness.stop()
        with contextlib.suppress(OSError):
            self._socket.close()

    def _serve(self) -> None:
        while self.answer.is_kept_alive:
            try:
                raw = self._next_request()
            except http1.BadRequestError as error:
                self._refuse_bad_request(error)
                return
            if raw is None:
                return
            self.answer = self._new_answer(
                is_http10=raw.version == '1.0', is_kept_alive=raw.is_kept_alive
            )
            self._handle(raw)
        self._linger()

    def _handle(self, raw: http1.RawRequest) -> None:
        self._server_state.requests += 1
        self._running_bytes = raw.kept_bytes
        try:
            self._handle_request(raw, self)
        finally:
            self._server_state.requests -= 1
            self._running_bytes = 0
        self._may_buffer()

    def _new_answer(
        self, *, is_http10: bool, is_kept_alive: bool
    ) -> answer_writer.AnswerWriter:
        return answer_writer.AnswerWriter(
            self._socket,
            self._watch,
            self._closes_after_answer,
            self._liveness.before_send,
            is_http10=is_http10,
            is_kept_alive=is_kept_alive,
            own_answer_timeout_s=self._server_state.limits.idle_timeout_s,
        )

    def _closes_after_answer(self) -> bool:
        """Return whether the current answer is the last one.

        A pipelined request that has been read is answered before a planned
        stop. To make room for other callers, the connection closes before it,
        as its caller may send it again elsewhere.
        """
        if self.is_last_answer:
            return True
        is_closing = self._server_state.is_closing
        return is_closing and not self._reader.has_request

    def _next_request(self) -> http1.RawRequest | None:
        """Return the next complete request; None if the connection closes."""
        if self._reader.has_request and turns.is_spent_after(0):
            turns.give()
        raw = self._reader.next_request()
        if raw is None:
            raw = self._read_request()
        self._is_idle = False
        self.is_new = self.is_new and raw is None
        return raw

    def _read_request(self) -> http1.RawRequest | None:
        self.idle_since = clock.now()
        self.receiving_since = math.inf
        raw = None
        while raw is None:
            self._is_idle = self._reader.is_idle
            if not self._is_idle:
                self.receiving_since = min(self.receiving_since, clock.now())
            if self._reader.pop_expect_continue():
                self._socket.sendall(CONTINUE)
            received = self._await_rest()
            if received is None and not self._is_idle:
                raise http1.BadRequestError(
                    408, 'Reading the request timed out.'
                )
            if not received:
                return None
            self._buffer(received)
            raw = self._reader.next_request()
        return raw

    def _await_rest(self) -> bytes | None:
        """Return received bytes like ``_receive``.

        Raises:
            http1.BadRequestError: The request was refused meanwhile.
        """
        self.is_waiting = True
        try:
            if self._reader.is_in_body:
                self._server_state.body_turns.wait()
            received = self._receive(self._read_timeout_s())
        finally:
            self.is_waiting = False
        if self._refusal is not None:
            raise self._refusal
        return received

    def _buffer(self, received: bytes) -> None:
        """Take received bytes.

        Raises:
            http1.BadRequestError: There is no memory for them.
        """
        was_in_body = self._reader.is_in_body
        self._reader.feed(received)
        self._may_buffer()
        has_room = self._server_state.make_room(self)
        if has_room and self._reader.is_in_body and not was_in_body:
            has_room = self._server_state.may_receive(
                self._reader.announced_bytes
            )
        if not has_room:
            raise incomplete_requests.no_memory()

    def _may_buffer(self) -> bool:
        """Record the buffered bytes; return whether there is room for more."""
        buffered = self._server_state.buffered
        buffered.hold(self, self.buffered_bytes)
        return not buffered.is_exceeded

    def _interrupt_waiting(self) -> None:
        """Wake the task up, if it still waits for the rest of a request."""
        if self.is_waiting and not self._task.dead:
            self._task.throw(self._refusal)

    def _read_timeout_s(self) -> float:
        """Return the time-out of the next read, while idle or in a request."""
        limits = self._server_state.limits
        if self._is_idle:
            return limits.idle_timeout_s
        allowed_s = (
            limits.header_timeout_s
            if self._reader.is_in_head
            else limits.idle_timeout_s
        )
        return max(self.receiving_since + allowed_s - clock.now(), 0)

    def _receive(self, timeout_s: float) -> bytes | None:
        """Return received bytes, empty at end of file, None on a time-out.

        What is not parsed at once stays in the kernel, which bounds it.
        """
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                received = self._socket.recv(turns.PARSED_BYTES)
        except TimeoutError:
            return None
        # A request that arrives while this host closes the connection must not
        # be forwarded, because its answer could not be delivered.
        return b'' if self._watch.is_closed else received

    def _refuse_bad_request(self, error: http1.BadRequestError) -> None:
        self._reader.discard()
        self._may_buffer()
        self._server_state.count_refused(error)
        self.answer.is_kept_alive = False
        self.answer.has_started = False
        self.answer.send_error(
            errors.RefusedError(
                error.code,
                error.reason,
                status=error.status,
                retry_after_s=error.retry_after_s,
            ),
            '',
        )
        self._linger()

    def _linger(self) -> None:
        """Let the caller read the last answer before the socket closes."""
        if not self.answer.is_complete:
            return
        self._socket.shutdown(socket.SHUT_WR)
        self.is_lingering = True
        given_up_at = clock.now() + self._server_state.limits.idle_timeout_s
        deadline = clock.now() + LINGER_S
        while clock.now() < deadline:
            if self._receive(max(deadline - clock.now(), 0)) == b'':
                return
            is_over = clock.now() >= deadline
            if is_over and sockets.undelivered_bytes(self._socket):
                deadline = min(clock.now() + LINGER_S, given_up_at)

    def _cancel_task(self) -> None:
        """Raise the disconnect in the task, unless the answer is complete."""
        if not self.answer.is_complete and not self._task.dead:
            self._task.throw(relay.CallerDisconnectedError())

    def _on_caller_gone(self) -> None:
        """End the connection of a caller whose host is gone."""
        self._end(shared_state.CallerEnd.UNREACHABLE)

    def _end(self, reason: shared_state.CallerEnd) -> None:
        self._server_state.count_by_caller_end[reason] += 1
        self._watch.is_closed = True
        with contextlib.suppress(OSError):
            sockets.reset_on_close(self._socket)
            self._socket.shutdown(socket.SHUT_RDWR)

    def _peek(self) -> bytes:
        """Return a byte without consuming it; empty if none has arrived."""
        try:
            return self._socket.fd.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            return b''
