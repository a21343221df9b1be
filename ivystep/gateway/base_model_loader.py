"""Puts base models back on engines that hold none.

Engines start empty again after a crash. The holder of the duty orders their
model at once, within the loads that the weight store allows.
"""

import collections
from collections.abc import Callable

import eventlet

from ivystep.core import errors
from ivystep.gateway import (
    configuration,
    engine_link,
    events,
    leadership,
    membership,
    upstream_state,
)
from ivystep.policy import base_models
from ivystep.runtime import clock, event_log
from ivystep.traffic import contracts, orders, upstreams

CHECK_S = 0.25
# Time after an order before another one is given to the same engine, beside
# the duration of the load.
REPEAT_S = 2.0


class BaseModelLoader:
    """Orders base models while this host has the duty.

    Args:
        members: The upstreams.
        config: The configuration in force.
        duty_of_host: Whether this host gives orders.
        link_to: Returns the link to an engine.
        log: Where orders that failed are written.
    """

    def __init__(
        self,
        members: membership.Membership,
        config: configuration.Configuration,
        duty_of_host: leadership.Leadership,
        link_to: Callable[[upstream_state.Upstream], engine_link.EngineLink],
        log: event_log.EventLog,
    ) -> None:
        self._members = members
        self._config = config
        self._duty = duty_of_host
        self._link_to = link_to
        self._log = log
        self._busy_until: dict[upstream_state.Upstream, float] = {}
        self._started: collections.deque[float] = collections.deque()

    def run(self) -> None:
        """Look for engines without a model until killed."""
        while True:
            clock.sleep(CHECK_S)
            if self._duty.authority() is not None:
                self._check()

    def _check(self) -> None:
        now = clock.now()
        config = self._config.current
        if config is None:
            return
        members = list(self._members.upstream_by_id.values())
        for known in set(self._busy_until) - set(members):
            del self._busy_until[known]
        for service in config.service_by_name.values():
            if service.engine is None:
                continue
            engines = [
                upstream
                for upstream in members
                if upstream.entry.service == service.name
                and upstream.entry.state is upstreams.UpstreamState.READY
            ]
            for upstream in engines:
                if self._busy_until.get(upstream, 0.0) <= now:
                    self._restore(upstream, service.engine, engines, now)

    def _restore(
        self,
        upstream: upstream_state.Upstream,
        engine: contracts.EngineClass,
        engines: list[upstream_state.Upstream],
        now: float,
    ) -> None:
        model = base_models.choose_missing(
            upstream.entry.held_model_by_name,
            engine,
            [other.entry.held_model_by_name for other in engines],
        )
        if model is None or not self._may_load(engine.loads_per_s, now):
            return
        self._started.append(now)
        self._busy_until[upstream] = now + model.load_s + REPEAT_S
        eventlet.spawn(self._load, upstream, model)

    def _may_load(self, loads_per_s: float, now: float) -> bool:
        """Return whether the weight store allows one more load."""
        window_s = base_models.WINDOW_S
        while self._started and self._started[0] < now - window_s:
            self._started.popleft()
        return len(self._started) < max(loads_per_s * window_s, 1)

    def _load(
        self, upstream: upstream_state.Upstream, model: contracts.Model
    ) -> None:
        try:
            outcome = self._link_to(upstream).load_model(model.name)
        except errors.LinkError as error:
            self._log.write(
                events.DependencyLost(
                    f'engine/{upstream.upstream_id}', str(error)
                )
            )
            return
        if outcome is orders.Outcome.ACCEPTED:
            self._busy_until[upstream] = clock.now() + model.load_s + REPEAT_S
