"""Tests of the latency that is learned besides the prefill rate."""

import random

import pytest

from ivystep.prefill import prefill_rates

SIZES = (500, 826, 1110, 1460, 1800, 2368)
SIMILAR_SIZES = (1400, 1420, 1440, 1460, 1480)
USUAL_S = prefill_rates.USUAL_LATENCY_S


class Fleet:
    """Engines of one service whose answers are delayed by other requests.

    Args:
        latency_s: Latency of each prompt.
        tokens_per_s: Prefill rate.
        engines: Number of engines.
        seed: Seed of the noise.
    """

    def __init__(self, latency_s, tokens_per_s=20000.0, engines=4, seed=7):
        self.latency_s = latency_s
        self.rates = prefill_rates.PrefillRates()
        self.chance = random.Random(seed)
        self.tokens_per_s = {
            f'i-{one}/0': tokens_per_s for one in range(engines)
        }
        self.slow_share = 0.0
        self.cached_share = 0.1
        self.longest_wait_s = 0.0
        self.fill = 0.0
        for name in self.tokens_per_s:
            self.rates.add_engine(name, 'llm')

    def run(self, count, sizes=SIZES, more_s=0.0, engine=None):
        """Send prompts one at a time.

        Args:
            count: Number of prompts.
            sizes: Numbers of tokens of the prompts.
            more_s: Latency in addition to that of the fleet.
            engine: The engine; None for any.
        """
        chance = self.chance
        for _ in range(count):
            name = engine or chance.choice(tuple(self.tokens_per_s))
            tokens = chance.choice(sizes)
            is_cached = chance.random() < self.cached_share
            seconds = self.latency_s + more_s
            seconds += (
                tokens * (0.5 if is_cached else 1) / self.tokens_per_s[name]
            )
            if chance.random() < self.slow_share:
                seconds *= 2.5
            seconds += chance.expovariate(1 / 0.003)
            if self.longest_wait_s:
                seconds += chance.uniform(0, self.longest_wait_s)
            self.rates.record(
                prefill_rates.PrefillSample(name, tokens, seconds, self.fill)
            )

    def latency(self, engine='i-0/0'):
        return self.rates.latency_s(engine)

    def rate(self, engine='i-0/0'):
        return self.rates.tokens_per_s(engine)


@pytest.mark.parametrize('tokens_per_s', [14000.0, 19200.0, 26000.0])
@pytest.mark.parametrize('seed', [7, 8, 9])
def test_usual_latency_remains_at_engines_that_have_it(tokens_per_s, seed):
    """Guards against an estimate that changes with the noise."""
    fleet = Fleet(USUAL_S, tokens_per_s, seed=seed)
    for _ in range(100):
        fleet.run(10)
        assert {fleet.latency(one) for one in fleet.tokens_per_s} == {USUAL_S}


@pytest.mark.parametrize('tokens_per_s', [8000.0, 19200.0, 40000.0])
@pytest.mark.parametrize('latency_s', [0.08, 0.2])
def test_latency_is_learned_from_the_first_prompts_of_the_fleet(
    latency_s, tokens_per_s
):
    """Guards against latency that is taken for prefill."""
    fleet = Fleet(latency_s, tokens_per_s)
    fleet.run(60)
    assert fleet.latency() == pytest.approx(latency_s, abs=0.01)
    assert fleet.rate() == pytest.approx(tokens_per_s, rel=0.25)
    fleet.run(200)
    assert fleet.rate() == pytest.approx(tokens_per_s, rel=0.15)


@pytest.mark.parametrize('seed', [7, 8, 9])
def test_cached_prompts_do_not_make_an_engine_seem_slow(seed):
    """Guards against prompts held back for some seconds whenever a few cached
    and slowed prompts follow each other.
    """
    fleet = Fleet(USUAL_S, seed=seed)
    fleet.cached_share = 0.25
    fleet.slow_share = 0.1
    fleet.run(100)
    for _ in range(1000):
        fleet.run(1)
        rates = [fleet.rate(one) for one in fleet.tokens_per_s]
        assert min(rates) >= 0.75 * 20000


def test_prompts_beside_a_neighbour_do_not_move_the_latency():
    """Guards against a busy neighbour that is taken for a slow engine."""
    fleet = Fleet(0.08)
    fleet.slow_share = 0.15
    fleet.run(200)
    assert fleet.latency() == pytest.approx(0.08, abs=0.012)
    assert fleet.rate() == pytest.approx(20000, rel=0.2)


@pytest.mark.parametrize('wait_s', [0.05, 0.1, 0.2])
@pytest.mark.parametrize('seed', [7, 8, 9])
def test_latency_that_busy_engines_exclude_is_forgotten(seed, wait_s):
    """Guards against prompts that a new leader takes for alone after all hosts
    lost power, while engines work off what nobody knows any more: their waits
    count as latency for the rest of a busy day.
    """
    fleet = Fleet(USUAL_S, 14000.0, seed=seed)
    fleet.run(60, more_s=wait_s)
    assert fleet.latency() > USUAL_S + wait_s / 2
    fleet.fill = 0.5
    fleet.run(100)
    assert fleet.latency() == pytest.approx(USUAL_S)
    assert fleet.rate() == pytest.approx(14000, rel=0.15)


@pytest.mark.parametrize('longest_wait_s', [0.1, 0.2, 0.4])
@pytest.mark.parametrize('seed', range(7, 17))
def test_waits_of_different_lengths_are_no_latency(seed, longest_wait_s):
    """Guards against engines that seem twice as fast after all hosts lost
    power: prompts wait for requests that no host knows any more.
    """
    fleet = Fleet(USUAL_S, 14000.0, seed=seed)
    fleet.longest_wait_s = longest_wait_s
    for _ in range(12):
        fleet.run(5)
        assert fleet.latency() == pytest.approx(USUAL_S)
        assert fleet.rate() <= 1.15 * prefill_rates.INITIAL_TOKENS_PER_S


@pytest.mark.parametrize('seed', [7, 8, 9])
@pytest.mark.parametrize('latency_s', [0.08, 0.2])
def test_latency_is_learned_beside_steps_in_progress(latency_s, seed):
    """Guards against a true latency that is taken for waits."""
    fleet = Fleet(latency_s, seed=seed)
    fleet.longest_wait_s = 0.02
    fleet.run(60)
    assert fleet.latency() == pytest.approx(latency_s + 0.01, abs=0.015)


@pytest.mark.parametrize('slow_share', [0.0, 0.2])
@pytest.mark.parametrize('latency_s', [0.08, 0.2])
def test_busy_engines_do_not_exclude_their_true_latency(latency_s, slow_share):
    """Guards against engines that seem slow as soon as they are busy."""
    fleet = Fleet(latency_s)
    fleet.run(100)
    fleet.fill = 0.5
    fleet.slow_share = slow_share
    fleet.longest_wait_s = 0.03
    for _ in range(100):
        fleet.run(10)
        assert fleet.latency() == pytest.approx(latency_s, abs=0.015)


@pytest.mark.parametrize('latency_s', [0.0, USUAL_S, 0.2])
def test_prompts_of_one_length_do_not_tell_a_latency(latency_s):
    """Guards against a latency that is guessed where lengths hardly differ."""
    fleet = Fleet(latency_s)
    fleet.run(200, SIMILAR_SIZES)
    assert fleet.latency() == pytest.approx(USUAL_S)


def test_few_prompts_do_not_tell_a_latency():
    """Guards against an engine that seems far too fast because the first
    prompts were delayed or cached.
    """
    fleet = Fleet(0.08)
    fleet.run(20)
    assert fleet.latency() == pytest.approx(USUAL_S)


def test_learned_latency_remains_until_the_prompts_show_another():
    """Guards against an engine that seems slow again as soon as its prompts
    have the same length.
    """
    fleet = Fleet(0.08)
    fleet.run(200)
    fleet.run(200, SIMILAR_SIZES)
    assert fleet.latency() == pytest.approx(0.08, abs=0.01)
    fleet.run(200, more_s=USUAL_S - 0.08)
    assert fleet.latency() == pytest.approx(USUAL_S)


def test_engines_of_different_speeds_have_their_own_rates():
    """Guards against the slower engine of a service getting too much."""
    fleet = Fleet(0.08)
    fleet.tokens_per_s['i-0/0'] /= 1.3
    fleet.run(400)
    assert fleet.rate('i-0/0') == pytest.approx(20000 / 1.3, rel=0.15)
    assert fleet.rate('i-1/0') == pytest.approx(20000, rel=0.15)


def test_engine_farther_away_has_its_own_latency():
    """Guards against a distant engine that seems slow."""
    fleet = Fleet(USUAL_S)
    fleet.cached_share = 0.0
    fleet.run(100)
    fleet.run(24, more_s=0.08, engine='i-0/0')
    assert fleet.latency('i-0/0') == pytest.approx(0.092, abs=0.02)
    assert fleet.latency('i-1/0') == pytest.approx(USUAL_S)
    assert fleet.rate('i-0/0') >= 0.6 * 20000


def test_first_event_is_expected_after_the_latency():
    """Guards against requests that are sent too late for their target."""
    fleet = Fleet(0.2)
    fleet.run(200)
    alone_s = 0.2 + 1460 / 20000
    expected_s = fleet.rates.first_event_s('llm', 1460)
    assert alone_s <= expected_s <= alone_s + 0.06


def test_full_engine_does_not_seem_to_have_a_longer_latency():
    """Guards against more prompts for an engine that is full: those that wait
    for the steps of others would seem to have a latency that costs nothing.
    """
    rates = prefill_rates.PrefillRates()
    rates.add_engine('i-1', 'llm')
    chance = random.Random(5)
    for _ in range(200):
        tokens = chance.choice((500, 1000, 1500, 2000))
        first_event_s = 0.1 + tokens / 20000 + chance.uniform(0, 0.01)
        rates.record(
            prefill_rates.PrefillSample('i-1', tokens, first_event_s, 0.7)
        )

    assert rates.latency_s('i-1') == prefill_rates.USUAL_LATENCY_S


def test_engine_with_a_shorter_latency_than_its_service_is_not_paced_faster():
    """Guards against more prompts than an engine can read, because the latency
    of the others is taken off its times.
    """
    rates = prefill_rates.PrefillRates()
    chance = random.Random(5)
    names = [f'i-{number}' for number in range(7)]
    for name in names:
        rates.add_engine(name, 'llm')
    for turn in range(700):
        name = names[turn % len(names)]
        latency_s = 0.012 if name == 'i-0' else 0.08
        tokens = chance.choice(SIZES)
        first_event_s = latency_s + tokens / 20000 + chance.uniform(0, 0.002)
        rates.record(prefill_rates.PrefillSample(name, tokens, first_event_s))

    assert rates.tokens_per_s('i-0') == pytest.approx(20000, rel=0.2)
