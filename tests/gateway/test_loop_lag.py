"""Tests of the measurement of a late event loop, on the virtual clock."""

import eventlet
from eventlet import hubs

from ivystep.gateway import event_metrics, loop_lag
from ivystep.metrics import registry
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes


@clocks.on_virtual_clock
def test_long_stall_of_the_loop_is_logged():
    """Guards against late reads whose cause the log does not show."""
    log = fakes.FakeLog()
    recorder = event_metrics.EventMetrics(registry.Metrics())
    task = eventlet.spawn(loop_lag.measure, recorder, log)
    clock.sleep(1.0)
    assert not log.events
    hubs.get_hub().virtual_now += 0.5
    clock.sleep(0.3)
    task.kill()
    assert [event.name for event in log.events] == ['loop_stalled']
    assert log.events[0].lag_ms >= 250
