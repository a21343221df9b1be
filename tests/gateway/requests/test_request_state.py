"""Tests of how requests compete for an engine's prefill."""

import types

import eventlet

from ivystep.gateway.loads import prefill_queues
from ivystep.gateway.requests import request_state
from ivystep.prefill import prefill, prefill_rates
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts
from tests.coordination import fakes as clocks

TOKENS_PER_S = 10000.0
SENT = frozenset((prefill.PermitDecision.ALONE, prefill.PermitDecision.QUEUED))


def new_state(last_event_id=''):
    """Return a request for a stream; resumed if its caller names an event."""
    call = calls.Call(
        request_id='r-1',
        method='POST',
        target='/a/',
        host='ficu.example',
        headers=(),
        body=b'',
        arrived=clock.now(),
        generation=calls.Generation('m', 'a1', 1500, 170),
        resumes_after=last_event_id,
    )
    route = contracts.Route(
        name='plans',
        host='ficu.example',
        prefix='/a/',
        kind=contracts.Repeatability.STREAM,
        timeout_s=30.0,
        target_latency_s=1.0,
        priority=1,
        shares=(contracts.ServiceShare('llm', 1.0),),
        max_attempts=2,
        is_resumable=True,
        max_gap_s=0.3,
    )
    answer = types.SimpleNamespace(last_event_id=last_event_id)
    return request_state.RequestState.from_call(call, route, answer)


def permit_after_a_restart(last_event_id):
    """Return the decision on a stream among many that return to one engine."""
    queues = prefill_queues.PrefillQueues(prefill_rates.PrefillRates())
    for _ in range(60):
        ticket = new_state().ticket(TOKENS_PER_S)
        eventlet.spawn_n(queues.wait, 'i-1', ticket)
        clock.sleep(0.01)
    state = new_state(last_event_id)
    return queues.wait('i-1', state.ticket(TOKENS_PER_S)).decision


@clocks.on_virtual_clock
def test_resumed_stream_goes_on_although_its_engine_is_busy_with_new_ones():
    """Guards against streams that are lost in the middle, because only few
    upstreams can resume them and new requests fill these.
    """
    assert permit_after_a_restart('') not in SENT
    assert permit_after_a_restart('7') in SENT
