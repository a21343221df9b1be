"""Tests of requests that crash each upstream that runs them."""

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.requests import crashes
from ivystep.platform import crash_rows, rows
from tests.gateway import harness

# Upstreams that may crash before such a request is refused everywhere.
MAX_CRASHED = 3
UPSTREAMS = 8
CRASHING = '/read/2f'


class Upstreams:
    """Upstreams that crash while they run the content of one request."""

    def __init__(self):
        self.by_id = {}
        self.crashed = []
        self.crashing = CRASHING

    def script(self, connection, headers):
        for upstream in self.by_id.values():
            if upstream.requests and upstream not in self.crashed:
                head, _ = upstream.requests[-1]
                if head.startswith(f'POST {self.crashing}'.encode()):
                    self.crashed.append(upstream)
                    upstream.crash()
                    return None
        return harness.ok_answer(headers)


@pytest.fixture
def upstreams():
    return Upstreams()


@pytest.fixture
def first(build, upstreams):
    gateway, built = build(*([upstreams.script] * UPSTREAMS))
    upstreams.by_id.update((one.upstream_id, one) for one in built)
    return gateway


def send_until_refused(gateway, sent=UPSTREAMS):
    """Send the request again and again, as its caller does."""
    answers = []
    for number in range(sent):
        answers.append(gateway.send(CRASHING, f'crash-{number}'))
        # Longer than the other gateways need to read what one has written.
        eventlet.sleep(0.2)
    return answers


def test_request_that_crashes_upstreams_is_refused(first, upstreams):
    """Guards against one request that ends all upstreams of a service."""
    answers = send_until_refused(first)
    assert len(upstreams.crashed) <= MAX_CRASHED
    assert answers[-1].status == 503
    assert float(answers[-1].headers['retry-after']) > 0
    assert first.send('/read/other').status == 200


def test_request_that_silences_upstreams_is_refused(build, stack):
    """Guards against crashed hosts that are not known by a refusal."""
    silent = []

    def script(connection, headers):
        port = connection.getsockname()[1]
        upstream = next(one for one in built if one.port == port)
        silent.append(upstream)
        upstream.crash_silently(stack)

    gateway, built = build(*([script] * UPSTREAMS))
    for number in range(UPSTREAMS):
        gateway.send(CRASHING, f'crash-{number}')
        # Longer than two connections to a silent address take.
        eventlet.sleep(1.0)
    assert len(silent) <= MAX_CRASHED


def test_request_that_crashed_upstreams_is_refused_by_other_gateways(
    first, upstreams, build_peer
):
    """Guards against a request that crashes upstreams through each gateway."""
    second = build_peer(first, 'host-2')
    for number in range(UPSTREAMS):
        gateway = (first, second)[number % 2]
        gateway.send(CRASHING, f'crash-{number}')
        eventlet.sleep(0.2)
    assert len(upstreams.crashed) <= MAX_CRASHED
    assert second.send('/read/other').status == 200


def test_request_that_crashed_upstreams_is_refused_after_a_restart(
    first, upstreams, build_peer
):
    """Guards against crashes that are forgotten with the gateway's memory."""
    send_until_refused(first)
    crashed = len(upstreams.crashed)
    assert crashed <= MAX_CRASHED
    started_again = build_peer(first, 'host-3')
    eventlet.sleep(0.2)
    answer = started_again.send(CRASHING, 'crash-again')
    assert answer.status == 503
    assert len(upstreams.crashed) == crashed


def test_gateway_uses_no_upstream_before_it_knows_the_crashes(
    first, stack, monkeypatch
):
    """Guards against a host that takes a table it has not read for empty."""
    read_all = rows.RowsClient.read_all

    def refuse(client, table):
        if table == crash_rows.TABLE:
            raise errors.UnavailableError('refused', step='read')
        return read_all(client, table)

    monkeypatch.setattr(rows.RowsClient, 'read_all', refuse)
    started = harness.GatewayHarness(stack, host='host-2', peer=first)
    eventlet.sleep(0.3)
    assert started.daemon.status().setup_version
    assert not started.daemon.status().details['upstreams']
    monkeypatch.setattr(rows.RowsClient, 'read_all', read_all)
    started.wait_for(UPSTREAMS)


def test_request_that_comes_from_another_address_is_refused(first, upstreams):
    """Guards against crashes by a caller that sends from several addresses."""
    for number in range(UPSTREAMS):
        connection = first.connect(f'127.0.0.{number + 1}')
        harness.exchange(connection, CRASHING, f'crash-{number}')
        eventlet.sleep(0.2)
    assert len(upstreams.crashed) <= MAX_CRASHED


def test_request_with_another_query_is_refused(first, upstreams):
    """Guards against crashes by a request whose query changes each time."""
    for number in range(UPSTREAMS):
        first.send(f'{CRASHING}?page={number}', f'crash-{number}')
        eventlet.sleep(0.2)
    assert len(upstreams.crashed) <= MAX_CRASHED


def test_query_that_crashes_is_refused_beside_others_that_do_not(
    first, upstreams
):
    """Guards against successes of a path that clear one of its queries."""
    upstreams.crashing = f'{CRASHING}?page=99'
    for number in range(UPSTREAMS):
        first.send(upstreams.crashing, f'crash-{number}')
        for other in range(crashes.SUCCESSES_TO_CLEAR):
            answer = first.send(f'{CRASHING}?page={other}', f'ok-{other}')
            assert answer.status == 200
    assert len(upstreams.crashed) <= MAX_CRASHED


def test_other_content_of_the_same_caller_is_not_refused(first, upstreams):
    """Guards against a caller that is refused because of one request."""
    send_until_refused(first)
    assert first.send(CRASHING, 'other', body=b'{"field": 2}').status == 502


@pytest.mark.parametrize('has_begun', [True, False])
def test_log_tells_how_far_the_answer_of_a_crashed_upstream_had_come(
    build, caplog, has_begun
):
    """Guards against a request that just began and one that ran alike."""
    caplog.set_level('WARNING')

    def script(connection, headers):
        if has_begun:
            content = harness.chunk(harness.EVENTS[0])
            connection.sendall(harness.stream_head(headers) + content)
        eventlet.sleep(0.15)
        upstream.crash()

    gateway, (upstream,) = build(script)
    gateway.send('/stream/1')
    (line,) = [
        record
        for record in caplog.records
        if record.getMessage() == 'upstream_crashed'
    ]
    assert 150 <= line.sent_ms <= 500
    if has_begun:
        assert 100 <= line.head_ms <= line.sent_ms
        assert line.body_bytes == len(harness.EVENTS[0])
    else:
        assert (line.head_ms, line.body_bytes) == (-1, 0)


def test_lost_answers_of_upstreams_that_live_are_not_crashes(build):
    """Guards against requests refused because of broken connections."""

    def script(connection, headers):
        harness.reset(connection)

    gateway, built = build(*([script] * UPSTREAMS))
    for number in range(UPSTREAMS):
        assert gateway.send(CRASHING, f'lost-{number}').status == 502
    assert sum(len(one.requests) for one in built) >= UPSTREAMS
