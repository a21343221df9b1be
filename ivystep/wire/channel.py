"""A connection that carries one Thrift frame at a time.

A channel belongs to one task at a time. After any error it is closed and
never used again, so a late answer cannot reach another request.
"""

import select
import socket
import struct
import typing
from types import MappingProxyType

import eventlet
from eventlet import hubs
from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from ivystep.core import errors, units
from ivystep.wire import tls
from ivystep.wire.gen import ttypes

MAX_FRAME_BYTES = 4 * units.MIB
CONNECT_TIMEOUT_S = 2.0
HEADER = struct.Struct('!I')
# The codec raises these on bytes that are not a frame.
MALFORMED = (Thrift.TException, EOFError, ValueError, TypeError)

_FIELD_NAMES = tuple(spec[2] for spec in ttypes.Frame.thrift_spec if spec)
_FIELD_BY_TYPE = MappingProxyType(
    {spec[3][0]: spec[2] for spec in ttypes.Frame.thrift_spec if spec}
)


def encode(message: typing.Any) -> bytes:
    """Return the frame that carries a message, with its length in front.

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
        errors.LinkError: The bytes are not a frame with one message.
    """
    frame = ttypes.Frame()
    buffer = TTransport.TMemoryBuffer(payload)
    try:
        frame.read(
            TCompactProtocol.TCompactProtocolAccelerated(buffer, fallback=True),
        )
    except MALFORMED as error:
        raise errors.LinkError(f'malformed frame: {error}') from error
    for name in _FIELD_NAMES:
        message = getattr(frame, name)
        if message is not None:
            return message
    raise errors.LinkError('empty frame')


class Channel:
    """Frames over one connected stream socket."""

    def __init__(self, connection: socket.socket, peer: str) -> None:
        self.peer = peer
        self.is_closed = False
        self._connection = connection
        self._reader = connection.makefile('rb')

    @classmethod
    def connect(
        cls,
        address: tuple[str, int],
        contexts: tls.TlsContexts,
        peer_name: str,
    ) -> typing.Self:
        """Open a connection and check the peer's role.

        Args:
            address: IP address and port.
            contexts: TLS contexts of this process.
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
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                secured = contexts.client.wrap_socket(
                    raw, server_hostname=peer_name
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
        try:
            self._connection.sendall(encode(message))
        except OSError as error:
            self.close()
            raise errors.LinkError(
                str(error), step='send', peer=self.peer
            ) from error

    def receive(self, timeout_s: float | None = None) -> typing.Any:
        """Wait for one message.

        Args:
            timeout_s: Longest wait in seconds; None waits without limit.

        Returns:
            The message.

        Raises:
            errors.LinkError: The connection ended, timed out, or the frame is
                malformed or too long.
        """
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                return decode(self._read_payload())
        except OSError as error:
            self.close()
            raise errors.LinkError(
                str(error) or 'timed out', step='receive', peer=self.peer
            ) from error
        except errors.LinkError as error:
            self.close()
            raise errors.LinkError(
                error.reason, step='receive', peer=self.peer
            ) from error

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
        """Return whether an idle connection has ended or has stray bytes."""
        if self.is_closed:
            return True
        readable, _, _ = select.select([self._connection], [], [], 0)
        return bool(readable)

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
        try:
            self._connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed first; there is nothing left to shut down.
            self._reader = None
        self._connection.close()

    def _read_payload(self) -> bytes:
        length = HEADER.unpack(self._read_exactly(HEADER.size))[0]
        if length > MAX_FRAME_BYTES:
            raise errors.LinkError(f'frame of {length} bytes is too long')
        return self._read_exactly(length)

    def _read_exactly(self, count: int) -> bytes:
        reader = self._reader
        received = b'' if reader is None else reader.read(count)
        if len(received) < count:
            raise errors.LinkError('connection closed')
        return received
