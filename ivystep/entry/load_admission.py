"""Decides which demand can be loaded in time, and refuses the rest.

A load is admitted to the backlog if it can end before the latest start of its
requests and makes no admitted load late.
"""

import math
from collections.abc import Callable, Iterable

from ivystep.core import types
from ivystep.entry import load_estimate, load_progress
from ivystep.policy import account_shares, load_back_off, load_order


class LoadAdmission:
    """The admitted loads of a pool.

    Args:
        shares: Fair shares of the accounts.
        back_off: Adapters that are not loaded for a time after failures.
        estimate: Expected duration of a load.
        progress: The loads in progress.
        needs_load: Returns whether waiting requests need a load now.
    """

    def __init__(
        self,
        shares: account_shares.AccountShares,
        back_off: load_back_off.BackOff,
        estimate: load_estimate.LoadEstimate,
        progress: load_progress.LoadProgress,
        needs_load: Callable[[load_order.WantedLoad, float], bool],
    ) -> None:
        self._shares = shares
        self._back_off = back_off
        self._estimate = estimate
        self._progress = progress
        self._needs_load = needs_load
        self._admitted: dict[types.AdapterRef, load_order.WantedLoad] = {}
        self._rank_by_ref: dict[types.AdapterRef, int] = {}

    @property
    def admitted_count(self) -> int:
        """Number of adapters with admitted demand."""
        return len(self._admitted)

    def admit(
        self, loads: Iterable[load_order.WantedLoad], now: float
    ) -> tuple[types.LoadForecast, ...]:
        """Admit demand to the backlog; return forecasts for late loads.

        Args:
            loads: Demand of all entries, one item for each adapter.
            now: Current time in seconds.
        """
        backlog = self.backlog(now)
        ready_by_ref = {
            load.ref: backlog.ready_in_s(position)
            for position, load in enumerate(backlog.loads)
        }
        forecasts = []
        for wanted in loads:
            ready_in_s = ready_by_ref.get(wanted.ref)
            if ready_in_s is None:
                ready_in_s = self._admit_new(wanted, backlog)
            if wanted.start_by >= now + ready_in_s:
                self._admitted[wanted.ref] = wanted
                continue
            self.remove(wanted.ref)
            if not self._progress.has_unfinished:
                self._estimate.decay()
            forecasts.append(self._forecast(wanted, backlog, ready_in_s))
        return tuple(forecasts)

    def remove(self, ref: types.AdapterRef) -> None:
        """Remove a load from the backlog, if present."""
        self._admitted.pop(ref, None)
        if self._rank_by_ref.pop(ref, None) is not None:
            self._shares.refund(ref.account)

    def record_ordered(self, ref: types.AdapterRef, now: float) -> None:
        """Record that a load of the backlog was ordered.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        rank = self._rank_by_ref.pop(ref)
        self._shares.count_ordered(ref.account, rank, now)

    def backlog(self, now: float) -> load_order.Backlog:
        """Return the admitted loads that are still needed.

        Args:
            now: Current time in seconds.
        """
        return load_order.Backlog.from_loads(
            (
                (self._load_rank(load.ref, now), load)
                for load in self._admitted.values()
                if self._needs_load(load, now)
                and not self._back_off.remaining_s(load.ref, now)
            ),
            now,
            load_s=self._estimate.load_s,
            busy_s=self._progress.busy_s(now),
        )

    def _admit_new(
        self, wanted: load_order.WantedLoad, backlog: load_order.Backlog
    ) -> float:
        """Return when a new load can end; add it if that is in time."""
        now = backlog.now
        if not self._needs_load(wanted, now):
            return 0
        pause_s = self._back_off.remaining_s(wanted.ref, now)
        rank = self._shares.rank(wanted.ref.account, now)
        share_above = self._shares.share_above(rank, now)
        ready_in_s = max(
            backlog.admission(wanted, rank, share_above),
            pause_s + backlog.load_s,
        )
        if wanted.start_by >= now + ready_in_s and not pause_s:
            backlog.add(wanted, self._load_rank(wanted.ref, now))
        return ready_in_s

    def _load_rank(self, ref: types.AdapterRef, now: float) -> int:
        """Return the rank of a load, which is fixed at its admission.

        The load is charged to its account at that time, so that the loads of
        one account that wait together have different ranks.
        """
        rank = self._rank_by_ref.get(ref)
        if rank is None:
            rank = self._shares.rank(ref.account, now)
            self._rank_by_ref[ref] = rank
            self._shares.charge(ref.account, now)
        return rank

    def _forecast(
        self,
        wanted: load_order.WantedLoad,
        backlog: load_order.Backlog,
        ready_in_s: float,
    ) -> types.LoadForecast:
        backlog_end_s = backlog.ready_in_s(len(backlog.loads))
        ready_in_s = ready_in_s if math.isfinite(ready_in_s) else backlog_end_s
        # Demand may be refused only because it would make other loads late. The
        # entry refuses it as well if the forecast is later than its latest
        # start.
        ready_in_s = max(ready_in_s, wanted.start_by - backlog.now + 0.001)
        max_wait_s = max(wanted.start_by - wanted.oldest_at, 0)
        return types.LoadForecast(
            wanted.ref,
            ready_in_s,
            max(backlog_end_s - max_wait_s, self._estimate.load_s),
        )
