"""Tests of the leader's decisions over time, without a network."""

import math
import statistics

from tests.data_centres import simulation

EVEN = {'a': 80, 'b': 80, 'c': 80}
WARM_UP_S = 6


def even(name, now):
    return 80.0


def uneven(name, now):
    return 240.0 if name == 'a' else 80.0


def wave(name, now):
    """Demand that swings by 0.55 within 13 s, a quarter apart."""
    phase = 2 * math.pi * (now / 13 - 'abc'.index(name) / 4)
    return 500 * (1 + 0.55 * math.sin(phase))


def shares_of(simulated, source='a'):
    return simulated.planner.shares_from(source).get(simulation.SERVICE, {})


def crossings(sent):
    return sum(count for (name, place), count in sent.items() if name != place)


def test_nothing_leaves_while_demand_is_even():
    """Guards against shares that are taken from the noise of arrivals."""
    for seed in range(5):
        simulated = simulation.Simulation(EVEN, even, seed=seed)
        sent = simulated.run(40)
        assert crossings(sent) <= 0.002 * sent.total()


def test_hosts_keep_their_rule_while_demand_is_even():
    """Guards against deployments that get worse without a reason to change."""
    simulated = simulation.Simulation(EVEN, even)
    simulated.run(WARM_UP_S)
    assert not shares_of(simulated)


def test_nothing_leaves_over_an_expensive_crossing():
    """Guards against the rule of the hosts, which ignores what it costs."""
    simulated = simulation.Simulation(EVEN, even, price_s=0.2)
    simulated.run(WARM_UP_S)
    assert shares_of(simulated) == {'a': 1.0}


def test_shares_are_steady_at_twice_the_load():
    """Guards against hosts that all move at once and all return at once.

    43 hosts decide on the same news, which are up to half a second old.
    """
    for delay_steps in (1, 3):
        simulated = simulation.Simulation(
            EVEN, uneven, hosts=14, delay_steps=delay_steps
        )
        # The queue of the time before the first decision is served as well.
        simulated.run(4 * WARM_UP_S)
        simulated.away_by_name.clear()
        simulated.delay_by_name.clear()
        simulated.run(30)
        found = simulated.away_by_name['a']
        assert 0.3 < statistics.mean(found) < 0.5
        assert statistics.pstdev(found) < 0.1
        assert max(simulated.delay_by_name['a']) < 0.1
        assert statistics.mean(simulated.away_by_name['b']) < 0.01


def test_shares_follow_waves_of_demand():
    """Guards against the front of a wave that waits for a decision.

    All data centres together take the demand at any time, each alone does not.
    """
    capacity = dict.fromkeys(EVEN, 320)
    simulated = simulation.Simulation(capacity, wave)
    simulated.run(13)
    simulated.delay_by_name.clear()
    simulated.run(52)
    alone = simulation.Simulation(capacity, wave)
    alone.drawn = {name: [NoShares()] for name in capacity}
    alone.run(13)
    alone.delay_by_name.clear()
    alone.run(52)
    for name in capacity:
        waits = simulated.delay_by_name[name]
        assert statistics.mean(waits) < statistics.mean(
            alone.delay_by_name[name]
        )
        assert max(waits) < 0.3


class NoShares:
    """A host that keeps all requests in its data centre."""

    def choose(self, service, now):
        return ''

    def record(self, service, destination, now):
        """Record nothing."""

    def replace(self, told, now):
        """Use no shares."""


def test_requests_return_when_capacity_returns():
    """Guards against crossings that go on for no reason."""
    simulated = simulation.Simulation(EVEN, even)
    simulated.capacity_by_name['a'] = 0
    simulated.run(WARM_UP_S)
    simulated.away_by_name.clear()
    simulated.run(3)
    assert min(simulated.away_by_name['a']) == 1
    simulated.capacity_by_name['a'] = 80
    simulated.run(3)
    simulated.away_by_name.clear()
    simulated.run(10)
    assert statistics.mean(simulated.away_by_name['a']) < 0.01


def test_no_more_is_sent_to_a_data_centre_that_is_silent():
    """Guards against a data centre that seems idle because it is cut off."""
    simulated = simulation.Simulation(EVEN, even)
    simulated.run(WARM_UP_S)
    simulated.silent.add('b')
    simulated.run(1.2)
    simulated.per_s = uneven
    simulated.run(8)
    shares = shares_of(simulated)
    assert 'b' not in shares
    assert shares['c'] > 0.1


def test_new_leader_decides_nothing_before_it_has_heard_from_the_hosts():
    """Guards against data centres that seem idle to a new leader."""
    simulated = simulation.Simulation(EVEN, uneven)
    for _ in range(13):
        simulated.step()
        assert not shares_of(simulated)
    simulated.run(WARM_UP_S)
    assert shares_of(simulated)
    simulated.now += 5
    simulated.step()
    assert not shares_of(simulated)


def test_one_data_centre_needs_no_decision():
    """Guards against work in deployments that have no choice."""
    simulated = simulation.Simulation({'a': 80}, lambda name, now: 300.0)
    simulated.run(WARM_UP_S)
    assert not shares_of(simulated)
    assert not simulated.events


def test_decision_is_logged_with_its_inputs():
    """Guards against crossings that nobody can explain."""
    simulated = simulation.Simulation(
        EVEN, uneven, trips={('a', 'a'): 0.001, ('a', 'b'): 0.005}
    )
    simulated.run(20)
    first = simulated.events[0]
    assert (first.source, first.service) == ('a', simulation.SERVICE)
    assert first.shares.startswith('a=0.')
    assert first.capacity == 'a=80,b=80,c=80'
    assert first.crossing_ms.startswith('b=4.0')
    # A log line is written for a clear change only.
    assert len(simulated.events) < 20
