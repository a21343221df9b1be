"""A TCP relay on loopback that breaks connections or drops their bytes."""

import contextlib
import enum
import socket
import typing

import eventlet

BUFFER_BYTES = 65536
POLL_S = 0.02


class Mode(enum.Enum):
    """Which bytes the relay forwards or drops."""

    RELAY = 'relay'
    DROP_REQUESTS = 'drop requests'
    DROP_ANSWERS = 'drop answers'
    DROP_ALL = 'drop all'


class Relay:
    """Relays connections to one address.

    To simulate a half-open connection, a connection that has dropped bytes
    of one direction stays open and forwards nothing more in it.

    Args:
        address: IP address to listen on, on a free port.
        target: IP address and port to connect to.
    """

    def __init__(self, address: str, target: tuple[str, int]) -> None:
        self.mode = Mode.RELAY
        self._target = target
        self._open: set[socket.socket] = set()
        self._listener = eventlet.listen((address, 0))
        self.port: int = self._listener.getsockname()[1]
        self._accepting = eventlet.spawn(self._accept)

    def cut(self) -> None:
        """Shut down all open connections."""
        for connection in tuple(self._open):
            _shut(connection)

    def heal(self) -> None:
        """Forward all bytes again, and shut down all open connections."""
        self.mode = Mode.RELAY
        self.cut()

    def close(self) -> None:
        """Stop relaying."""
        # The hub allows one reader for a file descriptor. A task that still
        # waits on a closed socket would collide with the next file that gets
        # the same descriptor.
        self._accepting.kill()
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            eventlet.spawn(self._connect, accepted)

    def _connect(self, accepted: typing.Any) -> None:
        try:
            onward = socket.create_connection(self._target, 2)
        except OSError:
            accepted.close()
            return
        onward.settimeout(None)
        both = (accepted, onward)
        self._open.update(both)
        pumps = (
            eventlet.spawn(self._pump, *both, Mode.DROP_REQUESTS),
            eventlet.spawn(self._pump, *reversed(both), Mode.DROP_ANSWERS),
        )
        for pump in pumps:
            pump.wait()
        self._open.difference_update(both)
        # Closed only now, as closing a socket that a task still reads would
        # raise an error in that task.
        for connection in both:
            connection.close()

    def _pump(
        self, source: typing.Any, sink: typing.Any, dropping: Mode
    ) -> None:
        is_dropping = False
        with contextlib.suppress(OSError):
            while received := source.recv(BUFFER_BYTES):
                if self.mode in {dropping, Mode.DROP_ALL}:
                    is_dropping = True
                if not is_dropping:
                    sink.sendall(received)
        if not is_dropping:
            _shut(source)
            _shut(sink)


def _shut(connection: typing.Any) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
