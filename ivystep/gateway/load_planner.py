"""Plans the loads of adapters to the engines of one pool.

Takes the place of ``entry.planner.Planner`` where the weight store loads to
several engines at once: each engine takes some loads beside one another, and
which adapter comes first is a matter of the requests' value. The state is
soft: a new planner starts from the next reports.
"""

import collections
from collections.abc import Callable, Iterable

import eventlet
from eventlet import event

from ivystep.core import errors, types
from ivystep.policy import (
    eviction,
    load_target,
    load_times,
    load_value,
    routing,
)
from ivystep.runtime import clock, logs

# A host whose requests wait reports every 100 ms.
REPORT_MAX_AGE_S = 1.0
CHECK_INTERVAL_S = 0.1
LOAD_S = 0.27
# Adapters that are looked at for each load; the others wait.
MAX_SKIPPED = 24
# A load that is not done after this time does not count as in progress.
OVERDUE_S = 2.0
# An adapter is kept until hosts have seen it and sent their requests.
SETTLE_S = 0.5
# An engine that refused a load gets no other one for this time.
REFUSED_S = 0.2
# Adapters that may have further copies, and how often they are ranked.
MAX_POPULAR = 12
RANK_INTERVAL_S = 0.25
# Copies follow the requests of the last seconds, because one adapter that
# many ask for suddenly fills its engine within a second.
RECENT_S = 3.0
# Copies are loaded only while this share of the loads that the weight store
# brings at once is in progress.
COPY_LOADS_SHARE = 0.4
# Share of a batch by which an engine must be emptier to get a copy.
COPY_GAIN = 0.05

log = logs.get('planner')


class LoadPlanner:
    """Plans the loads of one pool; a ``DemandSink``.

    Args:
        process_id: Name of this host.
        index: The pool's engines.
        targets: Cost of a full engine, and of a load from the weight store.
        ageing_s: See ``eviction.Popularity``.
        may_order: Returns whether this host may give orders now.
        times: How many loads from the weight store may run at once.

    Attributes:
        service_s: Time that requests run, in seconds; set by the pool.
        load_s: Duration of a load, in seconds.
    """

    def __init__(
        self,
        process_id: str,
        index: routing.UpstreamIndex,
        targets: load_target.TargetCosts,
        ageing_s: float,
        may_order: Callable[[], bool],
        times: load_times.LoadTimes,
    ) -> None:
        self.service_s = 1.0
        self.load_s = LOAD_S
        self.popularity = eviction.Popularity(ageing_s)
        self._recent = eviction.Popularity(RECENT_S)
        self._process_id = process_id
        self._index = index
        self._may_order = may_order
        self._times = times
        # Adapters on their way that were not at hand at their engines.
        self._fetched: set[types.AdapterRef] = set()
        self._refused_until_by_id: dict[str, float] = {}
        self._targets = load_target.LoadTargets(
            index, self.popularity, self._is_needed, targets
        )
        self._wishes_by_host: dict[
            str, dict[types.AdapterRef, load_value.AggregateDemand]
        ] = {}
        self._running_by_host: dict[str, set[types.AdapterRef]] = {}
        self._reported_at: dict[str, float] = {}
        self._started_by_ref: dict[types.AdapterRef, float] = {}
        self._loaded_at: dict[types.AdapterRef, float] = {}
        self._popular: list[types.AdapterRef] = []
        self._ranked_at = float('-inf')
        self._changed = event.Event()
        self._is_running = False

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Take over a host's demand.

        See ``planner.DemandSink.report_demand``.
        """
        now = clock.now()
        self._start()
        self.count_arrivals(demands)
        self._reported_at[entry_id] = now
        self._wishes_by_host[entry_id] = {
            demand.ref: load_value.AggregateDemand.from_demand(demand, now)
            for demand in demands
            if demand.waiting
        }
        self._running_by_host[entry_id] = {
            demand.ref for demand in demands if demand.running
        }
        self.wake()
        return ()

    def count_arrivals(self, demands: Iterable[types.AdapterDemand]) -> None:
        """Count arrivals; see ``planner.Planner.count_arrivals``."""
        now = clock.now()
        for demand in demands:
            if demand.arrivals:
                self.popularity.add(demand.ref, demand.arrivals, now)
                self._recent.add(demand.ref, demand.arrivals, now)

    def on_status(self, view: routing.UpstreamView) -> None:
        """Take over that an engine has changed."""
        now = clock.now()
        if now >= self._refused_until_by_id.get(view.status.upstream_id, now):
            self._targets.rank(view, now)
        self.wake()

    def on_lost(self, upstream_id: str) -> None:
        """Take over that an engine takes no new work."""
        self._targets.discard(upstream_id)
        self._refused_until_by_id.pop(upstream_id, None)

    def is_cached(self, upstream_id: str, ref: types.AdapterRef) -> bool:
        """Return whether an engine has held an adapter lately."""
        return self._targets.cached.has(upstream_id, ref)

    def wake(self) -> None:
        """Let the planner look for work."""
        if not self._changed.ready():
            self._changed.send()

    def choose(self, now: float) -> load_target.PlannedLoad | None:
        """Choose the next load, its engine and what is evicted.

        Args:
            now: Current time in seconds.

        Returns:
            The choice, or None if nothing can be loaded now.
        """
        wishes = [
            wish for wish in self._wishes(now) if self._needs_load(wish, now)
        ]
        ordered = load_value.in_order(wishes, now, self.load_s)
        for wish in ordered[:MAX_SKIPPED]:
            chosen = self._targets.choose(
                wish, now, packing=0.0, service_s=self.service_s
            )
            if chosen is not None:
                return chosen
        return self._choose_copy(now)

    def _choose_copy(self, now: float) -> load_target.PlannedLoad | None:
        """Choose a further copy of an adapter that is asked for often."""
        if now >= self._ranked_at + RANK_INTERVAL_S:
            self._ranked_at = now
            self._popular = self._recent.top(MAX_POPULAR)
        most = self._times.max_parallel_loads * COPY_LOADS_SHARE
        if self._loads_in_progress(now) >= most:
            return None
        for ref in self._popular:
            holders = self._index.holders(ref)
            wanted = load_value.target_copies(
                self._recent.rate(ref, now),
                self._recent.total_rate(now),
                len(self._index.view_by_id),
            )
            if not 0 < len(holders) < wanted or self._is_loading(ref, now):
                continue
            fullest = min(view.fill for view in holders)
            chosen = self._targets.choose(
                load_value.AggregateDemand.for_copy(ref, now),
                now,
                packing=0.0,
                service_s=self.service_s,
            )
            if chosen and chosen.view.fill + COPY_GAIN <= fullest:
                return chosen
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
            timeout_s = CHECK_INTERVAL_S if self._wishes_by_host else None
            with eventlet.Timeout(timeout_s, exception=False):
                self._changed.wait()

    def _wishes(self, now: float) -> list[load_value.AggregateDemand]:
        """Return what is wanted, without hosts that have fallen silent."""
        wishes_by_ref = collections.defaultdict(list)
        for host, reported_at in list(self._reported_at.items()):
            if reported_at < now - REPORT_MAX_AGE_S:
                del self._reported_at[host]
                self._wishes_by_host.pop(host, None)
                self._running_by_host.pop(host, None)
                continue
            for ref, wish in self._wishes_by_host[host].items():
                wishes_by_ref[ref].append(wish)
        return [
            load_value.AggregateDemand.merged(wishes)
            for wishes in wishes_by_ref.values()
        ]

    def _needs_load(self, wish: load_value.AggregateDemand, now: float) -> bool:
        """Return whether a load would help the waiting requests."""
        ref = wish.ref
        if self._is_loading(ref, now) or self._is_settling(ref, now):
            return False
        return not any(view.is_usable(now) for view in self._index.holders(ref))

    def _is_needed(self, ref: types.AdapterRef, now: float) -> bool:
        return (
            self._is_settling(ref, now)
            or any(ref in held for held in self._running_by_host.values())
            or any(ref in wished for wished in self._wishes_by_host.values())
        )

    def _is_loading(self, ref: types.AdapterRef, now: float) -> bool:
        started = self._started_by_ref.get(ref)
        return started is not None and now - started < OVERDUE_S

    def _is_settling(self, ref: types.AdapterRef, now: float) -> bool:
        loaded_at = self._loaded_at.get(ref)
        return loaded_at is not None and now - loaded_at < SETTLE_S

    def _order_loads(self) -> None:
        if not self._may_order():
            return
        now = clock.now()
        while self._loads_in_progress(now) < self._times.max_parallel_loads:
            chosen = self.choose(now)
            if chosen is None:
                self._times.is_limiting = False
                return
            self._order(chosen, now)
        self._times.is_limiting = True

    def _loads_in_progress(self, now: float) -> int:
        """Return the loads in progress that come from the weight store."""
        return sum(self._is_loading(ref, now) for ref in self._fetched)

    def _order(self, chosen: load_target.PlannedLoad, now: float) -> None:
        ref = chosen.wanted.ref
        order = types.LoadOrder(
            ref=ref,
            source='',
            evict=() if chosen.victim is None else (chosen.victim,),
            planner=self._process_id,
        )
        self._started_by_ref[ref] = now
        if not self.is_cached(chosen.view.status.upstream_id, ref):
            self._fetched.add(ref)
        self._targets.discard(chosen.view.status.upstream_id)
        eventlet.spawn(self._load, order, chosen.view, now)

    def _load(
        self,
        order: types.LoadOrder,
        view: routing.UpstreamView,
        started: float,
    ) -> None:
        try:
            outcome = view.link.load(order, 0)
        except errors.IvystepError as error:
            outcome = types.LoadResult(False, 'link_failed', str(error))
        now = clock.now()
        if self._started_by_ref.get(order.ref) == started:
            del self._started_by_ref[order.ref]
            self._fetched.discard(order.ref)
        if outcome.ok:
            self._note_loaded(order.ref, now)
        else:
            refused_until = now + REFUSED_S
            self._refused_until_by_id[view.status.upstream_id] = refused_until
            self._targets.discard(view.status.upstream_id)
            log.info(
                'Load of %s on %s failed: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                outcome.reason,
            )
        self.wake()

    def _note_loaded(self, ref: types.AdapterRef, now: float) -> None:
        for earlier, loaded_at in list(self._loaded_at.items()):
            if loaded_at < now - SETTLE_S:
                del self._loaded_at[earlier]
        self._loaded_at[ref] = now
