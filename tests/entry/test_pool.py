"""Tests of a pool with its planner, on the virtual clock."""

import dataclasses
import itertools

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.entry import pool
from ivystep.runtime import clock, virtual_hub
from ivystep.setup import document
from tests.entry import pool_fakes


def test_retry_waits_for_a_report_newer_than_its_failure():
    """Guards against attempts that all fail on the same stale report."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, 'up-1', pool_fakes.ref('a'))
        clock.sleep(0.1)
        with eventlet.Timeout(0.2, exception=False):
            base_pool.place(pool_fakes.request('a'), frozenset({'up-1'}))
            pytest.fail('placed on the stale report')
        eventlet.spawn_after(0.3, link.report)
        placement = base_pool.place(
            pool_fakes.request('a'), frozenset({'up-1'})
        )
        return placement.upstream_id, round(clock.now(), 3)

    assert virtual_hub.run(scenario) == ('up-1', 0.6)


def test_finished_request_releases_its_capacity_before_the_next_report():
    """Guards against capacity held by requests that have ended."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        pool_fakes.FakeLink(
            base_pool, 'up-1', pool_fakes.ref('a'), batch_size=1
        )
        for _ in range(3):
            base_pool.finish(base_pool.place(pool_fakes.request('a')))
        return clock.now()

    assert virtual_hub.run(scenario) == 0


def test_request_for_one_software_version_holds_up_no_others():
    """Guards against a resumed stream that blocks new requests."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        pool_fakes.FakeLink(base_pool, 'up-1', pool_fakes.ref('a'))
        needy = dataclasses.replace(
            pool_fakes.request('a'), software_version='v1'
        )
        waiting = eventlet.spawn(pool_fakes.outcome, base_pool, needy)
        clock.sleep(0.1)
        placed = pool_fakes.outcome(base_pool, pool_fakes.request('a'))
        waiting.kill()
        return placed

    assert virtual_hub.run(scenario) == ('up-1', 0)


def spawn_outcomes(base_pool, requests):
    tasks = [
        eventlet.spawn(pool_fakes.outcome, base_pool, one) for one in requests
    ]
    return [task.wait() for task in tasks]


def test_requests_beyond_the_backlog_are_refused_at_once():
    """Guards against holding requests that cannot meet their deadline."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, slots=40, batch_size=40)
        eventlet.spawn(link.heartbeat)
        return spawn_outcomes(
            base_pool,
            [
                pool_fakes.request(f'a{number}', deadline_s=3.2)
                for number in range(12)
            ],
        )

    results = virtual_hub.run(scenario)
    refused = [wait for result, wait in results if result == 'overloaded']
    placed = [wait for result, wait in results if result == 'up-1']
    assert len(refused) + len(placed) == 12
    assert max(refused) <= 0.1
    assert 5 <= len(placed) <= 6
    assert max(placed) <= 3.2


def test_refusal_names_the_time_until_the_backlog_allows_a_repeat():
    """Guards against a Retry-After that is not computed from the backlog."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        pool_fakes.FakeLink(base_pool, slots=80, batch_size=80)
        for number in range(40):
            wanted = pool_fakes.request(f'a{number}', deadline_s=20.4)
            eventlet.spawn(pool_fakes.outcome, base_pool, wanted)
        clock.sleep(0.01)
        with pytest.raises(errors.RefusedError) as raised:
            base_pool.place(pool_fakes.request('late', deadline_s=5))
        return raised.value.retry_after_s

    # 40 loads of 0.5 s are ahead; its own takes 0.5 s; it can wait for 5 s.
    assert virtual_hub.run(scenario) == pytest.approx(15.5, abs=1)


def test_waiting_request_is_placed_after_the_last_upstream_returns():
    """Guards against a lost wake-up while a pool has no upstream."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool)
        base_pool.on_lost('up-1')
        task = eventlet.spawn(
            pool_fakes.outcome, base_pool, pool_fakes.request('a')
        )
        clock.sleep(5)
        link.report()
        return task.wait()

    assert virtual_hub.run(scenario) == ('up-1', 5.5)


@pytest.mark.parametrize('change', ['draining', 'silent', 'lost'])
def test_unavailable_upstream_gets_no_new_work(change):
    """Guards against work for a draining, silent or lost upstream."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, 'up-1', pool_fakes.ref('a'))
        if change == 'draining':
            link.is_draining = True
            link.report()
        elif change == 'lost':
            base_pool.on_lost('up-1')
        else:
            clock.sleep(4)
        return pool_fakes.outcome(
            base_pool, pool_fakes.request('a', deadline_s=5)
        )[0], link.orders

    assert virtual_hub.run(scenario) == ('overloaded', [])


def test_reports_out_of_order_are_ignored():
    """Guards against a late report that undoes a newer one."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, 'up-1', pool_fakes.ref('a'))
        early = link.status()
        link.is_draining = True
        link.report()
        base_pool.on_status(early, link)
        first = pool_fakes.outcome(
            base_pool, pool_fakes.request('a', deadline_s=1)
        )[0]
        former = link.status()
        link.is_draining = False
        link.incarnation = 'inc-2'
        link.sequence = 0
        link.report()
        link.sequence = 0
        base_pool.on_status(former, link)
        return first, pool_fakes.outcome(
            base_pool, pool_fakes.request('a', deadline_s=1)
        )[0]

    assert virtual_hub.run(scenario) == ('overloaded', 'up-1')


def test_failed_load_backs_off_and_lets_other_adapters_load():
    """Guards against a broken adapter that blocks the weight store."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool)
        link.failing_refs = {pool_fakes.ref('bad')}
        eventlet.spawn(link.heartbeat)
        bad = eventlet.spawn(
            pool_fakes.outcome,
            base_pool,
            pool_fakes.request('bad', deadline_s=20),
        )
        clock.sleep(0.1)
        good = pool_fakes.outcome(base_pool, pool_fakes.request('good'))
        bad.wait()
        return good, [
            at for at, one in link.orders if one.ref == pool_fakes.ref('bad')
        ]

    good, tried_at = virtual_hub.run(scenario)
    assert good == ('up-1', 0.9)
    pauses = [
        late - early - pool_fakes.LOAD_S
        for early, late in itertools.pairwise(tried_at)
    ]
    assert pauses[:4] == pytest.approx([1, 2, 4, 8], abs=0.6)


def test_hanging_load_does_not_block_the_next_one():
    """Guards against a load that never ends and stops all others."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, 'up-1')
        link.load = lambda *_: (
            clock.sleep(90)
            or types.LoadResult(False, 'link_failed', 'No answer.')
        )
        stuck = eventlet.spawn(
            pool_fakes.outcome,
            base_pool,
            pool_fakes.request('a', deadline_s=20),
        )
        clock.sleep(0.1)
        healthy = pool_fakes.FakeLink(base_pool, 'up-2')
        eventlet.spawn(healthy.heartbeat)
        return stuck.wait()

    result, wait = virtual_hub.run(scenario)
    assert result == 'up-2'
    assert wait < 6


def test_loads_continue_after_a_slow_one():
    """Guards against one slow load after which every request looks late."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool)
        eventlet.spawn(link.heartbeat)
        link.load_s = 60
        slow, _ = pool_fakes.outcome(
            base_pool, pool_fakes.request('slow', deadline_s=90)
        )
        link.load_s = pool_fakes.LOAD_S
        for _ in range(50):
            placed, _ = pool_fakes.outcome(
                base_pool, pool_fakes.request('next', deadline_s=2)
            )
            if placed == 'up-1':
                break
            clock.sleep(0.2)
        return slow, placed

    assert virtual_hub.run(scenario) == ('up-1', 'up-1')


def test_capacity_is_released_once_if_the_task_ends_as_it_is_placed():
    """Guards against capacity that leaks or is released twice."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool)
        task = eventlet.spawn(base_pool.place, pool_fakes.request('a'))
        clock.sleep(0.1)
        link.running = {pool_fakes.ref('a'): 0}
        link.report()
        assert base_pool.in_progress == 1
        task.kill()
        return base_pool.in_progress

    assert virtual_hub.run(scenario) == 0


def test_upstream_without_its_lease_does_not_delay_the_adapter():
    """Guards against back-off of an adapter that others can load."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        refusing = pool_fakes.FakeLink(base_pool, 'up-1')
        refusing.load = lambda order, version: types.LoadResult(
            False, 'not_owner', 'No lease so far.'
        )
        eventlet.spawn(refusing.heartbeat)
        eventlet.spawn(
            pool_fakes.FakeLink(base_pool, 'up-2', batch_size=8).heartbeat
        )
        return [
            pool_fakes.outcome(
                base_pool, pool_fakes.request(f'a{number}', deadline_s=4)
            )[0]
            for number in range(6)
        ]

    assert virtual_hub.run(scenario) == ['up-2'] * 6


def test_slow_requests_do_not_stop_all_loads():
    """Guards against a run time estimate that no request can correct."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, 'up-1', pool_fakes.ref('slow'))
        eventlet.spawn(link.heartbeat)
        for _ in range(8):
            placement = base_pool.place(
                pool_fakes.request('slow', deadline_s=60)
            )
            clock.sleep(20)
            base_pool.finish(placement)
        link.running.clear()
        link.report()
        return pool_fakes.outcome(
            base_pool, pool_fakes.request('next', deadline_s=2)
        )[0]

    assert virtual_hub.run(scenario) == 'up-1'


def test_scan_by_one_account_does_not_delay_the_others():
    """Guards against an account that takes the loads of the others."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(base_pool, slots=200, batch_size=1000)
        eventlet.spawn(link.heartbeat)

        def scan():
            for number in range(400):
                wanted = pool_fakes.request(f's{number}', account='scan')
                eventlet.spawn(pool_fakes.outcome, base_pool, wanted)
                clock.sleep(0.1)

        eventlet.spawn(scan)
        waits = []
        for number in range(12):
            clock.sleep(3)
            wanted = pool_fakes.request(
                f'a{number}', account=f'other-{number % 4}'
            )
            waits.append(pool_fakes.outcome(base_pool, wanted))
        return waits

    results = virtual_hub.run(scenario)
    # A wait covers the load in progress, the own load, and loads that were
    # ranked before the scan counted against its account.
    assert all(result == 'up-1' for result, _ in results)
    assert max(wait for _, wait in results[4:]) <= 3 * pool_fakes.LOAD_S


@pytest.mark.parametrize(
    'error', [errors.LinkError('no answer'), RuntimeError('a fault')]
)
def test_demand_is_reported_again_after_a_planner_failure(error):
    """Guards against demand that is lost with a failed report."""

    def scenario():
        failures = iter(range(3))

        class Unreliable:
            def report_demand(self, entry_id, demands):
                if next(failures, None) is not None:
                    raise error
                return base_pool.planner.report_demand(entry_id, demands)

        base_pool = pool.Pool('base', 'entry-1', lambda *_: Unreliable())
        base_pool.configure(
            document.Pool(name='base', loads_per_s=1 / pool_fakes.LOAD_S)
        )
        pool_fakes.FakeLink(base_pool)
        return pool_fakes.outcome(base_pool, pool_fakes.request('a'))

    assert virtual_hub.run(scenario) == ('up-1', 0.8)


def test_saturated_adapter_gets_a_second_copy():
    """Guards against a busy adapter that waits beside an idle upstream."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        links = [
            pool_fakes.FakeLink(base_pool, f'up-{number}', batch_size=2)
            for number in range(2)
        ]
        links[0].running = {pool_fakes.ref('a'): 2}
        for link in links:
            eventlet.spawn(link.heartbeat)
            link.report()
        return pool_fakes.outcome(base_pool, pool_fakes.request('a'))

    result, wait = virtual_hub.run(scenario)
    assert result == 'up-1'
    assert wait <= 2.5


def test_adapter_that_waits_for_room_does_not_block_the_loads():
    """Guards against one full batch that stops all loads."""

    def scenario():
        base_pool = pool_fakes.make_pool()
        link = pool_fakes.FakeLink(
            base_pool, 'up-1', pool_fakes.ref('a'), batch_size=1
        )
        eventlet.spawn(link.heartbeat)
        base_pool.place(pool_fakes.request('a'))
        eventlet.spawn(pool_fakes.outcome, base_pool, pool_fakes.request('a'))
        clock.sleep(2)
        eventlet.spawn(pool_fakes.outcome, base_pool, pool_fakes.request('b'))
        clock.sleep(1)
        return [order.ref for _, order in link.orders]

    assert virtual_hub.run(scenario) == [pool_fakes.ref('b')]


def test_forecast_counts_from_the_report_and_not_from_its_late_answer():
    """Guards against requests refused because a forecast arrived late."""

    class SlowSink:
        def report_demand(self, entry_id, demands):
            clock.sleep(3)
            return tuple(
                types.LoadForecast(demand.ref, 2.0, 1.0) for demand in demands
            )

    def scenario():
        sink = SlowSink()
        base_pool = pool.Pool('base', 'entry-1', lambda name, local: sink)
        pool_fakes.FakeLink(base_pool)
        wanted = dataclasses.replace(pool_fakes.request('a'), start_by=4.0)
        return pool_fakes.outcome(base_pool, wanted)

    # The adapter may be ready after 2 s, and the request can wait for 4 s.
    assert virtual_hub.run(scenario) == ('deadline_exceeded', 4)
