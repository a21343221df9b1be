"""Tests of which requests a planned stop of a gateway still takes."""

import types

import eventlet
import pytest

from ivystep.gateway.requests import (
    answer_times,
    final_errors,
    planned_stop,
    request_state,
)
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts
from tests.coordination import fakes as clocks

GRACE_S = 7.6
ACCEPTS_S = 2.6
ANSWER_S = 2.0


def new_state(max_output_tokens=0, timeout_s=30.0, route_name='once'):
    """Return a request that was read just now; a stream if it has tokens."""
    generation = None
    if max_output_tokens:
        generation = calls.Generation('m', 'a1', 1500, max_output_tokens)
    call = calls.Call(
        request_id='r-1',
        method='POST',
        target='/a/',
        host='ficu.example',
        headers=(),
        body=b'',
        arrived=clock.now(),
        generation=generation,
    )
    route = contracts.Route(
        name=route_name,
        host='ficu.example',
        prefix='/a/',
        kind=contracts.Repeatability.AT_MOST_ONCE,
        timeout_s=timeout_s,
        target_latency_s=1.0,
        priority=1,
        shares=(contracts.ServiceShare('app', 1.0),),
        max_attempts=2,
    )
    answer = types.SimpleNamespace(
        has_started=False, is_complete=False, last_event_id=''
    )
    return request_state.RequestState.from_call(call, route, answer)


def learn(stop, *answers_s, **more):
    """Let requests of a route be answered within the given times."""
    for answer_s in answers_s:
        state = new_state(**more)
        state.progress.sent_at = clock.now() - answer_s
        stop.times.record(state)


def begin(stop):
    """Begin a stop whose signal comes now."""
    now = clock.now()
    accepts_until = now + ACCEPTS_S
    stop.begin(
        planned_stop.StopTimes(now, accepts_until, accepts_until, now + GRACE_S)
    )


def begun_stop(*answers_s, **more):
    """Return a stop that has begun, and when it ends the last requests."""
    stop = planned_stop.PlannedStop()
    learn(stop, *answers_s, **more)
    begin(stop)
    return stop, stop.begun.ends_at


def is_taken(stop, state):
    try:
        stop.raise_if_too_late(state)
    except planned_stop.HostStoppedError:
        return False
    return True


@clocks.on_virtual_clock
def test_late_request_is_not_taken_because_earlier_answers_were_short():
    """Guards against cuts where an answer takes longer than all before."""
    stop, _ = begun_stop(*[0.1] * answer_times.SAMPLES)
    early = new_state()
    clock.sleep(ACCEPTS_S - 0.1)
    assert is_taken(stop, early)
    clock.sleep(0.2)
    assert not is_taken(stop, early)
    assert not is_taken(stop, new_state())


@clocks.on_virtual_clock
def test_late_request_is_taken_if_its_timeout_ends_it():
    """Guards against refusals of requests that can't be cut by the end."""
    stop, ends_at = begun_stop()
    clock.sleep(ACCEPTS_S + 0.1)
    left_s = ends_at - clock.now()
    assert is_taken(stop, new_state(timeout_s=left_s - 0.1))
    assert not is_taken(stop, new_state(timeout_s=left_s + 0.1))


@clocks.on_virtual_clock
def test_early_request_is_taken_if_most_answers_end_in_time():
    """Guards against refusals while the platform still routes callers here."""
    stop, _ = begun_stop(*[GRACE_S / 2] * answer_times.MIN_SAMPLES, 60.0)
    clock.sleep(ACCEPTS_S - 0.1)
    assert is_taken(stop, new_state())
    assert is_taken(stop, new_state(route_name='other'))


@clocks.on_virtual_clock
def test_long_stream_is_refused_when_a_short_one_is_still_taken():
    """Guards against one estimate for streams of all lengths."""
    stop, _ = begun_stop(
        *[1.0] * answer_times.MIN_SAMPLES, max_output_tokens=100
    )
    assert is_taken(stop, new_state(100))
    assert not is_taken(stop, new_state(1000))


@clocks.on_virtual_clock
def test_begun_stream_is_resumed_until_the_end():
    """Guards against streams that end sooner than the stop requires."""
    stop, ends_at = begun_stop()
    clock.sleep(ends_at - 0.1 - clock.now())
    state = new_state()
    state.answer.has_started = True
    assert is_taken(stop, state)


@clocks.on_virtual_clock
def test_nothing_is_refused_before_a_stop():
    """Guards against refusals by a host that keeps running."""
    stop = planned_stop.PlannedStop()
    clock.sleep(100)
    assert is_taken(stop, new_state())


def watched(stop, state, ended):
    """Handle a request that waits; record when and how it was ended."""
    try:
        with stop.watch(state):
            clock.sleep(100)
    except planned_stop.HostStoppedError:
        error = final_errors.stopped_error(state, 0.2)
        ended.append((clock.now(), error.status, error.ran.value))


def ended_request(stop, state, until):
    """Poll as a drain does; return when and how a request was ended."""
    ended = []
    eventlet.spawn(watched, stop, state, ended)
    while clock.now() <= until and not ended:
        stop.end_due()
        clock.sleep(0.05)
    return ended


@pytest.mark.parametrize(
    ('answer_s', 'waits_s'),
    [(ANSWER_S, ACCEPTS_S), (GRACE_S - 1, 1.0), (2 * GRACE_S, 0.0)],
)
@clocks.on_virtual_clock
def test_waiting_request_is_refused_as_soon_as_it_is_not_sent_any_more(
    answer_s, waits_s
):
    """Guards against callers that wait for a place and are refused late."""
    stop, ends_at = begun_stop(*[answer_s] * answer_times.MIN_SAMPLES)
    began_at = clock.now()
    ((at, status, ran),) = ended_request(stop, new_state(), ends_at)
    assert at - began_at == pytest.approx(waits_s, abs=0.1)
    assert (status, ran) == (503, 'no')


@clocks.on_virtual_clock
def test_running_request_keeps_the_whole_time():
    """Guards against answers ended sooner than the stop requires."""
    stop, ends_at = begun_stop(*[ANSWER_S] * answer_times.MIN_SAMPLES)
    state = new_state()
    state.step = 'run'
    state.progress.sent_at = clock.now()
    state.may_have_run.append('i-1')
    ((at, status, ran),) = ended_request(stop, state, ends_at + 0.1)
    assert at >= ends_at
    assert (status, ran) == (502, 'unknown')


@clocks.on_virtual_clock
def test_refused_caller_waits_until_it_is_routed_elsewhere():
    """Guards against callers that come back to the host that refused them."""
    stop = planned_stop.PlannedStop()
    begin(stop)
    assert stop.retry_after_s == pytest.approx(2.6)
    clock.sleep(2.0)
    assert stop.retry_after_s == pytest.approx(0.6)
    clock.sleep(2.0)
    assert stop.retry_after_s == request_state.MIN_RETRY_AFTER_S


@clocks.on_virtual_clock
def test_complete_answer_is_not_ended():
    """Guards against a reset of a complete answer that is being delivered."""
    stop, ends_at = begun_stop()
    state = new_state()
    state.answer.is_complete = True
    assert not ended_request(stop, state, ends_at + 0.2)


@clocks.on_virtual_clock
def test_routes_whose_answers_are_oldest_are_forgotten():
    """Guards against memory that grows with each route ever served."""
    times = planned_stop.PlannedStop().times
    for number in range(answer_times.MAX_ROUTES + 1):
        for _ in range(answer_times.MIN_SAMPLES):
            state = new_state(route_name=f'route-{number}')
            state.progress.sent_at = clock.now()
            times.record(state)
    assert times.typical_s(new_state(route_name='route-0')) is None
    assert times.typical_s(new_state(route_name='route-1')) is not None
