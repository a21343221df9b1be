"""Tests that quotas hold under faults, and are used where nothing fails."""

import hypothesis
import pytest
from hypothesis import strategies

from tests.quotas import simulation

SETTINGS = hypothesis.settings(
    max_examples=25, deadline=None, derandomize=True, database=None
)
WINDOW_S = simulation.WINDOW_S


@SETTINGS
@hypothesis.given(
    strategies.integers(0, 10_000),
    strategies.sampled_from((1, 3, 8)),
    strategies.sampled_from((0.0, 0.1, 0.4)),
    strategies.sampled_from((0.0, 0.2)),
    strategies.sampled_from((0.0, 0.3)),
)
def test_lost_late_and_repeated_messages_keep_the_bound(
    seed, hosts, loss, repeat, late
):
    """Guards against credit that is granted or returned twice."""
    run = simulation.Simulation(
        seed, hosts, simulation.limit(), loss=loss, repeat=repeat, late=late
    )
    run.run(6, 60_000)
    run.run(3, 0)
    run.run(8, 90_000, hosts=['host-0'])
    assert run.worst_excess() <= 0


@SETTINGS
@hypothesis.given(
    strategies.integers(0, 10_000),
    strategies.sampled_from(('freeze', 'restart', 'leave', 'join', 'cut')),
    strategies.sampled_from((0.3, 1.9, 2.5, 7.0)),
    strategies.sampled_from((0.0, 0.2)),
)
def test_hosts_that_come_and_go_keep_the_bound(seed, fault, seconds, loss):
    """Guards against hosts that spend what the leader grants to others."""
    run = simulation.Simulation(seed, 5, simulation.limit(), loss=loss)
    run.run(4, 60_000)
    host = run.hosts['host-1']
    if fault == 'freeze':
        host.frozen_until = run.now + seconds
    elif fault == 'cut':
        run.network.cut_hosts.add('host-1')
    elif fault == 'join':
        run.start_host('host-9')
    else:
        del run.hosts['host-1']
    if fault == 'restart':
        run.start_host('host-1')
    run.run(seconds, 60_000)
    run.network.cut_hosts.clear()
    run.run(10, 60_000)
    assert run.worst_excess() <= 0


@SETTINGS
@hypothesis.given(
    strategies.integers(0, 10_000),
    strategies.sampled_from((3.3, 5.0, 12.0)),
    strategies.sampled_from((0.0, 0.2)),
    strategies.booleans(),
    strategies.sampled_from((0.0, 0.4)),
)
def test_changes_of_leader_keep_the_bound(
    seed, gap_s, loss, is_cut, idle_before_s
):
    """Guards against a new leader that grants what hosts have spent."""
    run = simulation.Simulation(seed, 6, simulation.limit(), loss=loss)
    run.run(4, 70_000)
    run.run(idle_before_s, 0)
    run.ledger = None
    run.run(gap_s, 70_000)
    if is_cut:
        run.network.cut_hosts.update(('host-1', 'host-2'))
    run.start_term()
    run.run(9, 70_000)
    run.network.cut_hosts.clear()
    run.run(10, 70_000)
    assert run.worst_excess() <= 0
    recent = run.admitted_between(run.now - WINDOW_S, run.now)
    # A part of the credit is lost with messages.
    part = 0.5 if loss else 0.97
    assert recent >= part * WINDOW_S * run.limit.rate_per_s


@SETTINGS
@hypothesis.given(
    strategies.integers(0, 10_000),
    strategies.sampled_from((0.0, 0.2)),
    strategies.sampled_from((0.01, 0.3)),
)
def test_refunds_keep_the_bound(seed, loss, delay_s):
    """Guards against a refund that counts at the host and at the leader."""
    run = simulation.Simulation(seed, 4, simulation.limit(), loss=loss)
    refunded = []

    def refund_some(now):
        while len(refunded) < len(run.admitted):
            at, cost = run.admitted[len(refunded)]
            if at > now - delay_s:
                return
            refunded.append(at)
            if cost > 0 and run.rng.random() < 0.3:
                run.refund(run.rng.choice(list(run.hosts)), cost)

    run.run(16, 60_000, on_step=refund_some)
    assert run.worst_excess() <= 0


@pytest.mark.parametrize('hosts', [1, 4, 21, 43])
@pytest.mark.parametrize('is_spread', [True, False])
@pytest.mark.parametrize(
    ('rate_per_s', 'cost'), [(74_547, 2_000), (2_700, 1_500)]
)
def test_saturated_account_gets_its_limit(hosts, is_spread, rate_per_s, cost):
    """Guards against credit that lies unused at hosts."""
    limit = simulation.limit(rate_per_s, rate_per_s)
    run = simulation.Simulation(3, hosts, limit)
    used = None if is_spread else ['host-0']
    run.run(2, 0)
    run.run(20, 4 * rate_per_s, cost, used)
    assert run.worst_excess() <= 0
    for start in (4.0, 7.5, 13.5):
        admitted = run.admitted_between(start, start + WINDOW_S)
        assert admitted >= 0.97 * rate_per_s * WINDOW_S - 2 * cost


@pytest.mark.parametrize('is_spread', [True, False])
@pytest.mark.parametrize(
    ('rate_per_s', 'cost'), [(74_547, 2_000), (2_700, 300)]
)
def test_account_below_its_limit_is_not_refused(is_spread, rate_per_s, cost):
    """Guards against refusals while the limit is not reached."""
    limit = simulation.limit(rate_per_s, rate_per_s)
    run = simulation.Simulation(5, 21, limit)
    used = None if is_spread else ['host-0']
    run.run(2, 0)
    run.run(20, rate_per_s / 1.8, cost, used)
    assert len(run.refused) <= 0.005 * len(run.admitted)
