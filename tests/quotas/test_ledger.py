"""Tests of the leader's ledger together with the credit of hosts."""

import pytest

from ivystep.quotas import host_accounts, reports
from tests.quotas import simulation

ACCOUNT = simulation.ACCOUNT


def test_lowered_limit_applies_within_a_second():
    """Guards against hosts that go on to spend credit of the old limit."""
    run = simulation.Simulation(1, 5, simulation.limit(20_000, 40_000))
    run.run(3, 10_000)
    run.limit = simulation.limit(2_000, 2_000)
    run.ledger.apply_limits(run.now)
    for host in run.hosts.values():
        host.credit.void_account(ACCOUNT)
    run.run(1, 10_000)
    run.admitted.clear()
    run.run(20, 20_000)
    assert run.worst_excess() <= 0
    assert run.admitted_between(0, run.now) >= 0.9 * 20 * 2_000


def test_removed_limit_does_not_bind():
    """Guards against refusals by a limit that is not in force any more."""
    run = simulation.Simulation(1, 3, simulation.limit(1_000, 1_000))
    run.run(3, 5_000)
    run.ledger._limit_of = lambda account: None
    run.ledger.apply_limits(run.now)
    run.run(1, 5_000)
    run.refused.clear()
    run.run(5, 5_000)
    assert not run.refused


def test_limit_that_returns_starts_without_debts():
    """Guards against totals of before the removal that count again."""
    run = simulation.Simulation(1, 3, simulation.limit(5_000, 5_000))
    run.run(3, 10_000)
    limit_of = run.ledger._limit_of
    run.ledger._limit_of = lambda account: None
    run.ledger.apply_limits(run.now)
    run.ledger._limit_of = limit_of
    run.run(1, 10_000)
    run.admitted.clear()
    run.run(16, 20_000)
    assert run.worst_excess() <= 0
    assert run.admitted_between(0, run.now) >= 0.95 * 16 * 5_000


@pytest.mark.parametrize('hosts', [1, 6])
def test_account_is_served_soon_after_all_hosts_have_restarted(hosts):
    """Guards against a leader that waits for shares of hosts that ended."""
    run = simulation.Simulation(2, hosts, simulation.limit())
    run.run(5, 10_000)
    run.ledger = None
    for name in list(run.hosts):
        run.start_host(name)
    run.run(3.3, 10_000)
    run.start_term()
    run.run(1.5, 10_000)
    run.refused.clear()
    run.run(4, 10_000)
    assert not run.refused
    assert run.worst_excess() <= 0


def test_bucket_of_an_unused_account_is_full_after_the_first_window():
    """Guards against refusals of an account that was quiet."""
    run = simulation.Simulation(2, 4, simulation.limit(1_000, 10_000))
    run.ledger = None
    run.run(3.3, 0)
    run.start_term()
    run.run(9, 0)
    waiter = run.hosts['host-0'].request(9_500, run.now)
    run.run(0.1, 0)
    assert waiter.decision is host_accounts.Decision.ADMITTED


def test_hosts_serve_with_their_shares_without_a_leader():
    """Guards against an outage of all accounts while no leader is known."""
    run = simulation.Simulation(2, 4, simulation.limit())
    run.run(4, 10_000)
    run.ledger = None
    run.run(2.5, 0)
    run.admitted.clear()
    run.run(4, 30_000)
    served = run.admitted_between(0, run.now)
    assert 0.7 * 4 * 20_000 <= served <= 5 * 20_000
    run.run(3, 0)
    run.admitted.clear()
    run.run(2, 30_000)
    assert not run.admitted


def test_host_that_never_had_contact_waits_and_refuses():
    """Guards against a host that serves without any limit."""
    run = simulation.Simulation(2, 1, simulation.limit())
    run.ledger = None
    waiter = run.hosts['host-0'].request(1, 0.01)
    assert waiter.decision is host_accounts.Decision.WAIT
    run.run(0.2, 0)
    assert waiter.decision is host_accounts.Decision.REFUSED
    assert waiter.retry_after_s == host_accounts.UNKNOWN_RETRY_S


def test_request_is_admitted_after_its_retry_after():
    """Guards against callers that are told to come back too early."""
    run = simulation.Simulation(2, 4, simulation.limit(1_000, 2_000))
    run.run(2, 0)
    host = run.hosts['host-1']
    host.request(2_000, run.now)
    run.run(0.05, 0)
    refused = host.request(1_500, run.now)
    run.run(0.06, 0)
    assert refused.decision is host_accounts.Decision.REFUSED
    assert 1.3 <= refused.retry_after_s <= 1.6
    run.run(refused.retry_after_s - 0.05, 0)
    repeated = host.request(1_500, run.now)
    run.run(0.06, 0)
    assert repeated.decision is host_accounts.Decision.ADMITTED


def test_account_over_its_limit_is_refused_without_asking():
    """Guards against a message to the leader for each refused request."""
    run = simulation.Simulation(2, 1, simulation.limit(1_000, 1_000))
    run.run(1, 0)
    run.run(2, 50_000, 500)
    asked = run.reports
    run.run(2, 200_000, 500)
    assert run.reports - asked <= 2 * 15


def test_idle_account_costs_nothing():
    """Guards against state and reports for accounts without requests."""
    run = simulation.Simulation(2, 2, simulation.limit())
    run.run(2, 10_000)
    run.run(5, 0)
    credit = run.hosts['host-0'].credit
    assert not credit.is_active
    assert not credit.report(run.now).accounts
    run.run(20, 0)
    assert run.ledger.level(ACCOUNT) is None


def test_report_of_an_earlier_incarnation_changes_nothing():
    """Guards against a late report that is applied to a new incarnation."""
    run = simulation.Simulation(2, 1, simulation.limit())
    run.run(1, 0)
    late = reports.HostReport(
        'host-0', 1, 99, 98, 1, 0.5, 1, (reports.AccountReport(ACCOUNT, 500),)
    )
    grants = run.ledger.answer(late, run.now)
    assert not grants.accounts
    assert grants.incarnation > 1
