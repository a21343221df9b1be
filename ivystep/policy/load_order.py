"""Orders adapter loads, and tells which requests would start too late.

A load serves every request that waits for its adapter, so this is on-demand
broadcast scheduling. Loads are ordered by waiting requests and age as long as
no admitted load becomes late; otherwise by earliest deadline first.
"""

import bisect
import collections
import dataclasses
import math
import typing
from collections.abc import Callable, Collection, Iterable

from ivystep.core import types

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
# Accounts without a request for this long are forgotten; wanted loads are
# counted with exponential ageing over the same time.
ACTIVITY_WINDOW_S = 60.0
# Number of loads beyond its share for which an account moves down one rank.
BURST_LOADS = 4.0
MAX_DEBT_LOADS = 20.0
ORDER_WINDOW_S = 30.0
FAIR_LEVEL_INTERVAL_S = 1.0
MAX_SHARE_ABOVE = 0.9
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


class AccountShares:
    """Tracks how far each account exceeds its fair share of the loads.

    The fair level is the max-min fair number of loads per unit of weight: all
    loads are used, and no account could get more without taking from one that
    gets less. Accounts that want no more have rank 0, unless many of their
    loads are pending at once. For the others, each load adds one to a debt,
    which time reduces at the rate of an equal share. Loads of accounts in debt
    come after those of others, so that a flood or a scan of adapters gets only
    the loads that the others leave.

    Args:
        loads_per_s: Loads per second that all accounts share.
    """

    def __init__(self, loads_per_s: float) -> None:
        self.loads_per_s = loads_per_s
        self._virtual_s = 0.0
        self._advanced_at = 0.0
        self._total_weight = 0.0
        # Weight and time of the last request, oldest first.
        self._activity_by_account: collections.OrderedDict[
            str, tuple[float, float]
        ] = collections.OrderedDict()
        # Debt and the virtual time at which it was computed, by account.
        self._debt_by_account: dict[str, tuple[float, float]] = {}
        # Wanted loads and the time at which they were counted, by account.
        self._wanted_by_account: dict[str, tuple[float, float]] = {}
        # Loads that were charged and neither ordered nor refunded.
        self._pending: collections.Counter[str] = collections.Counter()
        self._level = math.inf
        self._level_at = -math.inf
        self._ordered_by_rank: collections.Counter[int] = collections.Counter()
        self._ordered_at = 0.0

    def record_activity(self, account: str, weight: float, now: float) -> None:
        """Record that an account sends requests.

        Args:
            account: The account.
            weight: Its weight.
            now: Current time in seconds.
        """
        self._advance(now)
        known = self._activity_by_account.pop(account, None)
        if known is not None:
            self._total_weight -= known[0]
        self._activity_by_account[account] = (weight, now)
        self._total_weight += weight
        while self._activity_by_account:
            oldest, (its_weight, seen) = next(
                iter(self._activity_by_account.items())
            )
            if seen > now - ACTIVITY_WINDOW_S:
                break
            del self._activity_by_account[oldest]
            self._debt_by_account.pop(oldest, None)
            self._wanted_by_account.pop(oldest, None)
            self._total_weight -= its_weight

    def count_wanted(self, account: str, now: float) -> None:
        """Count one load that requests of an account need.

        Args:
            account: The account.
            now: Current time in seconds.
        """
        wanted = self._wanted(account, now) + 1
        self._wanted_by_account[account] = (wanted, now)

    def rank(self, account: str, now: float) -> int:
        """Return 0 for an account within its share, and more beyond it.

        Args:
            account: The account.
            now: Current time in seconds.
        """
        is_fair = self._is_fair(account, now)
        beyond = self._pending[account] if is_fair else self._debt(account)
        return int(min(beyond, MAX_DEBT_LOADS) / BURST_LOADS)

    def charge(self, account: str, now: float) -> None:
        """Charge an account for one admitted load.

        Args:
            account: The account.
            now: Current time in seconds.
        """
        self._advance(now)
        debt = min(self._debt(account) + 1, MAX_DEBT_LOADS)
        self._debt_by_account[account] = (debt, self._virtual_s)
        self._pending[account] += 1

    def refund(self, account: str) -> None:
        """Undo the charge for a load that is no longer wanted."""
        self._end_pending(account)
        debt = max(self._debt(account) - 1, 0)
        self._debt_by_account[account] = (debt, self._virtual_s)

    def count_ordered(self, account: str, rank: int, now: float) -> None:
        """Count one load that was ordered.

        Args:
            account: Account of the load.
            rank: Rank of the account.
            now: Current time in seconds.
        """
        self._end_pending(account)
        self._decay(now)
        self._ordered_by_rank[rank] += 1

    def share_above(self, rank: int, now: float) -> float:
        """Return the share of recent loads that had a lower rank number.

        Args:
            rank: A rank.
            now: Current time in seconds.
        """
        self._decay(now)
        used = sum(
            count
            for known, count in self._ordered_by_rank.items()
            if known < rank
        )
        return min(used / (ORDER_WINDOW_S * self.loads_per_s), MAX_SHARE_ABOVE)

    def _debt(self, account: str) -> float:
        if account not in self._debt_by_account:
            return 0.0
        debt, since = self._debt_by_account[account]
        refilled = self._weight(account) * (self._virtual_s - since)
        return max(debt - refilled, 0.0)

    def _weight(self, account: str) -> float:
        return self._activity_by_account.get(account, (1.0, 0.0))[0]

    def _wanted(self, account: str, now: float) -> float:
        """Return the wanted loads within the window, with ageing."""
        count, since = self._wanted_by_account.get(account, (0.0, now))
        return count * math.exp((since - now) / ACTIVITY_WINDOW_S)

    def _is_fair(self, account: str, now: float) -> bool:
        if now >= self._level_at + FAIR_LEVEL_INTERVAL_S:
            self._level = self._fair_level(now)
            self._level_at = now
        allowed = self._level * self._weight(account)
        return self._wanted(account, now) <= allowed

    def _fair_level(self, now: float) -> float:
        """Return the max-min fair loads per unit of weight in the window."""
        wanted = sorted(
            (self._wanted(account, now) / weight, weight)
            for account, (weight, _) in self._activity_by_account.items()
        )
        left = self.loads_per_s * ACTIVITY_WINDOW_S
        weights = self._total_weight
        for level, weight in wanted:
            if level * weights > left:
                return left / weights
            left -= level * weight
            weights -= weight
        return math.inf

    def _end_pending(self, account: str) -> None:
        self._pending[account] -= 1
        if not self._pending[account]:
            del self._pending[account]

    def _decay(self, now: float) -> None:
        factor = math.exp((self._ordered_at - now) / ORDER_WINDOW_S)
        self._ordered_at = now
        for rank in self._ordered_by_rank:
            self._ordered_by_rank[rank] *= factor

    def _advance(self, now: float) -> None:
        """Advance the virtual time, measured in loads per unit of weight."""
        if self._total_weight > 0:
            passed = now - self._advanced_at
            self._virtual_s += passed * self.loads_per_s / self._total_weight
        self._advanced_at = now


class BackOff:
    """Exponential back-off of adapters whose loads fail."""

    def __init__(self) -> None:
        # Number of consecutive failures and time of the next try.
        self._failure_by_ref: dict[types.AdapterRef, tuple[int, float]] = {}

    def record_failure(self, ref: types.AdapterRef, now: float) -> float:
        """Record a failed load.

        Args:
            ref: The adapter.
            now: Current time in seconds.

        Returns:
            Time in seconds until the next try.
        """
        count = self._failure_by_ref.get(ref, (0, 0.0))[0] + 1
        pause_s = min(FIRST_BACKOFF_S * 2 ** (count - 1), MAX_BACKOFF_S)
        self._failure_by_ref[ref] = (min(count, 16), now + pause_s)
        return pause_s

    def record_success(self, ref: types.AdapterRef) -> None:
        """Reset the back-off of an adapter that was loaded."""
        self._failure_by_ref.pop(ref, None)

    def remaining_s(self, ref: types.AdapterRef, now: float) -> float:
        """Return the time until an adapter may be loaded again, or 0.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        failure = self._failure_by_ref.get(ref)
        if failure is None:
            return 0.0
        if now > failure[1] + MAX_BACKOFF_S:
            del self._failure_by_ref[ref]
        return max(failure[1] - now, 0.0)


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
