"""Writes the answer to one request to its caller's connection."""

import contextlib
import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors
from ivystep.entry import answers
from ivystep.gateway.requests import disconnect_watch, relay
from ivystep.runtime import clock, sockets
from ivystep.traffic import calls, http1


class AnswerWriter:
    """The answer to one request; implements ``relay.CallerAnswer``.

    The attributes of that protocol describe the answer.

    Args:
        connection: The caller's socket.
        watch: Watches the same socket for a disconnect.
        is_closing: Returns whether connections close after their current
            answer.
        before_send: Called before each send.
        is_http10: Whether the caller speaks HTTP/1.0.
        is_kept_alive: Whether the caller keeps the connection open.
        own_answer_timeout_s: Time that the caller has for taking an answer of
            this host's own, which no deadline bounds.

    Attributes:
        is_kept_alive: Whether the connection can take a further request.
    """

    def __init__(
        self,
        connection: typing.Any,
        watch: disconnect_watch.DisconnectWatch,
        is_closing: Callable[[], bool],
        before_send: Callable[[], None],
        *,
        is_http10: bool,
        is_kept_alive: bool,
        own_answer_timeout_s: float,
    ) -> None:
        self.has_started = False
        self.is_complete = False
        self.head_sent_at: float | None = None
        self.status = 0
        self.last_event_id = ''
        self.can_resume = True
        self.longest_gap_s = 0.0
        self.written_bytes = 0
        self.is_kept_alive = is_kept_alive
        self._written_at = 0.0
        self._socket = connection
        self._watch = watch
        self._is_closing = is_closing
        self._before_send = before_send
        self._is_chunked = False
        self._is_http10 = is_http10
        self._own_answer_timeout_s = own_answer_timeout_s

    def send_error(self, error: errors.RequestError, request_id: str) -> None:
        """Send an error answer, or abort an answer that was started.

        Args:
            error: The error to send.
            request_id: Id of the request.

        Raises:
            TimeoutError: The caller has sent more requests than it takes
                answers of.
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
            # The platform allows fractions of a second, which keep waits short.
            encoded.append((b'Retry-After', b'%.3f' % error.retry_after_s))
        status, reason = answers.status_line(error.status).split(' ', 1)
        head = calls.AnswerHead(int(status), reason, tuple(encoded))
        try:
            with eventlet.Timeout(self._own_answer_timeout_s, TimeoutError):
                self.send_complete(head, body)
        except TimeoutError:
            self.abort()
            raise

    @property
    def undelivered_bytes(self) -> int:
        """Bytes sent on the connection that its caller has not taken."""
        try:
            return sockets.undelivered_bytes(self._socket)
        except (OSError, ValueError):
            # The socket is closed.
            return 0

    def abort(self) -> None:
        """Reset the connection when it closes.

        A truncated answer without a length would otherwise look complete.
        """
        self.is_kept_alive = False
        with contextlib.suppress(OSError):
            sockets.reset_on_close(self._socket)

    def send_complete(self, head: calls.AnswerHead, body: bytes) -> None:
        """Send a complete answer; see ``relay.CallerAnswer``."""
        self._mark_started(head.status)
        self._send(self._encode_head(head, len(body)) + body)
        self.written_bytes = len(body)
        self.is_complete = True

    def start(self, head: calls.AnswerHead, length: int) -> None:
        """Send the status line and headers; see ``relay.CallerAnswer``."""
        self._is_chunked = (
            length == relay.UNKNOWN_LENGTH and not self._is_http10
        )
        if length == relay.UNKNOWN_LENGTH and self._is_http10:
            self.is_kept_alive = False
        encoded = self._encode_head(
            head, None if length == relay.UNKNOWN_LENGTH else length
        )
        self._mark_started(head.status)
        self._send(encoded)

    def write(self, content: bytes) -> None:
        """Send a part of the body; see ``relay.CallerAnswer``."""
        now = clock.now()
        if self._written_at:
            gap_s = now - self._written_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._written_at = now
        self._send(http1.chunk(content) if self._is_chunked else content)
        self.written_bytes += len(content)

    def finish(self) -> None:
        """Complete the answer; see ``relay.CallerAnswer``."""
        if self._is_chunked:
            self._send(http1.LAST_CHUNK)
        self.is_complete = True

    def raise_if_disconnected(self) -> None:
        """Raise an error if the caller has disconnected.

        Raises:
            relay.CallerDisconnectedError: The caller has disconnected.
        """
        self._watch.raise_if_disconnected()

    def _send(self, content: bytes) -> None:
        self._before_send()
        self._socket.sendall(content)

    def _mark_started(self, status: int) -> None:
        self.has_started = True
        self.status = status
        self.head_sent_at = clock.now()

    def _encode_head(self, head: calls.AnswerHead, length: int | None) -> bytes:
        lines = [f'HTTP/1.1 {head.status} {head.reason}'.encode('latin-1')]
        lines.extend(b'%b: %b' % header for header in head.headers)
        if length is not None:
            lines.append(b'Content-Length: %d' % length)
        elif self._is_chunked:
            lines.append(b'Transfer-Encoding: chunked')
        if self._is_closing():
            self.is_kept_alive = False
        if not self.is_kept_alive:
            lines.append(b'Connection: close')
        elif self._is_http10:
            lines.append(b'Connection: keep-alive')
        return b'\r\n'.join((*lines, b'', b''))
