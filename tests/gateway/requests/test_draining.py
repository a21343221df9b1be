"""Tests of the drain of a gateway."""

import contextlib
import math
import time

import eventlet
import pytest

from ivystep.gateway.requests import (
    answer_times,
    draining,
    planned_stop,
    shared_state,
)
from ivystep.runtime import clock
from ivystep.traffic import http1
from tests.coordination import fakes as clocks
from tests.gateway import fakes, harness
from tests.gateway.requests import test_planned_stop

# The store answers later than the gateway waits, and after the test has ended.
SILENT = {'mode': 'slow', 'delay_s': 30.0}
# Connections are accepted for 2.6 s after SIGTERM; a busy machine may be late.
CLOSED_WITHIN_S = 3.2


def test_idle_connections_close_in_time_while_the_store_is_silent(build):
    """Guards against requests that come on open connections and are cut off.

    A leader that waits for the store to release its lease closes none of them
    until its grace period is nearly over.
    """
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))
    with eventlet.Timeout(3):
        while gateway.daemon.status().details['holder'] != 'host-1':
            eventlet.sleep(0.02)
    idle = gateway.connect()
    idle.sendall(harness.request('/read/2f'))
    harness.receive_until(idle, b'whole answer')
    gateway.store.faults = SILENT
    started = clock.now()
    drained = eventlet.spawn(gateway.daemon.drain, gateway.listener)
    with contextlib.closing(idle):
        assert harness.read_to_end(idle).received == b''
    assert clock.now() - started < CLOSED_WITHIN_S
    drained.wait()
    assert clock.now() - started < gateway.daemon.settings.bounds.grace_s


GRACE_S = 8.0


class Listener:
    """A listener that records when it was closed."""

    def __init__(self):
        self.closed_at = None

    def close(self):
        self.closed_at = clock.now()


def drain_for(release):
    """Drain a gateway without connections; return the listener and the time."""
    listener = Listener()
    started = clock.now()
    draining.Drain(
        shared_state.ServerState(),
        release,
        GRACE_S,
        fakes.FakeLog(),
    ).run(listener)
    return listener.closed_at - started, clock.now() - started


@clocks.on_virtual_clock
def test_release_without_an_answer_does_not_delay_the_end():
    """Guards against a process that the platform kills while it waits."""
    closed_s, drained_s = drain_for(lambda: clock.sleep(100))
    assert closed_s == draining.ACCEPT_AFTER_SIGTERM_S
    assert drained_s < GRACE_S


@clocks.on_virtual_clock
def test_process_does_not_exit_before_its_release_is_answered():
    """Guards against a lease that others must wait for after a fast drain."""
    answered = []

    def release():
        clock.sleep(draining.ACCEPT_AFTER_SIGTERM_S + 1)
        answered.append(clock.now())

    _, drained_s = drain_for(release)
    assert answered
    assert drained_s < GRACE_S


@clocks.on_virtual_clock
def test_release_that_fails_does_not_end_the_process_by_an_error():
    """Guards against a planned stop that looks like a crash."""

    def release():
        raise OverflowError('odd')

    closed_s, _ = drain_for(release)
    assert closed_s == draining.ACCEPT_AFTER_SIGTERM_S


# After the listener has closed and after requests are taken in good faith,
# with less time left than the answers take.
LATE_S = 3.3
SHORT_GRACE = {'grace_s': 5.0}
SLOW_S = 1.5
# Shorter than what is left then.
LATE_DEADLINE_MS = 1000
SLOW_CALLERS = {
    'limits': {**harness.LIMITS, 'idle_timeout_ms': 9000},
    'routes': (
        harness.route('slow', 'non_idempotent', timeout_ms=9000),
        harness.route('again', 'idempotent', timeout_ms=9000),
        harness.route('flow', 'stream', timeout_ms=9000),
    ),
}


def slow_request(path, request_id='r-1', body=b'{}', deadline_ms=9000):
    """Return a request whose caller waits for longer than most graces."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {harness.HOST}\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def start_drain(gateway):
    """Start the drain of a gateway once it has read what was sent to it."""
    eventlet.sleep(0.1)
    return eventlet.spawn(gateway.daemon.drain, gateway.listener)


def slow_answer(_, headers):
    eventlet.sleep(SLOW_S)
    return harness.ok_answer(headers)


def test_request_completed_too_late_is_refused_instead_of_cut(build):
    """Guards against requests that are sent on and cut at the end of a stop.

    The head comes before the stop signal and the last byte of the body late.
    """
    gateway, (upstream,) = build(
        slow_answer, config=SLOW_CALLERS, **SHORT_GRACE
    )
    whole = slow_request('/slow/2f')
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(whole[:-1])
        drained = start_drain(gateway)
        eventlet.sleep(LATE_S)
        connection.sendall(whole[-1:])
        sent_at = clock.now()
        answer = harness.read_to_end(connection)
    assert (answer.status, answer.document['ran']) == (503, 'no')
    assert 0 < float(answer.headers['retry-after']) < 1
    assert clock.now() - sent_at < 0.5
    assert not upstream.requests
    drained.wait()


def test_request_completed_late_is_taken_if_its_deadline_ends_it(build):
    """Guards against refusals of requests that end before the stop does."""
    gateway, _ = build(
        lambda _, headers: harness.ok_answer(headers),
        config=SLOW_CALLERS,
        **SHORT_GRACE,
    )
    with contextlib.closing(gateway.connect()) as connection:
        whole = slow_request('/slow/2f', deadline_ms=LATE_DEADLINE_MS)
        connection.sendall(whole[:-1])
        drained = start_drain(gateway)
        eventlet.sleep(LATE_S)
        connection.sendall(whole[-1:])
        assert harness.read_to_end(connection).status == 200
    drained.wait()


def test_request_at_work_at_the_end_of_a_stop_gets_an_answer(build):
    """Guards against silent cuts: a caller learns that it may have run.

    The request was sent before the stop, when it was not known how long its
    answer takes.
    """
    gateway, (upstream,) = build(lambda *_: None, config=SLOW_CALLERS)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/again/2f'))
        drained = start_drain(gateway)
        answer = harness.read_to_end(connection)
    assert (answer.status, answer.document['ran']) == (502, 'unknown')
    assert len(upstream.requests) == 1
    drained.wait()


def test_stream_at_work_at_the_end_of_a_stop_is_reset(build):
    """Guards against streams that look complete as their host ends."""

    def begin(connection, headers):
        connection.sendall(
            harness.stream_head(headers) + harness.chunk(harness.EVENTS[0])
        )

    gateway, _ = build(begin, config=SLOW_CALLERS)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/flow/2f'))
        received = harness.receive_until(connection, harness.EVENTS[0])
        drained = start_drain(gateway)
        answer = harness.read_to_end(connection, received)
    assert answer.was_reset
    assert not answer.is_complete
    drained.wait()


def test_request_that_waits_at_the_end_of_a_stop_is_refused(build):
    """Guards against requests that wait for a place and get no answer."""
    gateway, () = build(config=SLOW_CALLERS)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/slow/2f'))
        drained = start_drain(gateway)
        answer = harness.read_to_end(connection)
    assert (answer.status, answer.document['ran']) == (503, 'no')
    assert 'retry-after' in answer.headers
    drained.wait()


def test_connection_that_is_opened_during_the_notice_is_served(build):
    """Guards against connections that are accepted and closed unread.

    Callers are still routed to a host until readiness probes have failed.
    """
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))
    drained = start_drain(gateway)
    eventlet.sleep(0.2)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/once/2f'))
        answer = harness.read_to_end(connection)
    assert (answer.status, answer.headers['connection']) == (200, 'close')
    drained.wait()


def test_pipelined_request_is_answered_before_its_connection_closes(build):
    """Guards against requests that were read and get no answer in a stop."""
    gateway, _ = build(slow_answer, config=SLOW_CALLERS)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(
            slow_request('/slow/2f', 'r-1') + slow_request('/slow/2f', 'r-2')
        )
        drained = start_drain(gateway)
        received = harness.read_to_end(connection).received
    assert b'seal-r-1' in received
    assert b'seal-r-2' in received
    assert received.count(b'Connection: close') == 1
    drained.wait()


def test_request_that_waits_to_be_admitted_is_refused_at_the_end(build):
    """Guards against requests that wait for a configuration and are cut."""
    gateway, (upstream,) = build(
        lambda _, headers: harness.ok_answer(headers), config=SLOW_CALLERS
    )
    handler = gateway.daemon._request_handler
    handler._wait_until_current = lambda: eventlet.sleep(30)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/slow/2f'))
        drained = start_drain(gateway)
        answer = harness.read_to_end(connection)
    assert (answer.status, answer.document['ran']) == (503, 'no')
    assert not upstream.requests
    drained.wait()


def test_log_tells_how_a_stream_ended_in_a_stop(build, monkeypatch):
    """Guards against a cut stream of which the log does not tell the cause."""

    def begin(connection, headers):
        connection.sendall(
            harness.stream_head(headers) + harness.chunk(harness.EVENTS[0])
        )

    log = fakes.FakeLog()
    gateway, _ = build(begin, config=SLOW_CALLERS)
    monkeypatch.setattr(gateway.daemon._log, 'write', log.write)
    with contextlib.closing(gateway.connect()) as connection:
        drained = start_drain(gateway)
        eventlet.sleep(0.05)
        connection.sendall(slow_request('/flow/2f'))
        harness.read_to_end(connection)
    drained.wait()
    (event,) = log.named('request_stopped')
    assert (event.request_id, event.upstream, event.end) == (
        'r-1',
        'i-1',
        'reset',
    )
    assert 0 <= event.whole_ms <= event.sent_ms < 1000
    assert event.is_sent
    assert (event.expected_ms, event.bound) == (-1, '')
    assert event.received_bytes == event.written_bytes == len(harness.EVENTS[0])


def test_log_tells_that_a_request_was_refused_in_a_stop(build, monkeypatch):
    """Guards against a refusal that the log does not tell from a cut."""
    log = fakes.FakeLog()
    gateway, () = build(config=SLOW_CALLERS)
    monkeypatch.setattr(gateway.daemon._log, 'write', log.write)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/slow/2f'))
        drained = start_drain(gateway)
        harness.read_to_end(connection)
    drained.wait()
    (event,) = log.named('request_stopped')
    assert (event.end, event.is_sent, event.upstream) == ('refused', False, '')
    assert event.whole_ms < 0


# The answers of a route before the stop, and one that needs longer.
HISTORY_S = 0.2
SLOWER_S = 5.5
LONG_GRACE = {'grace_s': 8.0}
# Less than what was left when the engine needed ``HISTORY_S``.
LATE_AFTER_S = 3.3


class SlowingEngine:
    """An upstream whose answers take longer from some moment on."""

    def __init__(self):
        self.answer_s = 0.0

    def answer(self, _, headers):
        eventlet.sleep(self.answer_s)
        return (
            harness.stream_head(headers)
            + harness.chunk(harness.EVENTS[0])
            + http1.LAST_CHUNK
        )


@pytest.mark.parametrize('path', ['/slow/2f', '/again/2f', '/flow/2f'])
def test_late_request_is_refused_although_earlier_answers_were_short(
    build, path
):
    """Guards against requests sent on by a guess, run, and cut by a reset."""
    engine = SlowingEngine()
    gateway, (upstream,) = build(
        engine.answer, config=SLOW_CALLERS, **LONG_GRACE
    )
    with contextlib.closing(gateway.connect()) as connection:
        for number in range(answer_times.MIN_SAMPLES):
            connection.sendall(slow_request(path, f'r-{number}'))
            harness.receive_until(connection, harness.EVENTS[0])
        known = len(upstream.requests)
        whole = slow_request(path, 'r-late')
        connection.sendall(whole[:-1])
        drained = start_drain(gateway)
        eventlet.sleep(LATE_AFTER_S)
        engine.answer_s = SLOWER_S
        connection.sendall(whole[-1:])
        sent_at = clock.now()
        answer = harness.read_to_end(connection)
    assert (answer.status, answer.document['ran']) == (503, 'no')
    assert clock.now() - sent_at < 0.5
    assert len(upstream.requests) == known
    drained.wait()


def test_end_of_a_stop_counts_from_its_signal(build):
    """Guards against answers cut by the platform, which counts from there.

    A busy event loop starts the drain late.
    """
    gateway, _ = build(lambda *_: None, config=SLOW_CALLERS, **SHORT_GRACE)
    delay_s = SHORT_GRACE['grace_s'] / 2
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(slow_request('/again/2f'))
        eventlet.sleep(0.1)
        received = gateway.daemon._signals.received
        received.stopped_at = time.monotonic() - delay_s
        started = clock.now()
        drained = start_drain(gateway)
        answer = harness.read_to_end(connection)
    received.stopped_at = math.inf
    assert answer.status == 502
    assert clock.now() - started < SHORT_GRACE['grace_s'] - delay_s + 0.1
    drained.wait()


class WatchedConnection:
    """A connection whose request waits for a place; records its end."""

    is_busy = False

    def __init__(self, server_state):
        self.ended_at = None
        self._server_state = server_state
        server_state.open_connections.add(self)
        eventlet.spawn(self._run)

    def is_idle_for(self, seconds):
        """Return whether it has been idle, which it never is."""
        return False

    is_receiving = False

    def _run(self):
        stop = self._server_state.stop
        state = test_planned_stop.new_state()
        with (
            contextlib.suppress(planned_stop.HostStoppedError),
            stop.watch(state),
        ):
            clock.sleep(100)
        self.ended_at = clock.now()
        self._server_state.open_connections.discard(self)


def drain_with_request(delay_s, *answers_s):
    """Drain with one waiting request; return when it was ended."""
    server_state = shared_state.ServerState()
    test_planned_stop.learn(server_state.stop, *answers_s)
    connection = WatchedConnection(server_state)
    clock.sleep(0)
    started = clock.now()
    draining.Drain(
        server_state, lambda: None, GRACE_S, fakes.FakeLog(), delay_s
    ).run(Listener())
    assert connection.ended_at is not None
    return connection.ended_at - started


@pytest.mark.parametrize('before_kill_s', [0.2, 0.0])
@clocks.on_virtual_clock
def test_requests_get_their_answers_if_the_end_of_the_drain_is_late(
    before_kill_s,
):
    """Guards against exits without answers where the event loop was busy."""
    delay_s = GRACE_S - before_kill_s
    assert drain_with_request(delay_s) < draining.FLUSH_S


@pytest.mark.parametrize(
    ('delay_s', 'answer_s', 'waits_s'),
    [
        (0.0, 2 * GRACE_S, 0.0),
        (0.0, GRACE_S - draining.ABORT_MARGIN_S - 1.0, 1.0),
        (draining.ACCEPT_AFTER_SIGTERM_S, 1.0, 0.0),
    ],
)
@clocks.on_virtual_clock
def test_waiting_request_is_refused_at_once_while_callers_are_routed_here(
    delay_s, answer_s, waits_s
):
    """Guards against callers that wait until the listener closes in vain."""
    answers_s = [answer_s] * answer_times.MIN_SAMPLES
    ended_s = drain_with_request(delay_s, *answers_s)
    assert ended_s == pytest.approx(waits_s, abs=0.1)
