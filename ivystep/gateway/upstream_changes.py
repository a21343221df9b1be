"""Passes what changes about upstreams on to the parts of a gateway."""

from collections.abc import Callable, Mapping

import eventlet

from ivystep.gateway.loads import (
    engine_orders,
    model_pools,
    prefill_queues,
    residency_updates,
)
from ivystep.gateway.upstreams import membership, upstream_state
from ivystep.runtime import clock
from ivystep.stream_origins import origins


class UpstreamChanges:
    """Tells the pools, queues and orders of a host what its upstreams do.

    Args:
        known_origins: Knows which upstreams may be used.
        queues: The queues of prompts that the leader keeps.
        is_leader: Returns whether this host is the leader.
    """

    _membership: membership.Membership
    _orders: engine_orders.EngineOrders
    _pools: model_pools.ModelPools

    def __init__(
        self,
        known_origins: origins.StreamOrigins,
        queues: prefill_queues.PrefillQueues,
        is_leader: Callable[[], bool],
    ) -> None:
        self._origins = known_origins
        self._queues = queues
        self._is_leader = is_leader
        known_origins.on_usable = self._on_usable

    def connect(
        self,
        members: membership.Membership,
        orders: engine_orders.EngineOrders,
        pools: model_pools.ModelPools,
    ) -> None:
        """Set the parts that need this one to be made, before tasks start.

        Args:
            members: The upstreams that this host knows.
            orders: The orders to engines.
            pools: The pools of this host.
        """
        self._membership = members
        self._orders = orders
        self._pools = pools

    def on_change(self, upstream: upstream_state.Upstream) -> None:
        """Pass on that this host's view of an upstream has changed.

        Args:
            upstream: The upstream.
        """
        known = self._membership.upstream_by_id.get(upstream.upstream_id)
        if known is upstream:
            self._origins.on_upstream(upstream)
            if self._origins.may_use(upstream):
                self._pools.update_upstream(upstream)
            else:
                self._pools.remove_upstream(upstream)
        if upstream.is_draining:
            self._queues.close(upstream.entry.incarnation)
        elif known is upstream:
            self._queues.reopen(upstream.entry.incarnation)

    def on_removed(self, upstream: upstream_state.Upstream) -> None:
        """Pass on that an upstream is not listed any more.

        Args:
            upstream: The upstream.
        """
        self._orders.remove(upstream)
        self._origins.on_removed(upstream)
        self._queues.close(upstream.entry.incarnation)
        self._pools.remove_upstream(upstream)

    def on_residency_update(
        self, update: residency_updates.ResidencyUpdate
    ) -> None:
        """Apply what another host says of an adapter, once it is loaded.

        Args:
            update: The update.
        """
        if update.is_held and update.ready_in_s > 0:
            eventlet.spawn_after(update.ready_in_s, self._apply, update)
        else:
            self._apply(update)

    def on_requests_in_progress(self, running: Mapping[str, int]) -> None:
        """Apply how many requests run on each upstream.

        Args:
            running: Requests of all hosts by the upstream.
        """
        for upstream in list(self._membership.upstream_by_id.values()):
            is_changed = upstream.apply_total(
                running.get(upstream.upstream_id, 0)
            )
            # The leader ranks all upstreams as targets of loads.
            if is_changed or self._is_leader():
                self.on_change(upstream)

    def own_requests(self) -> dict[str, int]:
        """Return the requests of this host by the upstream that runs them."""
        return {
            upstream.upstream_id: upstream.in_progress
            for upstream in self._membership.upstream_by_id.values()
            if upstream.in_progress
        }

    def update_all(self) -> None:
        """Pass on all upstreams that this host knows."""
        for upstream in list(self._membership.upstream_by_id.values()):
            self.on_change(upstream)

    def _on_usable(self, service: str) -> None:
        for upstream in list(self._membership.upstream_by_id.values()):
            if upstream.entry.service == service:
                self.on_change(upstream)

    def _apply(self, update: residency_updates.ResidencyUpdate) -> None:
        upstream = self._membership.upstream_by_id.get(update.upstream_id)
        if upstream is None:
            return
        now = clock.now()
        if update.is_held:
            upstream.replace_version(update.ref, now)
        else:
            upstream.set_resident(update.ref, now, is_held=False)
        self.on_change(upstream)
