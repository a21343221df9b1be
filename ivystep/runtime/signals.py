"""Records the signals that end a daemon or have it read its settings again.

The handlers only record a signal: they interrupt an arbitrary task. Whoever
waits on the event loop is woken through a pipe, because Python resumes a
system call that a signal has interrupted (PEP 475).
"""

import os
import signal
import typing

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# A pipe that nobody reads holds far more; the rest of a burst may be lost,
# because the signals themselves are recorded by the handlers.
WAKEUP_READ_BYTES = 4096


class ReceivedSignals:
    """The signals that a process has received.

    Attributes:
        stops: Number of signals to stop.
    """

    def __init__(self) -> None:
        self.stops = 0

    def install(self) -> None:
        """Install the handlers of this process."""
        for number in STOP_SIGNALS:
            signal.signal(number, self.on_stop)

    def on_stop(self, number: int, frame: typing.Any) -> None:
        """Record a signal to stop."""
        self.stops += 1


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
