"""Tests of the virtual clock."""

import eventlet

from ivystep.runtime import clock, virtual_hub


def test_sleep_advances_the_clock_without_waiting():
    """Guards against measurements that would wait on the wall clock."""

    def main():
        started = clock.now()
        woken = []
        eventlet.spawn_after(1800, woken.append, 'early')
        clock.sleep(3600)
        return clock.now() - started, woken

    assert virtual_hub.run(main) == (3600, ['early'])


def test_simultaneous_timers_run_in_order():
    """Guards against runs that one seed does not repeat."""

    def main():
        woken = []
        # Timers that are dropped at once leave their addresses in any order.
        for number in range(1000):
            eventlet.spawn_after(5, woken.append, number)
            eventlet.spawn_after(1, woken.append, number).cancel()
        clock.sleep(10)
        return woken

    assert virtual_hub.run(main) == list(range(1000))
