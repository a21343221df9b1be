"""Tests of the right to send orders across changes of the lease's holder."""

import eventlet
import pytest

from ivystep.coordination import lease
from ivystep.runtime import clock, virtual_hub
from ivystep.sidecar import ownership
from tests.coordination import fakes
from tests.entry import harness
from tests.sidecar import bench

LEASE_S = 15.0


def owner(rows, holder_id, *, checks_fencing):
    return ownership.LeaseOwner.from_table(
        rows, 'up-1', holder_id, LEASE_S, checks_fencing=checks_fencing
    )


def token_or_none(one):
    try:
        return one.token()
    except ownership.NotOwnerError:
        return None


@pytest.mark.parametrize('checks_fencing', [False, True])
def test_owner_orders_through_an_outage_only_if_fenced(checks_fencing):
    """Guards against orders without a lease or a fencing check."""

    def scenario():
        rows = harness.MemoryTable()
        first = owner(rows, 'inc-1', checks_fencing=checks_fencing)
        before = token_or_none(first)
        eventlet.spawn(first.hold)
        clock.sleep(1)
        held = token_or_none(first)
        rows.is_down = True
        clock.sleep(2 * LEASE_S)
        during = token_or_none(first)
        rows.is_down = False
        clock.sleep(2 * LEASE_S)
        return before, held, during, token_or_none(first)

    before, held, during, after = virtual_hub.run(scenario)
    assert before is None
    assert during == (held if checks_fencing else None)
    assert after > held


def test_next_owner_waits_and_has_a_higher_token():
    """Guards against two sidecars that may send orders at one time."""

    def scenario():
        rows = harness.MemoryTable()
        first = owner(rows, 'inc-1', checks_fencing=False)
        lease_task = eventlet.spawn(first.hold)
        clock.sleep(1)
        held = first.token()
        second = owner(rows, 'inc-2', checks_fencing=False)
        eventlet.spawn(second.hold)
        clock.sleep(3 * LEASE_S)
        while_kept = token_or_none(second)
        lease_task.kill()
        overlaps = 0
        for _ in range(40):
            clock.sleep(1)
            orders = (token_or_none(first), token_or_none(second))
            overlaps += None not in orders
        return held, while_kept, overlaps, second.token()

    held, while_kept, overlaps, later = virtual_hub.run(scenario)
    assert while_kept is None
    assert overlaps == 0
    assert later > held


def test_released_lease_is_free_at_once():
    """Guards against loads that wait for a lease to expire on a restart."""

    def scenario():
        rows = harness.MemoryTable()
        first = owner(rows, 'inc-1', checks_fencing=False)
        lease_task = eventlet.spawn(first.hold)
        clock.sleep(1)
        lease_task.kill()
        first.release()
        held = lease.Lease(rows, 'engine/up-1', 'inc-2', LEASE_S)
        started = clock.now()
        held.acquire()
        return clock.now() - started

    assert virtual_hub.run(scenario) < 1


def test_order_without_the_lease_is_not_sent():
    """Guards against evictions after the lease has expired."""
    sidecar_bench = bench.Bench()
    sidecar_bench.start(bench.REF)
    sidecar_bench.upstream_host.orders.owner = owner(
        harness.MemoryTable(), 'inc-1', checks_fencing=False
    )
    outcome = sidecar_bench.upstream_host.load(
        bench.order(bench.OTHER, bench.REF)
    )
    frames = sidecar_bench.run()
    sidecar_bench.stop()
    assert outcome.code == 'not_owner'
    assert set(sidecar_bench.engine.source_by_name) == {bench.REF.lora_name}
    assert not hasattr(frames[-1], 'ran')


def test_engine_that_checks_fencing_refuses_an_old_token():
    """Guards against orders after a newer owner has sent one."""
    sidecar_bench = bench.Bench()
    sidecar_bench.start()
    sidecar_bench.engine.highest_token = 5
    outcome = sidecar_bench.upstream_host.load(bench.order(bench.REF))
    sidecar_bench.stop()
    assert outcome.code == 'fenced'
    assert not sidecar_bench.upstream_host.residency.is_unsettled(bench.REF)


def test_silent_table_service_does_not_delay_the_exit():
    """Guards against a sidecar that the platform kills while it waits."""

    def scenario():
        rows = fakes.TableView(fakes.FakeTable())
        one = owner(rows, 'inc-1', checks_fencing=False)
        lease_task = eventlet.spawn(one.hold)
        clock.sleep(1)
        lease_task.kill()
        rows.planned.extend([fakes.Fault(fakes.Kind.DOWN, before_s=60)] * 9)
        started = clock.now()
        one.release()
        return clock.now() - started

    assert virtual_hub.run(scenario) <= ownership.RELEASE_TIMEOUT_S
