"""Tests of attempts that a planned stop of a gateway leaves no time for."""

import pytest

from ivystep.core import errors, types
from ivystep.gateway.requests import answer_times, planned_stop
from ivystep.runtime import clock
from ivystep.traffic import contracts
from tests.coordination import fakes as clocks
from tests.gateway.requests import test_dispatch

GRACE_S = 7.6
ANSWER_S = 1.0
ROUTE = {
    'kind': contracts.Repeatability.IDEMPOTENT,
    'timeout_s': 30.0,
    'max_attempts': 3,
}


def late_harness(monkeypatch, left_s, accepts_s=GRACE_S, **more):
    """Return a dispatcher whose host ends requests in a given time.

    Callers are routed here for a time after the stop has begun. The
    dispatcher's upstreams have needed a known time for each answer so far.
    """
    harness = test_dispatch.DispatchHarness(monkeypatch, **more)
    harness.wait_in_queue = lambda: clock.sleep(ANSWER_S)
    for _ in range(answer_times.MIN_SAMPLES):
        harness.run(**ROUTE)
    harness.sent.clear()
    stop = harness.dispatcher._stop
    now = clock.now()
    stop.begin(
        planned_stop.StopTimes(
            now, now + accepts_s, now + accepts_s, now + GRACE_S
        )
    )
    clock.sleep(GRACE_S - left_s)
    return harness


def refused(harness):
    with pytest.raises(errors.RequestError) as raised:
        harness.run(**ROUTE)
    return raised.value.status, raised.value.ran


def test_request_whose_permit_comes_too_late_is_not_sent(monkeypatch):
    """Guards against requests that wait for an engine and are then cut."""

    @clocks.on_virtual_clock
    def scenario():
        harness = late_harness(monkeypatch, left_s=ANSWER_S + 0.5)
        harness.on_permit = lambda: clock.sleep(0.6)
        assert refused(harness) == (503, types.ExecutionStatus.NO)
        assert not harness.sent

    scenario()


def test_request_whose_connection_opens_too_late_is_not_sent(monkeypatch):
    """Guards against requests that wait for a connection and are then cut."""

    @clocks.on_virtual_clock
    def scenario():
        harness = late_harness(monkeypatch, left_s=ANSWER_S + 0.5)
        harness.on_connect = lambda: clock.sleep(0.6)
        assert refused(harness) == (503, types.ExecutionStatus.NO)
        assert not harness.sent

    scenario()


def test_retry_that_would_be_cut_is_not_made(monkeypatch):
    """Guards against retries that only cost upstreams; the first may have run.

    It is not refused as not run.
    """

    @clocks.on_virtual_clock
    def scenario():
        harness = late_harness(monkeypatch, left_s=ANSWER_S + 0.5, upstreams=2)
        harness.outcomes.append(
            test_dispatch.failure(types.ExecutionStatus.UNKNOWN)
        )
        assert refused(harness) == (502, types.ExecutionStatus.UNKNOWN)
        assert len(harness.sent) == 1

    scenario()


def test_retry_that_can_end_is_made(monkeypatch):
    """Guards against retries that are given up although there is time."""

    @clocks.on_virtual_clock
    def scenario():
        harness = late_harness(
            monkeypatch, left_s=2 * ANSWER_S + 0.5, upstreams=2
        )
        harness.outcomes.append(
            test_dispatch.failure(types.ExecutionStatus.UNKNOWN)
        )
        harness.run(**ROUTE)
        assert len(harness.sent) == 2

    scenario()


def test_retry_after_callers_have_left_is_not_made(monkeypatch):
    """Guards against a second run that is cut; earlier answers are no bound."""

    @clocks.on_virtual_clock
    def scenario():
        harness = late_harness(
            monkeypatch,
            left_s=4 * ANSWER_S,
            accepts_s=GRACE_S - 3.5 * ANSWER_S,
            upstreams=2,
        )
        harness.outcomes.append(
            test_dispatch.failure(types.ExecutionStatus.UNKNOWN)
        )
        assert refused(harness) == (502, types.ExecutionStatus.UNKNOWN)
        assert len(harness.sent) == 1

    scenario()
