"""Implements an eventlet hub with a virtual clock.

Tests and measurements run the real code on this hub: when no task can run, the
clock jumps to the next timer. The hub does not poll for input or output, so
only in-memory links work on it. Timers that are due at the same time run in the
order in which they were set, which makes a run with a given seed reproducible.
"""

import itertools
import typing
from collections.abc import Callable

import eventlet
from eventlet import hubs
from eventlet.hubs import hub

IDLE_STEP_S = 60.0

_Result = typing.TypeVar('_Result')


class _OrderedTimer:
    """A timer that compares by the order in which timers were set.

    Eventlet orders timers with the same due time by their memory addresses.
    """

    def __init__(self, timer: typing.Any, number: int) -> None:
        self._timer = timer
        self._number = number

    def __call__(self) -> None:
        self._timer()

    def __lt__(self, other: typing.Self) -> bool:
        return self._number < other._number

    @property
    def called(self) -> bool:
        """Whether the timer has run or was cancelled."""
        return self._timer.called


class VirtualHub(hub.BaseHub):
    """Hub with a virtual clock that starts at zero seconds."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.virtual_now = 0.0
        self._timer_numbers = itertools.count()
        super().__init__(clock or self._read_clock)

    def add_timer(self, timer: typing.Any) -> float:
        """Schedule a timer.

        Args:
            timer: The timer, with its delay in seconds.

        Returns:
            The time at which it runs.
        """
        due = self.clock() + timer.seconds
        ordered = _OrderedTimer(timer, next(self._timer_numbers))
        self.next_timers.append((due, ordered))
        return due

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock to the next timer.

        Args:
            seconds: Time until the next timer; None if there is none.
        """
        self.virtual_now += IDLE_STEP_S if seconds is None else seconds

    def _read_clock(self) -> float:
        return self.virtual_now


def run(main: Callable[[], _Result]) -> _Result:
    """Run a function as a task on a fresh virtual hub.

    Args:
        main: Function to run; it may spawn tasks and sleep.

    Returns:
        The result of ``main``. Tasks that are still running are discarded.
    """
    previous = hubs.get_hub()
    hubs.use_hub(VirtualHub)
    try:
        return eventlet.spawn(main).wait()
    finally:
        hubs.use_hub(type(previous))
