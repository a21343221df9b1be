"""Tests of the leader's decisions over time, without a network."""

import collections
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


class NoShares:
    """A host that keeps all requests in its data centre."""

    def __init__(self, simulated, source):
        self.simulated = simulated
        self.source = source

    def choose(self, service, now):
        return ''

    def record(self, service, destination, now):
        """Record nothing."""

    def replace(self, told, now):
        """Use no shares."""


class HostRule(NoShares):
    """A host that decides alone, by the last report and its own requests."""

    def __init__(self, simulated, source):
        super().__init__(simulated, source)
        self._at = 0
        self._own = collections.Counter()

    def choose(self, service, now):
        if now > self._at:
            self._at = now
            self._own.clear()
        return min(self.simulated.capacity_by_name, key=self._cost)

    def record(self, service, destination, now):
        self._own[destination] += 1

    def _cost(self, name):
        running = self.simulated.in_progress[name] + self._own[name]
        fill = running / self.simulated.capacity_by_name[name]
        return fill + 0.05 * (name != self.source)


def play(per_s, host=None, capacity=320):
    """Return the share of crossings, and the waits, after 13 s of warm-up."""
    capacity_by_name = dict.fromkeys('abc', capacity)
    simulated = simulation.Simulation(capacity_by_name, per_s)
    if host is not None:
        simulated.drawn = {
            name: [host(simulated, name) for _ in range(14)]
            for name in capacity_by_name
        }
    simulated.run(13)
    simulated.delay_by_name.clear()
    sent = simulated.run(52)
    waits = [
        wait for found in simulated.delay_by_name.values() for wait in found
    ]
    return crossings(sent) / sent.total(), statistics.mean(waits), max(waits)


def test_shares_follow_waves_of_demand():
    """Guards against the front of a wave that waits for a decision.

    All data centres together take the demand at any time, each alone does not.
    """
    sent, mean_s, longest_s = play(wave)
    _, alone_s, _ = play(wave, NoShares)
    assert mean_s < alone_s / 10
    assert longest_s < 0.15
    # Decisions of each host on the same news cross far more often.
    by_hosts, _, _ = play(wave, HostRule)
    assert sent < by_hosts / 2


def test_little_leaves_in_waves_that_are_a_second_apart():
    """Guards against crossings where all data centres swing nearly alike."""

    def close_wave(name, now):
        phase = 2 * math.pi * (now - 'abc'.index(name)) / 13
        return 420 * (1 + 0.55 * math.sin(phase))

    sent, mean_s, _ = play(close_wave)
    by_hosts, by_hosts_s, _ = play(close_wave, HostRule)
    assert sent < 0.1 < by_hosts
    assert mean_s <= by_hosts_s


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
