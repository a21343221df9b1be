"""Orders adapter loads, and tells which requests would start too late.

A load serves every request that waits for its adapter, so this is on-demand
broadcast scheduling. Loads are ordered by waiting requests and age as long as
no admitted load becomes late; otherwise by earliest deadline first.
"""

import bisect
import dataclasses
import math
import typing
from collections.abc import Callable, Collection, Iterable

from ivystep.core import types

# With more waiting requests than this, the score of a load grows in proportion
# to them, so that it may be ordered before older loads.
OVERTAKING_WAITING = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class WantedLoad:
    """Demand for one adapter, summed over all entries.

    Attributes:
        weight: Weight of the account.
        waiting: Number of waiting requests.
        oldest_at: Time at which the oldest of them began to wait.
        start_by: Latest time at which the adapter must be resident for the most
            urgent of them to meet its deadline.
        software_version: Version of the upstream that is to load it; None for
            any.
    """

    ref: types.AdapterRef
    source: str
    setup_version: int
    weight: float
    waiting: int
    oldest_at: float
    start_by: float
    software_version: str | None = None

    @classmethod
    def from_demand(
        cls, demand: types.AdapterDemand, now: float
    ) -> typing.Self:
        """Convert a demand that was reported now.

        Args:
            demand: The demand.
            now: Current time in seconds.
        """
        return cls(
            ref=demand.ref,
            source=demand.source,
            setup_version=demand.setup_version,
            weight=demand.weight,
            waiting=demand.waiting,
            oldest_at=now - demand.oldest_wait_s,
            start_by=now + demand.start_within_s,
        )

    @classmethod
    def merged(cls, parts: Iterable[typing.Self]) -> typing.Self:
        """Add up the demands of several entries for one adapter.

        Args:
            parts: One item for each entry; at least one.
        """
        known = tuple(parts)
        if len(known) == 1:
            return known[0]
        latest = max(known, key=lambda part: part.setup_version)
        return dataclasses.replace(
            latest,
            waiting=sum(part.waiting for part in known),
            oldest_at=min(part.oldest_at for part in known),
            start_by=min(part.start_by for part in known),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """The admitted loads, in order of urgency.

    Attributes:
        loads: Loads, ordered by account rank and then by deadline.
        ranks: Account rank of each load.
        now: Time of the snapshot, in seconds.
        load_s: Duration of one load in seconds.
        busy_s: Time until the load in progress ends, in seconds.
    """

    loads: list[WantedLoad]
    ranks: list[int]
    now: float
    load_s: float
    busy_s: float

    @classmethod
    def from_loads(
        cls,
        loads: Iterable[tuple[int, WantedLoad]],
        now: float,
        *,
        load_s: float,
        busy_s: float,
    ) -> typing.Self:
        """Order loads by urgency.

        Args:
            loads: Account rank and load, in any order.
            now: Current time in seconds.
            load_s: Duration of one load in seconds.
            busy_s: Time until the load in progress ends, in seconds.
        """
        ranked = sorted(loads, key=lambda pair: (pair[0], pair[1].start_by))
        return cls(
            loads=[load for _, load in ranked],
            ranks=[rank for rank, _ in ranked],
            now=now,
            load_s=load_s,
            busy_s=busy_s,
        )

    def add(self, wanted: WantedLoad, rank: int) -> None:
        """Insert a load that was admitted.

        Args:
            wanted: The load; not part of the backlog.
            rank: Rank of its account.
        """
        position = self._position(wanted, rank)
        self.loads.insert(position, wanted)
        self.ranks.insert(position, rank)

    def ready_in_s(self, position: int) -> float:
        """Return when the load at a position ends, in seconds from now."""
        return self.busy_s + (position + 1) * self.load_s

    def slack_s(self, position: int) -> float:
        """Return by how many seconds a load may be delayed."""
        until = self.loads[position].start_by - self.now
        return until - self.ready_in_s(position)

    def admission(
        self, wanted: WantedLoad, rank: int, share_above: float
    ) -> float:
        """Return the time until a new load can end.

        A new load may not make an admitted one late that has the same rank
        number or a lower one.

        Args:
            wanted: The new load; not part of the backlog.
            rank: Rank of its account.
            share_above: Share of future loads that will go first because their
                accounts have a lower rank number.

        Returns:
            Seconds from now; infinite if the load would make others late.
        """
        position = self._position(wanted, rank)
        after = bisect.bisect_right(self.ranks, rank)
        if any(map(self._is_critical, range(position, after))):
            return math.inf
        return self.busy_s + (position + 1) * self.load_s / (1 - share_above)

    def first(
        self,
        score: Callable[[WantedLoad], float],
        skipped: Collection[types.AdapterRef] = (),
    ) -> WantedLoad | None:
        """Choose the next load.

        Args:
            score: Returns the priority of a load.
            skipped: Adapters that cannot be loaded now.

        Returns:
            Among the loads of the lowest account rank that make no other load
            late, the one with the highest score; None if there is no load.
        """
        best = None
        best_score = -math.inf
        best_rank = math.inf
        for position, load in enumerate(self.loads):
            if self.ranks[position] > best_rank:
                break
            if load.ref in skipped:
                continue
            value = score(load)
            if value > best_score:
                best, best_score = load, value
                best_rank = self.ranks[position]
            if self._is_critical(position):
                # Any later choice would make this load late.
                break
        return best

    def _position(self, wanted: WantedLoad, rank: int) -> int:
        return bisect.bisect_right(
            range(len(self.loads)),
            (rank, wanted.start_by),
            key=lambda index: (self.ranks[index], self.loads[index].start_by),
        )

    def _is_critical(self, position: int) -> bool:
        """Return whether one more load before this one would make it late."""
        return 0 <= self.slack_s(position) < self.load_s


def urgency(load: WantedLoad, now: float, expected: float) -> float:
    """Return the score of a load, by the waiting time that it ends.

    Args:
        load: The load.
        now: Current time in seconds.
        expected: Requests expected soon, which count like waiting ones.

    Returns:
        The waiting time of the oldest request, multiplied by the number of
        requests over ``OVERTAKING_WAITING`` if that is more than one.
    """
    factor = (load.waiting + expected) / OVERTAKING_WAITING
    return max(factor, 1) * (now - load.oldest_at)
