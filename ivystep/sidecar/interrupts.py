"""Interrupts an attempt when its entry disconnects or the host stops."""

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
    """Raise an error in the block when the peer disconnects.

    The error is raised wherever the block waits, for example for an engine
    that does not answer.

    Args:
        peer: Connection to the entry, which sends nothing during an attempt.
        interrupts: Set that contains the interrupt while the block runs, so
            that other tasks can interrupt the block too.

    Raises:
        errors.LinkError: The peer has closed the connection, or has sent
            something during the attempt.
    """
    interrupt = AttemptInterrupt(peer)
    interrupts.add(interrupt)
    try:
        yield
    finally:
        interrupts.discard(interrupt)
        interrupt.stop()


class AttemptInterrupt:
    """Interrupts the task that created it, on request or on a disconnect.

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
            error: Error to raise; only the first call has an effect.
        """
        # Scheduled on the hub instead of raised directly, so that stop() still
        # cancels it if the block ends first.
        if self._timer is None:
            self._timer = hubs.get_hub().schedule_call_global(
                0, self._task.throw, error
            )

    def _watch(self) -> None:
        try:
            self._peer.wait_readable()
        except OSError:
            # This process has closed the connection, which ends the attempt
            # just as a disconnect does.
            self._peer.close()
        self.interrupt(
            errors.LinkError(
                'the entry has disconnected', step='run', peer=self._peer.peer
            )
        )
