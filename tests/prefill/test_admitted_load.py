"""Tests of the load that is admitted to engines of different latencies."""

import random

import eventlet
import pytest

from ivystep.gateway.loads import prefill_queues
from ivystep.prefill import prefill, prefill_rates
from ivystep.runtime import clock
from tests.coordination import fakes as clocks

ENGINE = 'i-1/0'
LATENCIES_S = (0.0, 0.012, 0.08, 0.2)
RATES = (8000.0, 12000.0, 20000.0, 25000.0, 40000.0)
SIZES = (500, 826, 1110, 1460, 1800, 2368)
SENT = frozenset((prefill.PermitDecision.ALONE, prefill.PermitDecision.QUEUED))
# Time in which the rates are learned and that is not counted.
LEARNING_S = 10.0
COUNTED_S = 20.0
# Time that is left for prefill within the target latency.
AIM_S = 0.6
PATIENCE_S = 2.0


class Engine:
    """An engine that reads one prompt after another.

    Args:
        latency_s: Time that each prompt has in addition and that all share.
        tokens_per_s: Rate at which it reads prompts.
        seed: Seed of the noise.
    """

    def __init__(self, latency_s, tokens_per_s, seed=7):
        self.latency_s = latency_s
        self.tokens_per_s = tokens_per_s
        self.chance = random.Random(seed)
        self.arrivals = random.Random(seed)
        self._read_until = 0.0

    def first_event_s(self, tokens):
        """Return the time to the first event of a prompt that is sent now.

        One prompt in ten is cached in part. Requests in the batch and a step
        in progress delay a prompt by some milliseconds.
        """
        now = clock.now()
        cached = 0.5 if self.chance.random() < 0.1 else 0.0
        self._read_until = (
            max(self._read_until, now)
            + tokens * (1 - cached) / self.tokens_per_s
        )
        noise_s = self.chance.expovariate(1 / 0.004)
        return self._read_until - now + self.latency_s + noise_s


class KnownRates:
    """The true values of an engine, in place of learned ones."""

    def __init__(self, engine):
        self.engine = engine

    def tokens_per_s(self, engine):
        return self.engine.tokens_per_s

    def first_event_s(self, service, tokens):
        margin = prefill_rates.FIRST_EVENT_MARGIN
        return (
            self.engine.latency_s + margin * tokens / self.engine.tokens_per_s
        )

    def record(self, sample):
        """Nothing is left to learn."""


class LearnedRates(prefill_rates.PrefillRates):
    """Rates that are learned from the engine's answers."""

    def __init__(self, engine):
        super().__init__()
        self.add_engine(ENGINE, 'llm')


class Arrivals:
    """Prompts that arrive at an engine for a third more than it can read.

    Args:
        engine: The engine.
        rates: What is known of it.
    """

    LOAD = 1.3

    def __init__(self, engine, rates):
        self.engine = engine
        self.target_s = engine.latency_s + AIM_S
        self.rates = rates
        self.queues = prefill_queues.PrefillQueues(rates)
        self.timely_tokens, self.admitted, self.late = 0, 0, 0
        mean = sum(SIZES) / len(SIZES)
        gap_s = mean / engine.tokens_per_s / self.LOAD
        for _ in range(int((LEARNING_S + COUNTED_S) / gap_s)):
            eventlet.spawn(self._request, engine.arrivals.choice(SIZES))
            clock.sleep(engine.arrivals.uniform(0.5, 1.5) * gap_s)
        clock.sleep(PATIENCE_S)
        self.late_share = self.late / self.admitted

    def _ticket(self, tokens):
        now = clock.now()
        first_event_s = self.rates.first_event_s('llm', tokens)
        return prefill.Ticket(
            tokens=tokens,
            target_start_by=now + self.target_s - first_event_s,
            start_by=now + self.target_s + PATIENCE_S - first_event_s,
            value_rate=1.0,
            max_gap_s=0.3,
            tokens_per_s=self.rates.tokens_per_s(ENGINE),
        )

    def _request(self, tokens):
        arrived = clock.now()
        permit = self.queues.wait(ENGINE, self._ticket(tokens))
        if permit.decision not in SENT:
            return
        waited_s = clock.now() - arrived
        first_event_s = self.engine.first_event_s(tokens)
        clock.sleep(first_event_s)
        if permit.decision is prefill.PermitDecision.ALONE:
            self.rates.record(
                prefill_rates.PrefillSample(ENGINE, tokens, first_event_s)
            )
        if LEARNING_S <= arrived < LEARNING_S + COUNTED_S:
            self._count(tokens, waited_s + first_event_s)

    def _count(self, tokens, seconds):
        self.admitted += 1
        if seconds <= self.target_s:
            self.timely_tokens += tokens
        else:
            self.late += 1


@clocks.on_virtual_clock
def play(latency_s, tokens_per_s, known):
    """Return what an engine is given if its values are known or learned."""
    engine = Engine(latency_s, tokens_per_s)
    return Arrivals(engine, known(engine))


@pytest.mark.parametrize('tokens_per_s', RATES)
@pytest.mark.parametrize('latency_s', LATENCIES_S)
def test_engine_is_given_what_it_can_read_in_time(latency_s, tokens_per_s):
    """Guards against latency that is booked as occupation of the engine, and
    against more prompts than it can read.

    What it can read in time is what it is given if its values are known.
    """
    learned = play(latency_s, tokens_per_s, LearnedRates)
    known = play(latency_s, tokens_per_s, KnownRates)
    share = learned.timely_tokens / known.timely_tokens
    assert share >= 0.9
    assert learned.late_share <= 0.1
