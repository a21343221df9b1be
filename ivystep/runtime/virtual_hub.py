"""An eventlet hub whose clock is advanced instead of waited for.

Tests and measurements run the real code on this hub: when no task can run, the
clock jumps to the next timer. No input or output is polled, so only in-memory
links work on it.
"""

import typing
from collections.abc import Callable

import eventlet
from eventlet import hubs
from eventlet.hubs import hub

IDLE_STEP_S = 60.0

_Result = typing.TypeVar('_Result')


class VirtualHub(hub.BaseHub):
    """Hub with a virtual clock that starts at zero seconds."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.virtual_now = 0.0
        super().__init__(clock or self._read)

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock to the next timer.

        Args:
            seconds: Time until the next timer.
        """
        self.virtual_now += IDLE_STEP_S if seconds is None else seconds

    def _read(self) -> float:
        return self.virtual_now


def run(main: Callable[[], _Result]) -> _Result:
    """Run a function as a task on a fresh virtual hub.

    Args:
        main: Function to run; it may spawn tasks and sleep.

    Returns:
        What ``main`` returns. Tasks that are still running are dropped.
    """
    previous = hubs.get_hub()
    hubs.use_hub(VirtualHub)
    try:
        return eventlet.spawn(main).wait()
    finally:
        hubs.use_hub(type(previous))
