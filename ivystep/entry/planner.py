"""The planner of a pool: the role that decides which adapter is loaded next.

Each entry reports the demand of its waiting requests to one planner, chosen by
rendezvous hashing over the live entries. The planner's state is soft: a new
planner starts from the next reports. Two planners at once only slow down the
weight store.
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

# A report is due every 100 ms while requests wait.
REPORT_MAX_AGE_S = 1.0
CHECK_INTERVAL_S = 0.5
# A loaded adapter is kept until the entries have seen it and sent requests.
SETTLE_S = 0.5
# A load that takes this many times longer than usual is not waited for.
OVERDUE_FACTOR = 4.0
DURATION_GAIN = 0.3
# Share by which the expected duration returns to the usual one with each
# refusal while no load runs. Without it, one slow load made every request
# look late, and no further load corrected the estimate.
RELAX_SHARE = 0.1
MAX_SKIPPED = 8
EXPECTED_HORIZON_LOADS = 2.0
# These failures say nothing about the adapter, which may be loaded on another
# upstream at once; the upstream itself waits for its next report.
UPSTREAM_CODES = frozenset(
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
    """Where a pool reports its demand: the local planner or a remote one."""

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Take over an entry's demand.

        A report replaces the entry's previous one: an adapter that it does
        not name has nothing waiting there. An entry whose waiting requests
        are reported must report again within a second, or it is taken to
        have gone.

        Args:
            entry_id: Process id of the reporting entry.
            demands: One item for each adapter with waiting requests or new
                arrivals.

        Returns:
            Forecasts for the adapters that come too late for at least one of
            the waiting requests; others are omitted.

        Raises:
            errors.LinkError: The planner cannot be reached; the report is
                repeated with the next one.
        """


class Planner:
    """Plans the loads of one pool.

    Args:
        process_id: Id of this entry.
        index: The pool's upstreams.

    Attributes:
        batching_weight: 0 favours short load stalls, 1 full engine steps.
        service_s: Expected time that a request runs.
        load_s: Expected duration of a load.
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
        self._parts_by_ref: dict[
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
        """Take over the setup's values.

        Args:
            loads_per_s: Loads that the weight store allows.
            batching_weight: From 0 to 1.
        """
        self.batching_weight = batching_weight
        if loads_per_s != self._shares.loads_per_s:
            self._shares.loads_per_s = loads_per_s
            self.load_s = 1 / loads_per_s

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Take over an entry's demand; see ``DemandSink.report_demand``."""
        now = clock.now()
        self._start()
        self.count_arrivals(demands)
        waiting = {demand.ref for demand in demands if demand.waiting}
        self._forget(entry_id, waiting)
        self._reported_at[entry_id] = now
        self._refs_by_entry[entry_id] = waiting
        for demand in demands:
            if demand.waiting:
                self._count_wanted(demand.ref, now)
                parts = self._parts_by_ref.setdefault(demand.ref, {})
                parts[entry_id] = load_order.WantedLoad.from_demand(demand, now)
        forecasts = self._admit(waiting, now)
        self.wake()
        return forecasts

    def count_arrivals(self, demands: Iterable[types.AdapterDemand]) -> None:
        """Count arrivals, so that a new planner knows the popular adapters.

        Args:
            demands: Demand of this entry or, for the planner, of any entry.
        """
        now = clock.now()
        for demand in demands:
            if demand.arrivals:
                self.popularity.add(demand.ref, demand.arrivals, now)
                self._shares.touch(demand.ref.account, demand.weight, now)

    def on_status(self, view: routing.UpstreamView) -> None:
        """Take over that an upstream has reported.

        Args:
            view: The upstream.
        """
        self._targets.rank(view, clock.now())
        self.wake()

    def on_lost(self, upstream_id: str) -> None:
        """Take over that an upstream's connection has ended."""
        self._targets.discard(upstream_id)

    def wake(self) -> None:
        """Let the planner look for work."""
        if not self._changed.ready():
            self._changed.send()

    def choose(self, now: float) -> load_target.PlannedLoad | None:
        """Choose the next load, its upstream and what is evicted.

        Args:
            now: Current time in seconds.

        Returns:
            The choice, or None if nothing can be loaded now.
        """
        backlog = self._backlog(now)
        skipped: set[types.AdapterRef] = set()
        while len(skipped) < MAX_SKIPPED:
            wanted = backlog.first(functools.partial(self._score, now), skipped)
            if wanted is None:
                return None
            chosen = self._target(wanted, now)
            if chosen is not None:
                return chosen
            # An adapter with no place now must not stop the others.
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
                self._order_loads()
            except Exception:
                # Without this task, the pool would load nothing any more.
                log.exception('Planning failed.')
            timeout_s = CHECK_INTERVAL_S if self._parts_by_ref else None
            with eventlet.Timeout(timeout_s, exception=False):
                self._changed.wait()

    def _drop_silent_entries(self) -> None:
        horizon = clock.now() - REPORT_MAX_AGE_S
        for entry_id, reported_at in list(self._reported_at.items()):
            if reported_at < horizon:
                self._forget(entry_id, set())
                del self._reported_at[entry_id]
                del self._refs_by_entry[entry_id]

    def _forget(self, entry_id: str, kept: set[types.AdapterRef]) -> None:
        """Forget what an entry no longer waits for."""
        for ref in self._refs_by_entry.get(entry_id, set()) - kept:
            parts = self._parts_by_ref[ref]
            del parts[entry_id]
            if not parts:
                del self._parts_by_ref[ref]
                self._drop(ref)

    def _count_wanted(self, ref: types.AdapterRef, now: float) -> None:
        """Count a load that an account asks for, once until it is met."""
        if ref not in self._parts_by_ref and not self._index.is_held(ref):
            self._shares.want(ref.account, now)

    def _admit(
        self, refs: Iterable[types.AdapterRef], now: float
    ) -> tuple[types.LoadForecast, ...]:
        """Add demand to the backlog, or tell that it comes too late."""
        backlog = self._backlog(now)
        ready_by_ref = {
            load.ref: backlog.ready_in_s(position)
            for position, load in enumerate(backlog.loads)
        }
        forecasts = []
        for ref in sorted(refs):
            wanted = load_order.WantedLoad.merged(
                self._parts_by_ref[ref].values()
            )
            ready_in_s = ready_by_ref.get(ref)
            if ready_in_s is None:
                ready_in_s = self._admission(wanted, backlog)
            if wanted.start_by >= now + ready_in_s:
                self._admitted[ref] = wanted
                continue
            self._drop(ref)
            self._relax()
            forecasts.append(self._forecast(wanted, backlog, ready_in_s))
        return tuple(forecasts)

    def _admission(
        self, wanted: load_order.WantedLoad, backlog: load_order.Backlog
    ) -> float:
        """Return when new demand can be met, and add it if that is in time."""
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
            backlog.add(wanted, self._rank_load(wanted.ref, now))
        return ready_in_s

    def _rank_load(self, ref: types.AdapterRef, now: float) -> int:
        """Return the rank of a load, fixed when it is admitted.

        The load is charged to its account at that time, so that the loads
        of one account that wait together have different ranks.
        """
        rank = self._rank_by_ref.get(ref)
        if rank is None:
            rank = self._shares.rank(ref.account, now)
            self._rank_by_ref[ref] = rank
            self._shares.charge(ref.account, now)
        return rank

    def _drop(self, ref: types.AdapterRef) -> None:
        """Remove a load from the backlog, if it is there."""
        self._admitted.pop(ref, None)
        if self._rank_by_ref.pop(ref, None) is not None:
            self._shares.refund(ref.account)

    def _forecast(
        self,
        wanted: load_order.WantedLoad,
        backlog: load_order.Backlog,
        ready_in_s: float,
    ) -> types.LoadForecast:
        last = backlog.ready_in_s(len(backlog.loads))
        ready_in_s = ready_in_s if math.isfinite(ready_in_s) else last
        # The refused request must not be held, also if others are in its way.
        ready_in_s = max(ready_in_s, wanted.start_by - backlog.now + 0.001)
        usual_s = max(wanted.start_by - wanted.oldest_at, 0)
        return types.LoadForecast(
            wanted.ref, ready_in_s, max(last - usual_s, self.load_s)
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
                (self._rank_load(load.ref, now), load)
                for load in self._admitted.values()
                if self._needs_load(load, now)
                and not self._back_off.remaining_s(load.ref, now)
            ),
            now,
            load_s=self.load_s,
            busy_s=max(busy_s, 0),
        )

    def _needs_load(self, wanted: load_order.WantedLoad, now: float) -> bool:
        """Return whether a load would help the waiting requests."""
        ref = wanted.ref
        if self._started_by_ref and self._is_loading(ref, now):
            return False
        if self._loaded_at and self._is_settling(ref, now):
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
        # A batch that is full for a moment is no reason for another copy.
        return now - wanted.oldest_at > self.load_s

    def _is_needed(self, ref: types.AdapterRef, now: float) -> bool:
        return ref in self._parts_by_ref or self._is_settling(ref, now)

    def _is_loading(self, ref: types.AdapterRef, now: float) -> bool:
        started = self._started_by_ref.get(ref, -math.inf)
        return now - started < OVERDUE_FACTOR * self.load_s

    def _is_settling(self, ref: types.AdapterRef, now: float) -> bool:
        return now - self._loaded_at.get(ref, -math.inf) < SETTLE_S

    def _order_loads(self) -> None:
        self._drop_silent_entries()
        now = clock.now()
        if any(self._is_loading(ref, now) for ref in self._started_by_ref):
            return
        chosen = self.choose(now)
        if chosen is not None:
            self._order(chosen, now)

    def _target(
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

    def _order(self, chosen: load_target.PlannedLoad, now: float) -> None:
        wanted = chosen.wanted
        order = types.LoadOrder(
            ref=wanted.ref,
            source=wanted.source,
            evict=() if chosen.victim is None else (chosen.victim,),
            planner=self._process_id,
        )
        rank = self._rank_by_ref.pop(wanted.ref)
        self._shares.use(wanted.ref.account, rank, now)
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
            self._note_loaded(order.ref, now)
            self._back_off.succeed(order.ref)
            self._note_duration(now - started)
        elif outcome.code in UPSTREAM_CODES:
            log.info(
                'Load of %s on %s refused: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                outcome.reason,
            )
        else:
            pause_s = self._back_off.fail(order.ref, now)
            log.warning(
                'Load of %s on %s failed, next in %.0f s: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                pause_s,
                outcome.reason,
            )
        # The upstream is a target again after its next report, because the
        # last one still names what was evicted.
        self.wake()

    def _note_duration(self, duration_s: float) -> None:
        """Take over how long a load took.

        A load that hung says little about the next one, so its duration
        counts only up to the time after which loads are overtaken.
        """
        longest_s = OVERDUE_FACTOR / self._shares.loads_per_s
        self.load_s += DURATION_GAIN * (
            min(duration_s, longest_s) - self.load_s
        )

    def _relax(self) -> None:
        """Return the expected duration towards the usual one."""
        if not self._started_by_ref:
            usual_s = 1 / self._shares.loads_per_s
            self.load_s += RELAX_SHARE * (usual_s - self.load_s)

    def _note_loaded(self, ref: types.AdapterRef, now: float) -> None:
        for earlier, loaded_at in list(self._loaded_at.items()):
            if loaded_at < now - SETTLE_S:
                del self._loaded_at[earlier]
        self._loaded_at[ref] = now
