"""Orders the load of base models on engines that hold none.

Engines restart without a model after a crash. The leader orders a model at
once, within the rate of loads that the weight store allows.
"""

import collections
import contextlib
from collections.abc import Callable

import eventlet

from ivystep.core import errors
from ivystep.gateway import events
from ivystep.gateway.loads import engine_link, leadership
from ivystep.gateway.store import configuration
from ivystep.gateway.upstreams import membership, upstream_state
from ivystep.policy import base_models
from ivystep.runtime import clock, event_log
from ivystep.traffic import contracts, orders, upstreams

CHECK_INTERVAL_S = 0.25
# Time after the expected end of a load before the engine gets a new order.
RETRY_DELAY_S = 2.0


class BaseModelLoader:
    """Orders base models while this host is the leader.

    Args:
        members: The upstreams.
        config: The configuration in force.
        host_leadership: Whether this host may send orders.
        link_to: Returns the link to an engine.
        log: Event log of failed orders.
    """

    def __init__(
        self,
        members: membership.Membership,
        config: configuration.Configuration,
        host_leadership: leadership.Leadership,
        link_to: Callable[[upstream_state.Upstream], engine_link.EngineLink],
        log: event_log.EventLog,
    ) -> None:
        self._members = members
        self._config = config
        self._leadership = host_leadership
        self._link_to = link_to
        self._log = log
        self._busy_until: dict[upstream_state.Upstream, float] = {}
        self._recent_starts: collections.deque[float] = collections.deque()

    def run(self) -> None:
        """Look for engines without a model until the task is killed."""
        while True:
            clock.sleep(CHECK_INTERVAL_S)
            if self._leadership.authority() is not None:
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
                    self._load_missing(upstream, service.engine, engines, now)

    def _load_missing(
        self,
        upstream: upstream_state.Upstream,
        engine: contracts.EngineClass,
        engines: list[upstream_state.Upstream],
        now: float,
    ) -> None:
        model = base_models.choose_model(
            upstream.entry.held_model_by_name,
            engine,
            [other.entry.held_model_by_name for other in engines],
        )
        if model is None or not self._may_load(engine.loads_per_s, now):
            return
        self._recent_starts.append(now)
        self._busy_until[upstream] = now + model.load_s + RETRY_DELAY_S
        eventlet.spawn(self._order_load, upstream, model, now)

    def _may_load(self, loads_per_s: float, now: float) -> bool:
        """Return whether the weight store allows one more load."""
        window_s = base_models.LOAD_WINDOW_S
        while self._recent_starts and self._recent_starts[0] < now - window_s:
            self._recent_starts.popleft()
        return len(self._recent_starts) < max(loads_per_s * window_s, 1)

    def _order_load(
        self,
        upstream: upstream_state.Upstream,
        model: contracts.Model,
        started_at: float,
    ) -> None:
        outcome = None
        try:
            outcome = self._link_to(upstream).load_model(model.name)
        except engine_link.NoReportError as error:
            self._log_lost(upstream, error)
            outcome = orders.Outcome.OUT_OF_SEQUENCE
        except errors.LinkError as error:
            # The engine may yet carry the order out.
            self._log_lost(upstream, error)
        now = clock.now()
        if outcome is orders.Outcome.ACCEPTED:
            self._busy_until[upstream] = now + model.load_s + RETRY_DELAY_S
        elif outcome is orders.Outcome.OUT_OF_SEQUENCE:
            # No load has begun; the engine is looked at again soon.
            self._busy_until[upstream] = now + RETRY_DELAY_S
            with contextlib.suppress(ValueError):
                self._recent_starts.remove(started_at)

    def _log_lost(
        self, upstream: upstream_state.Upstream, error: errors.LinkError
    ) -> None:
        self._log.write(
            events.DependencyLost(f'engine/{upstream.upstream_id}', str(error))
        )
