"""Tests of at-most-once runs under lost answers, outages and repeats."""

import json

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ivystep.core import types
from ivystep.runtime import clock, virtual_hub
from tests.entry import harness

TABLE_FAULTS = ['ok', 'ok', 'ok', 'unavailable', 'dropped', 'lost']
ATTEMPT_RESULTS = ['ok', 'slow', 'refused', 'lost after', 'lost before', 'cut']
# Pause before the call, number of the entry, whether it streams, its prompt,
# and the time after which the caller disconnects.
CALL = st.tuples(
    st.sampled_from([0.0, 0.0113, 1.3, 70.0]),
    st.integers(0, 1),
    st.sampled_from([False, False, True]),
    st.sampled_from(['same', 'same', 'same', 'other']),
    st.sampled_from([None, None, 0.0011, 0.021, 2.1]),
)


class Upstream:
    """Runs attempts as scripted and records which requests were run."""

    def __init__(self, runs):
        self.runs = list(runs)
        self.attempts = []
        self.executed = []

    def run(self, attempt):
        kind = self.runs.pop(0) if self.runs else 'ok'
        self.attempts.append(kind)
        eventlet.sleep(5 if kind == 'slow' else 0.0031)
        if kind == 'refused':
            raise harness.request_error(
                types.ExecutionStatus.NO, 503, 'draining'
            )
        if kind == 'lost before':
            raise harness.request_error()
        self.executed.append(attempt.request.request_id)
        if kind == 'lost after':
            raise harness.request_error()
        return harness.answer(*self.chunks(kind))

    def chunks(self, kind):
        yield b'data: 1\n\n'
        eventlet.sleep(0.02)
        if kind == 'cut':
            raise harness.request_error()
        yield b'data: 2\n\n'


def run_scenario(faults, runs, calls):
    """Return the upstream, the response to each call, and the outcome."""

    def main():
        rows = harness.MemoryTable()
        rows.faults = list(faults)
        upstream = Upstream(runs)
        entries = [
            harness.Entry(upstream.run, virtual=True, table=rows)
            for _ in range(2)
        ]

        def call(entry, stream, prompt, disconnects_after_s):
            connection = harness.FakeConnection()
            if disconnects_after_s is not None:
                eventlet.spawn_after(
                    disconnects_after_s, disconnect, connection
                )
            return entry.call_in_memory(
                {'model': 'plan', 'stream': stream, 'prompt': prompt},
                harness.ONCE_KEY,
                connection,
                HTTP_IDEMPOTENCY_KEY='k',
            )

        tasks = []
        for pause_s, number, stream, prompt, disconnects_after_s in calls:
            clock.sleep(pause_s)
            tasks.append(
                eventlet.spawn(
                    call, entries[number], stream, prompt, disconnects_after_s
                )
            )
        responses = [task.wait() for task in tasks]
        clock.sleep(2000)
        rows.faults = []
        outcome = entries[0].call_in_memory(
            {},
            harness.ONCE_KEY,
            REQUEST_METHOD='GET',
            PATH_INFO='/v1/requests/k',
        )
        assert all(entry.progress.is_idle for entry in entries)
        return upstream, responses, json.loads(outcome[2])

    return virtual_hub.run(main)


def disconnect(connection):
    (connection.on_gone or bool)()


def error_in(received):
    """Return the error of an answer or at the end of a stream, or None."""
    last = received.rstrip().rpartition(b'\n')[2].removeprefix(b'data: ')
    document = json.loads(last or b'{}')
    return document.get('error') if isinstance(document, dict) else None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(TABLE_FAULTS), max_size=12),
    st.lists(st.sampled_from(ATTEMPT_RESULTS), max_size=4),
    st.lists(CALL, min_size=1, max_size=6),
)
def test_key_runs_at_most_once_and_ran_is_reported_truly(faults, runs, calls):
    """Guards against duplicate runs, and against "ran: no" after a run."""
    upstream, responses, outcome = run_scenario(faults, runs, calls)
    assert len(upstream.executed) <= 1
    may_have_run = [kind for kind in upstream.attempts if kind != 'refused']
    assert len(may_have_run) <= 1
    for status, headers, received in responses:
        error = error_in(received)
        has_run = headers['X-Request-Id'] in upstream.executed
        if error is None:
            assert status == 200
            assert has_run
        elif error['ran'] == 'no':
            assert not has_run
        elif error['ran'] == 'yes':
            assert upstream.executed
    recorded = outcome.get('ran', 'unknown')
    if recorded != 'unknown':
        assert (recorded == 'yes') == bool(upstream.executed)
    if upstream.attempts and upstream.attempts[-1] in {'ok', 'slow'}:
        assert recorded == 'yes'


def test_repeats_get_the_outcome_and_other_bodies_are_refused():
    """Guards against a repeat that runs again or does not get the outcome."""
    entry = harness.Entry()
    once = {'key': harness.ONCE_KEY, 'Idempotency_Key': 'a/b'}
    assert entry.call(**once)[0] == 200
    status, _, document = entry.call(**once)
    assert (status, document['error']['ran']) == (409, 'yes')
    status, _, document = entry.call({'model': 'plan@1'}, **once)
    assert (status, document['error']['code']) == (
        422,
        'idempotency_key_reused',
    )
    path = '/v1/requests/a%2Fb'
    status, _, document = entry.call(path=path, key=harness.KEY, method='GET')
    assert (status, document['ran'], document['status']) == (200, 'yes', 200)
    status, _, document = entry.call(
        path=path, key=harness.OTHER_KEY, method='GET'
    )
    assert (status, document['error']['ran']) == (404, 'unknown')
    assert len(entry.pool.attempts) == 1


def test_missing_idempotency_key_is_refused():
    """Guards against non-idempotent requests whose repeats look new."""
    entry = harness.Entry()
    for arguments in (
        {'key': harness.ONCE_KEY},
        {'path': '/v1/services/stock/returns', 'body': b'{}'},
        {'path': '/v1/services/stock/Returns?x=1', 'body': b'{}'},
    ):
        status, _, document = entry.call(**arguments)
        assert (status, document['error']['code']) == (
            400,
            'idempotency_key_required',
        )
    assert not entry.pool.attempts


def test_an_outage_refuses_claims_and_lets_other_requests_run():
    """Guards against an outage that stops idempotent traffic too."""
    rows = harness.MemoryTable()
    rows.is_down = True
    entry = harness.Entry(table=rows)
    status, headers, document = entry.call(Idempotency_Key='k')
    assert (status, document['error']['code']) == (503, 'platform_unavailable')
    assert document['error']['ran'] == 'unknown'
    assert headers['Retry-After'] == '1'
    assert entry.call()[0] == 200


def test_refused_repeat_does_not_deny_an_earlier_run():
    """Guards against "ran: no" for a key whose first call was run."""
    rows = harness.MemoryTable()
    entry = harness.Entry(table=rows)
    assert entry.call(Idempotency_Key='k')[0] == 200
    rows.is_down = True
    _, _, outage = entry.call(Idempotency_Key='k')
    rows.is_down = False
    entry.progress.on_drain_deadline()
    _, _, document = entry.call(Idempotency_Key='k')
    responses = {outage['error']['ran'], document['error']['ran']}
    assert 'no' not in responses


@pytest.mark.parametrize(
    ('path', 'status', 'code'),
    [
        ('/v1/services/stock/check', 200, None),
        ('/v1/services/stock/check?tag=7', 200, None),
        ('/v1/services/other/check', 404, 'service_not_found'),
        ('/v1/services/stock', 400, 'invalid_request'),
        ('/v1/services/stock/', 400, 'invalid_request'),
        ('/v1/services/stock/returns/', 400, 'invalid_request'),
        ('/v1/services/stock//returns', 400, 'invalid_request'),
        ('/v1/services/stock/a/../returns', 400, 'invalid_request'),
        ('/v1/services/stock/./returns', 400, 'invalid_request'),
        ('/v1/services/stock/retur%6es', 400, 'invalid_request'),
        ('/v1/services/stock/check?a=%0d%0aX:%20y', 200, None),
        ('/v1/services/stock/check?a=<', 400, 'invalid_request'),
    ],
)
def test_service_paths_have_one_spelling(path, status, code):
    """Guards against a non-idempotent path run under another spelling."""
    entry = harness.Entry()
    got, _, document = entry.call(path=path, body=b'{"tag": 7}')
    assert got == status
    if code is None:
        assert entry.pool.attempts[0].request.path == path.removeprefix(
            '/v1/services/stock'
        )
    else:
        assert document['error']['code'] == code
        assert not entry.pool.attempts


def test_outcome_is_recorded_after_the_caller_has_left_a_stream():
    """Guards against outcomes that are lost with the caller's connection."""
    gate = harness.new_gate()

    def chunks():
        yield b'data: 1\n\n'
        gate.wait()
        for _ in range(20):
            eventlet.sleep(0.001)
            yield b'data: 2\n\n'

    head = types.AnswerHead(200, 'text/event-stream')
    entry = harness.Entry(lambda _: types.Answer(head, chunks()))
    with entry.connect() as connection:
        connection.sendall(
            harness.head_and_body(
                {'model': 'plan', 'stream': True}, Idempotency_Key='k'
            )
        )
        while b'data: 1' not in connection.recv(4096):
            continue
    gate.send()
    harness.wait_until(lambda: entry.progress.is_idle)
    _, _, document = entry.call(path='/v1/requests/k', method='GET')
    assert (document['ran'], entry.pool.held) == ('yes', 0)


def test_outcome_is_not_told_to_a_key_withdrawn_during_the_wait():
    """Guards against outcomes told to a key that has no permission now."""

    def scenario():
        limits = {'concurrency': 1}
        entry = harness.Entry(virtual=True, setup=harness.setup(limits))
        entry.pool.gate = harness.new_gate()
        eventlet.spawn(entry.call_in_memory, {'model': 'plan'})
        outcome = eventlet.spawn(
            entry.call_in_memory,
            {},
            REQUEST_METHOD='GET',
            PATH_INFO='/v1/requests/k',
        )
        clock.sleep(20)
        entry.setup = harness.setup(limits, version=8, key='another key')
        entry.pool.gate.send()
        return outcome.wait()[0]

    assert virtual_hub.run(scenario) == 401
