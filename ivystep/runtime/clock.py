"""Reads the clock of the eventlet hub and sleeps on it.

All code uses this clock. Tests install ``ivystep.runtime.virtual_hub``, which
advances it without waiting.
"""

import time

import eventlet
from eventlet import hubs


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    return hubs.get_hub().clock()


def uptime() -> float:
    """Return the seconds since boot, including time spent suspended.

    Leases use this clock, because other hosts keep running while this one is
    suspended. On a virtual hub it is the hub's time.
    """
    hub = hubs.get_hub()
    if hasattr(hub, 'virtual_now'):
        return hub.clock()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def sleep(seconds: float) -> None:
    """Suspend the current task.

    Args:
        seconds: Duration on the hub's clock; 0 yields to other tasks.
    """
    eventlet.sleep(seconds)


def wall_time() -> float:
    """Return the wall-clock time in seconds since the epoch, for records."""
    return time.time()
