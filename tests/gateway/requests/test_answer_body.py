"""Tests of how far the body of an answer has come."""

import types as builtin_types

import pytest

from ivystep.gateway.requests import answer_body
from ivystep.runtime import clock
from ivystep.traffic import http1
from tests.coordination import fakes as clocks

RAW = builtin_types.SimpleNamespace(framing=http1.Framing.CHUNKED, headers=())


class Connection:
    """A connection on which one chunk arrives after each pause."""

    peer = 'i-1'

    def __init__(self, pauses_s):
        self.pauses_s = list(pauses_s)

    def next_event(self):
        if not self.pauses_s:
            return http1.MessageEnd()
        clock.sleep(self.pauses_s.pop(0))
        return http1.BodyChunk(b'event')

    def buffered_event(self):
        return None


@pytest.mark.parametrize(
    ('pauses_s', 'is_settled'),
    [
        ([0.1, 0.1, 0.1], False),
        ([0.1, 0.6], False),
        ([0.1, 0.6, 0.01], True),
        ([0.1, 0.3, 0.3, 0.3], True),
    ],
)
def test_answer_is_settled_when_it_went_on_after_its_beginning(
    pauses_s, is_settled
):
    """Guards against a paused host that takes one burst for a long answer."""

    @clocks.on_virtual_clock
    def scenario():
        body = answer_body.AnswerBody(
            Connection(pauses_s), RAW, is_stream=False
        )
        assert b''.join(body.contents()) == b'event' * len(pauses_s)
        return body

    body = scenario()
    assert body.is_settled is is_settled
    assert body.began_at is not None
