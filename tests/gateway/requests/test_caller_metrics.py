"""Tests of what operators see of a crowd of callers."""

import contextlib

import eventlet
import pytest

from ivystep.gateway.requests import caller_metrics, shared_state
from ivystep.metrics import registry
from ivystep.runtime import memory_plan
from tests.gateway import harness

BODY = b'x' * 60000
TOO_LONG = b'x' * (harness.LIMITS['max_body_bytes'] + 1)
CONNECTIONS = 'ivystep_caller_connections'
BUFFERED = 'ivystep_buffered_request_bytes'
REFUSED = 'ivystep_refused_unread_requests_total'


@pytest.fixture
def gateway(build):
    made, _ = build(lambda _, headers: harness.ok_answer(headers))
    return made


def samples(gateway):
    """Return the values of the metrics page by name and labels."""
    page, _ = gateway.daemon._metrics.render()
    lines = page.decode().splitlines()
    return dict(
        line.rsplit(' ', 1) for line in lines if not line.startswith('#')
    )


def refusals(gateway, code, status):
    return int(
        samples(gateway)[f'{REFUSED}{{code="{code}",status="{status}"}}']
    )


def test_requests_refused_by_a_bound_are_counted(gateway):
    """Guards against a crowd that operators see no more of than its effect."""
    with contextlib.closing(gateway.connect()) as too_long:
        too_long.sendall(harness.request('/once/2f', 'r-1', body=TOO_LONG))
        assert harness.read_to_end(too_long).status == 413
    with contextlib.closing(gateway.connect()) as malformed:
        malformed.sendall(b'no request\r\n\r\n')
        assert harness.read_to_end(malformed).status == 400
    with contextlib.closing(gateway.connect()) as slow:
        slow.sendall(harness.request('/once/2f', 'r-2')[:20])
        assert harness.read_to_end(slow).status == 408
    assert refusals(gateway, 'invalid_request', 413) == 1
    assert refusals(gateway, 'invalid_request', 400) == 1
    assert refusals(gateway, 'invalid_request', 408) == 1


def test_requests_refused_for_memory_are_counted(stack, gateway):
    """Guards against a count that differs between status and metrics."""
    gateway.daemon._server_state.buffered.limit_bytes = len(BODY)
    sent = harness.request('/once/2f', 'r-1', body=BODY)
    slow = [
        stack.enter_context(contextlib.closing(gateway.connect()))
        for _ in range(3)
    ]
    for connection in slow:
        connection.sendall(sent[:-1])
    assert harness.read_to_end(slow[0]).status == 503
    count = refusals(gateway, 'no_memory', 503)
    assert count >= 1
    status = gateway.daemon.status().details
    assert status['refused_for_memory'] == count
    assert status['refused_for_connections'] == 0


def test_open_connections_and_buffered_bytes_are_shown(stack, gateway):
    """Guards against parts of the plan that nobody can see being reached."""
    slow = stack.enter_context(contextlib.closing(gateway.connect()))
    slow.sendall(harness.request('/once/2f', 'r-1', body=BODY)[:-1])
    with eventlet.Timeout(5):
        while float(samples(gateway)[BUFFERED]) <= len(BODY):
            eventlet.sleep(0.01)
    assert int(samples(gateway)[CONNECTIONS]) == 1
    assert gateway.daemon.status().details['connections'] == 1


def test_each_part_of_the_plan_is_shown():
    """Guards against a term of the sum that is left out."""
    plan = memory_plan.MemoryPlan.from_capacity(300 * 10**6, 1706)
    metrics = registry.Metrics()
    caller_metrics.CallerMetrics(metrics, shared_state.ServerState(plan))
    page, _ = metrics.render()
    shown = {
        line.split('"')[1]: float(line.rsplit(' ', 1)[1])
        for line in page.decode().splitlines()
        if line.startswith('ivystep_planned_memory_bytes')
    }
    assert shown.pop('limit') == plan.memory_bytes
    assert sum(shown.values()) == plan.sum_bytes
    assert set(shown) == set(plan.bytes_by_part)
