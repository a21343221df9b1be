"""Which adapters are loaded next, by the value of the requests that wait.

Answers the load of a day on which engines are lost and more adapters are
asked for than can be held: adapters whose requests can still be answered in
time come first, those with the most value for each second that they take a
place before the others. Requests that are late already wait for what is left.
"""

import dataclasses
import math
import typing
from collections.abc import Iterable

from ivystep.core import types

# Share of an engine's fair part of all requests that one copy answers.
COPY_LOAD_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class AggregateDemand:
    """What waiting requests want of one adapter, over all hosts.

    Attributes:
        timely_value: Value for each second of the requests that can still be
            answered in time.
        late_value: The same of the requests that are late already.
        target_start_by: When the adapter must be held so that the most urgent
            request is in time; infinite if none can be.
        start_by: When it must be held to be of any use.
    """

    ref: types.AdapterRef
    waiting: int
    timely_value: float
    late_value: float
    target_start_by: float
    start_by: float

    @classmethod
    def from_demand(
        cls, demand: types.AdapterDemand, now: float
    ) -> typing.Self:
        """Convert a demand that was reported now."""
        return cls(
            ref=demand.ref,
            waiting=demand.waiting,
            timely_value=demand.timely_value,
            late_value=demand.late_value,
            target_start_by=now + demand.target_start_within_s,
            start_by=now + demand.start_within_s,
        )

    @classmethod
    def for_copy(cls, ref: types.AdapterRef, now: float) -> typing.Self:
        """Return the wish for a copy that no request waits for."""
        return cls(ref, 0, 0.0, 0.0, now, now)

    @classmethod
    def merged(cls, demands: Iterable[typing.Self]) -> typing.Self:
        """Combine what several hosts want of the same adapter.

        Args:
            wishes: One item for each host; at least one.
        """
        known = tuple(demands)
        return cls(
            ref=known[0].ref,
            waiting=sum(demand.waiting for demand in known),
            timely_value=sum(demand.timely_value for demand in known),
            late_value=sum(demand.late_value for demand in known),
            target_start_by=min(demand.target_start_by for demand in known),
            start_by=max(demand.start_by for demand in known),
        )


def urgency(
    demand: AggregateDemand, now: float, load_s: float
) -> tuple[bool, float, float]:
    """Return the place of an adapter in the order of loads, highest first.

    Args:
        wish: What is wanted.
        now: Current time in seconds.
        load_s: Duration of a load in seconds.

    Returns:
        Whether a load now answers requests in time, the value that it brings,
        and the earlier aim among equal ones.
    """
    is_timely = (
        demand.timely_value > 0 and now + load_s <= demand.target_start_by
    )
    value = demand.timely_value if is_timely else demand.late_value
    return is_timely, value, -demand.start_by


def in_order(
    demands: Iterable[AggregateDemand], now: float, load_s: float
) -> list[AggregateDemand]:
    """Return adapters in the order in which they are to be loaded.

    Args:
        wishes: What is wanted.
        now: Current time in seconds.
        load_s: Duration of a load in seconds.
    """
    return sorted(
        demands, key=lambda demand: urgency(demand, now, load_s), reverse=True
    )


def target_copies(rate: float, total_rate: float, engines: int) -> int:
    """Return on how many engines an adapter is to be held.

    Answers the load of a few adapters that get most requests: no engine is to
    be filled by the requests for one adapter.

    Args:
        rate: Requests for the adapter in a second.
        total_rate: Requests for all adapters in a second.
        engines: Engines of the pool.
    """
    if total_rate <= 0:
        return 1
    fair_share = COPY_LOAD_SHARE / max(engines, 1)
    return min(max(math.ceil(rate / total_rate / fair_share), 1), engines)
