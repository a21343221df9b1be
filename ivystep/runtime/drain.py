"""Graceful shutdown of a daemon."""

import signal
import typing
from collections.abc import Callable

import eventlet
from eventlet import event

from ivystep.runtime import clock, logs

POLL_S = 0.05

log = logs.get('drain')


class DrainSignal:
    """SIGTERM and SIGINT: the first starts the drain, the second ends it."""

    def __init__(self) -> None:
        self._started = event.Event()
        self._hurried = False

    def install(self) -> None:
        """Handle the signals of this process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def wait(self) -> None:
        """Wait for the first signal."""
        self._started.wait()

    def finish(self, is_idle: Callable[[], bool], deadline_s: float) -> bool:
        """Wait until all requests have ended.

        Args:
            is_idle: Returns whether nothing is in progress.
            deadline_s: Longest wait in seconds; a second signal ends it.

        Returns:
            Whether everything ended in time.
        """
        deadline = clock.now() + deadline_s
        while not is_idle():
            if self._hurried or clock.now() >= deadline:
                log.warning('Requests were cut off at the drain deadline.')
                return False
            clock.sleep(POLL_S)
        return True

    def _on_signal(self, number: int, frame: typing.Any) -> None:
        # A signal handler runs inside an arbitrary task, so the work is
        # handed to the hub.
        eventlet.spawn_after(0, self._advance)

    def _advance(self) -> None:
        if self._started.ready():
            self._hurried = True
        else:
            self._started.send()
