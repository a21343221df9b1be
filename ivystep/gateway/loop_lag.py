"""Measures by how much the timers of the event loop are late.

A late loop reads arrived bytes late as well, such as the end of a caller's
connection.
"""

from ivystep.core import units
from ivystep.gateway import event_metrics, events
from ivystep.runtime import clock, event_log

INTERVAL_S = 0.25
# Lag from which a log line is written.
STALL_S = 0.2


def measure(
    metrics: event_metrics.EventMetrics, log: event_log.EventLog
) -> None:
    """Record the lag until the task is killed.

    Args:
        metrics: Publishes the distribution of the lag.
        log: Records each long lag.
    """
    while True:
        due = clock.now() + INTERVAL_S
        clock.sleep(INTERVAL_S)
        lag_s = max(clock.now() - due, 0.0)
        metrics.timer_lag_s.observe({}, lag_s)
        if lag_s >= STALL_S:
            log.write(events.LoopStalled(int(lag_s * units.MS_PER_S)))
