"""Ownership of the engine while leases come and go, on the virtual clock."""

import pytest

from ivystep.coordination import lease
from ivystep.runtime import clock, virtual_hub
from ivystep.sidecar import ownership
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
    """Guards against orders that no fencing token can stop."""

    def main():
        rows = harness.MemoryTable()
        first = owner(rows, 'inc-1', checks_fencing=checks_fencing)
        before = token_or_none(first)
        first.start()
        clock.sleep(1)
        held = token_or_none(first)
        rows.is_out = True
        clock.sleep(2 * LEASE_S)
        during = token_or_none(first)
        rows.is_out = False
        clock.sleep(2 * LEASE_S)
        return before, held, during, token_or_none(first)

    before, held, during, after = virtual_hub.run(main)
    assert before is None
    assert during == (held if checks_fencing else None)
    assert after > held


def test_next_owner_waits_and_has_a_higher_token():
    """Guards against two sidecars that order one engine at a time."""

    def main():
        rows = harness.MemoryTable()
        first = owner(rows, 'inc-1', checks_fencing=False)
        lease_task = first.start()
        clock.sleep(1)
        held = first.token()
        second = owner(rows, 'inc-2', checks_fencing=False)
        second.start()
        clock.sleep(3 * LEASE_S)
        while_kept = token_or_none(second)
        lease_task.kill()
        overlaps = 0
        for _ in range(40):
            clock.sleep(1)
            orders = (token_or_none(first), token_or_none(second))
            overlaps += None not in orders
        return held, while_kept, overlaps, second.token()

    held, while_kept, overlaps, later = virtual_hub.run(main)
    assert while_kept is None
    assert overlaps == 0
    assert later > held


def test_released_lease_is_free_at_once():
    """Guards against a planned restart that stops loads for a lease time."""

    def main():
        rows = harness.MemoryTable()
        first = owner(rows, 'inc-1', checks_fencing=False)
        lease_task = first.start()
        clock.sleep(1)
        lease_task.kill()
        first.release()
        held = lease.Lease(rows, 'engine/up-1', 'inc-2', LEASE_S)
        started = clock.now()
        held.acquire()
        return clock.now() - started

    assert virtual_hub.run(main) < 1


def test_order_without_the_lease_is_not_sent():
    """Guards against a lapsed owner that still evicts."""
    made = bench.Bench()
    made.start(bench.REF)
    made.upstream_host.orders.owner = owner(
        harness.MemoryTable(), 'inc-1', checks_fencing=False
    )
    outcome = made.upstream_host.load(bench.order(bench.OTHER, bench.REF))
    frames = made.run()
    made.stop()
    assert outcome.code == 'not_owner'
    assert set(made.engine.source_by_name) == {bench.REF.lora_name}
    assert not hasattr(frames[-1], 'ran')


def test_engine_that_checks_fencing_refuses_an_old_token():
    """Guards against carrying on after a newer owner has given an order."""
    made = bench.Bench()
    made.start()
    made.engine.highest_token = 5
    outcome = made.upstream_host.load(bench.order(bench.REF))
    made.stop()
    assert outcome.code == 'fenced'
    assert not made.upstream_host.residency.is_unsettled(bench.REF)
