"""Tests of permits, on the virtual clock."""

import itertools

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway import prefill_queues
from ivystep.policy import prefill
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


@clocks.on_virtual_clock
def test_permits_are_spread_over_time_for_each_engine():
    """Guards against many prompts at once on one engine."""
    gates = prefill_queues.PrefillQueues()
    passed = []

    def send(engine):
        gates.wait(engine, ticket())
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
def test_wait_ends_when_the_request_is_of_no_use_later():
    """Guards against a request held past its time."""
    gates = prefill_queues.PrefillQueues()
    gates.wait('i-1', ticket(tokens=100000))
    before = clock.now()
    gates.wait('i-1', ticket(start_by=before + 0.5))
    assert clock.now() == pytest.approx(before + 0.5)


class BrokenLink:
    """A connection to a holder that does not answer."""

    def ask(self, message, timeout_s):
        raise errors.LinkError('timed out', step='permit')


def test_request_is_sent_without_a_permit_if_none_can_be_had():
    """Guards against requests that fail because the holder is gone."""
    permit = prefill_queues.ask(BrokenLink(), 'i-1', ticket())
    assert permit.decision is prefill.PermitDecision.UNKNOWN
    assert 'timed out' in permit.reason


class LocalLink:
    """A connection to a holder in this process."""

    def __init__(self, gates):
        self.gates = gates
        self.asked = 0

    def ask(self, message, timeout_s):
        self.asked += 1
        before = clock.now()
        answer = self.gates.answer(message)
        assert clock.now() - before <= timeout_s
        return answer


@clocks.on_virtual_clock
def test_holder_is_asked_again_while_the_engine_reads_other_prompts():
    """Guards against a prompt sent early because its host gave up waiting,
    and against a host that waits for seconds for a holder that is gone.
    """
    gates = prefill_queues.PrefillQueues()
    gates.wait('i-1', ticket(tokens=15000))
    link = LocalLink(gates)
    started = clock.now()
    permit = prefill_queues.ask(link, 'i-1', ticket())
    assert permit.decision is prefill.PermitDecision.ALONE
    assert clock.now() - started >= 1.5
    assert link.asked >= 3


@clocks.on_virtual_clock
def test_waits_end_when_the_engine_takes_no_new_work():
    """Guards against requests that wait for an engine that leaves."""
    gates = prefill_queues.PrefillQueues()
    gates.wait('i-1', ticket(tokens=50000))
    waits = [eventlet.spawn(gates.wait, 'i-1', ticket()) for _ in range(3)]
    clock.sleep(0.1)
    gates.close('i-1')
    assert [one.wait().decision for one in waits] == [
        prefill.PermitDecision.CLOSED
    ] * 3
    assert clock.now() < 0.2


@clocks.on_virtual_clock
def test_permit_says_whether_a_prompt_is_read_alone():
    """Guards against an engine that is measured while it reads others."""
    gates = prefill_queues.PrefillQueues()
    short = ticket(tokens=200)
    assert gates.wait('i-1', short).decision is prefill.PermitDecision.ALONE
    assert gates.wait('i-1', short).decision is prefill.PermitDecision.QUEUED
    clock.sleep(1)
    assert gates.wait('i-1', ticket()).decision is prefill.PermitDecision.ALONE


@clocks.on_virtual_clock
def test_other_hosts_are_answered_like_this_one():
    """Guards against hosts that do not share the gate."""
    gates = prefill_queues.PrefillQueues()
    gates.wait('i-1', ticket())
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
    gates.answer(message)
    assert clock.now() >= 0.15
