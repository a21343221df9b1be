"""Implements the graceful shutdown of a daemon."""

import signal
import typing
from collections.abc import Callable

import eventlet
from eventlet import event

from ivystep.runtime import clock, logs

POLL_S = 0.05

log = logs.get('drain')


class DrainSignal:
    """Handles SIGTERM and SIGINT.

    The first signal starts the drain, the second ends it early.
    """

    def __init__(self) -> None:
        self._started = event.Event()
        self._is_forced = False

    def install(self) -> None:
        """Install the signal handlers of this process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def wait(self) -> None:
        """Wait for the first signal."""
        self._started.wait()

    def finish(self, is_idle: Callable[[], bool], deadline_s: float) -> bool:
        """Wait until all requests have ended.

        Args:
            is_idle: Returns whether no request is in progress.
            deadline_s: Longest wait in seconds; a second signal ends it early.

        Returns:
            Whether all requests ended in time.
        """
        deadline = clock.now() + deadline_s
        while not is_idle():
            if self._is_forced or clock.now() >= deadline:
                log.warning('Drain ended with requests still in progress.')
                return False
            clock.sleep(POLL_S)
        return True

    def _on_signal(self, number: int, frame: typing.Any) -> None:
        # A signal handler interrupts an arbitrary task, so the work is
        # scheduled on the hub.
        eventlet.spawn_after(0, self._handle_signal)

    def _handle_signal(self) -> None:
        if self._started.ready():
            self._is_forced = True
        else:
            self._started.send()
