"""Stand-in of a caller: sends requests and reads their answers."""

import dataclasses
import socket

from review import second_http_messages as http_messages
from review import second_record as record

TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Attributes:
        headers: Headers beside the length of the body.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Request-Id: {self.request_id}',
            *(f'{name}: {text}' for name, text in self.headers),
        ]
        if self.body:
            lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join((*lines, '', '')).encode('latin-1') + self.body


class Channel:
    """One connection of a caller.

    Args:
        address: Address of a gateway.
        recorded: Record of the case.
        receive_buffer: Bytes that the caller's kernel takes before the caller
            reads; 0 for the usual number.
    """

    def __init__(
        self,
        address: tuple[str, int],
        recorded: record.Record,
        receive_buffer: int = 0,
    ) -> None:
        self.connection = socket.socket()
        self.connection.settimeout(TIMEOUT_S)
        if receive_buffer:
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self.connection.connect(address)
        self._record = recorded
        self._reader = http_messages.MessageReader(self.connection)

    def send(self, request: Request) -> None:
        """Send a request."""
        self._record.write(
            'caller',
            f'sends {request.request_id}: {request.method} {request.path}, '
            f'body of {len(request.body)} bytes, headers {request.headers}',
        )
        self.connection.sendall(request.encode())

    def read(self, *, has_body: bool = True) -> http_messages.Message | None:
        """Return the next answer; None if there is no whole one.

        Args:
            has_body: Whether the answer may have a body; one to a request with
                the method HEAD has none.

        Raises:
            http_messages.NoMessageError: What has arrived is no answer.
        """
        try:
            answer = self._reader.head()
            if answer is not None and has_body:
                self._reader.body(answer)
        except (OSError, http_messages.BrokenOffError) as error:
            self._record.write('caller', f'reads no answer: {error}')
            return None
        self._record.write('caller', f'reads {describe(answer)}')
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def describe(answer: http_messages.Message | None) -> str:
    """Return an answer as a line of the record."""
    if answer is None:
        return 'the end of the connection'
    fields = answer.header_by_name
    return (
        f'{answer.first_line!r} for {fields.get("request-id")}, '
        f'seal {fields.get("response-seal")}, {len(answer.body)} bytes'
    )
