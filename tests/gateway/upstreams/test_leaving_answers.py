"""Tests of upstreams that state in their answers that they drain."""

from tests.gateway import harness


def serve(connection, headers):
    return harness.ok_answer(headers)


def test_upstream_that_states_that_it_leaves_gets_no_further_requests(build):
    """Guards against requests to an upstream whose entry tells nothing yet."""

    def leave(connection, headers):
        return harness.ok_answer(headers, **{'Server-Leaving': '1'})

    gateway, (leaving, staying) = build(leave, serve)
    answers = [gateway.send('/once/2f', f'r-{number}') for number in range(8)]
    assert all(answer.status == 200 for answer in answers)
    assert len(leaving.requests) == 1
    assert len(staying.requests) == 7


def test_other_values_do_not_state_that_an_upstream_leaves(build):
    """Guards against an upstream that is lost to a malformed header."""

    def answer(connection, headers):
        return harness.ok_answer(headers, **{'Server-Leaving': '0'})

    gateway, (upstream,) = build(answer)
    for number in range(3):
        assert gateway.send('/once/2f', f'r-{number}').status == 200
    assert len(upstream.requests) == 3
