"""How long engines take to load an adapter.

An engine loads an adapter from a copy in its host's memory, or brings it from
the weight store. Requests are sent when a load is expected to be complete,
since the engine's reports tell it only later.
"""

# Age of a report, by which it shows a load later than it was complete.
REPORT_LAG_S = 0.2
# Expected until loads have been seen.
FIRST_AT_HAND_S = 0.03
FIRST_FETCH_S = 0.27
GAIN = 0.2
# Added to the mean, so that most requests do not come too early.
MARGIN_S = 0.01
# A load that took longer says nothing about the usual one.
LONGEST_S = 2.0


class LoadTimes:
    """Running means of both kinds of load."""

    def __init__(self) -> None:
        self._at_hand_s = FIRST_AT_HAND_S
        self._fetch_s = FIRST_FETCH_S

    def expected_s(self, *, is_at_hand: bool) -> float:
        """Return the time in seconds after which a load is complete.

        Args:
            is_at_hand: Whether the engine's host has a copy.
        """
        mean_s = self._at_hand_s if is_at_hand else self._fetch_s
        return mean_s + MARGIN_S

    def observe(self, shown_s: float, *, is_at_hand: bool) -> None:
        """Take over when a report first showed a load.

        Args:
            shown_s: Time since the order, in seconds.
            is_at_hand: Whether a copy was thought to be at hand.
        """
        took_s = min(max(shown_s - REPORT_LAG_S, 0.0), LONGEST_S)
        if is_at_hand:
            self._at_hand_s += GAIN * (took_s - self._at_hand_s)
        else:
            self._fetch_s += GAIN * (took_s - self._fetch_s)
