"""Learns how long the answers of a route take, from the last ones.

A time is kept relative to the expected time of its request, so that a long
generation and a short one tell the same. A plain request has no size, so its
expected time is a constant and the ratio stands for the time itself.
"""

import collections
import statistics
from collections.abc import Callable, Sequence

from ivystep.gateway.requests import request_state
from ivystep.runtime import clock

# Answers that are kept of each route.
SAMPLES = 64
# With fewer answers, their median says little about the next one.
MIN_SAMPLES = 8
# Routes that are remembered; the one whose last answer is oldest is dropped.
MAX_ROUTES = 1024

_Key = tuple[str, str]


class AnswerTimes:
    """Times from sending a request to the end of its answer, by route."""

    def __init__(self) -> None:
        self._ratios_by_key: collections.OrderedDict[
            _Key, collections.deque[float]
        ] = collections.OrderedDict()

    def record(self, state: request_state.RequestState) -> None:
        """Record a request whose answer is complete.

        Args:
            state: The request.
        """
        sent_at = state.progress.sent_at
        if sent_at is None:
            return
        key = _key(state)
        ratios = self._ratios_by_key.setdefault(
            key, collections.deque(maxlen=SAMPLES)
        )
        ratios.append((clock.now() - sent_at) / state.expected_run_s)
        self._ratios_by_key.move_to_end(key)
        if len(self._ratios_by_key) > MAX_ROUTES:
            self._ratios_by_key.popitem(last=False)

    def typical_s(self, state: request_state.RequestState) -> float | None:
        """Return the time in seconds that half of the answers take.

        Args:
            state: A request of the same route.

        Returns:
            The time; None if too few answers are known.
        """
        return self._scaled(statistics.median, state)

    def shortest_s(self, state: request_state.RequestState) -> float | None:
        """Return the time in seconds that no answer has fallen short of.

        Args:
            state: A request of the same route.

        Returns:
            The time; None if too few answers are known.
        """
        return self._scaled(min, state)

    def _scaled(
        self,
        choose: Callable[[Sequence[float]], float],
        state: request_state.RequestState,
    ) -> float | None:
        """Return the chosen one of a route's ratios as a request's time."""
        ratios = self._ratios_by_key.get(_key(state), ())
        if len(ratios) < MIN_SAMPLES:
            return None
        return choose(ratios) * state.expected_run_s


def _key(state: request_state.RequestState) -> _Key:
    return state.service, state.route.name
