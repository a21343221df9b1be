"""Connections that carry Thrift frames between ivystep's processes.

A channel belongs to one task at a time. After any error it is closed and
never used again, so a late answer cannot reach another request.
"""

import contextlib
import socket
import ssl
import struct
import typing
from collections.abc import Callable, Generator
from types import MappingProxyType

import eventlet
from eventlet import hubs
from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from ivystep.core import errors, units
from ivystep.runtime import clock, turns
from ivystep.wire import tls
from ivystep.wire.gen import ttypes

MAX_FRAME_BYTES = 4 * units.MIB
CONNECT_TIMEOUT_S = 2.0
# Longest time from the first byte of a frame to its last.
FRAME_TIMEOUT_S = 10.0
READ_BYTES = 64 * units.KIB
HEADER = struct.Struct('!I')
WOULD_BLOCK_ERRORS = (
    BlockingIOError,
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
)
# The codec raises these on bytes that are not a frame.
DECODE_ERRORS = (
    Thrift.TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
)

_FIELD_NAMES = tuple(spec[2] for spec in ttypes.Frame.thrift_spec if spec)
_FIELD_BY_TYPE = MappingProxyType(
    {spec[3][0]: spec[2] for spec in ttypes.Frame.thrift_spec if spec}
)


def encode(message: typing.Any) -> bytes:
    """Return the frame of a message, preceded by its length.

    Args:
        message: One of the structs that ``Frame`` can hold.
    """
    frame = ttypes.Frame(**{_FIELD_BY_TYPE[type(message)]: message})
    buffer = TTransport.TMemoryBuffer()
    frame.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    payload = buffer.getvalue()
    return HEADER.pack(len(payload)) + payload


def decode(payload: bytes) -> typing.Any:
    """Return the message in a frame.

    Args:
        payload: The frame without its length.

    Raises:
        FrameError: The bytes are not a frame with one message.
    """
    frame = ttypes.Frame()
    buffer = TTransport.TMemoryBuffer(payload)
    try:
        frame.read(
            TCompactProtocol.TCompactProtocolAccelerated(buffer, fallback=True),
        )
    except DECODE_ERRORS as error:
        raise FrameError(f'malformed frame: {error}') from error
    for name in _FIELD_NAMES:
        message = getattr(frame, name)
        if message is not None:
            return message
    raise FrameError('empty frame')


class FrameError(errors.LinkError):
    """A peer has sent what is no frame, or none within its bounds."""


class Channel:
    """Frames over one connected stream socket.

    Attributes:
        has_waited: Whether the last ``receive`` had to wait.
        on_identified: Called once the peer has said who it is.
    """

    def __init__(self, connection: socket.socket, peer: str) -> None:
        self.peer = peer
        self.is_closed = False
        # Small frames are sent without an answer in between. With Nagle's
        # algorithm the second would wait 40 ms for the first's acknowledgement.
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection = connection
        self._buffer = bytearray()
        # Time at which the first byte in the buffer was received.
        self._frame_started_at = 0.0
        # Whether the last read found no data, so that the next must wait.
        self._is_socket_empty = False
        self._is_after_wait = False
        self.has_waited = False
        self.on_identified: Callable[[], None] = _ignore

    @classmethod
    def connect(
        cls,
        address: tuple[str, int],
        contexts: tls.TlsContexts | None,
        peer_name: str,
    ) -> typing.Self:
        """Open a connection and check the peer's role.

        Args:
            address: IP address and port.
            contexts: TLS contexts of this process; None on a private
                network without certificates.
            peer_name: DNS name that the peer's certificate must carry.

        Returns:
            The channel.

        Raises:
            errors.LinkError: The peer is unreachable or has another role.
        """
        peer = f'{address[0]}:{address[1]}'
        raw = None
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT_S, TimeoutError):
                raw = socket.create_connection(address)
                secured = (
                    raw
                    if contexts is None
                    else contexts.client.wrap_socket(
                        raw, server_hostname=peer_name
                    )
                )
        except OSError as error:
            if raw is not None:
                raw.close()
            raise errors.LinkError(
                str(error), step='connect', peer=peer
            ) from error
        return cls(secured, peer)

    def send(self, message: typing.Any) -> None:
        """Send one message.

        Args:
            message: One of the structs that ``Frame`` can hold.

        Raises:
            errors.LinkError: The connection is broken; the peer may have
                received the message or not.
        """
        encoded = encode(message)
        try:
            self._connection.sendall(encoded)
        except OSError as error:
            self.close()
            raise errors.LinkError(
                str(error), step='send', peer=self.peer
            ) from error
        except BaseException:
            # The task was interrupted, perhaps in the middle of a frame. The
            # next message would be read as the rest of it.
            self.close()
            raise

    def receive(self, timeout_s: float | None = None) -> typing.Any:
        """Wait for one message.

        Args:
            timeout_s: Longest wait in seconds; None waits without limit.

        Returns:
            The message.

        Raises:
            errors.LinkError: The connection ended or timed out.
            FrameError: The frame is malformed, too long, or was not complete
                ``FRAME_TIMEOUT_S`` after it had begun.
        """
        with self._closed_on_error():
            deadline = None if timeout_s is None else clock.now() + timeout_s
            turns.give()
            payload = self._buffered_payload()
            self.has_waited = False
            while payload is None:
                turns.give()
                if self._is_socket_empty or not self._read_available():
                    self._wait(deadline)
                payload = self._buffered_payload()
            return decode(payload)

    def receive_ready(self) -> typing.Any:
        """Return the next message if it has arrived, without waiting.

        Returns:
            The message, or None if none has arrived in full, or if the task
            has kept the event loop so long that it must wait.

        Raises:
            errors.LinkError: As for ``receive``.
        """
        with self._closed_on_error():
            payload = None
            is_received = True
            while payload is None and is_received and not turns.is_spent():
                payload = self._buffered_payload()
                if payload is None:
                    is_received = self._read_available()
            return None if payload is None else decode(payload)

    def request(
        self, message: typing.Any, timeout_s: float | None = None
    ) -> typing.Any:
        """Send a message and wait for the next one.

        Raises:
            errors.LinkError: As for ``send`` and ``receive``.
        """
        self.send(message)
        return self.receive(timeout_s)

    def is_stale(self) -> bool:
        """Return whether an idle connection is closed or has unread data."""
        if self.is_closed or self._buffer:
            return True
        try:
            return self._read_available()
        except (OSError, errors.LinkError):
            return True

    def wait_readable(self) -> None:
        """Wait until the peer sends something or closes its end.

        Another task may send meanwhile, but none may receive.

        Raises:
            OSError: The connection was closed on this side.
        """
        hubs.trampoline(self._connection, read=True)

    def close(self) -> None:
        """Close the connection; safe to call twice and from another task."""
        if self.is_closed:
            return
        self.is_closed = True
        # If the peer has closed first, there is nothing left to shut down.
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        self._connection.close()

    @contextlib.contextmanager
    def _closed_on_error(self) -> Generator[None, None, None]:
        """Close the channel on an error and add step and peer to it."""
        try:
            yield
        except FrameError as error:
            self.close()
            raise FrameError(
                str(error), step='receive', peer=self.peer
            ) from error
        except (OSError, errors.LinkError) as error:
            self.close()
            raise errors.LinkError(
                str(error) or 'timed out', step='receive', peer=self.peer
            ) from error

    def _buffered_payload(self) -> bytes | None:
        """Remove and return the first frame's payload if it is complete."""
        buffer = self._buffer
        if len(buffer) < HEADER.size:
            return None
        length = HEADER.unpack_from(buffer)[0]
        if length > MAX_FRAME_BYTES:
            raise FrameError(f'frame of {length} bytes is too long')
        end = HEADER.size + length
        if len(buffer) < end:
            return None
        payload = bytes(buffer[HEADER.size : end])
        del buffer[:end]
        if buffer:
            # Each of many small frames takes time for itself.
            turns.count(0)
        self._frame_started_at = clock.now()
        return payload

    def _read_available(self) -> bool:
        """Read what has arrived, without waiting.

        Returns:
            Whether any data had arrived.
        """
        # Non-blocking only in this call, during which no other task runs.
        self._connection.act_non_blocking = True
        try:
            received = self._connection.recv(READ_BYTES)
        except WOULD_BLOCK_ERRORS:
            self._is_socket_empty = True
            return False
        finally:
            self._connection.act_non_blocking = False
        if not received:
            raise errors.LinkError('connection closed')
        if not self._buffer:
            self._frame_started_at = clock.now()
        self._buffer += received
        if not self._is_after_wait:
            turns.count(len(received))
        self._is_after_wait = False
        return True

    def _wait(self, deadline: float | None) -> None:
        """Wait until data arrives.

        Raises:
            TimeoutError: No data has arrived by the deadline.
            FrameError: A frame that has begun is not complete in time.
        """
        limit = deadline
        if self._buffer:
            frame_deadline = self._frame_started_at + FRAME_TIMEOUT_S
            if limit is None or frame_deadline < limit:
                limit = frame_deadline
        try:
            self._wait_until(limit)
        except TimeoutError as error:
            if limit == deadline:
                raise
            raise FrameError(
                f'the frame is not complete after {FRAME_TIMEOUT_S:g} s'
            ) from error
        self._is_socket_empty = False
        self._is_after_wait = True
        self.has_waited = True

    def _wait_until(self, deadline: float | None) -> None:
        left_s = None if deadline is None else max(deadline - clock.now(), 0)
        hubs.trampoline(
            self._connection,
            read=True,
            timeout=left_s,
            timeout_exc=TimeoutError,
        )


def _ignore() -> None:
    """Ignore who the peer is."""
