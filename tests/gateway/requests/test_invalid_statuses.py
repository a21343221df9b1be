"""Tests answers of upstreams whose status is none of an answer."""

import pytest

from ivystep.runtime import clock
from tests.gateway.requests import test_answer_ends

ROUTES = {'routes': test_answer_ends.ROUTES}
BODY = b'123456789'
STATUSES = ('000', '001', '099', '199', '600', '999')
# Long before the deadline of the request, which an upstream that sends bytes
# that are no HTTP does not use up either.
ENDED_S = 2.0


def invalid_answer(status, headers, *, is_sealed):
    lines = [
        f'HTTP/1.1 {status} X'.encode(),
        f'Request-Id: {headers["request-id"]}'.encode(),
        b'Content-Length: %d' % len(BODY),
    ]
    if is_sealed:
        lines.append(b'Response-Seal: 3e1b')
    return b'\r\n'.join((*lines, b'', BODY))


@pytest.mark.parametrize('is_sealed', [True, False])
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', test_answer_ends.PATHS)
def test_status_of_no_answer_is_not_passed_on(build, path, status, is_sealed):
    """Guards against 000 as an answer, and a deadline that is waited out."""
    answers = []

    def answer(_, headers):
        if not answers:
            answers.append(headers)
            return invalid_answer(status, headers, is_sealed=is_sealed)
        return test_answer_ends.whole_answer(headers, path)

    gateway, upstreams = build(answer, answer, config=ROUTES)
    started = clock.now()
    received = gateway.send(f'/{path}/2f')
    assert clock.now() < started + ENDED_S
    assert received.status in {200, 502}
    assert BODY not in received.body
    sent = sum(len(one.requests) for one in upstreams)
    assert sent == (2 if received.status == 200 else 1)
    # Where the route allows it, another upstream answers.
    assert (received.status == 200) == (path in test_answer_ends.REPEATABLE)
