"""How long engines take to load an adapter.

An engine loads an adapter from a copy in its host's memory, or brings it from
the weight store. Requests are sent when a load is expected to be complete,
since the engine's reports tell it only later.

The store brings some adapters beside one another at full speed, and all of
them more slowly beyond. How many is not told, so it is found out: the limit
grows while more are wanted and loads take no longer, and shrinks when they do.
Answers the load of a day on which many rare adapters are asked for.
"""

import math

# Age of a report, by which it shows a load later than it was complete.
REPORT_LAG_S = 0.2
# Expected until loads have been seen.
INITIAL_CACHED_LOAD_S = 0.03
INITIAL_FETCH_S = 0.27
LOAD_WEIGHT = 0.2
# A load that was complete at the first look may have been so for long: the next
# one is expected this share earlier. Four of five are then complete in time.
FIRST_REPORT_DECREASE = 0.01
# Added to the mean, so that most requests do not come too early.
MARGIN_S = 0.01
# A load that took longer says nothing about the usual one.
MAX_LOAD_S = 2.0
# Adapters on their way from the store at once, at least and at most.
MIN_PARALLEL_LOADS = 8.0
MAX_PARALLEL_LOADS = 256.0
# Loads that take a smaller share of the usual time come from copies that were
# not known to be at hand, as after a take-over.
CACHED_LOAD_SHARE = 0.4
# The limit is changed after as many loads as it allows at once. While more are
# wanted, it grows by this share of its square root.
LIMIT_GROWTH = 0.5
# Reports come in steps, so loads count as slow beyond this ratio to the usual
# time. The limit then shrinks by the same ratio.
SLOW_RATIO = 1.2
# The usual time is forgotten slowly, by this factor with each change.
BASELINE_GROWTH = 1.005


class LoadTimes:
    """Running means of both kinds of load, and how many may run at once.

    Attributes:
        is_limiting: Whether more loads are wanted than may run at once.
    """

    def __init__(self) -> None:
        self._cached_load_s = INITIAL_CACHED_LOAD_S
        self._fetch_s = INITIAL_FETCH_S
        self._baseline_s = INITIAL_FETCH_S
        self._limit = MIN_PARALLEL_LOADS
        self._loads = 0
        self._total_s = 0.0
        self.is_limiting = False

    @property
    def max_parallel_loads(self) -> int:
        """Adapters that may be on their way from the store at once."""
        return int(self._limit)

    def expected_s(self, *, is_cached: bool) -> float:
        """Return the time in seconds after which a load is complete.

        Args:
            is_cached: Whether the engine's host has a copy.
        """
        mean_s = self._cached_load_s if is_cached else self._fetch_s
        return mean_s + MARGIN_S

    def record_load(
        self, shown_s: float, *, is_cached: bool, is_first_report: bool
    ) -> None:
        """Take over when a report first showed a load.

        Args:
            shown_s: Time since the order, in seconds.
            is_cached: Whether a copy was thought to be at hand.
            is_first_report: Whether the first report that was asked for, when
                the load was expected to be complete, showed it already.
        """
        load_s = min(max(shown_s - REPORT_LAG_S, 0.0), MAX_LOAD_S)
        if is_cached:
            self._cached_load_s = _updated_mean(
                self._cached_load_s, load_s, is_first_report
            )
            return
        self._fetch_s = _updated_mean(self._fetch_s, load_s, is_first_report)
        if load_s < CACHED_LOAD_SHARE * self._baseline_s:
            return
        self._loads += 1
        self._total_s += load_s
        if self._loads >= self._limit:
            self._change_limit(self._total_s / self._loads)
            self._loads = 0
            self._total_s = 0.0

    def _change_limit(self, mean_s: float) -> None:
        """Take over the mean time of as many loads as are allowed at once.

        The store brings all loads more slowly in proportion to those beyond
        what it brings at full speed, so the ratio of the times tells by how
        much the limit is too high.
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
