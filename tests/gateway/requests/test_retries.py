"""Tests of the table of retries."""

import types as builtin_types

import pytest

from ivystep.core import types
from ivystep.gateway.requests import request_state, retries
from ivystep.traffic import calls, contracts
from tests.traffic import test_contracts

NO = types.ExecutionStatus.NO
UNKNOWN = types.ExecutionStatus.UNKNOWN
YES = types.ExecutionStatus.YES
ONCE = contracts.Repeatability.AT_MOST_ONCE
AGAIN = contracts.Repeatability.IDEMPOTENT
STREAM = contracts.Repeatability.STREAM
# What the caller has of the answer.
NOTHING = (False, True)
WHOLE_EVENTS = (True, True)
OTHER_PART = (True, False)


def new_state(kind, has, *, is_resumable=False, sent=1):
    """Return a request with two attempts of which some were sent."""
    call = calls.Call(
        request_id='r-1',
        method='POST',
        target='/a/',
        host='ficu.example',
        headers=(),
        body=b'',
        arrived=0.0,
    )
    route = test_contracts.route(
        '/a/', kind=kind, is_resumable=is_resumable, max_attempts=2
    )
    has_started, can_resume = has
    answer = builtin_types.SimpleNamespace(
        has_started=has_started, can_resume=can_resume, last_event_id=''
    )
    state = request_state.RequestState.from_call(call, route, answer)
    state.may_have_run.extend(['i-1'] * sent)
    return state


@pytest.mark.parametrize(
    ('kind', 'is_resumable', 'has', 'followed_after'),
    [
        (ONCE, False, NOTHING, {NO}),
        (ONCE, False, OTHER_PART, set()),
        (AGAIN, False, NOTHING, {NO, UNKNOWN, YES}),
        (AGAIN, False, OTHER_PART, set()),
        (STREAM, False, NOTHING, {NO}),
        (STREAM, False, WHOLE_EVENTS, set()),
        (STREAM, False, OTHER_PART, set()),
        (STREAM, True, NOTHING, {NO, UNKNOWN, YES}),
        (STREAM, True, WHOLE_EVENTS, {NO, UNKNOWN, YES}),
        (STREAM, True, OTHER_PART, set()),
    ],
)
def test_attempt_follows_only_what_may_be_repeated(
    kind, is_resumable, has, followed_after
):
    """Guards against second runs, joined answers and retries left out."""
    state = new_state(kind, has, is_resumable=is_resumable)
    followed = {
        ran for ran in types.ExecutionStatus if retries.may_follow(state, ran)
    }
    assert followed == followed_after


@pytest.mark.parametrize('ran', types.ExecutionStatus)
def test_no_attempt_follows_the_last_one(ran):
    """Guards against more sends to one upstream than a route allows."""
    state = new_state(AGAIN, NOTHING, sent=2)
    assert not retries.may_follow(state, ran)
