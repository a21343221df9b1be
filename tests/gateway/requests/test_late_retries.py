"""Tests of retries for which the deadline of a request leaves no time."""

import pytest

from ivystep.core import errors, types
from ivystep.gateway.requests import answer_times
from ivystep.runtime import clock
from ivystep.traffic import contracts
from tests.coordination import fakes as clocks
from tests.gateway.requests import test_dispatch

TIMEOUT_S = 1.5
QUICK_ANSWER_S = 0.02
# Longer than a quick answer, shorter than one of which nothing is known.
LEFT_S = 0.1
ONCE = {'kind': contracts.Repeatability.AT_MOST_ONCE, 'timeout_s': TIMEOUT_S}


def refusal():
    return errors.RequestError(
        'upstream_full', 'Full.', status=503, ran=types.ExecutionStatus.NO
    )


def refusing_late(monkeypatch, *outcomes):
    """Return a dispatcher whose upstream refuses a request only late."""
    harness = test_dispatch.DispatchHarness(monkeypatch, outcomes=outcomes)
    harness.wait_in_queue = lambda: clock.sleep(TIMEOUT_S - LEFT_S)
    return harness


def failed(harness, **route):
    with pytest.raises(errors.RequestError) as raised:
        harness.run(**route)
    return raised.value


def test_refused_request_is_not_sent_too_late_for_an_answer(monkeypatch):
    """Guards against a 504 with an unknown outcome in place of a refusal:
    no upstream has run the request, and its caller may send it again.
    """

    @clocks.on_virtual_clock
    def scenario():
        harness = refusing_late(monkeypatch, refusal())
        error = failed(harness, **ONCE)
        assert (error.status, error.ran) == (503, types.ExecutionStatus.NO)
        assert error.retry_after_s > 0
        assert len(harness.sent) == 1

    scenario()


def test_request_that_is_refused_while_it_connects_is_not_sent(monkeypatch):
    """Guards against the same after a wait for a connection."""

    @clocks.on_virtual_clock
    def scenario():
        harness = test_dispatch.DispatchHarness(
            monkeypatch, outcomes=[refusal()]
        )
        connects_s = [0.0, TIMEOUT_S - LEFT_S]
        harness.on_connect = lambda: clock.sleep(connects_s.pop(0))
        error = failed(harness, **ONCE)
        assert (error.status, error.ran) == (503, types.ExecutionStatus.NO)
        assert len(harness.sent) == 1

    scenario()


def test_retry_that_can_be_answered_in_time_is_made(monkeypatch):
    """Guards against refusals on routes whose answers come quickly."""

    @clocks.on_virtual_clock
    def scenario():
        harness = refusing_late(monkeypatch)
        wait_late = harness.wait_in_queue
        harness.wait_in_queue = lambda: clock.sleep(QUICK_ANSWER_S)
        for _ in range(answer_times.MIN_SAMPLES):
            harness.run(**ONCE)
        harness.sent.clear()
        harness.outcomes.append(refusal())
        waits = [wait_late, harness.wait_in_queue]
        harness.wait_in_queue = lambda: waits.pop(0)()
        harness.run(**ONCE)
        assert len(harness.sent) == 2

    scenario()


def test_first_attempt_is_made_however_short_the_deadline(monkeypatch):
    """Guards against callers with short deadlines that are never served."""

    @clocks.on_virtual_clock
    def scenario():
        harness = test_dispatch.DispatchHarness(monkeypatch)
        harness.run(**{**ONCE, 'timeout_s': QUICK_ANSWER_S})
        assert len(harness.sent) == 1

    scenario()


def test_request_that_may_have_run_is_tried_until_its_deadline(monkeypatch):
    """Guards against attempts that are given up although they cost nothing:
    the outcome is unknown without them too.
    """

    @clocks.on_virtual_clock
    def scenario():
        harness = test_dispatch.DispatchHarness(
            monkeypatch,
            outcomes=[test_dispatch.failure(types.ExecutionStatus.UNKNOWN)],
        )
        waits_s = [TIMEOUT_S - LEFT_S, QUICK_ANSWER_S]
        harness.wait_in_queue = lambda: clock.sleep(waits_s.pop(0))
        harness.run(
            kind=contracts.Repeatability.IDEMPOTENT,
            timeout_s=TIMEOUT_S,
            max_attempts=2,
        )
        assert len(harness.sent) == 2

    scenario()
