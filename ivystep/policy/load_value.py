"""Orders adapter loads by the value of the waiting requests.

Adapters whose requests can still be answered in time come first, ordered by
value per second that they occupy a slot; late requests get the remaining
loads. This gives the highest value per slot when engines are lost and more
adapters are requested than fit.
"""

import dataclasses
import math
import typing
from collections.abc import Iterable

from ivystep.core import types

# Requests that one copy serves, as a share of an engine's equal part of all
# requests.
COPY_LOAD_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class AggregateDemand:
    """Demand for one adapter, summed over all hosts.

    Attributes:
        waiting: Number of waiting requests.
        timely_value: Value per second of the requests that can still be
            answered within the target latency.
        late_value: Value per second of the requests that are late already.
        target_start_by: Latest time at which the adapter must be resident so
            that the most urgent request meets the target latency; infinite if
            none can.
        start_by: Latest time at which it must be resident for any request to
            meet its deadline.
        software_versions: Versions of the upstreams' software that some of
            the requests need.
        software_version: Version of the upstream that is to load the adapter;
            None for any.
        waiting_since: Time from which the oldest request has waited.
    """

    ref: types.AdapterRef
    waiting: int
    timely_value: float
    late_value: float
    target_start_by: float
    start_by: float
    software_versions: tuple[str, ...] = ()
    software_version: str | None = None
    waiting_since: float = math.inf

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
            software_versions=demand.software_versions,
            waiting_since=now - demand.oldest_wait_s,
        )

    @classmethod
    def for_copy(cls, ref: types.AdapterRef, now: float) -> typing.Self:
        """Return the demand for a copy that no request waits for."""
        return cls(ref, 0, 0.0, 0.0, now, now)

    @classmethod
    def merged(cls, demands: Iterable[typing.Self]) -> typing.Self:
        """Add up the demands of several hosts for one adapter.

        Args:
            demands: One item for each host; at least one.
        """
        known = tuple(demands)
        return cls(
            ref=known[0].ref,
            waiting=sum(demand.waiting for demand in known),
            timely_value=sum(demand.timely_value for demand in known),
            late_value=sum(demand.late_value for demand in known),
            target_start_by=min(demand.target_start_by for demand in known),
            start_by=max(demand.start_by for demand in known),
            software_versions=tuple(
                sorted(
                    {
                        one
                        for demand in known
                        for one in demand.software_versions
                    }
                )
            ),
            waiting_since=min(demand.waiting_since for demand in known),
        )


def urgency(
    demand: AggregateDemand, now: float, load_s: float
) -> tuple[bool, float, float]:
    """Return the sort key of an adapter; the highest is loaded first.

    Args:
        demand: Demand for the adapter.
        now: Current time in seconds.
        load_s: Duration of a load in seconds.

    Returns:
        Whether a load started now meets the target latency, the value per
        second of the requests that it serves, and the negated ``start_by``, so
        that the earlier one comes first among equals.
    """
    is_timely = (
        demand.timely_value > 0 and now + load_s <= demand.target_start_by
    )
    value = demand.timely_value if is_timely else demand.late_value
    return is_timely, value, -demand.start_by


def in_order(
    demands: Iterable[AggregateDemand], now: float, load_s: float
) -> list[AggregateDemand]:
    """Return demands in the order in which adapters are to be loaded.

    Args:
        demands: Demands for different adapters.
        now: Current time in seconds.
        load_s: Duration of a load in seconds.
    """
    return sorted(
        demands, key=lambda demand: urgency(demand, now, load_s), reverse=True
    )


def target_copies(rate: float, total_rate: float, engines: int) -> int:
    """Return how many engines should hold an adapter.

    If a few adapters get most requests, each is spread over several engines,
    so that no engine is filled by the requests for one adapter.

    Args:
        rate: Requests per second for the adapter.
        total_rate: Requests per second for all adapters.
        engines: Engines of the pool.
    """
    if total_rate <= 0:
        return 1
    fair_share = COPY_LOAD_SHARE / max(engines, 1)
    return min(max(math.ceil(rate / total_rate / fair_share), 1), engines)
