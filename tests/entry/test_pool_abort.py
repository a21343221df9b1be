"""Interrupted waits in a pool."""

import eventlet
from eventlet import hubs

from ivystep.entry import progress
from ivystep.runtime import clock, virtual_hub
from tests.entry import test_pool


def test_room_is_given_back_when_a_wait_is_interrupted_as_it_ends():
    """Guards against room lost to a caller who leaves while being placed."""

    def main():
        target = test_pool.make_pool()
        test_pool.FakeLink(target, 'up-1', test_pool.ref('a'), room=1)
        first = target.place(test_pool.request('a'))
        waiting = eventlet.spawn(target.place, test_pool.request('a'))
        clock.sleep(0.1)
        # The interruption is due just before the task would wake up placed.
        left = progress.AbortedError('gone', 'The caller left.', status=499)
        hubs.get_hub().schedule_call_global(0, waiting.throw, left)
        target.finish(first)
        clock.sleep(0.1)
        return test_pool.outcome(target, test_pool.request('a', deadline_s=5))

    assert virtual_hub.run(main) == ('up-1', 0)
