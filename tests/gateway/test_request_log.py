"""Tests of the log lines of requests."""

import types as builtin_types

import pytest

from ivystep.gateway import request_log
from ivystep.traffic import http1
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
