"""Tests of the pool with its planner on the virtual clock."""

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.entry import pool
from ivystep.runtime import clock, virtual_hub
from ivystep.setup import document

LOAD_S = 0.5


def ref(name, account='soil'):
    return types.AdapterRef(account, name, 1)


class FakeLink:
    """An upstream that reports at once and takes 0.5 s for a load."""

    def __init__(self, target, upstream_id='up-1', *held, slots=2, room=4):
        self.target = target
        self.upstream_id = upstream_id
        self.slots = slots
        self.room = room
        self.running = dict.fromkeys(held, 0)
        self.sequence = 0
        self.orders = []
        self.failing = set()
        self.is_draining = False
        self.incarnation = 'inc-1'
        self.report()

    def report(self):
        self.target.on_status(self.status(), self)

    def status(self):
        self.sequence += 1
        return types.UpstreamStatus(
            upstream_id=self.upstream_id,
            sidecar_incarnation=self.incarnation,
            engine_incarnation='1',
            sequence=self.sequence,
            healthy=True,
            draining=self.is_draining,
            running=sum(self.running.values()),
            slots=self.slots,
            max_running=self.room,
            resident_by_ref={
                held: types.ResidentAdapter(held, count)
                for held, count in self.running.items()
            },
            loading=None,
            setup_version=1,
            crash_fingerprints=(),
        )

    def heartbeat(self):
        while True:
            clock.sleep(1)
            self.report()

    def load(self, order, setup_version):
        self.orders.append((clock.now(), order))
        assert not any(self.running.get(victim) for victim in order.evict)
        for victim in order.evict:
            del self.running[victim]
        self.report()
        clock.sleep(LOAD_S)
        if order.ref in self.failing:
            return types.LoadResult(False, 'load_failed', 'No weights.')
        self.running[order.ref] = 0
        self.report()
        return types.LoadResult(True, 'loaded', '')


def make_pool():
    made = pool.Pool('base', 'entry-1')
    made.configure(document.Pool(name='base', loads_per_s=1 / LOAD_S))
    return made


def request(name, *, account='soil', deadline_s=30, adapter=True):
    now = clock.now()
    return types.Request(
        request_id=f'{account}-{name}-{now}',
        account=account,
        application='plans',
        pool='base',
        adapter=ref(name, account) if adapter else None,
        adapter_source='weights',
        path='/v1/completions',
        body=b'{}',
        stream=False,
        idempotent=True,
        arrived=now,
        deadline=now + deadline_s,
        fingerprint=b'',
        setup_version=1,
    )


def outcome(target, wanted):
    """Place a request; return the upstream or the code, and the wait."""
    started = clock.now()
    try:
        result = target.place(wanted).upstream_id
    except errors.RefusedError as error:
        result = error.code
    return result, round(clock.now() - started, 3)


def test_retry_waits_for_a_report_newer_than_its_failure():
    """Guards against attempts that all fail on the same stale report."""

    def main():
        target = make_pool()
        link = FakeLink(target, 'up-1', ref('a'))
        clock.sleep(0.1)
        with eventlet.Timeout(0.2, exception=False):
            target.place(request('a'), frozenset({'up-1'}))
            pytest.fail('placed on the stale report')
        eventlet.spawn_after(0.3, link.report)
        placement = target.place(request('a'), frozenset({'up-1'}))
        return placement.upstream_id, round(clock.now(), 3)

    assert virtual_hub.run(main) == ('up-1', 0.6)


def test_finished_request_gives_its_room_back_before_the_next_report():
    """Guards against room that is held by requests that have ended."""

    def main():
        target = make_pool()
        FakeLink(target, 'up-1', ref('a'), room=1)
        for _ in range(3):
            target.finish(target.place(request('a')))
        return clock.now()

    assert virtual_hub.run(main) == 0
