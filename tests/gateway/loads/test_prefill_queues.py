"""Tests of prefill permits, on the virtual clock."""

import itertools

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.loads import prefill_queues
from ivystep.prefill import prefill, prefill_forecast, prefill_rates
from ivystep.runtime import clock
from ivystep.wire.gen import ttypes
from tests.coordination import fakes as clocks

SENT = frozenset((prefill.PermitDecision.ALONE, prefill.PermitDecision.QUEUED))


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
def test_request_that_cannot_start_in_time_is_refused_at_once():
    """Guards against a caller who waits for an answer that is known."""
    queues = new_queues()
    queues.wait('i-1', ticket(tokens=100000))
    before = clock.now()
    permit = queues.wait('i-1', ticket(start_by=before + 0.5))
    assert clock.now() == pytest.approx(before)
    assert permit.decision is prefill.PermitDecision.REFUSED
    assert permit.retry_after_s == pytest.approx(
        prefill_forecast.MAX_RETRY_AFTER_S
    )


@clocks.on_virtual_clock
def test_refused_caller_finds_room_after_the_named_time():
    """Guards against callers sent away for seconds because late requests,
    which a repeat goes before, fill the queue.
    """
    queues = new_queues()
    for _ in range(4):
        queues.wait('i-1', ticket(tokens=500))
    now = clock.now()
    for _ in range(12):
        late = ticket(target_start_by=now - 0.1, start_by=now + 2.0)
        eventlet.spawn(queues.wait, 'i-1', late)
    for _ in range(2):
        eventlet.spawn(queues.wait, 'i-1', ticket())
    clock.sleep(0.01)
    refused = queues.wait(
        'i-1', ticket(target_start_by=now - 0.1, start_by=now + 2.1)
    )
    assert refused.decision is prefill.PermitDecision.REFUSED
    assert refused.retry_after_s <= 1.0
    clock.sleep(refused.retry_after_s)
    repeated_at = clock.now()
    permit = queues.wait('i-1', ticket(target_start_by=repeated_at + 0.3))
    assert permit.decision in SENT
    assert clock.now() <= repeated_at + 0.3


@clocks.on_virtual_clock
def test_idle_engine_takes_a_request_between_two_groups():
    """Guards against the refusal of a prompt because it cannot wait for the
    gap after the last group.
    """
    queues = new_queues()
    queues.wait('i-1', ticket(tokens=3000))
    clock.sleep(0.31)
    now = clock.now()
    urgent = ticket(target_start_by=now - 0.1, start_by=now + 0.01)
    assert queues.wait('i-1', urgent).decision in SENT
    assert clock.now() == pytest.approx(now)


@clocks.on_virtual_clock
def test_wait_ends_at_the_latest_start_of_the_request():
    """Guards against a request that is delayed past its deadline by others
    that arrived later and go before it.
    """
    queues = new_queues()
    queues.wait('i-1', ticket(tokens=3000))
    before = clock.now()
    waiting = eventlet.spawn(
        queues.wait,
        'i-1',
        ticket(target_start_by=before - 0.1, start_by=before + 0.5),
    )
    clock.sleep(0.01)
    for _ in range(8):
        eventlet.spawn(queues.wait, 'i-1', ticket(value_rate=9.0))
    permit = waiting.wait()
    assert clock.now() <= before + 0.5
    assert permit.decision in {
        prefill.PermitDecision.REFUSED,
        prefill.PermitDecision.NOT_YET,
    }


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
    queues.wait('i-1', ticket(tokens=20000))
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


class Arrivals:
    """Prompts that arrive at one engine evenly for some seconds.

    Args:
        load: Prompts that arrive, as a share of those that the engine can
            prefill.
        aim_s: Target time until a prompt is sent.
        patience_s: Time after which a caller gives up.
    """

    TOKENS = 1000
    TOKENS_PER_S = 20000.0

    def __init__(self, load, aim_s=0.5, patience_s=2.0, seconds=20.0):
        self.queues = prefill_queues.PrefillQueues(
            known_rates('i-1', self.TOKENS_PER_S)
        )
        example = self._ticket(aim_s, patience_s)
        self.capacity = seconds / prefill_forecast.occupied_s(example)
        self.timely, self.late, self.refused_after_s = 0, 0, []
        count = int(load * self.capacity)
        for _ in range(count):
            eventlet.spawn(self._request, aim_s, patience_s)
            clock.sleep(seconds / count)
        clock.sleep(patience_s)

    def _ticket(self, aim_s, patience_s):
        now = clock.now()
        return ticket(
            tokens=self.TOKENS,
            tokens_per_s=self.TOKENS_PER_S,
            target_start_by=now + aim_s,
            start_by=now + patience_s,
        )

    def _request(self, aim_s, patience_s):
        arrived = clock.now()
        permit = self.queues.wait('i-1', self._ticket(aim_s, patience_s))
        waited_s = clock.now() - arrived
        if permit.decision not in SENT:
            self.refused_after_s.append(waited_s)
        elif waited_s <= aim_s:
            self.timely += 1
        else:
            self.late += 1


@pytest.mark.parametrize('load', [1.3, 2.0, 4.0])
@clocks.on_virtual_clock
def test_engine_serves_in_time_what_it_can_during_an_overload(load):
    """Guards against prompts that all wait until they are late when more
    arrive than the engine can prefill.
    """
    result = Arrivals(load)
    assert result.timely >= 0.9 * result.capacity


@pytest.mark.parametrize('load', [2.0, 4.0])
@clocks.on_virtual_clock
def test_request_without_room_is_refused_when_that_is_known(load):
    """Guards against refusals after seconds of waiting.

    A request that its target has passed loses the room that it waited for, so
    it may take that long until it is known.
    """
    result = Arrivals(load)
    refused = sorted(result.refused_after_s)
    assert refused
    assert refused[9 * len(refused) // 10] <= 0.5 + 0.1


@clocks.on_virtual_clock
def test_no_request_is_refused_without_an_overload():
    """Guards against refusals of what the engine could have served."""
    result = Arrivals(0.8)
    assert not result.refused_after_s
    assert result.late == 0


@clocks.on_virtual_clock
def test_permits_are_given_after_an_unexpected_error(monkeypatch):
    """Guards against an engine whose queued prompts all wait in vain."""
    queues = new_queues()
    choose = prefill.choose
    calls = []

    def fail_once(*arguments):
        calls.append(arguments)
        if len(calls) == 1:
            raise OverflowError('odd')
        return choose(*arguments)

    monkeypatch.setattr(prefill, 'choose', fail_once)
    for _ in range(2):
        queues.wait('i-1', ticket())
    clock.sleep(10)
    queues.wait('i-1', ticket())
    assert queues.wait('i-1', ticket()).decision in SENT
