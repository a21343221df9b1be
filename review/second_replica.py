"""Stand-in of a plain replica: answers requests and records its runs."""

import contextlib
import dataclasses
import select
import socket
import threading
import time
from collections.abc import Callable

from review import second_http_messages as http_messages
from review import second_record as record

ACCEPT_POLL_S = 0.2
IDLE_S = 30.0
BACKLOG = 128


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a replica ran.

    Attributes:
        at: Time at which it arrived, on the steady clock.
        connection: Connection on which it arrived.
    """

    replica_id: str
    request: http_messages.Message
    at: float
    connection: socket.socket

    @property
    def has_caller(self) -> bool:
        """Whether the connection on which it arrived is open."""
        if self.connection.fileno() < 0:
            return False
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return True
        try:
            return bool(self.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def request_id(self) -> str:
        """Id that the caller gave the request."""
        return self.request.header_by_name.get('request-id', '')

    @property
    def body(self) -> bytes:
        """Body with which it ran."""
        return self.request.body


Answer = Callable[[Run], bytes]


class Replica:
    """A replica on a loopback address, in threads of this process.

    Args:
        replica_id: Id of the replica.
        recorded: Record of the case.
        answer: Returns the bytes of the answer to a request.
        host: Loopback address.
        port: Port; 0 for a free one.

    Attributes:
        runs: The requests that it ran.
        port: The port on which it listens.
    """

    def __init__(
        self,
        replica_id: str,
        recorded: record.Record,
        answer: Answer,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.replica_id = replica_id
        self.runs: list[Run] = []
        self._record = recorded
        self._answer = answer
        self._is_closed = False
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._host = host
        self.port = int(self._listener.getsockname()[1])
        self._listener.settimeout(ACCEPT_POLL_S)
        self._connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{self._host}:{self.port}'

    def entry(self, service: str, state: str = 'ready') -> dict[str, object]:
        """Return the replica's entry in the store.

        Args:
            service: Its service.
            state: Its state.
        """
        return {
            'service': service,
            'address': self.address,
            'zone': 'accra-a',
            'version': 'v1',
            'slots': 6,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
        }

    def close(self) -> None:
        """End as a process does that crashes: all its sockets close."""
        self._is_closed = True
        self._listener.close()
        for connection in self._connections:
            # Another thread may wait in a call on the socket.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        self._thread.join()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            connection.settimeout(IDLE_S)
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = http_messages.MessageReader(connection)
        try:
            self._serve_all(reader, connection)
        except (OSError, http_messages.BrokenOffError) as error:
            self._record.write(self.replica_id, f'connection ended: {error}')
        connection.close()

    def _serve_all(
        self, reader: http_messages.MessageReader, connection: socket.socket
    ) -> None:
        request = reader.head()
        while request is not None:
            reader.body(request)
            self._serve_one(request, connection)
            request = reader.head()

    def _serve_one(
        self, request: http_messages.Message, connection: socket.socket
    ) -> None:
        expected = request.header_by_name.get('expect-instance')
        if expected not in {None, self.replica_id}:
            connection.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Instance-Id: %b\r\nContent-Length: 0\r\n\r\n'
                % self.replica_id.encode()
            )
            return
        run = Run(self.replica_id, request, time.monotonic(), connection)
        self.runs.append(run)
        self._record.write(
            self.replica_id,
            f'runs {run.request_id}: {request.first_line!r}, '
            f'body of {len(request.body)} bytes',
        )
        connection.sendall(self._answer(run))


def success(run: Run, body: bytes) -> bytes:
    """Return a whole successful answer to a request.

    Args:
        run: The request that was run.
        body: Body of the answer.
    """
    request_id = run.request_id
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'Request-Id: {request_id}\r\n'
        f'Response-Seal: seal-{request_id}\r\n'
        'Keep-Alive: timeout=30\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
