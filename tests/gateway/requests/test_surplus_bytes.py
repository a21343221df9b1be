"""Tests bytes that follow a whole answer of an upstream."""

import pytest

from tests.gateway import harness
from tests.gateway.requests import test_answer_ends

ROUTES = {'routes': test_answer_ends.ROUTES}


@pytest.mark.parametrize('path', test_answer_ends.PATHS)
@pytest.mark.parametrize(
    'surplus', [b'nonsense\r\n\r\n', b'\x00', b'HTTP/1.1 x']
)
def test_answer_followed_by_bytes_that_are_none_is_delivered(
    build, path, surplus
):
    """Guards against a whole answer that is thrown away."""

    def answer(_, headers):
        return test_answer_ends.whole_answer(headers, path) + surplus

    gateway, (upstream,) = build(answer, config=ROUTES)
    for number in range(2):
        received = gateway.send(f'/{path}/2f', f'r-{number}')
        assert (received.status, received.is_complete) == (200, True)
    assert len(upstream.requests) == 2
    assert upstream.opened == 2


def test_refusal_with_a_malformed_body_is_not_run(build):
    """Guards against a refusal that is lost to what follows it."""
    refusal = (
        b'HTTP/1.1 503 Busy\r\nRequest-Id: r-1\r\nNot-Executed: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\nxyz\r\n'
    )
    answers = [refusal]

    def answer(_, headers):
        return answers.pop() if answers else harness.ok_answer(headers)

    gateway, _ = build(answer, answer)
    assert gateway.send('/once/2f').status == 200
    assert not answers
