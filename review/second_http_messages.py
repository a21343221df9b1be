"""Reads HTTP/1.1 messages from sockets, for the stand-ins of the review."""

import dataclasses
import socket

RECEIVED_BYTES = 65536
HEAD_END = b'\r\n\r\n'


class BrokenOffError(Exception):
    """The peer has closed the connection inside a message."""


class NoMessageError(Exception):
    """What the peer has sent is no HTTP message."""


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer.

    Attributes:
        first_line: Request line or status line.
        header_by_name: Headers by name in lower case.
    """

    first_line: str
    header_by_name: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(' ')[1])


class MessageReader:
    """Reads messages from one connection.

    Args:
        connection: A connected socket with a time-out.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._received = b''

    @property
    def unread(self) -> bytes:
        """Bytes that were received after the last message."""
        return self._received

    def head(self) -> Message | None:
        """Return the head of the next message; None at the end.

        Raises:
            BrokenOffError: The connection ended inside it.
            NoMessageError: It is no head of an HTTP message.
        """
        while HEAD_END not in self._received:
            if not self._receive():
                if self._received.strip():
                    raise BrokenOffError(repr(self._received[:80]))
                return None
        head = self._take_until(HEAD_END)
        lines = head.decode('latin-1').lstrip('\r\n').split('\r\n')
        is_answer = lines[0].startswith('HTTP/1.1 ')
        if not (is_answer or lines[0].endswith(' HTTP/1.1')):
            raise NoMessageError(lines[0][:80])
        fields = [line.partition(':') for line in lines[1:]]
        return Message(
            lines[0],
            {name.lower(): text.strip() for name, _, text in fields},
        )

    def body(self, message: Message) -> bytes:
        """Read the body that a head announces.

        Raises:
            BrokenOffError: The connection ended inside it.
        """
        if message.header_by_name.get('transfer-encoding') == 'chunked':
            message.body = self._chunks()
        else:
            length = int(message.header_by_name.get('content-length', '0'))
            message.body = self._take(length)
        return message.body

    def _chunks(self) -> bytes:
        content = b''
        while True:
            size = int(self._line(), 16)
            content += self._take(size)
            self._line()
            if not size:
                return content

    def _line(self) -> bytes:
        while b'\r\n' not in self._received:
            if not self._receive():
                raise BrokenOffError('inside a chunk')
        return self._take_until(b'\r\n')

    def _take_until(self, end: bytes) -> bytes:
        content, _, rest = self._received.partition(end)
        self._received = rest
        return content

    def _take(self, length: int) -> bytes:
        while len(self._received) < length:
            if not self._receive():
                raise BrokenOffError(f'{len(self._received)} of {length} bytes')
        content = self._received[:length]
        self._received = self._received[length:]
        return content

    def _receive(self) -> bytes:
        received = self._connection.recv(RECEIVED_BYTES)
        self._received += received
        return received
