"""Applies the shares of the data centres to the pools of this host.

Shares and round trips are computed in ``ivystep.data_centres``; this module
gives them what the gateway knows of its upstreams.
"""

import dataclasses
import math
import typing
from collections.abc import Callable, Iterable, Mapping

from ivystep.core import units
from ivystep.data_centres import exchange, planner, share_metrics, shares
from ivystep.gateway.upstreams import upstream_state
from ivystep.metrics import registry
from ivystep.policy import routing
from ivystep.runtime import event_log
from ivystep.settings import gateway as settings_models
from ivystep.traffic import contracts

# The rule without shares: requests go to another data centre if its batches are
# emptier by this share of a batch.
REMOTE_COST = 0.05

Upstreams = Callable[[], Iterable[upstream_state.Upstream]]


class CentreChoice:
    """How this host chooses among data centres.

    Args:
        settings: Settings of the gateway.
        log: Event log of the decisions.
        metrics: Publishes the shares.
        upstreams: Returns the upstreams that this host knows.

    Attributes:
        data_centre: Data centre of this host.
        rules: How the pools choose their upstreams.
        exchange: What this host tells and is told.
    """

    def __init__(
        self,
        settings: settings_models.GatewaySettings,
        log: event_log.EventLog,
        metrics: registry.Metrics,
        upstreams: Upstreams,
    ) -> None:
        section = settings.data_centres
        self.data_centre = settings.process.data_centre
        # The entry of a healthy upstream does not change, so silence is no
        # sign of a failure.
        self.rules = routing.RoutingRules(
            silence_s=math.inf,
            remote_cost=REMOTE_COST,
            is_local_only=section.leaving == 'never',
        )
        self._is_adaptive = section.leaving == 'adaptive'
        self._upstreams = upstreams
        self._targets = _Targets()
        made = None
        if self._is_adaptive:
            made = planner.SharePlanner(
                section.crossing_ms / units.MS_PER_S, REMOTE_COST, log.write
            )
        self.exchange = exchange.CentreExchange(
            settings.process.id,
            self.data_centre,
            shares.DrawnShares(),
            made,
            share_metrics.ShareMetrics(metrics),
            self._trips,
        )

    def destinations(self, service: str) -> routing.Destinations | None:
        """Return what draws the data centres of a service's requests.

        Args:
            service: The service.

        Returns:
            None if the rules alone decide.
        """
        if self._is_adaptive:
            return self.exchange.destinations(service)
        return None

    def plan(
        self,
        config: contracts.RouteConfig | None,
        capacity: Callable[[upstream_state.Upstream], float],
    ) -> None:
        """Decide the shares of all data centres, as the leader.

        Args:
            config: The configuration in force.
            capacity: Returns how many requests an upstream takes at once.
        """
        self.exchange.plan(
            lambda: planner.Observation(
                [
                    planner.UpstreamLoad(
                        upstream.entry.service,
                        upstream.entry.data_centre,
                        capacity(upstream),
                        upstream.running,
                    )
                    for upstream in self._upstreams()
                ],
                self._targets.of(config),
            )
        )

    def _trips(self) -> Mapping[str, float]:
        """Return the smallest time to connect to each data centre."""
        smallest_s: dict[str, float] = {}
        for upstream in self._upstreams():
            connect_s = upstream.connections.connect_time.seconds
            name = upstream.entry.data_centre
            if connect_s < smallest_s.get(name, math.inf):
                smallest_s[name] = connect_s
        return smallest_s


@dataclasses.dataclass(slots=True)
class _Targets:
    """Target latencies of the services in a configuration."""

    config: contracts.RouteConfig | None = None
    target_s_by_service: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def of(self, config: contracts.RouteConfig | None) -> Mapping[str, float]:
        """Return the shortest target latency of each service.

        It is computed once for each configuration.
        """
        if config is not None and config is not self.config:
            self.config = config
            self.target_s_by_service = _shortest_targets(config)
        return self.target_s_by_service


def _shortest_targets(config: contracts.RouteConfig) -> dict[str, float]:
    shortest_s: dict[str, float] = {}
    for route in _routes(config):
        for share in route.shares:
            known_s = shortest_s.get(share.service, math.inf)
            shortest_s[share.service] = min(known_s, route.target_latency_s)
    return shortest_s


def _routes(config: contracts.RouteConfig) -> typing.Iterator[contracts.Route]:
    for route_by_prefix in config.route_by_prefix_by_host.values():
        yield from route_by_prefix.values()
