"""Estimates load times and limits parallel loads from the weight store.

An engine loads an adapter from a copy in its host's memory, or fetches it from
the weight store. Requests are sent when the load is expected to be complete,
because the engine's reports show it only later.

The store serves a limited number of loads at full speed; beyond that, all of
them slow down. The number is unknown, so the limit adapts: it grows while more
loads are wanted and loads take no longer, and shrinks when they do. This keeps
the store busy but not overloaded when many rare adapters are requested.
"""

import math

from ivystep.policy import load_correction

# Age of a report: it shows a load this much after its completion.
REPORT_LAG_S = 0.2
# Expected load times before any load was measured.
INITIAL_CACHED_LOAD_S = 0.03
INITIAL_FETCH_S = 0.27
# Weight of the newest load in the moving average.
LOAD_WEIGHT = 0.2
# A load that the first report shows may have been complete for longer, so the
# next one is expected this share earlier. Four of five loads are then complete
# when they are expected to be.
FIRST_REPORT_DECREASE = 0.01
# Added to the mean, so that most requests are not sent before the load is
# complete.
MARGIN_S = 0.01
# Longer loads are outliers and count as this long.
MAX_LOAD_S = 2.0
# Bounds of the limit of parallel loads from the store.
MIN_PARALLEL_LOADS = 8.0
MAX_PARALLEL_LOADS = 256.0
# Loads that take a smaller share of the baseline used a cached copy that this
# host did not know of, as happens after a change of the leader.
CACHED_LOAD_SHARE = 0.4
# The limit is adjusted after as many loads as it allows at once. While it holds
# back loads, it grows by this share of its square root.
LIMIT_GROWTH = 0.5
# Reports are periodic, so load times are coarse: loads count as slow only
# beyond this ratio to the baseline. The limit then shrinks in proportion.
SLOW_RATIO = 1.2
# The baseline grows by this factor with each adjustment, so that it follows a
# store that has become slower.
BASELINE_GROWTH = 1.005


class LoadTimes:
    """Mean times of both kinds of load, and the limit of parallel loads.

    Attributes:
        is_limiting: Whether more loads are wanted than the limit allows.
        correction: Corrections by the answers of engines.
    """

    def __init__(self) -> None:
        self._cached_load_s = INITIAL_CACHED_LOAD_S
        self._fetch_s = INITIAL_FETCH_S
        self._baseline_s = INITIAL_FETCH_S
        self._limit = MIN_PARALLEL_LOADS
        self._loads = 0
        self._total_s = 0.0
        self.is_limiting = False
        self.correction = load_correction.LoadCorrection()

    @property
    def max_parallel_loads(self) -> int:
        """Loads from the weight store that may run at once."""
        return int(self._limit)

    def expected_s(self, *, is_cached: bool) -> float:
        """Return the expected duration of a load in seconds.

        Args:
            is_cached: Whether the engine's host has a copy.
        """
        mean_s = self._cached_load_s if is_cached else self._fetch_s
        return self.correction.corrected_s(
            mean_s + MARGIN_S, is_cached=is_cached
        )

    def record_answer(self, answer: load_correction.LoadAnswer) -> None:
        """Correct the expected time by the answer to a request after a load."""
        is_cached = self.correction.is_cached(answer)
        self.correction.record_answer(
            answer, self.expected_s(is_cached=is_cached)
        )

    def record_load(
        self, shown_s: float, *, is_cached: bool, is_first_report: bool
    ) -> None:
        """Add a completed load to the means.

        Args:
            shown_s: Time from the order to the first report that showed the
                load, in seconds.
            is_cached: Whether the engine's host was believed to have a copy.
            is_first_report: Whether the first report, requested when the load
                was expected to be complete, showed it.
        """
        load_s = min(max(shown_s - REPORT_LAG_S, 0.0), MAX_LOAD_S)
        self._update_mean(
            load_s, is_cached=is_cached, is_first_report=is_first_report
        )
        if not is_cached:
            self._count_fetch(load_s)

    def is_confirmed(self, upstream_id: str, adapter: str) -> bool:
        """Return whether the answer to a request has confirmed a load.

        Args:
            upstream_id: The engine.
            adapter: Name of the adapter, with its version.
        """
        return self.correction.is_confirmed(upstream_id, adapter)

    def record_confirmed(self, load_s: float, *, is_cached: bool) -> None:
        """Add a load that was complete when it was expected to be.

        Args:
            load_s: Expected duration in seconds.
            is_cached: Whether the engine's host was believed to have a copy.
        """
        if not is_cached:
            self._count_fetch(load_s)

    def _count_fetch(self, load_s: float) -> None:
        """Count a load from the weight store for the limit."""
        if load_s < CACHED_LOAD_SHARE * self._baseline_s:
            return
        self._loads += 1
        self._total_s += load_s
        if self._loads >= self._limit:
            self._change_limit(self._total_s / self._loads)
            self._loads = 0
            self._total_s = 0.0

    def _update_mean(
        self, load_s: float, *, is_cached: bool, is_first_report: bool
    ) -> None:
        if self.correction.is_known(is_cached=is_cached):
            # Answers tell better than lagging reports how long a load took.
            return
        if is_cached:
            self._cached_load_s = _updated_mean(
                self._cached_load_s, load_s, is_first_report
            )
        else:
            self._fetch_s = _updated_mean(
                self._fetch_s, load_s, is_first_report
            )

    def _change_limit(self, mean_s: float) -> None:
        """Adjust the limit to the mean time of the last loads.

        Beyond the store's capacity, all loads slow down in proportion to their
        number, so the ratio of the times tells by which factor the limit is
        too high.

        Args:
            mean_s: Mean time of as many loads as the limit allows at once.
        """
        self._baseline_s = min(self._baseline_s * BASELINE_GROWTH, mean_s)
        ratio = SLOW_RATIO * self._baseline_s / mean_s
        limit = self._limit * min(ratio, 1.0)
        if self.is_limiting:
            limit += LIMIT_GROWTH * math.sqrt(limit)
        self._limit = min(max(limit, MIN_PARALLEL_LOADS), MAX_PARALLEL_LOADS)


def _updated_mean(
    expected_s: float, load_s: float, is_first_report: bool
) -> float:
    if is_first_report:
        return expected_s * (1 - FIRST_REPORT_DECREASE)
    return expected_s + LOAD_WEIGHT * (load_s - expected_s)
