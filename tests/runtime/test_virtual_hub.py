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
