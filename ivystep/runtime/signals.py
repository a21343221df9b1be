"""Records the signals that end a daemon or have it read its settings again.

The handlers only record a signal: they interrupt an arbitrary task. Whoever
waits on the event loop is woken through a pipe, because Python resumes a
system call that a signal has interrupted (PEP 475).

The program imports this module before all others, since a signal that comes
before its handler ends the process. So it imports nothing that takes long.
"""

import math
import os
import signal
import time
import typing

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_DRAINED = 0
# A pipe that nobody reads holds far more; the rest of a burst may be lost,
# because the signals themselves are recorded by the handlers.
WAKEUP_READ_BYTES = 4096


class ReceivedSignals:
    """The signals that a process has received.

    Attributes:
        stops: Number of signals to stop.
        stopped_at: Monotonic time of the first of them; infinite before.
        has_reload: Whether the settings are to be read again.
        is_serving: Whether a signal to stop starts a drain. Until then there is
            nothing to drain, and it ends the process.
    """

    def __init__(self) -> None:
        self.stops = 0
        self.stopped_at = math.inf
        self.has_reload = False
        self.is_serving = False

    def install(self) -> None:
        """Install the handlers of this process."""
        for number in STOP_SIGNALS:
            signal.signal(number, self.on_stop)
        signal.signal(signal.SIGHUP, self.on_reload)

    def on_stop(self, number: int, frame: typing.Any) -> None:
        """Record a signal to stop, or end a process that does not serve yet."""
        if not self.is_serving:
            # An exception could be caught by a module that is being imported.
            os._exit(EXIT_DRAINED)
        self.stops += 1
        self.stopped_at = min(self.stopped_at, time.monotonic())

    def on_reload(self, number: int, frame: typing.Any) -> None:
        """Record that the settings are to be read again."""
        self.has_reload = True

    @property
    def since_stop_s(self) -> float:
        """Time in seconds since the first signal to stop; 0 before it."""
        return max(time.monotonic() - self.stopped_at, 0.0)

    def take_reload(self) -> bool:
        """Return whether a reload is due; signals until now count as one."""
        is_due = self.has_reload
        self.has_reload = False
        return is_due


# The signals of this process.
of_process = ReceivedSignals()


def ignore() -> None:
    """Ignore further signals, for a process that is about to exit.

    The interpreter restores the default actions before the process has ended,
    unless a signal is ignored.
    """
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


class WakeupPipe:
    """A pipe to which the interpreter writes one byte a signal.

    It stays open until the process ends.

    Attributes:
        descriptor: End to read from.
    """

    def __init__(self) -> None:
        read_end, write_end = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        self.descriptor = read_end
