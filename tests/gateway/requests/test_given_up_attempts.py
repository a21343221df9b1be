"""Tests of attempts that the gateway ends before their upstreams answer."""

import contextlib

import eventlet
import pytest

from tests.gateway import harness

# Upstreams that may crash before a crashing request is refused.
MAX_CRASHED = 3
UPSTREAMS = 8
CALLER_LEAVES_S = 0.05
# A gateway notices a crash within two checks, later on a busy machine.
BETWEEN_REQUESTS_S = 1.0


class CrashingUpstreams:
    """Upstreams that run the requests below ``/short/`` until they crash.

    Attributes:
        runs_s: Time from the receipt of such a request to the crash.
    """

    def __init__(self, runs_s):
        self.runs_s = runs_s
        self.by_id = {}
        self.crashed = []

    def script(self, connection, headers):
        upstream = self._upstream_of(connection)
        head, _ = upstream.requests[-1]
        if not head.startswith(b'POST /short/'):
            return harness.ok_answer(headers)
        eventlet.sleep(self.runs_s)
        if upstream not in self.crashed:
            self.crashed.append(upstream)
            upstream.crash()
        return None

    def _upstream_of(self, connection):
        port = connection.getsockname()[1]
        return next(one for one in self.by_id.values() if one.port == port)


@pytest.fixture
def crashing(build):
    def make(runs_s):
        upstreams = CrashingUpstreams(runs_s)
        gateway, built = build(*([upstreams.script] * UPSTREAMS))
        upstreams.by_id.update((one.upstream_id, one) for one in built)
        return gateway, upstreams

    return make


def send_and_leave(gateway, path, request_id='r-1'):
    """Send a request and close the connection before it is answered."""
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(harness.request(path, request_id))
        eventlet.sleep(CALLER_LEAVES_S)


def test_request_whose_callers_leave_crashes_few_upstreams(crashing):
    """Guards against a crashing request that nobody waits for any more."""
    gateway, upstreams = crashing(0.1)
    for number in range(UPSTREAMS):
        send_and_leave(gateway, '/short/2f', f'crash-{number}')
        eventlet.sleep(BETWEEN_REQUESTS_S)
    assert len(upstreams.crashed) <= MAX_CRASHED
    assert gateway.send('/short/2f', 'late').status == 503
    assert gateway.send('/read/2f', 'other').status == 200


def test_request_that_outruns_its_deadline_crashes_few_upstreams(crashing):
    """Guards against a request that crashes upstreams after its deadline."""
    gateway, upstreams = crashing(0.3)
    for number in range(UPSTREAMS):
        gateway.send('/short/2f', f'crash-{number}')
        eventlet.sleep(BETWEEN_REQUESTS_S)
    assert len(upstreams.crashed) <= MAX_CRASHED


def test_given_up_attempt_at_an_upstream_that_lives_counts_for_nothing(build):
    """Guards against callers that are refused because they leave early."""

    def script(connection, headers):
        eventlet.sleep(0.1)
        return harness.ok_answer(headers)

    gateway, _ = build(*([script] * 2))
    for number in range(MAX_CRASHED + 1):
        send_and_leave(gateway, '/read/2f', f'left-{number}')
        eventlet.sleep(0.4)
    assert gateway.send('/read/2f', 'stays').status == 200


def test_attempt_that_is_given_up_is_logged(build, caplog):
    """Guards against a crash under a request that no line tells of."""
    caplog.set_level('INFO')
    gateway, _ = build(lambda connection, headers: eventlet.sleep(0.2))
    send_and_leave(gateway, '/read/2f', 'r-9')
    eventlet.sleep(0.1)
    lines = {
        record.getMessage(): record
        for record in caplog.records
        if getattr(record, 'request_id', '') == 'r-9'
    }
    given_up = lines['attempt_given_up']
    assert given_up.content == lines['request_placed'].content
    assert 40 <= given_up.sent_ms <= 200
