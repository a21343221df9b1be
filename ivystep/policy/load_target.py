"""Chooses where an adapter is loaded, and what is evicted for it.

An adapter is never evicted while it serves a request, while requests wait for
it, or shortly after its load. Adapters with another copy are evicted first,
unless the upstreams of the other copies have no room.
"""

import collections
import dataclasses
import functools
import math
import typing
from collections.abc import Callable, Iterator

from ivystep.core import types
from ivystep.policy import batching, eviction, routing

# Upstreams compared for one load, those with the least popular victims.
# Comparing all of them would take time in proportion to the pool.
MAX_CANDIDATES = 16


# Most recent adapters of an engine that are assumed to be cached in its host's
# memory, from where it loads them again.
MAX_CACHED_ADAPTERS = 100


class CachedAdapters:
    """Adapters that each upstream has held recently, least recent first.

    Their weights are still in the memory of the engine's host, so that loading
    a rarely used adapter there again does not use the weight store.
    """

    def __init__(self) -> None:
        self._refs_by_upstream: dict[
            str, collections.OrderedDict[types.AdapterRef, None]
        ] = {}

    def record_status(self, status: types.UpstreamStatus) -> None:
        """Record the resident adapters of an upstream.

        Args:
            status: The upstream's report.
        """
        refs = self._refs_by_upstream.setdefault(
            status.upstream_id, collections.OrderedDict()
        )
        for ref in status.resident_by_ref:
            refs[ref] = None
            refs.move_to_end(ref)
        while len(refs) > MAX_CACHED_ADAPTERS:
            refs.popitem(last=False)

    def forget(self, upstream_id: str) -> None:
        """Drop the adapters of an upstream that was removed."""
        self._refs_by_upstream.pop(upstream_id, None)

    def has(self, upstream_id: str, ref: types.AdapterRef) -> bool:
        """Return whether an upstream has held an adapter recently."""
        return ref in self._refs_by_upstream.get(upstream_id, ())


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A load with its target.

    Attributes:
        wanted: The adapter to load.
        view: The upstream on which it is loaded.
        victim: The adapter to evict; None if a slot is free.
    """

    wanted: 'LoadCandidate'
    view: routing.UpstreamView
    victim: types.AdapterRef | None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCosts:
    """Costs by which targets are compared, in shares of all requests.

    Attributes:
        spread: Cost of an upstream whose batch and slots are full. Above 0,
            adapters go where there is most room, for weight stores that serve
            several upstreams at once.
        fetch: Additional cost of a load from the weight store rather than from
            a cached copy.
    """

    spread: float = 0.0
    fetch: float = 0.0


NO_COSTS = TargetCosts()


class LoadCandidate(typing.Protocol):
    """An adapter that may be loaded next.

    Attributes:
        waiting: Number of requests that wait for it.
        software_version: Version of the upstream that is to load it; None for
            any.
    """

    @property
    def ref(self) -> types.AdapterRef:
        """The adapter."""

    @property
    def waiting(self) -> int:
        """Number of requests that wait for the adapter."""

    @property
    def software_version(self) -> str | None:
        """Version of the upstream that is to load it; None for any."""


class LoadTargets:
    """Chooses load targets among the upstreams of a pool.

    Args:
        index: The upstreams.
        popularity: Request counts of the adapters.
        is_needed: Returns whether an adapter must not be evicted now.
        costs: Costs other than that of the evicted adapter.

    Attributes:
        cached: Adapters that upstreams have held recently.
    """

    def __init__(
        self,
        index: routing.UpstreamIndex,
        popularity: eviction.Popularity,
        is_needed: Callable[[types.AdapterRef, float], bool],
        costs: TargetCosts = NO_COSTS,
    ) -> None:
        self.cached = CachedAdapters()
        self._costs = costs
        self._index = index
        self._popularity = popularity
        self._is_needed = is_needed
        self._victims = batching.VictimIndex()

    def record_held(self, status: types.UpstreamStatus) -> None:
        """Record what an upstream holds without ranking it as a target.

        Args:
            status: The upstream's report.
        """
        self.cached.record_status(status)

    def rank(self, view: routing.UpstreamView, now: float) -> None:
        """Rank an upstream by the adapter it would evict, after its report.

        Args:
            view: The upstream.
            now: Current time in seconds.
        """
        status = view.status
        self.record_held(status)
        victim = self._victim(view, now)
        if not view.is_usable(now) or status.loading is not None:
            self._victims.discard(status.upstream_id)
        elif len(status.resident_by_ref) < status.slots:
            self._victims.set(status.upstream_id, eviction.LOWEST_SCORE)
        elif victim is None:
            self._victims.discard(status.upstream_id)
        else:
            score = self._keep_score(view, now, victim)
            self._victims.set(status.upstream_id, score)

    def discard(self, upstream_id: str) -> None:
        """Exclude an upstream from the choice until its next report."""
        self._victims.discard(upstream_id)

    def choose(
        self,
        wanted: LoadCandidate,
        now: float,
        *,
        packing: float,
        service_s: float,
    ) -> PlannedLoad | None:
        """Choose where an adapter is loaded and what is evicted for it.

        Args:
            wanted: The adapter to load.
            now: Current time in seconds.
            packing: Weight by which fuller batches are preferred, from 0 to 1.
            service_s: Mean running time of a request in seconds.

        Returns:
            The load, or None if no upstream can load an adapter now.
        """
        added = self._popularity.rate(wanted.ref, now) * service_s
        cost = functools.partial(
            self._cost, now, packing, max(added, wanted.waiting)
        )
        # Few upstreams may run a certain version of the software.
        most = (
            MAX_CANDIDATES
            if wanted.software_version is None
            else len(self._index.view_by_id)
        )
        few = self._victims.smallest(most)
        return min(self._candidates(few, wanted, now), key=cost, default=None)

    def _candidates(
        self, upstream_ids: list[str], wanted: LoadCandidate, now: float
    ) -> list[PlannedLoad]:
        is_copy = self._index.is_held(wanted.ref)
        return [
            PlannedLoad(wanted, view, self._victim_if_full(view, now))
            for view in self._loadable(upstream_ids, now)
            if view.has_version(wanted.software_version)
            and wanted.ref not in view.status.resident_by_ref
            # Another copy helps only on an upstream whose batch has room.
            and (not is_copy or view.has_room(now))
            and not self._has_busy_version(view, wanted.ref, now)
        ]

    def _has_busy_version(
        self, view: routing.UpstreamView, ref: types.AdapterRef, now: float
    ) -> bool:
        """Return whether an upstream serves another version of an adapter.

        Loading this one would have to wait for the requests that use it.
        """
        return any(
            (other.account, other.name) == (ref.account, ref.name)
            and self._is_needed(other, now)
            for other in view.status.resident_by_ref
        )

    def _loadable(
        self, upstream_ids: list[str], now: float
    ) -> Iterator[routing.UpstreamView]:
        for upstream_id in upstream_ids:
            view = self._index.view_by_id.get(upstream_id)
            if view is None or not self._can_load(view, now):
                self.discard(upstream_id)
            else:
                yield view

    def _can_load(self, view: routing.UpstreamView, now: float) -> bool:
        if not view.is_usable(now):
            return False
        has_slot = len(view.status.resident_by_ref) < view.status.slots
        return has_slot or self._victim(view, now) is not None

    def _victim_if_full(
        self, view: routing.UpstreamView, now: float
    ) -> types.AdapterRef | None:
        if len(view.status.resident_by_ref) < view.status.slots:
            return None
        return self._victim(view, now)

    def _victim(
        self, view: routing.UpstreamView, now: float
    ) -> types.AdapterRef | None:
        idle = [
            resident.ref
            for resident in view.status.resident_by_ref.values()
            if not resident.running and not self._is_needed(resident.ref, now)
        ]
        keep_score = functools.partial(self._keep_score, view, now)
        return min(idle, key=keep_score, default=None)

    def _keep_score(
        self, view: routing.UpstreamView, now: float, ref: types.AdapterRef
    ) -> float:
        """Return the score of an upstream's copy; the lowest is evicted first.

        It is the popularity of the adapter, divided among its copies, or the
        lowest score if another copy has room.
        """
        others = [one for one in self._index.holders(ref) if one is not view]
        if any(one.has_room(now) for one in others):
            return eviction.LOWEST_SCORE
        return self._popularity.score(ref) - math.log(len(others) + 1)

    def _cost(
        self, now: float, packing: float, added: float, target: PlannedLoad
    ) -> float:
        total = max(self._popularity.total_rate(now), eviction.MIN_TOTAL_RATE)
        victim_rate = 0.0
        if target.victim is not None:
            score = self._keep_score(target.view, now, target.victim)
            victim_rate = self._popularity.rate_of(score, now)
        room = max(target.view.status.max_running, 1)
        fill = (target.view.running + added) / room
        cost = batching.cost(victim_rate / total, fill, packing)
        upstream_id = target.view.status.upstream_id
        if not self.cached.has(upstream_id, target.wanted.ref):
            cost += self._costs.fetch
        status = target.view.status
        places = len(status.resident_by_ref) / max(status.slots, 1)
        return (
            cost + self._costs.spread * (min(fill, 1.0) + min(places, 1.0)) / 2
        )
