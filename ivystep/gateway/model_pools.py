"""The pools of this host: one for each base model, and each plain service.

A pool places requests on upstreams. It is the same ``Pool`` that an entry
uses with sidecars; here the upstreams' states come from the platform's store
and from what this host has learnt since.
"""

import math
from collections.abc import Callable

from ivystep.core import types
from ivystep.entry import pool
from ivystep.gateway import load_planner, upstream_state
from ivystep.metrics import registry
from ivystep.policy import load_target, load_times, routing
from ivystep.runtime import clock
from ivystep.traffic import contracts

PoolKey = tuple[str, str]
# Cost of a full upstream, and of an adapter from the weight store, against
# that of evicting an adapter.
COSTS = load_target.Costs(spread=0.25, fetch=0.04)
# Demand moves to other adapters within some seconds.
AGEING_S = 30.0
# What is in use must be known before an adapter is evicted.
IDLE_REPORT_S = 0.25
# An upstream counts at least as this share of the fastest one.
LEAST_SPEED = 0.4
# The fastest pace is forgotten slowly, by this factor with each status.
FORGET_FASTEST = 0.9999
# An upstream's entry does not change while all is well, so its silence says
# nothing. A batch may be this much fuller before another data centre helps.
RULES = routing.RoutingRules(silence_s=math.inf, remote_cost=0.05)


class ModelPools:
    """Pools by service and model.

    Args:
        host: Name of this host.
        data_centre: Its data centre.
        choose_sink: Returns the planner of a pool, given the local one.
        link_to: Returns the link through which an engine gets orders.
        may_order: Returns whether this host may give orders now.
        times: How long loads take.
        metrics: Where load stalls and waiting requests are recorded.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        choose_sink: pool.ChooseSink,
        link_to: Callable[[upstream_state.Upstream], object],
        may_order: Callable[[], bool],
        times: load_times.LoadTimes,
        metrics: registry.Metrics,
    ) -> None:
        self.pool_by_key: dict[PoolKey, pool.Pool] = {}
        self._host = host
        self._data_centre = data_centre
        self._choose_sink = choose_sink
        self._link_to = link_to
        self._may_order = may_order
        self._times = times
        self._metrics = metrics
        self._config: contracts.RouteConfig | None = None
        self._fastest = 0.0

    def configure(self, config: contracts.RouteConfig) -> None:
        """Take over a configuration; pools of dropped services stay idle."""
        self._config = config
        for service in config.service_by_name.values():
            for model in _models(service):
                key = (service.name, model)
                if key not in self.pool_by_key:
                    self.pool_by_key[key] = self._build(service, model)

    def find(self, service: str, model: str) -> pool.Pool | None:
        """Return the pool for a request, or None if there is none.

        Args:
            service: Service of the route.
            model: Base model; empty for a plain service.
        """
        return self.pool_by_key.get((service, model))

    def find_by_name(self, name: str) -> pool.Pool | None:
        """Return the pool with a name, as other hosts call it."""
        service, _, model = name.partition('/')
        return self.pool_by_key.get((service, model))

    def update_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Take over that an upstream has changed."""
        service = self._service(upstream)
        if service is None:
            return
        now = clock.now()
        speed = self._speed(upstream)
        for model in _models(service):
            target = self.pool_by_key[service.name, model]
            target.locate(upstream.upstream_id, upstream.entry.data_centre)
            target.on_status(
                upstream.status(service, model, now, speed),
                self._link_to(upstream),
            )

    def remove_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Give no new work to an upstream."""
        for (service, _), target in self.pool_by_key.items():
            if service == upstream.entry.service:
                target.on_lost(upstream.upstream_id)

    def is_cached(
        self, upstream: upstream_state.Upstream, ref: types.AdapterRef
    ) -> bool:
        """Return whether an engine has held an adapter lately."""
        target = self.pool_by_key.get((upstream.entry.service, ref.account))
        return target is not None and target.planner.is_cached(
            upstream.upstream_id, ref
        )

    def transfer_popularity(
        self, old: types.AdapterRef, new: types.AdapterRef
    ) -> None:
        """Take over that one version of an adapter follows another."""
        for (_, model), target in self.pool_by_key.items():
            if model == old.account:
                target.planner.popularity.rename(old, new)

    def _speed(self, upstream: upstream_state.Upstream) -> float:
        """Return an upstream's pace in relation to the fastest."""
        pace = upstream.prefill_rate.tokens_per_s
        self._fastest = max(self._fastest * FORGET_FASTEST, pace)
        return max(pace / self._fastest, LEAST_SPEED)

    def _service(
        self, upstream: upstream_state.Upstream
    ) -> contracts.Service | None:
        if self._config is None:
            return None
        return self._config.service_by_name.get(upstream.entry.service)

    def _build(self, service: contracts.Service, model: str) -> pool.Pool:
        return pool.Pool(
            f'{service.name}/{model}',
            self._host,
            self._choose_sink,
            self._data_centre,
            self._metrics,
            index=routing.UpstreamIndex(self._data_centre, RULES),
            make_planner=self._planner,
            idle_report_s=IDLE_REPORT_S,
        )

    def _planner(
        self, host: str, index: routing.UpstreamIndex
    ) -> load_planner.LoadPlanner:
        return load_planner.LoadPlanner(
            host, index, COSTS, AGEING_S, self._may_order, self._times
        )


def _models(service: contracts.Service) -> tuple[str, ...]:
    if service.engine is None:
        return ('',)
    return tuple(service.engine.model_by_name)
