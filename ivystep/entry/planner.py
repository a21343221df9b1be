"""Plans the adapter loads of a pool: which adapter, onto which upstream.

Each entry reports the demand of its waiting requests to one planner, chosen by
rendezvous hashing over the live entries. The planner has only soft state: a
new planner rebuilds it from the next demand reports. Two planners at once only
slow down the weight store.
"""

import functools
import typing
from collections.abc import Iterable

import eventlet
from eventlet import event

from ivystep.core import types
from ivystep.entry import (
    demand_reports,
    load_admission,
    load_estimate,
    load_progress,
    load_runner,
)
from ivystep.policy import (
    account_shares,
    batching,
    eviction,
    load_back_off,
    load_order,
    load_target,
    routing,
)
from ivystep.runtime import clock, logs

CHECK_INTERVAL_S = 0.5
# Rate of the weight store until the setup names one.
DEFAULT_LOADS_PER_S = 2.0
# Largest number of adapters without a possible target that the choice of one
# load passes over.
MAX_SKIPPED = 8
# Arrivals within this many load durations count as if they were waiting.
EXPECTED_HORIZON_LOADS = 2.0

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
        popularity: Arrival rates of the adapters.
    """

    def __init__(self, process_id: str, index: routing.UpstreamIndex) -> None:
        self.batching_weight = 0.2
        self.service_s = 1.0
        self.popularity = eviction.Popularity()
        self._process_id = process_id
        self._index = index
        self._reports = demand_reports.DemandReports()
        self._shares = account_shares.AccountShares(DEFAULT_LOADS_PER_S)
        self._back_off = load_back_off.BackOff()
        self._estimate = load_estimate.LoadEstimate(DEFAULT_LOADS_PER_S)
        self._progress = load_progress.LoadProgress(self._estimate)
        self._admission = load_admission.LoadAdmission(
            self._shares,
            self._back_off,
            self._estimate,
            self._progress,
            self._needs_load,
        )
        self._runner = load_runner.LoadRunner(
            self._estimate, self._progress, self._back_off, self.wake
        )
        self._targets = load_target.LoadTargets(
            index, self.popularity, self._is_needed
        )
        self._changed = event.Event()
        self._is_running = False

    @property
    def load_s(self) -> float:
        """Expected duration of a load, in seconds."""
        return self._estimate.load_s

    def configure(self, loads_per_s: float, batching_weight: float) -> None:
        """Set the values that the setup has for the pool.

        Args:
            loads_per_s: Loads per second that the weight store allows.
            batching_weight: See the attribute.
        """
        self.batching_weight = batching_weight
        if loads_per_s != self._shares.loads_per_s:
            self._shares.loads_per_s = loads_per_s
            self._estimate.reset(loads_per_s)

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Replace an entry's demand; see ``DemandSink.report_demand``."""
        now = clock.now()
        self._start()
        self.count_arrivals(demands)
        change = self._reports.replace(entry_id, demands, now)
        for dropped in change.dropped:
            self._admission.remove(dropped)
        for added in change.added:
            self._count_wanted_load(added, now)
        forecasts = self._admission.admit(
            self._reports.wanted_by(entry_id), now
        )
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
        backlog = self._admission.backlog(now)
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
            timeout_s = CHECK_INTERVAL_S if self._reports else None
            with eventlet.Timeout(timeout_s, exception=False):
                self._changed.wait()

    def _count_wanted_load(self, ref: types.AdapterRef, now: float) -> None:
        """Count a load of a newly wanted adapter, unless it is held."""
        if not self._index.is_held(ref):
            self._shares.count_wanted(ref.account, now)

    def _needs_load(self, wanted: load_order.WantedLoad, now: float) -> bool:
        """Return whether the waiting requests need a load."""
        ref = wanted.ref
        if self._progress.is_loading(ref, now):
            return False
        if self._progress.is_recently_loaded(ref, now):
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
        is_wanted = self._reports.is_wanted(ref)
        return is_wanted or self._progress.is_recently_loaded(ref, now)

    def _order_next_load(self) -> None:
        now = clock.now()
        for dropped in self._reports.expire(now):
            self._admission.remove(dropped)
        if self._progress.is_any_loading(now):
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
            packing=batching.packing(
                self.batching_weight, self._admission.admitted_count
            ),
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
            sidecar_incarnation=chosen.view.status.sidecar_incarnation,
        )
        self._admission.record_ordered(wanted.ref, now)
        self._targets.discard(chosen.view.status.upstream_id)
        self._runner.start(order, wanted.setup_version, chosen.view, now)
