"""Plans the loads of adapters to the engines of one pool.

Replaces ``entry.planner.Planner`` where the weight store serves several
engines in parallel: each engine runs several loads at once, and the value of
the waiting requests decides which adapter is loaded first. The state is soft:
a new planner starts from the next reports.
"""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

import eventlet
from eventlet import event

from ivystep.core import errors, types
from ivystep.gateway.loads import host_demands
from ivystep.policy import (
    eviction,
    load_target,
    load_times,
    load_value,
    routing,
)
from ivystep.runtime import clock, logs

CHECK_INTERVAL_S = 0.1
# Pause between two rounds of planning, in durations of the last one. A leader
# that plans must still answer its callers and the other hosts.
PAUSE_ROUNDS = 2.0
# Expected duration of a load.
LOAD_S = 0.27
# Largest number of adapters without a possible target that a round of planning
# passes over.
MAX_SKIPPED = 24
# A load that has run for this time no longer counts as in progress.
OVERDUE_S = 2.0
# An adapter is not evicted for this time after its load, so that the hosts can
# learn of it and send the waiting requests.
KEEP_AFTER_LOAD_S = 0.5
# Time without new loads for an engine that refused one.
REFUSAL_PAUSE_S = 0.2
# Adapters that may get further copies, and the interval of their ranking.
MAX_POPULAR = 12
RANK_INTERVAL_S = 0.25
# Copies depend on the requests of the last few seconds, since a sudden rush
# for one adapter fills its engine within a second.
RECENT_S = 3.0
# Copies are loaded only while the loads in progress are below this share of
# the parallel loads that the weight store allows.
COPY_LOADS_SHARE = 0.4
# Share of a batch by which an engine must be emptier than all holders of an
# adapter to get a copy.
MIN_COPY_GAIN = 0.05

log = logs.get('planner')


class LoadPlanner:
    """Plans the loads of one pool; a ``DemandSink``.

    Args:
        process_id: Name of this host.
        index: The pool's engines.
        targets: Costs of a full engine and of a load from the weight store.
        ageing_s: See ``eviction.Popularity``.
        may_order: Returns whether this host may send orders now.
        is_replaced: Returns whether a newer version of an adapter is named.
        times: Limit of parallel loads from the weight store.

    Attributes:
        service_s: Expected run time of a request, in seconds; set by the pool.
        load_s: Expected duration of a load, in seconds.
        popularity: Arrival rates of the adapters.
    """

    def __init__(
        self,
        process_id: str,
        index: routing.UpstreamIndex,
        targets: load_target.TargetCosts,
        ageing_s: float,
        may_order: Callable[[], bool],
        is_replaced: Callable[[types.AdapterRef], bool],
        times: load_times.LoadTimes,
    ) -> None:
        self.service_s = 1.0
        self.load_s = LOAD_S
        self.popularity = eviction.Popularity(ageing_s)
        self._recent = eviction.Popularity(RECENT_S)
        self._process_id = process_id
        self._index = index
        self._may_order = may_order
        self._is_replaced = is_replaced
        self._times = times
        # Loading adapters that were not cached on their engines' hosts.
        self._fetching: set[types.AdapterRef] = set()
        self._refused_until_by_id: dict[str, float] = {}
        self._targets = load_target.LoadTargets(
            index, self.popularity, self._is_needed, targets
        )
        self._demands = host_demands.HostDemands()
        self._started_by_ref: dict[types.AdapterRef, float] = {}
        self._loaded_at: dict[types.AdapterRef, float] = {}
        self._popular: list[types.AdapterRef] = []
        self._ranked_at = float('-inf')
        self._changed = event.Event()
        self._is_running = False

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Replace a host's demand; see ``planner.DemandSink``."""
        now = clock.now()
        self._start()
        self.count_arrivals(demands)
        self._demands.replace(entry_id, demands, now)
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
        """Reconsider an engine as a load target after its status changed."""
        if not self._may_order():
            # All engines are ranked once this host may send orders.
            self._targets.record_held(view.status)
            return
        now = clock.now()
        if now >= self._refused_until_by_id.get(view.status.upstream_id, now):
            self._targets.rank(view, now)
        self.wake()

    def on_lost(self, upstream_id: str) -> None:
        """Load nothing on an engine that takes no new work."""
        self._targets.discard(upstream_id)
        self._refused_until_by_id.pop(upstream_id, None)

    def is_cached(self, upstream_id: str, ref: types.AdapterRef) -> bool:
        """Return whether an engine's host caches an adapter."""
        return self._targets.cached.has(upstream_id, ref)

    def wake(self) -> None:
        """Have the planning task look for loads."""
        if not self._changed.ready():
            self._changed.send()

    def choose_copy(self, now: float) -> load_target.PlannedLoad | None:
        """Choose a further copy of a popular adapter.

        Args:
            now: Current time in seconds.

        Returns:
            None if no copy is worth a load now.
        """
        if now >= self._ranked_at + RANK_INTERVAL_S:
            self._ranked_at = now
            self._popular = self._recent.top(MAX_POPULAR)
        max_loads = self._times.max_parallel_loads * COPY_LOADS_SHARE
        if self._loads_in_progress(now) >= max_loads:
            return None
        for ref in self._popular:
            holders = self._index.holders(ref)
            max_copies = load_value.target_copies(
                self._recent.rate(ref, now),
                self._recent.total_rate(now),
                len(self._index.view_by_id),
            )
            if not 0 < len(holders) < max_copies:
                continue
            if self._is_loading(ref, now) or self._is_replaced(ref):
                continue
            least_fill = min(view.fill for view in holders)
            chosen = self._targets.choose(
                load_value.AggregateDemand.for_copy(ref, now),
                now,
                packing=0.0,
                service_s=self.service_s,
            )
            if chosen and chosen.view.fill + MIN_COPY_GAIN <= least_fill:
                return chosen
        return None

    def _wanted_loads(self, now: float) -> list[load_value.AggregateDemand]:
        """Return the loads that waiting requests need, the first one first."""
        self._demands.remove_silent(now)
        candidates = [
            candidate
            for demand in self._demands.totals()
            for candidate in self._missing_loads(demand, now)
        ]
        return load_value.in_order(candidates, now, self.load_s)

    def _start(self) -> None:
        if not self._is_running:
            self._is_running = True
            eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._changed = event.Event()
            started = clock.now()
            try:
                self._order_loads()
            except Exception:
                # The task must go on, or the pool would load nothing more.
                log.exception('Planning of loads failed.')
            clock.sleep(PAUSE_ROUNDS * (clock.now() - started))
            timeout_s = CHECK_INTERVAL_S if self._demands else None
            with eventlet.Timeout(timeout_s, exception=False):
                self._changed.wait()

    def _missing_loads(
        self, demand: load_value.AggregateDemand, now: float
    ) -> Iterator[load_value.AggregateDemand]:
        """Yield the loads that the waiting requests for an adapter need.

        Requests that need a certain software version cannot use a copy at an
        upstream of another one. Hosts that have not learned of a new adapter
        version yet wait for the one that it replaces, which is not loaded.
        """
        ref = demand.ref
        if (
            self._is_loading(ref, now)
            or self._is_recently_loaded(ref, now)
            or self._is_replaced(ref)
        ):
            return
        holders = [
            view for view in self._index.holders(ref) if view.is_usable(now)
        ]
        for version in demand.software_versions:
            if not any(view.has_version(version) for view in holders):
                yield dataclasses.replace(demand, software_version=version)
        if not holders or self._wants_relief(demand, holders, now):
            yield demand

    def _wants_relief(
        self,
        demand: load_value.AggregateDemand,
        holders: list[routing.UpstreamView],
        now: float,
    ) -> bool:
        """Return whether requests wait because all holders are full.

        Holders that are full only for a moment justify no further copy.
        """
        has_waited = now - demand.waiting_since > self.load_s
        return has_waited and not any(view.has_room(now) for view in holders)

    def _is_needed(self, ref: types.AdapterRef, now: float) -> bool:
        is_recent = self._is_recently_loaded(ref, now)
        return is_recent or self._demands.is_needed(ref)

    def _is_loading(self, ref: types.AdapterRef, now: float) -> bool:
        started = self._started_by_ref.get(ref)
        return started is not None and now - started < OVERDUE_S

    def _is_recently_loaded(self, ref: types.AdapterRef, now: float) -> bool:
        loaded_at = self._loaded_at.get(ref)
        return loaded_at is not None and now - loaded_at < KEEP_AFTER_LOAD_S

    def _order_loads(self) -> None:
        if not self._may_order():
            return
        now = clock.now()
        self._times.is_limiting = False
        skipped = 0
        for wanted in self._wanted_loads(now):
            if self._is_limit_reached(now):
                return
            chosen = self._targets.choose(
                wanted, now, packing=0.0, service_s=self.service_s
            )
            if chosen is not None:
                self._send_order(chosen, now)
                continue
            # An adapter without a possible target must not block the others.
            skipped += 1
            if skipped >= MAX_SKIPPED:
                break
        self._order_copies(now)

    def _order_copies(self, now: float) -> None:
        while not self._is_limit_reached(now):
            chosen = self.choose_copy(now)
            if chosen is None:
                return
            self._send_order(chosen, now)

    def _is_limit_reached(self, now: float) -> bool:
        is_reached = (
            self._loads_in_progress(now) >= self._times.max_parallel_loads
        )
        self._times.is_limiting = is_reached
        return is_reached

    def _loads_in_progress(self, now: float) -> int:
        """Return the number of loads in progress from the weight store."""
        return sum(self._is_loading(ref, now) for ref in self._fetching)

    def _send_order(self, chosen: load_target.PlannedLoad, now: float) -> None:
        ref = chosen.wanted.ref
        order = types.LoadOrder(
            ref=ref,
            source='',
            evict=() if chosen.victim is None else (chosen.victim,),
            planner=self._process_id,
        )
        self._started_by_ref[ref] = now
        if not self.is_cached(chosen.view.status.upstream_id, ref):
            self._fetching.add(ref)
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
            self._fetching.discard(order.ref)
        if outcome.ok:
            self._record_loaded(order.ref, now)
        else:
            refused_until = now + REFUSAL_PAUSE_S
            self._refused_until_by_id[view.status.upstream_id] = refused_until
            self._targets.discard(view.status.upstream_id)
            log.info(
                'Load of %s on %s failed: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                outcome.reason,
            )
        self.wake()

    def _record_loaded(self, ref: types.AdapterRef, now: float) -> None:
        for earlier, loaded_at in list(self._loaded_at.items()):
            if loaded_at < now - KEEP_AFTER_LOAD_S:
                del self._loaded_at[earlier]
        self._loaded_at[ref] = now
