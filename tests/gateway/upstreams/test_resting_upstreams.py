"""Tests of upstreams that turn requests away and ask for rest."""

import eventlet
import pytest

from ivystep.gateway.requests import limited_upstreams
from ivystep.gateway.upstreams import upstream_state
from ivystep.traffic import calls
from tests.gateway import fakes, harness

REST_S = 1
PAUSE_S = 0.05
AT_ONCE_S = 0.3


class RestingUpstream:
    """An upstream that asks for rest with each answer.

    Attributes:
        arrivals: Time of each request.
        is_resting: Whether it asks for rest, or serves its requests.
    """

    def __init__(self, rest_s=REST_S):
        self.rest_s = rest_s
        self.arrivals = []
        self.is_resting = True

    def script(self, connection, headers):
        self.arrivals.append(now())
        if not self.is_resting:
            return harness.ok_answer(headers)
        return (
            'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'
            f'Retry-After: {self.rest_s}\r\nContent-Length: 0\r\n\r\n'
        ).encode()


def now():
    return eventlet.hubs.get_hub().clock()


def serve(connection, headers):
    return harness.ok_answer(headers)


def send_for(gateway, seconds):
    """Send requests at a steady rate and return their answers."""
    waiting = []
    for number in range(int(seconds / PAUSE_S)):
        waiting.append(
            eventlet.spawn(gateway.send, '/once/2f', f'rest-{number}')
        )
        eventlet.sleep(PAUSE_S)
    return [one.wait() for one in waiting]


def test_upstream_that_asks_for_rest_gets_no_requests_meanwhile(build):
    """Guards against requests to an upstream that wants none."""
    resting = RestingUpstream()
    gateway, _ = build(resting.script, serve)
    answers = send_for(gateway, 2.5 * REST_S)
    gaps = [
        after - before
        for before, after in zip(
            resting.arrivals, resting.arrivals[1:], strict=False
        )
    ]
    assert gaps
    assert min(gaps) >= REST_S
    assert all(answer.status == 200 for answer in answers)


def test_upstream_is_used_again_after_its_rest(build):
    """Guards against an upstream that rests for ever."""
    resting = RestingUpstream()
    gateway, _ = build(resting.script, serve)
    send_for(gateway, REST_S / 2)
    resting.is_resting = False
    eventlet.sleep(REST_S)
    before = len(resting.arrivals)
    send_for(gateway, REST_S)
    assert len(resting.arrivals) >= before + 5


def test_request_is_refused_at_once_if_all_upstreams_rest(build):
    """Guards against requests that wait for a rest until their deadline."""
    resting = RestingUpstream(rest_s=30)
    gateway, _ = build(resting.script)
    gateway.send('/once/2f', 'first')
    started = now()
    answer = gateway.send('/once/2f', 'second')
    assert now() - started < AT_ONCE_S
    assert answer.status == 503
    assert 25 < float(answer.headers['retry-after']) <= 30
    assert len(resting.arrivals) == 1


def test_request_waits_for_the_end_of_a_short_rest(build):
    """Guards against a refusal of a request that can be served in time."""
    resting = RestingUpstream(rest_s=0.4)
    gateway, _ = build(resting.script)
    gateway.send('/once/2f', 'first')
    resting.is_resting = False
    assert gateway.send('/once/2f', 'second').status == 200


@pytest.mark.parametrize('status', ['429 Busy', '500 Failed'])
def test_other_statuses_ask_for_no_rest(build, status):
    """Guards against upstreams that rest because one request was refused."""
    arrivals = []

    def script(connection, headers):
        arrivals.append(now())
        return (
            f'HTTP/1.1 {status}\r\nRequest-Id: {headers["request-id"]}\r\n'
            'Retry-After: 9\r\nContent-Length: 0\r\n\r\n'
        ).encode()

    gateway, _ = build(script)
    for number in range(3):
        gateway.send('/once/2f', f'r-{number}')
    assert len(arrivals) >= 3


def test_rest_is_not_shortened():
    """Guards against a rest that ends with a later answer or a failure."""
    upstream = upstream_state.Upstream(fakes.entry())
    upstream.rest(5.0, now=10.0)
    upstream.rest(1.0, now=11.0)
    upstream.suspend(11.0)
    upstream.on_answer()
    assert upstream.rest_s(11.0) == pytest.approx(4.0)
    assert not upstream.is_available(14.9)
    assert upstream.is_available(15.0)


def test_rest_of_one_of_two_upstreams_delays_no_request():
    """Guards against requests that wait although an upstream is free."""
    known = {
        name: upstream_state.Upstream(fakes.entry(name))
        for name in ('i-1', 'i-2')
    }
    limits = limited_upstreams.LimitedUpstreams(
        known, lambda: 1, lambda upstream: None, fakes.FakeLog()
    )
    asked = calls.AnswerHead(503, 'Busy', (), is_not_run=True, rest_s=9.0)
    limits.on_answer(known['i-1'], asked, sent_at=0.0)
    assert not limits.expected_wait_s('llm')
    limits.on_answer(known['i-2'], asked, sent_at=0.0)
    assert limits.expected_wait_s('llm') == pytest.approx(9.0, abs=0.1)
