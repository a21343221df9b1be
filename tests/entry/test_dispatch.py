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
