"""Popularity of adapters, by which the one to evict is chosen.

Popularity is a request count with exponential ageing. It is stored as the
logarithm of the sum of ``exp(time / AGEING_S)`` over all requests. Ageing
multiplies all counts by the same factor, so the order does not change as time
passes, and no score has to be recomputed.
"""

import collections
import heapq
import math

from ivystep.core import types

AGEING_S = 600.0
# Adapters whose counts are kept; beyond, the one requested longest ago is
# dropped.
MAX_TRACKED_ADAPTERS = 65536
# Score of an adapter without requests.
LOWEST_SCORE = -math.inf
# Avoids a division by zero while there are no requests.
MIN_TOTAL_RATE = 1e-9


class Popularity:
    """Request counts by adapter, with exponential ageing.

    Args:
        ageing_s: Time in which a count shrinks by the factor e.
    """

    def __init__(self, ageing_s: float = AGEING_S) -> None:
        self._ageing_s = ageing_s
        self._score_by_ref: collections.OrderedDict[types.AdapterRef, float] = (
            collections.OrderedDict()
        )
        self._total = LOWEST_SCORE

    def add(self, ref: types.AdapterRef, count: int, now: float) -> None:
        """Count requests for an adapter.

        Args:
            ref: The adapter.
            count: Number of requests; at least one.
            now: Time of arrival in seconds.
        """
        added = now / self._ageing_s + math.log(count)
        self._score_by_ref[ref] = _log_sum(self.score(ref), added)
        self._total = _log_sum(self._total, added)
        self._score_by_ref.move_to_end(ref)
        if len(self._score_by_ref) > MAX_TRACKED_ADAPTERS:
            self._score_by_ref.popitem(last=False)

    def transfer(self, old: types.AdapterRef, new: types.AdapterRef) -> None:
        """Move the count of one adapter version to the next one.

        Args:
            old: The version that is no longer requested.
            new: The version that replaces it.
        """
        moved = self._score_by_ref.pop(old, None)
        if moved is not None:
            self._score_by_ref[new] = _log_sum(self.score(new), moved)

    def top(self, count: int) -> list[types.AdapterRef]:
        """Return the most popular adapters, in descending order.

        Args:
            count: Maximum number of adapters.
        """
        scores = self._score_by_ref
        return heapq.nlargest(count, scores, key=scores.__getitem__)

    def score(self, ref: types.AdapterRef) -> float:
        """Return the score of an adapter; ageing does not change the order."""
        return self._score_by_ref.get(ref, LOWEST_SCORE)

    def rate(self, ref: types.AdapterRef, now: float) -> float:
        """Return the expected requests per second.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        return self.rate_of(self.score(ref), now)

    def rate_of(self, score: float, now: float) -> float:
        """Convert a score to expected requests per second.

        Args:
            score: Result of ``score``.
            now: Current time in seconds.
        """
        return math.exp(score - now / self._ageing_s) / self._ageing_s

    def total_rate(self, now: float) -> float:
        """Return the expected requests per second of all adapters.

        Args:
            now: Current time in seconds.
        """
        return self.rate_of(self._total, now)


def _log_sum(first: float, second: float) -> float:
    """Return the logarithm of the sum of two numbers given as logarithms."""
    larger, smaller = max(first, second), min(first, second)
    return larger + math.log1p(math.exp(smaller - larger))
