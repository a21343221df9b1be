"""The clock of the runtime.

All code reads time and sleeps through the eventlet hub. Tests install
``ivystep.runtime.virtual_hub``, which advances this clock without waiting.
"""

import time

import eventlet
from eventlet import hubs


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    return hubs.get_hub().clock()


def uptime() -> float:
    """Return the time in seconds that also runs while the host is suspended.

    Leases are counted on it, because other hosts go on while this one stands
    still. On a virtual hub it is the hub's time.
    """
    hub = hubs.get_hub()
    if hasattr(hub, 'virtual_now'):
        return hub.clock()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def sleep(seconds: float) -> None:
    """Suspend the current task.

    Args:
        seconds: Duration on the hub's clock; 0 lets other tasks run.
    """
    eventlet.sleep(seconds)


def wall_time() -> float:
    """Return the wall-clock time in seconds since the epoch, for records."""
    return time.time()
