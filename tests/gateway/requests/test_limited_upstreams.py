"""Tests of upstreams that name the requests a second that they take."""

import itertools

import eventlet
import pytest

from tests.gateway import harness

LIMIT_PER_S = 2.0
# The platform's window, and what it allows there: one and a half times the
# limit, and five more.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# Time for which the platform counts nothing after the limit was first named.
NOTICE_S = 3.0
SENDING_S = NOTICE_S + WINDOW_S
PAUSE_S = 0.1
AT_ONCE_S = 0.5


class LimitedUpstream:
    """An upstream that names a limit and records when requests arrive."""

    def __init__(self, limit=LIMIT_PER_S):
        self.limit = limit
        self.arrivals = []

    def script(self, connection, headers):
        self.arrivals.append(now())
        if self.limit is None:
            return harness.ok_answer(headers)
        return harness.ok_answer(headers, **{'Server-Limit': self.limit})

    def most_in_a_window(self, since):
        """Return the most arrivals in a window that ends after a time."""
        return max(
            sum(end - WINDOW_S < at <= end for at in self.arrivals)
            for end in itertools.chain(self.arrivals, [now()])
            if end >= since
        )


def now():
    return eventlet.hubs.get_hub().clock()


def send_for(seconds, *gateways):
    """Send requests to the gateways by turns and return their answers."""
    answers = []
    started = now()
    for number, gateway in enumerate(itertools.cycle(gateways)):
        if now() >= started + seconds:
            return answers
        answers.append(eventlet.spawn(gateway.send, '/read/2f', f'r-{number}'))
        eventlet.sleep(PAUSE_S)
    return answers


@pytest.mark.parametrize('hosts', [1, 2])
def test_upstream_gets_no_more_requests_than_the_limit_that_it_names(
    build, build_peer, hosts
):
    """Guards against requests beyond the rate limit of an upstream."""
    limited = LimitedUpstream()
    first, _ = build(limited.script, lambda _, head: harness.ok_answer(head))
    gateways = [first]
    if hosts > 1:
        gateways.append(build_peer(first, 'host-2'))
    started = now()
    answers = send_for(SENDING_S, *gateways)
    assert limited.most_in_a_window(started + NOTICE_S) <= ALLOWED
    assert all(answer.wait().status == 200 for answer in answers)


def test_limit_ends_when_the_upstream_names_none(build):
    """Guards against an upstream that stays limited for ever."""
    limited = LimitedUpstream()
    gateway, _ = build(limited.script)
    assert gateway.send('/read/2f').status == 200
    limited.limit = None
    eventlet.sleep(1 / LIMIT_PER_S)
    assert gateway.send('/read/2f', 'r-2').status == 200
    before = len(limited.arrivals)
    answers = send_for(1.0, gateway)
    assert all(answer.wait().status == 200 for answer in answers)
    assert len(limited.arrivals) == before + len(answers)


def test_request_that_no_limited_upstream_can_take_is_refused_at_once(build):
    """Guards against requests that wait for nothing until their deadline."""
    limited = LimitedUpstream(limit=0.5)
    gateway, _ = build(limited.script)
    assert gateway.send('/read/2f').status == 200
    durations = []

    def send(number):
        started = now()
        answer = gateway.send('/read/2f', f'r-{number}')
        if answer.status == 503:
            durations.append(now() - started)
        return answer

    waiting = [eventlet.spawn(send, number) for number in range(6)]
    refused = [
        answer
        for answer in (one.wait() for one in waiting)
        if answer.status == 503
    ]
    assert len(refused) >= 5
    assert max(durations) < AT_ONCE_S
    assert all(float(one.headers['retry-after']) > 1 for one in refused)
