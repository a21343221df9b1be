"""Tests of interrupted waits in a pool."""

import eventlet
from eventlet import hubs

from ivystep.entry import progress
from ivystep.runtime import clock, virtual_hub
from tests.entry import pool_fakes


def test_capacity_is_released_when_a_wait_is_interrupted_as_it_ends():
    """Guards against capacity leaked by a caller who leaves when placed."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        pool_fakes.FakeLink(
            base_pool, 'up-1', pool_fakes.ref('a'), batch_size=1
        )
        first = base_pool.place(pool_fakes.request('a'))
        waiting = eventlet.spawn(base_pool.place, pool_fakes.request('a'))
        clock.sleep(0.1)
        # The interruption is due just before the task would resume as placed.
        left = progress.AbortedError('gone', 'The caller left.', status=499)
        hubs.get_hub().schedule_call_global(0, waiting.throw, left)
        base_pool.finish(first)
        clock.sleep(0.1)
        return pool_fakes.outcome(
            base_pool, pool_fakes.request('a', deadline_s=5)
        )

    assert virtual_hub.run(scenario) == ('up-1', 0)
