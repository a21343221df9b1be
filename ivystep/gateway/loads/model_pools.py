"""Keeps the pools of this host, one for each base model and plain service.

A pool places requests on upstreams. It is the same ``Pool`` that an entry
uses with sidecars; here, the status of the upstreams comes from the platform's
store and from newer changes that this host knows of.
"""

from collections.abc import Callable

from ivystep.core import types
from ivystep.entry import pool
from ivystep.gateway.loads import load_planner
from ivystep.gateway.upstreams import (
    centre_choice,
    measurements,
    upstream_state,
)
from ivystep.metrics import registry
from ivystep.policy import load_target, routing
from ivystep.runtime import clock
from ivystep.traffic import contracts

PoolKey = tuple[str, str]
# Costs of a full upstream and of a load from the weight store, relative to the
# eviction of an adapter.
COSTS = load_target.TargetCosts(spread=0.25, fetch=0.04)
# Demand moves to other adapters within seconds.
AGEING_S = 30.0
# Also without waiting requests, the planner must know which adapters are in
# use before it evicts one.
IDLE_REPORT_S = 0.25
# Lower bound of an upstream's speed relative to its service's.
MIN_RELATIVE_SPEED = 0.4


class ModelPools:
    """Pools by service and model.

    Args:
        host: Name of this host.
        centres: How this host chooses among data centres.
        choose_sink: Returns the planner of a pool, given the local one.
        link_to: Returns the link that sends orders to an engine.
        may_order: Returns whether this host may send orders now.
        is_replaced: Returns whether a newer version of an adapter is named.
        measured: Measurements of the engines.
        metrics: Registry for load stalls and waiting requests.
    """

    def __init__(
        self,
        host: str,
        centres: centre_choice.CentreChoice,
        choose_sink: pool.ChooseSink,
        link_to: Callable[[upstream_state.Upstream], object],
        may_order: Callable[[], bool],
        is_replaced: Callable[[types.AdapterRef], bool],
        measured: measurements.Measurements,
        metrics: registry.Metrics,
    ) -> None:
        self.measured = measured
        self.pool_by_key: dict[PoolKey, pool.Pool] = {}
        self._host = host
        self._centres = centres
        self._choose_sink = choose_sink
        self._link_to = link_to
        self._may_order = may_order
        self._is_replaced = is_replaced
        self._metrics = metrics
        self._config: contracts.RouteConfig | None = None

    def configure(self, config: contracts.RouteConfig) -> None:
        """Apply a configuration; pools of removed services stay idle."""
        self._config = config
        for service in config.service_by_name.values():
            for model in _model_names(service):
                key = (service.name, model)
                if key not in self.pool_by_key:
                    self.pool_by_key[key] = self._build_pool(service, model)

    def find(self, service: str, model: str) -> pool.Pool | None:
        """Return the pool for a request, or None if there is none.

        Args:
            service: Service of the route.
            model: Base model; empty for a plain service.
        """
        return self.pool_by_key.get((service, model))

    def find_by_name(self, name: str) -> pool.Pool | None:
        """Return the pool with the name that other hosts send."""
        service, _, model = name.partition('/')
        return self.pool_by_key.get((service, model))

    def update_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Update an upstream's status in the pools of its service."""
        service = self._service(upstream)
        if service is None:
            return
        now = clock.now()
        speed = self._relative_speed(upstream)
        self.measured.rates.add_engine(upstream.entry.incarnation, service.name)
        for model in _model_names(service):
            target = self.pool_by_key[service.name, model]
            target.record_data_centre(
                upstream.upstream_id, upstream.entry.data_centre
            )
            target.on_status(
                upstream.status(service, model, now, speed),
                self._link_to(upstream),
            )

    def remove_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Send no new work to an upstream."""
        for (service, _), target in self.pool_by_key.items():
            if service == upstream.entry.service:
                target.on_lost(upstream.upstream_id)

    def is_cached(
        self, upstream: upstream_state.Upstream, ref: types.AdapterRef
    ) -> bool:
        """Return whether an engine's host caches an adapter."""
        target = self.pool_by_key.get((upstream.entry.service, ref.account))
        return target is not None and target.planner.is_cached(
            upstream.upstream_id, ref
        )

    def transfer_popularity(
        self, old: types.AdapterRef, new: types.AdapterRef
    ) -> None:
        """Count the requests of an adapter's old version for the new one."""
        for (_, model), target in self.pool_by_key.items():
            if model == old.account:
                target.planner.popularity.transfer(old, new)

    def record_arrival(self, service: str) -> None:
        """Count a request for a service as demand of this data centre."""
        self._centres.exchange.arrivals.record(service)

    def plan_shares(self) -> None:
        """Decide the shares of the data centres, as the leader."""
        self._centres.plan(self._config, self._capacity)

    def _capacity(self, upstream: upstream_state.Upstream) -> float:
        """Return how many requests an upstream takes at once."""
        service = self._service(upstream)
        is_serving = service is not None and (
            service.engine is None or upstream.entry.held_model_by_name
        )
        if not is_serving:
            return 0.0
        return upstream.capacity(self._relative_speed(upstream))

    def _relative_speed(self, upstream: upstream_state.Upstream) -> float:
        """Return an upstream's prefill rate relative to its service's."""
        speed = self.measured.rates.relative_speed(upstream.entry.incarnation)
        return max(speed, MIN_RELATIVE_SPEED)

    def _service(
        self, upstream: upstream_state.Upstream
    ) -> contracts.Service | None:
        if self._config is None:
            return None
        return self._config.service_by_name.get(upstream.entry.service)

    def _build_pool(self, service: contracts.Service, model: str) -> pool.Pool:
        return pool.Pool(
            f'{service.name}/{model}',
            self._host,
            self._choose_sink,
            self._centres.data_centre,
            self._metrics,
            index=routing.UpstreamIndex(
                self._centres.data_centre,
                self._centres.rules,
                self._centres.destinations(service.name),
            ),
            make_planner=self._build_planner,
            idle_report_s=IDLE_REPORT_S,
        )

    def _build_planner(
        self, host: str, index: routing.UpstreamIndex
    ) -> load_planner.LoadPlanner:
        return load_planner.LoadPlanner(
            host,
            index,
            COSTS,
            AGEING_S,
            self._may_order,
            self._is_replaced,
            self.measured.times,
        )


def _model_names(service: contracts.Service) -> tuple[str, ...]:
    """Return the models of a service; one empty name for a plain service."""
    if service.engine is None:
        return ('',)
    return tuple(service.engine.model_by_name)
