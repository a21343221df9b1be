"""Tests of retries, their budget, and the outcome over all attempts."""

import json

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ivystep.core import errors, types
from ivystep.runtime import clock, virtual_hub
from tests.entry import harness

ERROR_BY_KIND = {
    'refused': lambda: harness.request_error(
        types.ExecutionStatus.NO, 503, 'draining'
    ),
    'lost': lambda: harness.request_error(types.ExecutionStatus.UNKNOWN),
    'wrong': lambda: harness.request_error(
        types.ExecutionStatus.YES, code='invalid_answer'
    ),
    'late': lambda: harness.request_error(
        types.ExecutionStatus.YES, 504, 'deadline_exceeded'
    ),
}


def script(*kinds):
    """Return a function that fails as scripted and then succeeds."""
    remaining = list(kinds)

    def run(attempt):
        kind = remaining.pop(0) if remaining else 'ok'
        if kind == 'cut':
            return types.Answer(
                types.AnswerHead(200, 'text/event-stream'), truncated_chunks()
            )
        if kind != 'ok':
            raise ERROR_BY_KIND[kind]()
        return harness.answer(b'data: 1\n\n')

    return run


def truncated_chunks():
    yield b'data: 1\n\ndata: {"ha'
    raise harness.request_error()


def call(entry, **body):
    status, _, received = entry.call_in_memory({'model': 'plan', **body})
    return status, received


@pytest.mark.parametrize(
    ('kinds', 'status', 'ran', 'attempts'),
    [
        (['refused'], 200, None, 2),
        (['lost', 'wrong'], 200, None, 3),
        (['refused'] * 3, 503, 'no', 3),
        # The last attempt was refused, yet an earlier one may have run.
        (['lost', 'refused', 'refused'], 503, 'unknown', 3),
        (['wrong', 'lost', 'refused'], 503, 'yes', 3),
        (['late'], 504, 'yes', 1),
        # Unless it is streamed, no part of a truncated answer was sent on.
        (['cut'], 200, None, 2),
    ],
)
def test_outcome_covers_all_attempts(kinds, status, ran, attempts):
    """Guards against "ran: no" after an attempt that may have run."""

    def scenario():
        entry = harness.Entry(script(*kinds), virtual=True)
        return entry, call(entry)

    entry, (got, received) = virtual_hub.run(scenario)
    assert got == status
    if ran is not None:
        assert json.loads(received)['error']['ran'] == ran
    tried = [one.placement.upstream_id for one in entry.pool.attempts]
    assert tried == ['a', 'b', 'c'][:attempts]
    assert entry.pool.held == 0


def change_during_wait(change, **environ):
    """Call, change the setup while the call waits; return entry and answer."""

    def scenario():
        entry = harness.Entry(virtual=True)
        entry.pool.gate = harness.new_gate()
        task = eventlet.spawn(
            entry.call_in_memory, {'model': 'plan'}, **environ
        )
        clock.sleep(20)
        entry.setup = harness.setup(version=8, **change)
        entry.pool.gate.send()
        status, _, received = task.wait()
        return entry, status, received

    return virtual_hub.run(scenario)


def test_version_replaced_during_the_wait_is_not_sent():
    """Guards against an old version for as long as a request may wait."""
    entry, status, _ = change_during_wait({'active': 1})
    sent = [one.request for one in entry.pool.attempts]
    assert (status, [one.adapter.version for one in sent]) == (200, [1])
    assert json.loads(sent[0].body)['model'] == 'fields/plan@1'
    assert (sent[0].adapter_source, sent[0].setup_version) == ('s1', 8)
    # The placement of the replaced version was released.
    assert entry.pool.finished == 2


def test_unrelated_change_during_the_wait_keeps_the_place():
    """Guards against a second wait after each change of the setup."""
    entry, status, _ = change_during_wait({})
    assert (status, entry.pool.finished) == (200, 1)


def test_retry_uses_the_version_in_force():
    """Guards against retries with a version replaced since the last attempt."""

    def scenario():
        run = script('refused')

        def replace_and_run(attempt):
            entry.setup = harness.setup(version=8, active=1)
            return run(attempt)

        entry = harness.Entry(replace_and_run, virtual=True)
        call(entry)
        return [one.request.adapter.version for one in entry.pool.attempts]

    assert virtual_hub.run(scenario) == [2, 1]


@pytest.mark.parametrize(
    ('change', 'refusal'),
    [
        ({'grants': ()}, (404, 'model_not_found')),
        ({'key': 'another key'}, (401, 'invalid_key')),
    ],
    ids=['grant', 'key'],
)
def test_permission_that_ended_during_the_wait_is_not_used(change, refusal):
    """Guards against requests that run long after their key was withdrawn."""
    entry, status, received = change_during_wait(change)
    error = json.loads(received)['error']
    assert (status, error['code'], error['ran']) == (*refusal, 'no')
    assert (entry.pool.attempts, entry.pool.finished) == ([], 1)


def test_claim_is_released_if_the_permission_ended_during_the_wait():
    """Guards against a claim that blocks a request which was not run."""
    rows = harness.MemoryTable()

    def scenario():
        entry = harness.Entry(virtual=True, table=rows)
        entry.pool.gate = harness.new_gate()
        task = eventlet.spawn(
            entry.call_in_memory,
            {'model': 'plan'},
            harness.ONCE_KEY,
            HTTP_IDEMPOTENCY_KEY='k-1',
        )
        clock.sleep(20)
        entry.setup = harness.setup(version=8, grants=())
        entry.pool.gate.send()
        return entry.pool.attempts, task.wait()[0]

    assert virtual_hub.run(scenario) == ([], 404)
    (row,) = rows.row_by_key.values()
    assert row.value['state'] == 'released'


def test_refusal_after_an_uncertain_attempt_is_not_ran_no():
    """Guards against "ran: no" in a refusal after an uncertain attempt."""

    def scenario():
        entry = harness.Entry(script('lost'), virtual=True)
        place = entry.pool.place

        def place_once(request, avoid=()):
            if avoid:
                raise errors.RefusedError('overloaded', 'Full.', status=503)
            return place(request)

        entry.pool.place = place_once
        return call(entry)

    status, received = virtual_hub.run(scenario)
    assert (status, json.loads(received)['error']['ran']) == (503, 'unknown')


def test_cut_stream_ends_with_an_error_event():
    """Guards against streams that end as if they were complete."""

    def scenario():
        entry = harness.Entry(script('cut'), virtual=True)
        return call(entry, stream=True), entry.metrics.render()[0].decode()

    (_, received), metrics = virtual_hub.run(scenario)
    assert 'account="fields",outcome="upstream_lost"} 1' in metrics
    head, event = received.rstrip().rsplit(b'\n\n', 1)
    assert head.endswith(b'{"ha')
    error = json.loads(event.removeprefix(b'data: '))['error']
    assert (error['code'], error['ran']) == ('upstream_lost', 'unknown')


def test_retries_do_not_amplify_an_outage():
    """Guards against retries that multiply the load while all fail."""

    def scenario():
        entry = harness.Entry(script(*['lost'] * 3000), virtual=True)
        for _ in range(1000):
            call(entry)
            clock.sleep(1)
        return len(entry.pool.attempts)

    # One attempt per request, retries for a tenth of them, and the reserve.
    assert virtual_hub.run(scenario) <= 1000 * 1.1 + 10


def test_unknown_pool_and_faults_have_clear_errors():
    """Guards against plain 500 answers and leaked capacity after a bug."""

    def scenario():
        entry = harness.Entry(lambda _: 1 / 0, virtual=True)
        first = call(entry)
        entry.api._dispatcher._pool_by_name.clear()
        return entry, first, call(entry)

    entry, (status, received), other = virtual_hub.run(scenario)
    error = json.loads(received)['error']
    assert (status, error['code'], error['ran']) == (
        500,
        'internal_error',
        'unknown',
    )
    assert other[0] == 503
    assert entry.pool.held == 0
    assert entry.progress.is_idle


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(['refused', 'lost', 'slow', 'cut']), max_size=4),
    st.booleans(),
    st.one_of(st.none(), st.floats(0, 8)),
    st.one_of(st.none(), st.floats(0, 8)),
)
def test_aborts_at_any_moment_release_everything(
    kinds, stream, leaves_at, drained_at
):
    """Guards against capacity leaked when an abort meets another event."""
    executed = []

    def main():
        executed.clear()
        scripted = script(*[kind for kind in kinds if kind != 'slow'])
        slow = [kind == 'slow' for kind in kinds]

        def run(attempt):
            eventlet.sleep(3 if slow and slow.pop(0) else 1)
            try:
                answer = scripted(attempt)
            except errors.RequestError as error:
                executed.append(error.ran is not types.ExecutionStatus.NO)
                raise
            executed.append(True)
            return types.Answer(answer.head, paused(answer.chunks))

        def paused(chunks):
            for chunk in chunks:
                eventlet.sleep(1)
                yield chunk

        entry = harness.Entry(run, virtual=True)
        connection = harness.FakeConnection()
        if leaves_at is not None:
            eventlet.spawn_after(
                leaves_at, lambda: (connection.on_gone or bool)()
            )
        if drained_at is not None:
            eventlet.spawn_after(drained_at, entry.progress.on_drain_deadline)
        try:
            return entry, entry.call_in_memory(
                {'model': 'plan', 'stream': stream}, connection=connection
            )
        finally:
            clock.sleep(20)

    entry, (status, _, received) = virtual_hub.run(main)
    assert entry.pool.held == 0
    assert entry.progress.is_idle
    last = received.rstrip().rpartition(b'\n')[2].removeprefix(b'data: ')
    document = json.loads(last)
    if status != 200 and document['error']['ran'] == 'no':
        assert not any(executed)
