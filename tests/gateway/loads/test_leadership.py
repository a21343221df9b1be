"""Tests of the election of the leader, on the virtual clock."""

import dataclasses

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.loads import leadership, prefill_queues, residency_updates
from ivystep.prefill import prefill_rates
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes

TIMINGS = leadership.LeadershipTimings(lease_s=3.0, handover_delay_s=3.3)


class Host:
    """One host that takes part in the election."""

    def __init__(
        self, shared, name, acquire_delay_s=0.0, address=('127.0.0.1', 1)
    ):
        self.rows = clocks.TableView(shared)
        self.log = fakes.FakeLog()
        self.activated = []
        self.leadership = leadership.Leadership(
            self.rows,
            name,
            address,
            dataclasses.replace(TIMINGS, acquire_delay_s=acquire_delay_s),
            updates=residency_updates.ResidencyUpdates(
                name,
                lambda published: None,
                dict,
                lambda running: None,
                lambda hosts: None,
                lambda: True,
                fakes.heartbeat_contents(),
            ),
            on_active=lambda: self.activated.append(clock.now()),
            queues=prefill_queues.PrefillQueues(prefill_rates.PrefillRates()),
            log=self.log,
        )
        self.task = eventlet.spawn(self.leadership.run)

    @property
    def may_send_orders(self):
        return self.leadership.authority() is not None


def wait_until(condition, timeout_s=30):
    deadline = clock.now() + timeout_s
    while not condition():
        assert clock.now() < deadline
        clock.sleep(0.05)


@clocks.on_virtual_clock
def test_first_leader_may_send_orders_at_once():
    """Guards against a start without loads."""
    host = Host(clocks.FakeTable(), 'host-1')
    clock.sleep(0.1)
    assert host.may_send_orders
    assert host.leadership.authority().token == 1


@clocks.on_virtual_clock
def test_next_leader_waits_until_earlier_orders_have_expired():
    """Guards against orders of two hosts that alternate on one engine."""
    shared = clocks.FakeTable()
    first = Host(shared, 'host-1')
    clock.sleep(1)
    second = Host(shared, 'host-2')
    clock.sleep(5)
    assert first.may_send_orders
    assert not second.may_send_orders
    first.task.kill()
    first.leadership.release()
    released = clock.now()
    assert not first.may_send_orders
    wait_until(lambda: second.may_send_orders)
    assert clock.now() - released >= TIMINGS.handover_delay_s
    assert second.leadership.authority().token > 1


@clocks.on_virtual_clock
def test_two_hosts_never_send_orders_at_once_when_one_loses_the_store():
    """Guards against a leader that continues without its lease."""
    shared = clocks.FakeTable()
    first = Host(shared, 'host-1')
    clock.sleep(0.5)
    second = Host(shared, 'host-2')
    clock.sleep(0.5)
    first.rows.planned.extend([clocks.Fault(clocks.Kind.DOWN)] * 200)
    ended = None
    for _ in range(600):
        assert not (first.may_send_orders and second.may_send_orders)
        if ended is None and not first.may_send_orders:
            ended = clock.now()
        if second.may_send_orders:
            break
        clock.sleep(0.05)
    assert second.may_send_orders
    assert clock.now() - ended >= TIMINGS.handover_delay_s


@clocks.on_virtual_clock
def test_restarted_leader_acquires_its_own_lease_at_once():
    """Guards against seconds without loads after a restart."""
    shared = clocks.FakeTable()
    first = Host(shared, 'host-1')
    clock.sleep(0.5)
    first.task.kill()
    again = Host(shared, 'host-1')
    clock.sleep(0.1)
    assert again.may_send_orders
    assert again.leadership.authority().token == 2


@clocks.on_virtual_clock
def test_leader_that_lost_its_lease_in_an_outage_acquires_it_again_at_once():
    """Guards against seconds without loads after each outage of the store,
    if the same host is the leader before and after it.
    """
    shared = clocks.FakeTable()
    first = Host(shared, 'host-1')
    clock.sleep(0.5)
    first.task.kill()
    first.leadership.release()
    second = Host(shared, 'host-2')
    wait_until(lambda: second.may_send_orders)
    second.rows.planned.extend([clocks.Fault(clocks.Kind.DOWN)] * 20)
    wait_until(lambda: not second.may_send_orders)
    wait_until(lambda: second.leadership.is_leader)
    clock.sleep(0.1)
    assert second.may_send_orders


def test_demand_is_refused_while_no_leader_is_known():
    """Guards against demand that is lost during a change of leader."""

    @clocks.on_virtual_clock
    def play():
        shared = clocks.FakeTable()
        Host(shared, 'host-1')
        clock.sleep(0.5)
        other = Host(shared, 'host-2')
        other.rows.planned.extend([clocks.Fault(clocks.Kind.DOWN)] * 50)
        sink = other.leadership.sink('llm/m', None)
        with pytest.raises(errors.LinkError):
            sink.report_demand('host-2', ())

    play()


@clocks.on_virtual_clock
def test_host_that_drains_does_not_become_the_leader():
    """Guards against a leader that exits within seconds."""
    shared = clocks.FakeTable()
    leader = Host(shared, 'host-1')
    clock.sleep(0.1)
    draining = Host(shared, 'host-2')
    clock.sleep(0.5)
    draining.leadership.release()
    leader.leadership.release()
    for _ in range(100):
        clock.sleep(0.1)
        assert not draining.may_send_orders
    other = Host(shared, 'host-3')
    wait_until(lambda: other.leadership.is_leader, timeout_s=1)


@clocks.on_virtual_clock
def test_leader_that_drains_does_not_acquire_the_lease_again():
    """Guards against a leader that exits within seconds."""
    shared = clocks.FakeTable()
    leader = Host(shared, 'host-1')
    clock.sleep(0.1)
    leader.leadership.release()
    clock.sleep(10)
    assert not leader.leadership.is_leader
    # The requests that it still has need the next leader.
    Host(shared, 'host-2')
    wait_until(lambda: leader.leadership.holder == 'host-2', timeout_s=2)


@clocks.on_virtual_clock
def test_strong_host_becomes_the_leader():
    """Guards against a leader whose host cannot bear its work."""
    shared = clocks.FakeTable()
    weak = Host(shared, 'host-1', acquire_delay_s=0.26)
    strong = Host(shared, 'host-2', acquire_delay_s=0.05)
    clock.sleep(0.5)
    assert strong.may_send_orders
    assert not weak.may_send_orders
    strong.task.kill()
    strong.leadership.release()
    wait_until(lambda: weak.may_send_orders)


@clocks.on_virtual_clock
def test_host_that_starts_after_a_restoration_waits_for_orders_of_another():
    """Guards against two hosts that give orders with one fence number, or by
    turns: the copy names the host that starts, which led before the other one.
    """
    shared = clocks.FakeTable()
    first = Host(shared, 'host-1')
    clock.sleep(0.1)
    copied = dict(shared.row_by_key)
    first.task.kill()
    first.leadership.release()
    second = Host(shared, 'host-2')
    wait_until(lambda: second.may_send_orders)
    second_token = second.leadership.authority().token
    shared.restore(copied)
    restored = clock.now()
    # The host that led when the store was restored does not go on.
    second.task.kill()
    again = Host(shared, 'host-1')
    wait_until(lambda: again.may_send_orders)
    assert again.leadership.authority().token > second_token
    assert clock.now() - restored >= TIMINGS.lease_s + TIMINGS.handover_delay_s


@clocks.on_virtual_clock
def test_leader_goes_on_after_a_restoration_without_a_handover():
    """Guards against seconds without loads after each drill of the store."""
    shared = clocks.FakeTable()
    leader = Host(shared, 'host-1')
    clock.sleep(0.1)
    copied = dict(shared.row_by_key)
    clock.sleep(5)
    token = leader.leadership.authority().token
    shared.restore(copied)
    wait_until(lambda: leader.leadership.term > token, timeout_s=2)
    clock.sleep(0.01)
    assert leader.may_send_orders
