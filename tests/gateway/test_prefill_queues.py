"""Tests of prefill permits, on the virtual clock."""

import itertools

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway import prefill_queues
from ivystep.policy import prefill, prefill_rates
from ivystep.runtime import clock
from ivystep.wire.gen import ttypes
from tests.coordination import fakes as clocks


def ticket(**more):
    now = clock.now()
    values = {
        'tokens': 1500,
        'target_start_by': now + 1.0,
        'start_by': now + 4.0,
        'value_rate': 1.0,
        'max_gap_s': 0.3,
        'tokens_per_s': 10000.0,
    }
    return prefill.Ticket(**{**values, **more})


def new_queues():
    return prefill_queues.PrefillQueues(prefill_rates.PrefillRates())


@clocks.on_virtual_clock
def test_permits_are_spread_over_time_for_each_engine():
    """Guards against many simultaneous prompts on one engine."""
    queues = new_queues()
    passed = []

    def send(engine):
        queues.wait(engine, ticket())
        passed.append((round(clock.now(), 2), engine))

    for _ in range(3):
        eventlet.spawn(send, 'i-1')
        eventlet.spawn(send, 'i-2')
    clock.sleep(3)
    times = [at for at, engine in passed if engine == 'i-1']
    assert len(times) == 3
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert min(gaps) >= 0.15
    assert times == [at for at, engine in passed if engine == 'i-2']


@clocks.on_virtual_clock
def test_wait_ends_at_the_latest_start_of_the_request():
    """Guards against a request that is delayed past its deadline."""
    queues = new_queues()
    queues.wait('i-1', ticket(tokens=100000))
    before = clock.now()
    queues.wait('i-1', ticket(start_by=before + 0.5))
    assert clock.now() == pytest.approx(before + 0.5)


class BrokenLink:
    """A connection to a leader that does not answer."""

    def ask(self, message, timeout_s):
        raise errors.LinkError('timed out', step='permit')


def test_permit_is_unknown_if_the_leader_does_not_answer():
    """Guards against requests that fail because the leader has failed."""
    permit = prefill_queues.request_permit(BrokenLink(), 'i-1', ticket())
    assert permit.decision is prefill.PermitDecision.UNKNOWN
    assert 'timed out' in permit.reason


class LocalLink:
    """A connection to a leader in this process."""

    def __init__(self, queues):
        self.queues = queues
        self.requests = 0

    def ask(self, message, timeout_s):
        self.requests += 1
        before = clock.now()
        answer = self.queues.answer(message)
        assert clock.now() - before <= timeout_s
        return answer


@clocks.on_virtual_clock
def test_permit_request_is_repeated_while_the_engine_is_busy():
    """Guards against a prompt sent early because its host gave up waiting,
    and against a host that waits for seconds for a failed leader.
    """
    queues = new_queues()
    queues.wait('i-1', ticket(tokens=15000))
    link = LocalLink(queues)
    started = clock.now()
    permit = prefill_queues.request_permit(link, 'i-1', ticket())
    assert permit.decision is prefill.PermitDecision.ALONE
    assert clock.now() - started >= 1.5
    assert link.requests >= 3


@clocks.on_virtual_clock
def test_waits_end_when_the_engine_takes_no_new_work():
    """Guards against requests that wait for a draining engine."""
    queues = new_queues()
    queues.wait('i-1', ticket(tokens=50000))
    waits = [eventlet.spawn(queues.wait, 'i-1', ticket()) for _ in range(3)]
    clock.sleep(0.1)
    queues.close('i-1')
    assert [one.wait().decision for one in waits] == [
        prefill.PermitDecision.CLOSED
    ] * 3
    assert clock.now() < 0.2


@clocks.on_virtual_clock
def test_permit_shows_whether_a_prompt_is_prefilled_alone():
    """Guards against a prefill rate measured with several prompts at once."""
    queues = new_queues()
    short = ticket(tokens=200)
    assert queues.wait('i-1', short).decision is prefill.PermitDecision.ALONE
    assert queues.wait('i-1', short).decision is prefill.PermitDecision.QUEUED
    clock.sleep(1)
    assert queues.wait('i-1', ticket()).decision is prefill.PermitDecision.ALONE


@clocks.on_virtual_clock
def test_requests_of_other_hosts_use_the_same_queue():
    """Guards against hosts that do not share the queue of an engine."""
    queues = new_queues()
    queues.wait('i-1', ticket())
    message = ttypes.PermitRequest(
        engine='i-1',
        tokens=1500,
        aim_within_ms=1000,
        start_within_ms=4000,
        value_rate=1.0,
        max_gap_ms=300,
        tokens_per_s=10000.0,
        wait_ms=500,
    )
    queues.answer(message)
    assert clock.now() >= 0.15


def known_rates(engine, tokens_per_s):
    """Return rates after a prompt that an engine prefilled at a rate."""
    rates = prefill_rates.PrefillRates()
    rates.add_engine(engine, 'llm')
    first_event_s = prefill_rates.USUAL_LATENCY_S + 1500 / tokens_per_s
    rates.record(prefill_rates.PrefillSample(engine, 1500, first_event_s))
    return rates


@clocks.on_virtual_clock
def test_prompts_of_other_hosts_are_paced_by_the_rate_of_the_fleet():
    """Guards against prompts held back by a host that has measured nothing."""
    queues = prefill_queues.PrefillQueues(known_rates('i-1', 60000.0))
    link = LocalLink(queues)
    started = clock.now()
    for _ in range(8):
        prefill_queues.request_permit(link, 'i-1', ticket())
    assert clock.now() - started <= 8 * 1500 / 60000
