"""Decides whether a host may rely on the configuration that it knows.

A change must apply within a bound after the store has acknowledged it. A host
that was frozen, or is cut off, may not know of a change by then. It costs a
comparison of two times for each request.
"""

import dataclasses
import enum


class Freshness(enum.Enum):
    """Whether requests may be handled by the known configuration."""

    CURRENT = 'current'
    # No later version is known, but there may be one.
    UNCONFIRMED = 'unconfirmed'
    # The store has a later version.
    OUTDATED = 'outdated'


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What a host knows of its configuration.

    Attributes:
        age_s: Time since the store had no later version.
        is_behind: Whether the leader knows a later version.
        is_store_failing: Whether this host's calls to the store keep failing.
    """

    age_s: float
    is_behind: bool
    is_store_failing: bool

    def judge(self, limit_s: float) -> Freshness:
        """Return whether the configuration may be used.

        During an outage of the store no later version can be acknowledged, so
        that hosts go on with the one they know.

        Args:
            limit_s: Time within which a change must apply.
        """
        if self.age_s <= limit_s:
            return Freshness.CURRENT
        if self.is_behind:
            return Freshness.OUTDATED
        if self.is_store_failing:
            return Freshness.CURRENT
        return Freshness.UNCONFIRMED
