"""Property test of a pool whose upstreams fail at random."""

import dataclasses
import random

import eventlet
import hypothesis
from eventlet import semaphore
from hypothesis import strategies

from ivystep.core import types
from ivystep.runtime import clock, virtual_hub
from tests.entry import pool_fakes


class ChaoticLink(pool_fakes.FakeLink):
    """An upstream whose reports are lost, repeated, late or reordered."""

    def __init__(self, pools, upstream_id, rng):
        self.pools = pools
        self.rng = rng
        self.load_lock = semaphore.Semaphore(1)
        self.failing_refs = set()
        super().__init__(pools[0], upstream_id, slots=2, batch_size=3)

    def report(self):
        status = self.status()
        for base_pool in self.pools:
            if self.rng.random() < 0.1:
                base_pool.on_lost(self.upstream_id)
            for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
                delay_s = self.rng.random() * 0.3
                eventlet.spawn_after(delay_s, base_pool.on_status, status, self)

    def load(self, order, setup_version):
        # As in a sidecar, one load runs at a time, and none evicts an adapter
        # in use.
        with self.load_lock:
            if order.ref in self.running:
                return types.LoadResult(True, 'resident', '')
            if any(self.running.get(victim) for victim in order.evict):
                return types.LoadResult(False, 'adapter_in_use', '')
            for victim in order.evict:
                self.running.pop(victim, None)
            is_full = len(self.running) >= self.slots
            if is_full or self.rng.random() < 0.1:
                return types.LoadResult(False, 'load_failed', '')
            return super().load(
                dataclasses.replace(order, evict=()), setup_version
            )

    def run(self, placement):
        adapter = placement.request.adapter
        if adapter in self.running:
            self.running[adapter] += 1
            clock.sleep(self.rng.random() * 2)
            self.running[adapter] -= 1
            self.report()


@hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_every_request_ends_whatever_happens(seed):
    """Guards against lost wake-ups and leaked capacity.

    Two planners are active at once; reports are lost, repeated and late,
    upstreams disappear and return, and loads fail. ``ChaoticLink.load`` refuses
    to evict an adapter in use, as a sidecar does.
    """

    def main():
        rng = random.Random(seed)
        pools = [pool_fakes.make_pool(), pool_fakes.make_pool()]
        links = [ChaoticLink(pools, f'up-{number}', rng) for number in range(3)]
        for link in links:
            eventlet.spawn(link.heartbeat)
        tasks = []
        for _ in range(60):
            clock.sleep(rng.random() * 0.4)
            wanted = pool_fakes.request(f'a{rng.randrange(12)}', deadline_s=8)
            tasks.append(
                eventlet.spawn(pool_fakes.run, rng.choice(pools), wanted)
            )
        waits = [task.wait() for task in tasks]
        return waits, [base_pool.in_progress for base_pool in pools]

    waits, sent = virtual_hub.run(main)
    assert max(waits) <= 8.1
    assert sent == [0, 0]
