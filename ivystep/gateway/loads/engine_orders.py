"""The orders of this host to engines: their links, and loads of base models."""

from collections.abc import Callable, Mapping

from ivystep.core import types
from ivystep.gateway.loads import (
    base_model_loader,
    engine_link,
    leadership,
    residency_updates,
)
from ivystep.gateway.store import configuration
from ivystep.gateway.upstreams import membership, upstream_state
from ivystep.platform import engine_api
from ivystep.policy import load_times
from ivystep.runtime import event_log


class EngineOrders:
    """Links to all engines, one for each incarnation, made on demand.

    Args:
        config: The configuration in force, which has the class of each engine.
        members: The upstreams.
        host_leadership: Whether this host may send orders.
        updates: Publishes residency updates.
        times: Estimates the duration of loads.
        on_change: Called when the known state of an engine has changed.
        is_cached: Returns whether an engine's host caches an adapter.
        log: Event log of orders.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        members: membership.Membership,
        host_leadership: leadership.Leadership,
        updates: residency_updates.ResidencyUpdates,
        times: load_times.LoadTimes,
        on_change: Callable[[upstream_state.Upstream], None],
        is_cached: Callable[[upstream_state.Upstream, types.AdapterRef], bool],
        log: event_log.EventLog,
    ) -> None:
        self._config = config
        self._link_by_upstream: dict[
            upstream_state.Upstream, engine_link.EngineLink
        ] = {}
        self._context = engine_link.LinkContext(
            engine_api.EngineClient(),
            host_leadership.authority,
            on_change,
            self._adapter_slots,
            is_cached,
            updates,
            times,
            log,
        )
        self._base_model_loader = base_model_loader.BaseModelLoader(
            members, config, host_leadership, self.link_to, log
        )

    def run(self) -> None:
        """Load base models on empty engines until the task is killed."""
        self._base_model_loader.run()

    def link_to(
        self, upstream: upstream_state.Upstream
    ) -> engine_link.EngineLink:
        """Return the link to an engine."""
        link = self._link_by_upstream.get(upstream)
        if link is None:
            link = engine_link.EngineLink(upstream, self._context)
            self._link_by_upstream[upstream] = link
        return link

    def remove(self, upstream: upstream_state.Upstream) -> None:
        """Forget the link to an engine that has left."""
        self._link_by_upstream.pop(upstream, None)

    def _adapter_slots(
        self,
        upstream: upstream_state.Upstream,
        models: Mapping[str, object],
    ) -> int:
        config = self._config.current
        service = config and config.service_by_name.get(upstream.entry.service)
        if not service or service.engine is None:
            return 0
        return service.engine.adapter_capacity(models)
