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
FIRST_AT_HAND_S = 0.03
FIRST_FETCH_S = 0.27
GAIN = 0.2
# A load that was complete at the first look may have been so for long: the next
# one is expected this share earlier. Four of five are then complete in time.
EARLIER_SHARE = 0.01
# Added to the mean, so that most requests do not come too early.
MARGIN_S = 0.01
# A load that took longer says nothing about the usual one.
LONGEST_S = 2.0
# Adapters on their way from the store at once, at least and at most.
LEAST_PARALLEL = 8.0
MOST_PARALLEL = 256.0
# Loads that take a smaller share of the usual time come from copies that were
# not known to be at hand, as after a take-over.
COPY_SHARE = 0.4
# The limit is changed after as many loads as it allows at once. While more are
# wanted, it grows by this share of its square root.
GROWTH = 0.5
# Reports come in steps, so loads count as slow beyond this ratio to the usual
# time. The limit then shrinks by the same ratio.
SLOW_RATIO = 1.2
# The usual time is forgotten slowly, by this factor with each change.
FORGET_USUAL = 1.005


class LoadTimes:
    """Running means of both kinds of load, and how many may run at once.

    Attributes:
        is_full: Whether more loads are wanted than may run at once.
    """

    def __init__(self) -> None:
        self._at_hand_s = FIRST_AT_HAND_S
        self._fetch_s = FIRST_FETCH_S
        self._usual_s = FIRST_FETCH_S
        self._parallel = LEAST_PARALLEL
        self._loads = 0
        self._loads_s = 0.0
        self.is_full = False

    @property
    def max_parallel_loads(self) -> int:
        """Adapters that may be on their way from the store at once."""
        return int(self._parallel)

    def expected_s(self, *, is_cached: bool) -> float:
        """Return the time in seconds after which a load is complete.

        Args:
            is_cached: Whether the engine's host has a copy.
        """
        mean_s = self._at_hand_s if is_cached else self._fetch_s
        return mean_s + MARGIN_S

    def observe(
        self, shown_s: float, *, is_cached: bool, is_first_look: bool
    ) -> None:
        """Take over when a report first showed a load.

        Args:
            shown_s: Time since the order, in seconds.
            is_cached: Whether a copy was thought to be at hand.
            is_first_look: Whether the first report that was asked for, when
                the load was expected to be complete, showed it already.
        """
        took_s = min(max(shown_s - REPORT_LAG_S, 0.0), LONGEST_S)
        if is_cached:
            self._at_hand_s = _next(self._at_hand_s, took_s, is_first_look)
            return
        self._fetch_s = _next(self._fetch_s, took_s, is_first_look)
        if took_s < COPY_SHARE * self._usual_s:
            return
        self._loads += 1
        self._loads_s += took_s
        if self._loads >= self._parallel:
            self._change_limit(self._loads_s / self._loads)
            self._loads = 0
            self._loads_s = 0.0

    def _change_limit(self, mean_s: float) -> None:
        """Take over the mean time of as many loads as are allowed at once.

        The store brings all loads more slowly in proportion to those beyond
        what it brings at full speed, so the ratio of the times tells by how
        much the limit is too high.
        """
        self._usual_s = min(self._usual_s * FORGET_USUAL, mean_s)
        ratio = SLOW_RATIO * self._usual_s / mean_s
        limit = self._parallel * min(ratio, 1.0)
        if self.is_full:
            limit += GROWTH * math.sqrt(limit)
        self._parallel = min(max(limit, LEAST_PARALLEL), MOST_PARALLEL)


def _next(expected_s: float, took_s: float, is_first_look: bool) -> float:
    if is_first_look:
        return expected_s * (1 - EARLIER_SHARE)
    return expected_s + GAIN * (took_s - expected_s)
