"""Tests of the log lines of requests."""

import types as builtin_types

import pytest

from ivystep.gateway.requests import request_log, request_state
from ivystep.traffic import calls, http1
from tests.gateway import fakes

STATE = builtin_types.SimpleNamespace(
    call=builtin_types.SimpleNamespace(request_id='r-1'),
    route=builtin_types.SimpleNamespace(name='plans'),
    upstream_id='i-1',
)


@pytest.mark.parametrize(
    ('framing', 'open_event_bytes', 'is_logged'),
    [
        (http1.Framing.UNTIL_CLOSE, 0, True),
        (http1.Framing.CHUNKED, 7, True),
        (http1.Framing.CHUNKED, 0, False),
        (http1.Framing.LENGTH, 0, False),
    ],
)
def test_unclear_end_of_an_answer_is_logged(
    framing, open_event_bytes, is_logged
):
    """Guards against a broken-off answer that the log does not tell apart."""
    log = fakes.FakeLog()
    body = builtin_types.SimpleNamespace(
        is_ended=True,
        framing=framing,
        received_bytes=90,
        open_event_bytes=open_event_bytes,
    )
    requests_log = request_log.RequestLog(log, None)
    requests_log.answer_ended(STATE, body)
    assert bool(log.events) is is_logged


@pytest.mark.parametrize(
    ('parts', 'logged'),
    [
        ((), ''),
        (('own',), ''),
        (('sys', 'doc', 'own'), 'sys,doc'),
        (('s' * 40, 'own'), 's' * request_state.MAX_LOGGED_PART_ID),
        (tuple('abcdefghijk'), 'a,b,c,d,e,f,g,h,+2'),
    ],
)
def test_parts_of_a_prompt_are_logged_without_the_last_one(parts, logged):
    """Guards against a shared part that the log does not show, or long lines.

    The last part belongs to one request and would fill the line.
    """
    generation = calls.Generation(
        'm', prompt_parts=tuple(calls.PromptPart(name, 9) for name in parts)
    )
    call = calls.Call(
        'r-1', 'POST', '/a/', 'ficu.example', (), b'', 0.0, None, generation
    )
    state = request_state.RequestState(call, None, 'app', 1.0, None)
    assert state.logged_parts == logged
