"""Tests of requests that wait for their turn at limited upstreams."""

import contextlib
import types as builtin_types

import pytest

from ivystep.core import errors
from ivystep.gateway.requests import limited_upstreams
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock
from ivystep.traffic import calls
from tests.coordination import fakes as clocks
from tests.gateway import fakes


class Turns:
    """Two engines, of which some name a limit of one request a second."""

    def __init__(self, *limited):
        self.log = fakes.FakeLog()
        self.changed = []
        self.upstream_by_id = {
            upstream_id: upstream_state.Upstream(fakes.entry(upstream_id))
            for upstream_id in ('i-1', 'i-2')
        }
        self.limits = limited_upstreams.LimitedUpstreams(
            self.upstream_by_id,
            lambda: 1,
            lambda upstream: self.changed.append(upstream.upstream_id),
            self.log,
        )
        for upstream_id in limited:
            self.name_limit(upstream_id, 1.0)

    def name_limit(self, upstream_id, limit_per_s):
        self.limits.on_answer(
            self.upstream_by_id[upstream_id],
            calls.AnswerHead(200, 'OK', (), limit_per_s=limit_per_s),
            sent_at=clock.now(),
        )

    def wait(self, send_within_s):
        send_by = clock.now() + send_within_s
        state = builtin_types.SimpleNamespace(
            service='llm', start_by=send_by, send_by=send_by
        )
        return self.limits.wait_in_turn(state)


@clocks.on_virtual_clock
def test_late_request_is_not_refused_while_nothing_is_limited():
    """Guards against streams that are not resumed after their latest start."""
    with Turns().wait(send_within_s=-1.0):
        pass


@clocks.on_virtual_clock
def test_request_waits_as_long_as_one_upstream_is_not_limited():
    """Guards against refusals while an upstream takes any number."""
    with Turns('i-1').wait(send_within_s=0.001):
        pass


@clocks.on_virtual_clock
def test_refusal_tells_when_the_next_turn_is_free():
    """Guards against callers that come back too early or too late."""
    turns = Turns('i-1', 'i-2')
    for upstream in turns.upstream_by_id.values():
        clock.sleep(1)
        assert turns.limits.try_take(upstream)
    waiting = contextlib.ExitStack()
    for _ in range(3):
        waiting.enter_context(turns.wait(10))
    with waiting, pytest.raises(errors.RefusedError) as caught:
        waiting.enter_context(turns.wait(1.0))
    # Three wait, two a second are served, and a turn has just passed.
    assert 1.5 <= caught.value.retry_after_s <= 2.5


@clocks.on_virtual_clock
def test_upstream_becomes_available_at_its_turn():
    """Guards against a limited upstream that is never used again."""
    turns = Turns('i-1')
    clock.sleep(1.1)
    assert turns.limits.try_take(turns.upstream_by_id['i-1'])
    assert not turns.limits.try_take(turns.upstream_by_id['i-1'])
    turns.changed.clear()
    clock.sleep(1.1)
    assert 'i-1' in turns.changed
    assert turns.limits.try_take(turns.upstream_by_id['i-1'])


@clocks.on_virtual_clock
def test_changes_of_a_limit_are_logged_once():
    """Guards against a line for each answer of an overloaded upstream."""
    turns = Turns()
    for limit_per_s in (1.0, 1.0, 2.0, None, None):
        clock.sleep(0.1)
        turns.name_limit('i-1', limit_per_s)
    named = [one.limit_per_s for one in turns.log.named('upstream_limited')]
    assert named == [1.0, 2.0, -1.0]
