"""Ends the requests that a planned stop of this host leaves no time for.

A request that is sent to an upstream and cut off as this host ends has no
outcome, and may not be repeated unless it is idempotent. While callers are
still routed here, a request is refused before it is sent if its answer would
usually come too late. Once they are routed elsewhere, only a request whose own
deadline ends it in time is sent: how long earlier answers took is no bound.
A refusal promises that the request has not run.
"""

import contextlib
import dataclasses
import math
from collections.abc import Generator

import greenlet
from eventlet import hubs

from ivystep.core import errors
from ivystep.gateway.requests import answer_times, request_state
from ivystep.runtime import clock


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """The times of a planned stop.

    Attributes:
        signalled_at: When the stop signal came.
        sends_until: Until when a request is sent that this host may cut,
            because callers are still routed here.
        closes_at: When the listener for callers closes.
        ends_at: When the last requests are ended.
    """

    signalled_at: float = math.inf
    sends_until: float = math.inf
    closes_at: float = math.inf
    ends_at: float = math.inf


class HostStoppedError(Exception):
    """This host ends too soon for the answer to a request."""


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """A request in progress and the task that handles it.

    Attributes:
        state: Its state; None until it is admitted.
    """

    state: request_state.RequestState | None
    task: greenlet.greenlet


class PlannedStop:
    """The planned stop of this host; nothing happens before it begins.

    Attributes:
        times: How long answers take.
        begun: The times of the stop; infinite before it.
    """

    def __init__(self) -> None:
        self.times = answer_times.AnswerTimes()
        self.begun = StopTimes()
        self._request_by_task: dict[greenlet.greenlet, _Request] = {}

    @property
    def retry_after_s(self) -> float:
        """Time in seconds after which a caller is routed to another host."""
        return max(
            self.begun.closes_at - clock.now(), request_state.MIN_RETRY_AFTER_S
        )

    def begin(self, times: StopTimes) -> None:
        """Begin the stop.

        Args:
            times: Its times.
        """
        self.begun = times

    @contextlib.contextmanager
    def watch(self, state: request_state.RequestState) -> Generator[None]:
        """End a request within the context if this host ends too soon.

        Args:
            state: The request.

        Raises:
            HostStoppedError: The request was ended.
        """
        with self._register(state):
            yield

    @contextlib.contextmanager
    def refuse_unplaced(self) -> Generator[None]:
        """Refuse a request that waits within the context as this host ends.

        Raises:
            errors.RefusedError: The request was ended before it was watched.
        """
        try:
            with self._register(None):
                yield
        except HostStoppedError as error:
            raise errors.RefusedError(
                request_state.HOST_STOPPING,
                'This host stops before the request was admitted.',
                status=503,
                retry_after_s=self.retry_after_s,
                step='admit',
            ) from error

    def raise_if_too_late(self, state: request_state.RequestState) -> None:
        """Raise an error if the answer would come too late.

        Args:
            state: A request that is about to be placed or sent.

        Raises:
            HostStoppedError: The answer would come too late.
        """
        if clock.now() >= self._latest_start(state):
            raise HostStoppedError

    def expectation(
        self, state: request_state.RequestState
    ) -> request_state.Expectation | None:
        """Return how long an answer is expected to take, and what tells it.

        Args:
            state: A request that is about to be sent.

        Returns:
            The expectation; None before the stop.
        """
        if clock.now() < self.begun.signalled_at:
            return None
        if state.deadline <= self.begun.ends_at:
            return request_state.Expectation(state.remaining_s, 'deadline')
        run_s = self.times.typical_s(state)
        return request_state.Expectation(
            run_s, '' if run_s is None else 'history'
        )

    def end_due(self) -> None:
        """End the requests whose latest start, or this host's end, has come."""
        # The hub ends them, so that the present task goes on.
        hubs.get_hub().schedule_call_global(0, self._end_due)

    @contextlib.contextmanager
    def _register(
        self, state: request_state.RequestState | None
    ) -> Generator[None]:
        """Register the request of the present task, in place of an outer one.

        Args:
            state: See ``_Request``.
        """
        task = greenlet.getcurrent()
        outer = self._request_by_task.get(task)
        self._request_by_task[task] = _Request(state, task)
        try:
            yield
        finally:
            if outer is None:
                self._request_by_task.pop(task, None)
            else:
                self._request_by_task[task] = outer

    def _end_due(self) -> None:
        for request in tuple(self._request_by_task.values()):
            is_current = self._request_by_task.get(request.task) is request
            if is_current and self._is_due(request.state):
                del self._request_by_task[request.task]
                request.task.throw(HostStoppedError())

    def _is_due(self, state: request_state.RequestState | None) -> bool:
        if state is None:
            return clock.now() >= self.begun.ends_at
        if state.answer.is_complete:
            return False
        due_at = self.begun.ends_at
        if state.is_waiting:
            due_at = self._latest_start(state)
        return clock.now() >= due_at

    def _latest_start(self, state: request_state.RequestState) -> float:
        """Return the latest time at which a request may be sent."""
        if state.answer.has_started:
            # The caller has a part of the answer, which a refusal loses too.
            return self.begun.ends_at
        if state.deadline <= self.begun.ends_at:
            return math.inf
        usual_start = self.begun.ends_at - (self.times.typical_s(state) or 0.0)
        return min(usual_start, self.begun.sends_until)
