"""Ends the requests that a planned stop of this host leaves no time for.

A request that is sent to an upstream and cut off as this host ends has no
outcome, and may not be repeated unless it is idempotent. So it is refused
before it is sent, with the promise that it has not run, if its answer would
probably come too late.
"""

import contextlib
import dataclasses
import math
from collections.abc import Generator

import greenlet
from eventlet import hubs

from ivystep.gateway import answer_times, request_state
from ivystep.runtime import clock

# Callers may still send requests for this time after the stop signal, because
# the platform routes them here until two readiness probes have failed.
SENT_IN_GOOD_FAITH_S = 3.0


class HostStoppedError(Exception):
    """This host ends too soon for the answer to a request."""


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """A request in progress and the task that handles it."""

    state: request_state.RequestState
    task: greenlet.greenlet


class PlannedStop:
    """The planned stop of this host; nothing happens before it begins.

    Attributes:
        times: How long answers take.
    """

    def __init__(self) -> None:
        self.times = answer_times.AnswerTimes()
        self._ends_at = math.inf
        self._good_faith_until = math.inf
        self._requests: set[_Request] = set()

    def begin(self, ends_at: float) -> None:
        """Begin the stop.

        Args:
            ends_at: Time at which the last requests are ended.
        """
        self._ends_at = ends_at
        self._good_faith_until = clock.now() + SENT_IN_GOOD_FAITH_S

    @contextlib.contextmanager
    def watch(self, state: request_state.RequestState) -> Generator[None]:
        """End a request within the context if this host ends too soon.

        Args:
            state: The request.

        Raises:
            HostStoppedError: The request was ended.
        """
        request = _Request(state, greenlet.getcurrent())
        self._requests.add(request)
        try:
            yield
        finally:
            self._requests.discard(request)

    def raise_if_too_late(self, state: request_state.RequestState) -> None:
        """Raise an error if the answer would come too late.

        Args:
            state: A request that is about to be placed or sent.

        Raises:
            HostStoppedError: The answer would come too late.
        """
        if clock.now() >= self._latest_start(state):
            raise HostStoppedError

    def end_due(self) -> None:
        """End the requests whose latest start, or this host's end, has come."""
        # The hub ends them, so that the present task goes on.
        hubs.get_hub().schedule_call_global(0, self._end_due)

    def _end_due(self) -> None:
        for request in tuple(self._requests):
            if request in self._requests and self._is_due(request.state):
                self._requests.discard(request)
                request.task.throw(HostStoppedError())

    def _is_due(self, state: request_state.RequestState) -> bool:
        if state.answer.is_complete:
            return False
        if state.is_waiting:
            return clock.now() >= self._latest_start(state)
        return clock.now() >= self._ends_at

    def _latest_start(self, state: request_state.RequestState) -> float:
        """Return the latest time at which a request may be sent.

        One that was sent in good faith is refused only if most answers would
        come too late, a later one if any might.
        """
        if state.answer.has_started:
            # The caller has a part of the answer, which a refusal loses too.
            return self._ends_at
        if state.deadline <= self._ends_at:
            return math.inf
        if state.call.arrived <= self._good_faith_until:
            return self._ends_at - (self.times.typical_s(state) or 0.0)
        longest_s = self.times.longest_s(state)
        if longest_s is None:
            return -math.inf
        return self._ends_at - longest_s
