"""Plans the adapter loads of a pool: which adapter, onto which upstream.

Each entry reports the demand of its waiting requests to one planner, chosen by
rendezvous hashing over the live entries. The planner has only soft state: a
new planner rebuilds it from the next demand reports. Two planners at once only
slow down the weight store.
"""

import functools
import math
import typing
from collections.abc import Iterable

import eventlet
from eventlet import event

from ivystep.core import errors, types
from ivystep.policy import (
    batching,
    eviction,
    load_order,
    load_target,
    routing,
)
from ivystep.runtime import clock, logs

# Entries with waiting requests report every 100 ms; one that has not reported
# for this time is assumed to have stopped.
REPORT_MAX_AGE_S = 1.0
CHECK_INTERVAL_S = 0.5
# An adapter is not evicted for this time after its load, so that the entries
# can learn of it and send the waiting requests.
KEEP_AFTER_LOAD_S = 0.5
# A load that has run this many times the expected duration no longer blocks
# the next one.
OVERDUE_FACTOR = 4.0
# Weight of a new sample in the moving average of the load duration.
DURATION_WEIGHT = 0.3
# Share by which each refusal, while no load runs, moves the expected duration
# of a load back to the nominal one. Without it, one slow load made every
# request look late, and no further load corrected the estimate.
ESTIMATE_DECAY = 0.1
# Largest number of adapters without a possible target that the choice of one
# load passes over.
MAX_SKIPPED = 8
# Arrivals within this many load durations count as if they were waiting.
EXPECTED_HORIZON_LOADS = 2.0
# Failures that concern the upstream, not the adapter: it may be loaded on
# another upstream at once, and this one gets no load until its next report.
UPSTREAM_FAILURE_CODES = frozenset(
    (
        'adapter_in_use',
        'busy',
        'draining',
        'engine_down',
        'fenced',
        'link_failed',
        'not_owner',
    )
)

log = logs.get('planner')


class DemandSink(typing.Protocol):
    """Receiver of a pool's demand reports: a local or a remote planner."""

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Replace the demand of an entry by a new report.

        An adapter that the report does not name has no waiting requests at
        the entry. An entry with waiting requests must report again within a
        second; otherwise it is assumed to have stopped and its demand is
        dropped.

        Args:
            entry_id: Process id of the reporting entry.
            demands: One item for each adapter with waiting requests or new
                arrivals.

        Returns:
            Forecasts for the adapters whose load ends too late for at least
            one of the waiting requests; others are omitted.

        Raises:
            errors.LinkError: The planner cannot be reached. The next report
                replaces this one.
        """


class Planner:
    """Plans the loads of one pool.

    Args:
        process_id: Id of this entry.
        index: The pool's upstreams.

    Attributes:
        batching_weight: From 0, which favours short load stalls, to 1, which
            favours full batches.
        service_s: Expected run time of a request, in seconds.
        load_s: Expected duration of a load, in seconds.
        popularity: Arrival rates of the adapters.
    """

    def __init__(self, process_id: str, index: routing.UpstreamIndex) -> None:
        self.batching_weight = 0.2
        self.service_s = 1.0
        self.popularity = eviction.Popularity()
        self._process_id = process_id
        self._index = index
        self._shares = load_order.AccountShares(2.0)
        self._back_off = load_order.BackOff()
        self._targets = load_target.LoadTargets(
            index, self.popularity, self._is_needed
        )
        self.load_s = 0.5
        self._wanted_by_ref: dict[
            types.AdapterRef, dict[str, load_order.WantedLoad]
        ] = {}
        self._refs_by_entry: dict[str, set[types.AdapterRef]] = {}
        self._reported_at: dict[str, float] = {}
        self._admitted: dict[types.AdapterRef, load_order.WantedLoad] = {}
        self._rank_by_ref: dict[types.AdapterRef, int] = {}
        self._started_by_ref: dict[types.AdapterRef, float] = {}
        self._loaded_at: dict[types.AdapterRef, float] = {}
        self._changed = event.Event()
        self._is_running = False

    def configure(self, loads_per_s: float, batching_weight: float) -> None:
        """Set the values that the setup has for the pool.

        Args:
            loads_per_s: Loads per second that the weight store allows.
            batching_weight: See the attribute.
        """
        self.batching_weight = batching_weight
        if loads_per_s != self._shares.loads_per_s:
            self._shares.loads_per_s = loads_per_s
            self.load_s = 1 / loads_per_s

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Replace an entry's demand; see ``DemandSink.report_demand``."""
        now = clock.now()
        self._start()
        self.count_arrivals(demands)
        waiting = {demand.ref for demand in demands if demand.waiting}
        self._drop_demand(entry_id, waiting)
        self._reported_at[entry_id] = now
        self._refs_by_entry[entry_id] = waiting
        for demand in demands:
            if demand.waiting:
                self._count_wanted_load(demand.ref, now)
                by_entry = self._wanted_by_ref.setdefault(demand.ref, {})
                by_entry[entry_id] = load_order.WantedLoad.from_demand(
                    demand, now
                )
        forecasts = self._admit(waiting, now)
        self.wake()
        return forecasts

    def count_arrivals(self, demands: Iterable[types.AdapterDemand]) -> None:
        """Count arrivals, so that a new planner knows the popular adapters.

        Args:
            demands: Demand of this entry or, for the active planner, of any.
        """
        now = clock.now()
        for demand in demands:
            if demand.arrivals:
                self.popularity.add(demand.ref, demand.arrivals, now)
                self._shares.record_activity(
                    demand.ref.account, demand.weight, now
                )

    def on_status(self, view: routing.UpstreamView) -> None:
        """Reconsider an upstream as a load target after its status report.

        Args:
            view: The upstream.
        """
        self._targets.rank(view, clock.now())
        self.wake()

    def on_lost(self, upstream_id: str) -> None:
        """Load nothing on an upstream whose connection has ended."""
        self._targets.discard(upstream_id)

    def wake(self) -> None:
        """Have the planning task look for a load."""
        if not self._changed.ready():
            self._changed.send()

    def choose(self, now: float) -> load_target.PlannedLoad | None:
        """Choose the next load, its upstream and the adapter to evict.

        Args:
            now: Current time in seconds.

        Returns:
            The planned load, or None if nothing can be loaded now.
        """
        backlog = self._backlog(now)
        skipped: set[types.AdapterRef] = set()
        while len(skipped) < MAX_SKIPPED:
            wanted = backlog.first(functools.partial(self._score, now), skipped)
            if wanted is None:
                return None
            chosen = self._choose_target(wanted, now)
            if chosen is not None:
                return chosen
            # An adapter without a possible target must not block the others.
            skipped.add(wanted.ref)
        return None

    def _start(self) -> None:
        if not self._is_running:
            self._is_running = True
            eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._changed = event.Event()
            try:
                self._order_next_load()
            except Exception:
                # The task must continue, or the pool would load nothing more.
                log.exception('Planning of loads failed.')
            timeout_s = CHECK_INTERVAL_S if self._wanted_by_ref else None
            with eventlet.Timeout(timeout_s, exception=False):
                self._changed.wait()

    def _expire_silent_entries(self) -> None:
        horizon = clock.now() - REPORT_MAX_AGE_S
        for entry_id, reported_at in list(self._reported_at.items()):
            if reported_at < horizon:
                self._drop_demand(entry_id, set())
                del self._reported_at[entry_id]
                del self._refs_by_entry[entry_id]

    def _drop_demand(self, entry_id: str, kept: set[types.AdapterRef]) -> None:
        """Remove an entry's demand, except for the adapters in ``kept``."""
        for ref in self._refs_by_entry.get(entry_id, set()) - kept:
            by_entry = self._wanted_by_ref[ref]
            del by_entry[entry_id]
            if not by_entry:
                del self._wanted_by_ref[ref]
                self._remove_from_backlog(ref)

    def _count_wanted_load(self, ref: types.AdapterRef, now: float) -> None:
        """Count a load for its account, unless it is already wanted or held."""
        if ref not in self._wanted_by_ref and not self._index.is_held(ref):
            self._shares.count_wanted(ref.account, now)

    def _admit(
        self, refs: Iterable[types.AdapterRef], now: float
    ) -> tuple[types.LoadForecast, ...]:
        """Admit demand to the backlog; return forecasts for late loads."""
        backlog = self._backlog(now)
        ready_by_ref = {
            load.ref: backlog.ready_in_s(position)
            for position, load in enumerate(backlog.loads)
        }
        forecasts = []
        for ref in sorted(refs):
            wanted = load_order.WantedLoad.merged(
                self._wanted_by_ref[ref].values()
            )
            ready_in_s = ready_by_ref.get(ref)
            if ready_in_s is None:
                ready_in_s = self._admit_new(wanted, backlog)
            if wanted.start_by >= now + ready_in_s:
                self._admitted[ref] = wanted
                continue
            self._remove_from_backlog(ref)
            self._decay_load_estimate()
            forecasts.append(self._forecast(wanted, backlog, ready_in_s))
        return tuple(forecasts)

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

    def _remove_from_backlog(self, ref: types.AdapterRef) -> None:
        """Remove a load from the backlog, if present."""
        self._admitted.pop(ref, None)
        if self._rank_by_ref.pop(ref, None) is not None:
            self._shares.refund(ref.account)

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
            wanted.ref, ready_in_s, max(backlog_end_s - max_wait_s, self.load_s)
        )

    def _backlog(self, now: float) -> load_order.Backlog:
        started = [
            at
            for at in self._started_by_ref.values()
            if now - at < OVERDUE_FACTOR * self.load_s
        ]
        busy_s = max((at + self.load_s - now for at in started), default=0)
        return load_order.Backlog.from_loads(
            (
                (self._load_rank(load.ref, now), load)
                for load in self._admitted.values()
                if self._needs_load(load, now)
                and not self._back_off.remaining_s(load.ref, now)
            ),
            now,
            load_s=self.load_s,
            busy_s=max(busy_s, 0),
        )

    def _needs_load(self, wanted: load_order.WantedLoad, now: float) -> bool:
        """Return whether the waiting requests need a load."""
        ref = wanted.ref
        if self._started_by_ref and self._is_loading(ref, now):
            return False
        if self._loaded_at and self._is_recently_loaded(ref, now):
            return False
        if not self._index.is_held(ref):
            return True
        holders = [
            view for view in self._index.holders(ref) if view.is_usable(now)
        ]
        if not holders:
            return True
        if any(view.has_room(now) for view in holders):
            return False
        # A batch that is full only for a moment justifies no second copy.
        return now - wanted.oldest_at > self.load_s

    def _is_needed(self, ref: types.AdapterRef, now: float) -> bool:
        return ref in self._wanted_by_ref or self._is_recently_loaded(ref, now)

    def _is_loading(self, ref: types.AdapterRef, now: float) -> bool:
        started = self._started_by_ref.get(ref, -math.inf)
        return now - started < OVERDUE_FACTOR * self.load_s

    def _is_recently_loaded(self, ref: types.AdapterRef, now: float) -> bool:
        return now - self._loaded_at.get(ref, -math.inf) < KEEP_AFTER_LOAD_S

    def _order_next_load(self) -> None:
        self._expire_silent_entries()
        now = clock.now()
        if any(self._is_loading(ref, now) for ref in self._started_by_ref):
            return
        chosen = self.choose(now)
        if chosen is not None:
            self._send_order(chosen, now)

    def _choose_target(
        self, wanted: load_order.WantedLoad, now: float
    ) -> load_target.PlannedLoad | None:
        return self._targets.choose(
            wanted,
            now,
            packing=batching.packing(self.batching_weight, len(self._admitted)),
            service_s=self.service_s,
        )

    def _score(self, now: float, load: load_order.WantedLoad) -> float:
        horizon_s = EXPECTED_HORIZON_LOADS * self.load_s
        expected = self.popularity.rate(load.ref, now) * horizon_s
        return load_order.urgency(load, now, expected)

    def _send_order(self, chosen: load_target.PlannedLoad, now: float) -> None:
        wanted = chosen.wanted
        order = types.LoadOrder(
            ref=wanted.ref,
            source=wanted.source,
            evict=() if chosen.victim is None else (chosen.victim,),
            planner=self._process_id,
        )
        rank = self._rank_by_ref.pop(wanted.ref)
        self._shares.count_ordered(wanted.ref.account, rank, now)
        self._started_by_ref[wanted.ref] = now
        self._targets.discard(chosen.view.status.upstream_id)
        eventlet.spawn(
            self._load, order, wanted.setup_version, chosen.view, now
        )

    def _load(
        self,
        order: types.LoadOrder,
        setup_version: int,
        view: routing.UpstreamView,
        started: float,
    ) -> None:
        try:
            outcome = view.link.load(order, setup_version)
        except errors.IvystepError as error:
            outcome = types.LoadResult(False, 'link_failed', str(error))
        now = clock.now()
        if self._started_by_ref.get(order.ref) == started:
            del self._started_by_ref[order.ref]
        if outcome.ok:
            self._record_loaded(order.ref, now)
            self._back_off.record_success(order.ref)
            self._update_load_estimate(now - started)
        elif outcome.code in UPSTREAM_FAILURE_CODES:
            log.info(
                'Load of %s on %s refused: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                outcome.reason,
            )
        else:
            pause_s = self._back_off.record_failure(order.ref, now)
            log.warning(
                'Load of %s on %s failed, next attempt in %.0f s: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                pause_s,
                outcome.reason,
            )
        # The upstream becomes a target again with its next status report; the
        # last report still names the evicted adapter.
        self.wake()

    def _update_load_estimate(self, duration_s: float) -> None:
        """Add a sample to the moving average of the load duration.

        A load that hung does not predict the next one, so its duration
        counts only up to that at which a load is overdue.
        """
        longest_s = OVERDUE_FACTOR / self._shares.loads_per_s
        self.load_s += DURATION_WEIGHT * (
            min(duration_s, longest_s) - self.load_s
        )

    def _decay_load_estimate(self) -> None:
        """Move the expected load duration towards the nominal one."""
        if not self._started_by_ref:
            nominal_s = 1 / self._shares.loads_per_s
            self.load_s += ESTIMATE_DECAY * (nominal_s - self.load_s)

    def _record_loaded(self, ref: types.AdapterRef, now: float) -> None:
        for earlier, loaded_at in list(self._loaded_at.items()):
            if loaded_at < now - KEEP_AFTER_LOAD_S:
                del self._loaded_at[earlier]
        self._loaded_at[ref] = now
