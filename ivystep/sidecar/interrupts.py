"""Ends an attempt from outside: its entry has left, or the host stops."""

import contextlib
import typing
from collections.abc import Generator

import eventlet
from eventlet import hubs

from ivystep.core import errors
from ivystep.wire import channel


@contextlib.contextmanager
def on_disconnect(
    peer: channel.Channel, interrupts: 'set[AttemptInterrupt]'
) -> Generator[None, None, None]:
    """Raise an error in the block when the peer leaves.

    The error arises wherever the block waits, for example for an engine that
    is silent.

    Args:
        peer: Connection to the entry, which sends nothing during an attempt.
        interrupts: Holds, while the block runs, what can interrupt it.

    Raises:
        errors.LinkError: The peer has closed the connection, or has sent
            something in the middle of an attempt.
    """
    interrupt = AttemptInterrupt(peer)
    interrupts.add(interrupt)
    try:
        yield
    finally:
        interrupts.discard(interrupt)
        interrupt.stop()


class AttemptInterrupt:
    """Waits for the peer and interrupts the task that created it.

    Args:
        peer: Connection to the entry.
    """

    def __init__(self, peer: channel.Channel) -> None:
        self._peer = peer
        self._task = eventlet.getcurrent()
        self._timer: typing.Any = None
        self._watcher = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Stop watching; nothing is raised afterwards."""
        if self._timer is not None:
            self._timer.cancel()
        self._watcher.kill()

    def interrupt(self, error: Exception) -> None:
        """Raise an error in the task, unless its block ends first.

        Args:
            error: What to raise; the first one counts.
        """
        # Raised through the hub and not from here, so that ending the block
        # first cancels it.
        if self._timer is None:
            self._timer = hubs.get_hub().schedule_call_global(
                0, self._task.throw, error
            )

    def _watch(self) -> None:
        try:
            self._peer.wait_readable()
        except OSError:
            # The connection was closed on this side, with the same meaning.
            self._peer.close()
        self.interrupt(
            errors.LinkError(
                'the entry has left', step='run', peer=self._peer.peer
            )
        )
