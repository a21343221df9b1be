"""Tests of the prefill rates that are learned from times to first token."""

import random

import pytest

from ivystep.prefill import prefill_rates

# Engines as slow and as fast as deployments may have.
RATES = (4000.0, 14200.0, 15000.0, 19100.0, 20400.0, 38400.0, 100000.0)


class Fleet:
    """Engines of one service that prefill prompts at a rate."""

    def __init__(self, engines=5):
        self.rates = prefill_rates.PrefillRates()
        self.names = [f'i-{number}/0' for number in range(engines)]
        for name in self.names:
            self.rates.add_engine(name, 'llm')

    def prefill(self, engine, tokens, tokens_per_s, latency_s=0.012):
        first_event_s = latency_s + tokens / tokens_per_s
        self.rates.record(
            prefill_rates.PrefillSample(engine, tokens, first_event_s)
        )

    def rate(self, engine=None):
        return self.rates.tokens_per_s(engine or self.names[0])


@pytest.mark.parametrize('tokens_per_s', RATES)
def test_rate_is_known_after_the_first_prompts_of_the_fleet(tokens_per_s):
    """Guards against prompts held back, or sent at once, by a rate that was
    assumed for engines of another deployment.
    """
    fleet = Fleet()
    for name in fleet.names[1:4]:
        fleet.prefill(name, 1460, tokens_per_s)
    assert fleet.rate() == pytest.approx(tokens_per_s, rel=0.1)


@pytest.mark.parametrize(
    ('latency_s', 'tolerance'), [(0.014, 0.05), (0.01, 0.1)]
)
@pytest.mark.parametrize('tokens_per_s', [14200.0, 19100.0])
def test_rate_matches_the_engine_for_prompts_of_all_sizes(
    tokens_per_s, latency_s, tolerance
):
    """Guards against an overestimated prefill rate, which causes long gaps.

    Short prompts take little longer than the fixed latency, so an error in
    that latency affects their measurements most.
    """
    fleet = Fleet(engines=1)
    sizes = [650, 4100, 900, 1460, 700, 2200, 646, 1110] * 4
    for tokens in sizes:
        fleet.prefill(fleet.names[0], tokens, tokens_per_s, latency_s)
        assert fleet.rate() < (1 + tolerance) * max(
            tokens_per_s, prefill_rates.INITIAL_TOKENS_PER_S
        )
    assert fleet.rate() == pytest.approx(tokens_per_s, rel=tolerance)


@pytest.mark.parametrize('tokens_per_s', RATES)
def test_rate_stays_near_the_true_one_beside_other_requests(tokens_per_s):
    """Guards against delayed and cached prompts that move the estimate."""
    chance = random.Random(7)
    fleet = Fleet()
    for _ in range(200):
        tokens = chance.choice([826, 1460, 2368])
        cached = 0.25 if chance.random() < 0.1 else 0.0
        delay_s = chance.expovariate(1 / 0.004)
        seconds = 0.012 + delay_s + tokens * (1 - cached) / tokens_per_s
        fleet.rates.record(
            prefill_rates.PrefillSample(
                chance.choice(fleet.names), tokens, seconds
            )
        )
    assert 0.75 * tokens_per_s <= fleet.rate() <= 1.25 * tokens_per_s


def test_new_engine_starts_with_the_rate_of_its_service():
    """Guards against a cold start for each engine that is added."""
    fleet = Fleet()
    for _ in range(4):
        fleet.prefill(fleet.names[0], 1460, 38400.0)
    fleet.rates.add_engine('new/1', 'llm')
    fleet.rates.add_engine('other/1', 'another service')
    assert fleet.rate('new/1') == pytest.approx(38400, rel=0.1)
    assert fleet.rate('other/1') == pytest.approx(
        prefill_rates.INITIAL_TOKENS_PER_S
    )


def test_slow_engine_is_noticed_and_recovers():
    """Guards against prompts paced for engines that are six times faster."""
    fleet = Fleet()
    slow = fleet.names[0]
    for _ in range(10):
        for name in fleet.names:
            fleet.prefill(name, 1460, 20400.0)
    for _ in range(5):
        fleet.prefill(slow, 1460, 20400.0 / 6)
    assert fleet.rate(slow) == pytest.approx(20400 / 6, rel=0.1)
    assert fleet.rate(fleet.names[1]) == pytest.approx(20400, rel=0.1)
    for _ in range(prefill_rates.LAST_ENGINE_SAMPLES):
        fleet.prefill(slow, 1460, 20400.0)
    assert fleet.rate(slow) == pytest.approx(20400, rel=0.1)


def test_engine_that_is_a_little_slower_gets_its_own_rate():
    """Guards against long pauses at the slower engines of a service."""
    fleet = Fleet()
    slow = fleet.names[0]
    for _ in range(20):
        for name in fleet.names:
            tokens_per_s = 15700.0 if name == slow else 20400.0
            fleet.prefill(name, 1460, tokens_per_s)
    assert fleet.rate(slow) == pytest.approx(15700, rel=0.1)
    assert fleet.rate(fleet.names[1]) == pytest.approx(20400, rel=0.1)


def test_rate_is_measured_on_long_prompts_and_bounded():
    """Guards against a pacer that, after extreme measurements, sends every
    prompt at once or none at all.
    """
    fleet = Fleet(engines=1)
    name = fleet.names[0]
    fleet.prefill(name, 10, 2.0)
    assert fleet.rate() == pytest.approx(prefill_rates.INITIAL_TOKENS_PER_S)
    for _ in range(200):
        fleet.prefill(name, 2000, 20.0)
    assert fleet.rate() == pytest.approx(
        prefill_rates.MIN_TOKENS_PER_S, rel=0.01
    )
    for _ in range(200):
        fleet.prefill(name, 2000, 1e12, latency_s=1e-6)
    assert fleet.rate() == pytest.approx(
        prefill_rates.MAX_TOKENS_PER_S, rel=0.01
    )


def test_engines_are_forgotten(monkeypatch):
    """Guards against memory that grows with each restart of an engine."""
    monkeypatch.setattr(prefill_rates, 'MAX_ENGINES', 2)
    fleet = Fleet(engines=3)
    for _ in range(4):
        fleet.prefill(fleet.names[0], 1460, 38400.0)
    assert fleet.rate(fleet.names[0]) == pytest.approx(
        prefill_rates.INITIAL_TOKENS_PER_S
    )


def test_noise_makes_no_engine_seem_slow():
    """Guards against batches left half empty because the rate of one engine
    was once overestimated.
    """
    chance = random.Random(11)
    fleet = Fleet()
    lowest = 1.0
    for step in range(400):
        delay_s = chance.expovariate(1 / 0.006)
        cached = 0.6 if chance.random() < 0.1 else 0.0
        fleet.rates.record(
            prefill_rates.PrefillSample(
                chance.choice(fleet.names),
                1460,
                0.012 + delay_s + 1460 * (1 - cached) / 38400,
            )
        )
        if step > 50:
            speeds = map(fleet.rates.relative_speed, fleet.names)
            lowest = min(lowest, *speeds)
    assert lowest >= 0.7


def test_slow_engine_has_a_low_speed():
    """Guards against full batches at an engine that runs them slowly."""
    fleet = Fleet()
    for _ in range(10):
        for name in fleet.names:
            fleet.prefill(name, 1460, 20400.0)
    for _ in range(5):
        fleet.prefill(fleet.names[0], 1460, 20400.0 / 6)
    assert fleet.rates.relative_speed(fleet.names[0]) <= 0.2
    assert fleet.rates.relative_speed(fleet.names[1]) >= 0.95
    assert fleet.rates.relative_speed('unknown') == pytest.approx(1)


@pytest.mark.parametrize(
    ('tokens_per_s', 'tokens'), [(38400.0, 826), (20400.0, 1460)]
)
def test_first_event_is_expected_by_the_learned_rate(tokens_per_s, tokens):
    """Guards against requests that count as late although a fast engine would
    still answer in time, and are then served after all others.
    """
    fleet = Fleet()
    for name in fleet.names:
        fleet.prefill(name, tokens, tokens_per_s)
    alone_s = 0.012 + tokens / tokens_per_s
    expected_s = fleet.rates.first_event_s('llm', tokens)
    assert alone_s <= expected_s <= 2 * alone_s
    assert fleet.rates.first_event_s('another', tokens) >= 0.08
