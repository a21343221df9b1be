"""Bounds how long a task keeps the event loop while its peer sends or reads.

A peer that is as fast as this process never makes it wait, so the loop would
not run its timers, deadlines and other connections. All loops that read or
write share one turn: what is done without a wait since the loop ran its timers
last. Once the turn is spent, the task waits before it reads or writes more.
"""

import contextlib
import typing

import eventlet
from eventlet import greenio, hubs

from ivystep.core import units

# A request waits for the loop about ten times, and may end 50 ms later in all.
# What was parsed in the turn is passed on before the task reads again.
TURN_S = 0.002
TURN_BYTES = 256 * units.KIB
# Received bytes that are parsed between two looks at the clock: small parts of
# a message cost some hundred times as much time for a byte as large ones.
PARSED_BYTES = 4 * units.KIB


class _Turn:
    """The present turn of one hub."""

    def __init__(self, hub: typing.Any) -> None:
        self.hub = hub
        self._has_started = False
        self._ends_at = 0.0
        self._left_bytes = 0

    def count(self, size: int) -> None:
        """Count bytes; the first ones start the turn."""
        if not self._has_started:
            self._has_started = True
            self._ends_at = self.hub.clock() + TURN_S
            self._left_bytes = TURN_BYTES
            # A timer that is due runs after the hub has looked at its sockets.
            self.hub.schedule_call_global(0, self._end)
        self._left_bytes -= size

    def is_spent(self) -> bool:
        """Return whether the turn has lasted too long."""
        return self._has_started and (
            self._left_bytes <= 0 or self.hub.clock() >= self._ends_at
        )

    def _end(self) -> None:
        self._has_started = False


_turns: list[_Turn] = []


def _present() -> _Turn:
    hub = hubs.get_hub()
    if not _turns or _turns[0].hub is not hub:
        _turns.clear()
        _turns.append(_Turn(hub))
    return _turns[0]


def count(size: int) -> None:
    """Count bytes that were read, parsed or written without a wait.

    Args:
        size: Number of bytes.
    """
    _present().count(size)


def is_spent() -> bool:
    """Return whether the task must wait before it goes on."""
    return _present().is_spent()


def is_spent_after(size: int) -> bool:
    """Count bytes and return whether the task must wait before it goes on.

    Args:
        size: Number of bytes that were handled without a wait; 0 if they have
            been counted before.
    """
    turn = _present()
    turn.count(size)
    return turn.is_spent()


def give() -> None:
    """Let the event loop run if the turn is spent."""
    if is_spent():
        eventlet.sleep(0)


class Socket(greenio.GreenSocket):
    """A socket whose reads and writes end with the turn."""

    def sendall(self, sent: bytes, flags: int = 0) -> None:
        """Send all bytes, over several turns if the peer reads at once."""
        rest = memoryview(sent)
        while True:
            size = self.send(rest, flags)
            rest = rest[size:]
            if not rest:
                return
            if is_spent_after(size):
                self._trampoline(
                    self.fd,
                    write=True,
                    timeout=self.gettimeout(),
                    timeout_exc=TimeoutError('timed out'),
                )

    def _recv_loop(
        self, receive: typing.Any, empty: typing.Any, *values: typing.Any
    ) -> typing.Any:
        if not (self.act_non_blocking or is_spent()):
            with contextlib.suppress(BlockingIOError):
                return self._receive_at_once(receive, empty, values)
        if not self.act_non_blocking:
            try:
                self._read_trampoline()
            except greenio.base.IOClosed as error:
                raise EOFError from error
        return super()._recv_loop(receive, empty, *values)

    def _receive_at_once(
        self, receive: typing.Any, empty: typing.Any, values: typing.Any
    ) -> typing.Any:
        """Return what has arrived; raise ``BlockingIOError`` if nothing has."""
        try:
            received = receive(*values)
        except BlockingIOError:
            raise
        except OSError as error:
            if error.errno in greenio.base.SOCKET_CLOSED:
                return empty
            raise
        count(received if isinstance(received, int) else len(received))
        return received


def end_with_turn(connection: typing.Any) -> None:
    """Have a socket's reads and writes end with the turn.

    Eventlet and urllib3 make their sockets themselves, and a second object for
    the same socket would be closed with the first. A socket with TLS is left as
    it is: what it has decrypted is not seen by a wait.

    Args:
        connection: An eventlet socket.
    """
    if connection.__class__ == greenio.GreenSocket:
        connection.__class__ = Socket


def receive(connection: typing.Any, size: int) -> bytes:
    """Wait for bytes; empty after an orderly shutdown by the peer.

    Eventlet's own ``recv`` reports a reset as an orderly shutdown, which would
    make a truncated message without a length look complete.

    Args:
        connection: An eventlet socket.
        size: Maximum number of bytes to return.

    Raises:
        OSError: The connection was reset or is broken.
    """
    has_waited = is_spent()
    if has_waited:
        hubs.trampoline(connection, read=True)
    while True:
        try:
            received = connection.fd.recv(size)
        except BlockingIOError:
            hubs.trampoline(connection, read=True)
            has_waited = True
            continue
        if not has_waited:
            count(len(received))
        return received
