"""Tests of the hub with a virtual clock."""

import eventlet

from ivystep.runtime import clock, virtual_hub


def test_sleep_advances_the_clock_without_waiting():
    """Guards against measurements that take wall-clock time."""

    def scenario():
        started = clock.now()
        woken = []
        eventlet.spawn_after(1800, woken.append, 'early')
        clock.sleep(3600)
        return clock.now() - started, woken

    assert virtual_hub.run(scenario) == (3600, ['early'])


def test_timers_due_at_the_same_time_run_in_the_order_of_setting():
    """Guards against runs that differ although they have the same seed."""

    def scenario():
        woken = []
        # Cancelled timers free their memory, so that later timers are not
        # allocated at ascending addresses.
        for number in range(1000):
            eventlet.spawn_after(5, woken.append, number)
            eventlet.spawn_after(1, woken.append, number).cancel()
        clock.sleep(10)
        return woken

    assert virtual_hub.run(scenario) == list(range(1000))
