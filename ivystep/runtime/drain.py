"""Implements the graceful shutdown of a daemon."""

import contextlib
import typing
from collections.abc import Callable

from eventlet import hubs, patcher

from ivystep.runtime import clock, logs, signals

POLL_S = 0.05
# The patched ``os.read`` of eventlet waits while the pipe is empty.
_UNPATCHED_OS = patcher.original('os')

log = logs.get('drain')


class DrainSignal:
    """Waits for signals: SIGTERM and SIGINT stop the process, SIGHUP does not.

    The first signal to stop starts the drain, the second ends it early.

    Args:
        received: Signals of the process; None for signals of its own.
    """

    def __init__(self, received: signals.ReceivedSignals | None = None) -> None:
        self.received = received or signals.ReceivedSignals()
        self._wakeup: signals.WakeupPipe | None = None
        self._delay_s: float | None = None

    @classmethod
    def of_process(cls) -> typing.Self:
        """Build the waiter for the signals of this process."""
        return cls(signals.of_process)

    def install(self) -> None:
        """Handle signals from now on by a drain."""
        self._wakeup = signals.WakeupPipe()
        self.received.is_serving = True
        self.received.install()

    def wait(self, on_reload: Callable[[], None]) -> None:
        """Wait for the first signal to stop.

        Args:
            on_reload: Called after SIGHUP; signals in quick succession count
                as one.
        """
        while not self.received.stops:
            if self.received.take_reload():
                on_reload()
            else:
                self._wait_for_any()
        self._delay_s = self.received.since_stop_s

    @property
    def delay_s(self) -> float:
        """Time in seconds from the first signal to the start of the drain.

        Whoever stops the process counts from its signal, while a busy event
        loop starts the drain later. The drain starts with the first call.
        """
        if self._delay_s is None:
            self._delay_s = self.received.since_stop_s
        return self._delay_s

    def finish(self, is_idle: Callable[[], bool], deadline_s: float) -> bool:
        """Wait until all requests have ended.

        Args:
            is_idle: Returns whether no request is in progress.
            deadline_s: Longest wait in seconds; a second signal ends it early,
                and so does a start of the drain later than the first signal.

        Returns:
            Whether all requests ended in time.
        """
        deadline = clock.now() + deadline_s - self.delay_s
        while not is_idle():
            if self.received.stops > 1 or clock.now() >= deadline:
                log.warning('Drain ended with requests still in progress.')
                return False
            clock.sleep(POLL_S)
        return True

    def _wait_for_any(self) -> None:
        """Wait until a signal has been received since the last call."""
        descriptor = typing.cast(signals.WakeupPipe, self._wakeup).descriptor
        hubs.trampoline(descriptor, read=True)
        with contextlib.suppress(BlockingIOError):
            _UNPATCHED_OS.read(descriptor, signals.WAKEUP_READ_BYTES)
