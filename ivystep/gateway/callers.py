"""Callers' connections: one task for each, from the first byte to the last.

The task reads a request, has it answered and reads the next one. While an
answer is under way, the hub watches the socket: bytes that arrive belong to
later requests and are kept, and the end of the connection ends the request.
"""

import contextlib
import math
import socket
import struct
import typing
from collections.abc import Callable, Generator

import eventlet
import greenlet
from eventlet import hubs

from ivystep.core import errors, units
from ivystep.entry import answers
from ivystep.gateway import connections, relay
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts, http1

# Bytes of later requests that are read while an answer is under way.
MAX_AHEAD_BYTES = 256 * units.KIB
# Time in which a refused caller may read its answer. Closing with unread
# bytes would make the kernel discard it.
LINGER_S = 0.5
# Answers in pieces end with a reset if they break off, so that no length
# makes them look complete.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class Door:
    """What all connections of this host share.

    Attributes:
        limits: What a connection may send.
        is_closing: Whether each connection ends after its current answer.
        open_connections: Connections that are open.
        requests: Requests in progress.
    """

    def __init__(self) -> None:
        self.limits = contracts.ClientLimits()
        self.is_closing = False
        self.open_connections: set[CallerConnection] = set()
        self.requests = 0

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self.open_connections):
            connection.close_if_idle()


Answerer = Callable[[http1.RawRequest, 'CallerConnection'], None]


def serve(listener: typing.Any, door: Door, answer: Answerer) -> None:
    """Accept callers until the listener is closed.

    Args:
        listener: The listening socket.
        door: What all connections share.
        answer: Answers one request.
    """
    while True:
        try:
            accepted, _ = listener.accept()
        except OSError:
            if listener.fd.fileno() < 0:
                return
            clock.sleep(connections.CONNECT_TIMEOUT_S)
            continue
        eventlet.spawn_n(CallerConnection(accepted, door, answer).run)


class CallerConnection:
    """One connection of a caller; also the answer that is under way.

    Args:
        connection: The accepted socket.
        door: What all connections share.
        answer: Answers one request.

    Attributes:
        has_started: See ``relay.CallerAnswer``, as for the next five.
    """

    def __init__(
        self, connection: typing.Any, door: Door, answer: Answerer
    ) -> None:
        self.has_started = False
        self.is_complete = False
        self.first_at: float | None = None
        self.status = 0
        self.last_event_id = ''
        self.can_resume = True
        self.longest_gap_s = 0.0
        self._written_at = 0.0
        self._socket = connection
        self._door = door
        self._answer = answer
        self._reader = http1.RequestReader(
            door.limits.max_header_bytes, door.limits.max_body_bytes
        )
        self._is_chunked = False
        self._is_kept_alive = True
        self._is_old_version = False
        self._is_idle = True
        self._is_closed = False
        self._ahead_bytes = 0
        self._listener: typing.Any = None
        self._task: typing.Any = None

    def run(self) -> None:
        """Serve the connection until it ends."""
        self._door.open_connections.add(self)
        self._task = greenlet.getcurrent()
        try:
            connections.limit_silence(self._socket)
            self._serve()
        except (OSError, CallerGoneError):
            # The caller has gone; nothing is left to be delivered.
            self._is_closed = True
        finally:
            self._door.open_connections.discard(self)
            with contextlib.suppress(OSError):
                self._socket.close()

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived."""
        if self._is_idle and not self._peek():
            self._is_closed = True
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def refuse(self, error: errors.RequestError, request_id: str) -> None:
        """Send an answer of this host, or break off one that was started.

        Args:
            error: What the caller is told.
            request_id: Id of the request.
        """
        if self.has_started:
            self.abort()
            return
        headers, body = answers.error_answer(error, request_id)
        encoded = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
            if name not in {'Content-Length', 'Retry-After'}
        ]
        if error.retry_after_s is not None:
            # Fractions are allowed on the platform and keep waits short.
            encoded.append((b'Retry-After', b'%.3f' % error.retry_after_s))
        status, reason = answers.status_line(error.status).split(' ', 1)
        self.send_whole(
            calls.AnswerHead(int(status), reason, tuple(encoded)), body
        )

    def abort(self) -> None:
        """End an answer that is incomplete, so that it does not look whole."""
        self._is_kept_alive = False
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )

    def send_whole(self, head: calls.AnswerHead, body: bytes) -> None:
        """Send a complete answer; see ``relay.CallerAnswer``."""
        self._begin(head.status)
        self._socket.sendall(self._head(head, len(body)) + body)
        self.is_complete = True

    def start(self, head: calls.AnswerHead, length: int) -> None:
        """Send the head; see ``relay.CallerAnswer``."""
        self._is_chunked = (
            length == relay.NO_LENGTH and not self._is_old_version
        )
        if length == relay.NO_LENGTH and self._is_old_version:
            self._is_kept_alive = False
        encoded = self._head(
            head, None if length == relay.NO_LENGTH else length
        )
        self._begin(head.status)
        self._socket.sendall(encoded)

    def write(self, content: bytes) -> None:
        """Send a part of the body; see ``relay.CallerAnswer``."""
        now = clock.now()
        if self._written_at:
            gap_s = now - self._written_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._written_at = now
        self._socket.sendall(
            http1.chunk(content) if self._is_chunked else content
        )

    def finish(self) -> None:
        """End the answer; see ``relay.CallerAnswer``."""
        if self._is_chunked:
            self._socket.sendall(http1.LAST_CHUNK)
        self.is_complete = True

    @contextlib.contextmanager
    def watched(self) -> Generator[None, None, None]:
        """End the task with ``CallerGoneError`` when the caller has gone."""
        self._watch()
        try:
            yield
        finally:
            self._unwatch()

    def _serve(self) -> None:
        while self._is_kept_alive:
            try:
                raw = self._next_request()
            except http1.BadRequestError as error:
                self._refuse_bytes(error)
                return
            if raw is None:
                return
            self._prepare(raw)
            self._door.requests += 1
            try:
                self._answer(raw, self)
            finally:
                self._door.requests -= 1
        self._linger()

    def _prepare(self, raw: http1.RawRequest) -> None:
        self.has_started = False
        self.is_complete = False
        self.first_at = None
        self.status = 0
        self.last_event_id = ''
        self.can_resume = True
        self.longest_gap_s = 0.0
        self._written_at = 0.0
        self._is_chunked = False
        self._is_old_version = raw.version == '1.0'
        self._is_kept_alive = raw.is_kept_alive
        self._ahead_bytes = 0

    def _next_request(self) -> http1.RawRequest | None:
        """Read until a request is complete; None if the connection ends."""
        raw = self._reader.next_request()
        if raw is None:
            raw = self._read_request()
        self._is_idle = False
        return raw

    def _read_request(self) -> http1.RawRequest | None:
        began = math.inf
        raw = None
        while raw is None:
            self._is_idle = self._reader.is_idle
            if self._is_idle and self._door.is_closing:
                return None
            if not self._is_idle:
                began = min(began, clock.now())
            if self._reader.pop_expect_continue():
                self._socket.sendall(CONTINUE)
            received = self._receive(self._read_timeout_s(began))
            if received is None and not self._is_idle:
                raise http1.BadRequestError(408, 'The request is too slow.')
            if not received:
                return None
            self._reader.feed(received)
            raw = self._reader.next_request()
        return raw

    def _read_timeout_s(self, began: float) -> float:
        """Return how long to wait for bytes, while idle or in a request."""
        limits = self._door.limits
        if self._is_idle:
            return limits.idle_timeout_s
        allowed_s = (
            limits.header_timeout_s
            if self._reader.is_in_head
            else limits.idle_timeout_s
        )
        return max(began + allowed_s - clock.now(), 0)

    def _receive(self, timeout_s: float) -> bytes | None:
        """Return bytes, empty at the end; None if none arrive in time."""
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                received = self._socket.recv(http1.READ_BYTES)
        except TimeoutError:
            return None
        # A request that crosses the close must not be passed on, since its
        # answer could not be delivered.
        return b'' if self._is_closed else received

    def _refuse_bytes(self, error: http1.BadRequestError) -> None:
        self._is_kept_alive = False
        self.has_started = False
        self.refuse(
            errors.RefusedError(
                'invalid_request', error.reason, status=error.status
            ),
            '',
        )
        self._linger()

    def _begin(self, status: int) -> None:
        self.has_started = True
        self.status = status
        self.first_at = clock.now()

    def _head(self, head: calls.AnswerHead, length: int | None) -> bytes:
        lines = [f'HTTP/1.1 {head.status} {head.reason}'.encode('latin-1')]
        lines.extend(b'%b: %b' % header for header in head.headers)
        if length is not None:
            lines.append(b'Content-Length: %d' % length)
        elif self._is_chunked:
            lines.append(b'Transfer-Encoding: chunked')
        if self._door.is_closing:
            self._is_kept_alive = False
        if not self._is_kept_alive:
            lines.append(b'Connection: close')
        elif self._is_old_version:
            lines.append(b'Connection: keep-alive')
        return b'\r\n'.join((*lines, b'', b''))

    def _linger(self) -> None:
        """Let the caller read the last answer before the socket closes."""
        if not self.is_complete:
            return
        self._socket.shutdown(socket.SHUT_WR)
        deadline = clock.now() + LINGER_S
        while clock.now() < deadline:
            if not self._receive(max(deadline - clock.now(), 0)):
                return

    def _watch(self) -> None:
        hub = hubs.get_hub()
        self._listener = hub.add(
            hub.READ,
            self._socket.fileno(),
            self._on_readable,
            self._ignore,
            self._ignore,
        )

    def _unwatch(self) -> None:
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None

    def _ignore(self, *_: object) -> None:
        """Do nothing: the hub tells that the descriptor was closed."""

    def _on_readable(self, _: object) -> None:
        """Take bytes of later requests, or the end; runs on the hub."""
        try:
            received = self._socket.fd.recv(
                http1.READ_BYTES, socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return
        except OSError:
            received = b''
        if not received:
            self._unwatch()
            self._is_closed = True
            hubs.get_hub().schedule_call_global(0, self._end_task)
            return
        self._ahead_bytes += len(received)
        self._reader.feed(received)
        if self._ahead_bytes > MAX_AHEAD_BYTES:
            self._unwatch()

    def _end_task(self) -> None:
        """Tell the task that its caller has gone, unless it is done."""
        if not self.is_complete and not self._task.dead:
            self._task.throw(CallerGoneError())

    def _peek(self) -> bytes:
        """Return a byte that has arrived; empty at the end or if none has."""
        try:
            return self._socket.fd.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            return b''
