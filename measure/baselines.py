"""Baseline pools, which choose an upstream when a request arrives.

They have an advantage over real systems of this kind: all entries share one
first-come-first-served load queue and one record of adapter use. A request
waits until its adapter is resident or its deadline has passed.
"""

import abc
import collections
import dataclasses
import random
import typing

import eventlet
from eventlet import event, semaphore

from ivystep.core import errors, types
from ivystep.policy import routing
from ivystep.runtime import clock

RETRY_S = 0.05
NO_UPSTREAMS: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class SharedLoads:
    """State that the baseline pools of one run share."""

    seed: int
    load_lock: semaphore.Semaphore = dataclasses.field(
        default_factory=lambda: semaphore.Semaphore(1)
    )
    loading: set[tuple[str, types.AdapterRef]] = dataclasses.field(
        default_factory=set
    )
    used_at: dict[types.AdapterRef, float] = dataclasses.field(
        default_factory=dict
    )
    waiting: collections.Counter[tuple[str, types.AdapterRef]] = (
        dataclasses.field(default_factory=collections.Counter)
    )
    pools: list['BaselinePool'] = dataclasses.field(default_factory=list)


class BaselinePool(abc.ABC):
    """A pool that chooses the upstream first and evicts by LRU."""

    def __init__(self, shared: SharedLoads) -> None:
        self._shared = shared
        shared.pools.append(self)
        self._random = random.Random(shared.seed)
        self._status_by_id: dict[str, types.UpstreamStatus] = {}
        self._link_by_id: dict[str, typing.Any] = {}
        self._changed_by_key: dict[
            tuple[str, types.AdapterRef], event.Event
        ] = {}

    @abc.abstractmethod
    def choose(self, request: types.Request) -> str:
        """Return the upstream for a request."""

    def on_status(self, status: types.UpstreamStatus, link: typing.Any) -> None:
        """Store a status report."""
        self._status_by_id[status.upstream_id] = status
        self._link_by_id[status.upstream_id] = link
        self._wake_resident(status)

    def on_lost(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self._status_by_id.pop(upstream_id, None)
        for key in list(self._changed_by_key):
            self.wake(key)

    def link(self, upstream_id: str) -> typing.Any:
        """Return the link to an upstream."""
        return self._link_by_id[upstream_id]

    def finish(self, placement: types.Placement) -> None:
        """Wake the requests that wait for the upstream of a placement."""
        status = self._status_by_id.get(placement.upstream_id)
        if status is not None:
            self._wake_resident(status)

    def wake(self, key: tuple[str, types.AdapterRef]) -> None:
        """Wake the requests that wait for an adapter on an upstream."""
        changed = self._changed_by_key.pop(key, None)
        if changed is not None:
            changed.send()

    def place(
        self, request: types.Request, avoid: frozenset[str] = NO_UPSTREAMS
    ) -> types.Placement:
        """Wait until the chosen upstream holds the adapter."""
        while request.deadline > clock.now():
            key = (self.choose(request), request.adapter)
            self._shared.waiting[key] += 1
            self._shared.used_at[request.adapter] = clock.now()
            try:
                if self._wait_resident(key, request):
                    return types.Placement(request, key[0], 'inc-1')
            finally:
                self._shared.waiting[key] -= 1
        raise errors.RefusedError(
            'deadline_exceeded', 'Too late.', status=503, retry_after_s=1.0
        )

    def _wait_resident(
        self, key: tuple[str, types.AdapterRef], request: types.Request
    ) -> bool:
        """Return whether the upstream can run the request now."""
        while key[0] in self._status_by_id and request.deadline > clock.now():
            status = self._status_by_id[key[0]]
            if key[1] in status.resident_by_ref:
                if status.running < status.max_running:
                    return True
            elif key not in self._shared.loading:
                self._shared.loading.add(key)
                eventlet.spawn(self._load, key, request)
            with eventlet.Timeout(
                max(request.deadline - clock.now(), 0), exception=False
            ):
                self._changed_by_key.setdefault(key, event.Event()).wait()
        return False

    def _load(
        self, key: tuple[str, types.AdapterRef], request: types.Request
    ) -> None:
        with self._shared.load_lock:
            is_ok = False
            while self._shared.waiting[key] and not is_ok:
                order = types.LoadOrder(
                    key[1], '', self._adapters_to_evict(key[0]), 'baseline'
                )
                is_ok = self._link_by_id[key[0]].load(order, 1).ok
                clock.sleep(0 if is_ok else RETRY_S)
        # The status that shows the load arrives before another may start.
        clock.sleep(RETRY_S)
        self._shared.loading.discard(key)
        for pool in self._shared.pools:
            pool.wake(key)

    def _adapters_to_evict(
        self, upstream_id: str
    ) -> tuple[types.AdapterRef, ...]:
        """Return the least recently used idle adapter, if no slot is free."""
        status = self._link_by_id[upstream_id].status()
        if len(status.resident_by_ref) < status.slots:
            return ()
        idle = [
            resident.ref
            for resident in status.resident_by_ref.values()
            if not resident.running
            and not self._shared.waiting[upstream_id, resident.ref]
        ]
        used_at = self._shared.used_at
        return tuple(sorted(idle, key=lambda ref: used_at.get(ref, 0))[:1])

    def _wake_resident(self, status: types.UpstreamStatus) -> None:
        for ref in status.resident_by_ref:
            self.wake((status.upstream_id, ref))


class LeastLoadedPool(BaselinePool):
    """Chooses the upstream with the fewest running requests."""

    def choose(self, request: types.Request) -> str:
        """Return the least loaded upstream; ties are broken at random."""
        return min(
            self._status_by_id,
            key=lambda upstream_id: (
                self._status_by_id[upstream_id].running,
                self._random.random(),
            ),
        )


class RandomPool(BaselinePool):
    """Chooses an upstream at random."""

    def choose(self, request: types.Request) -> str:
        """Return a random upstream."""
        return self._random.choice(sorted(self._status_by_id))


class AffinityPool(BaselinePool):
    """Chooses an upstream by rendezvous hashing of the adapter's name."""

    def choose(self, request: types.Request) -> str:
        """Return the upstream that the adapter's name hashes to."""
        return routing.rendezvous(
            request.adapter.lora_name, sorted(self._status_by_id)
        )


POOL_TYPES = (
    ('least-loaded', LeastLoadedPool),
    ('random', RandomPool),
    ('affinity', AffinityPool),
)
