"""Decides on the leader which shares all data centres send to each other.

Designed for 49 upstreams, 68 hosts and a decision every 150 ms: a decision
takes well under a millisecond. The work grows with the services times the
square of the data centres, not with the hosts.
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from ivystep.data_centres import (
    balance,
    demand,
    events,
    round_trips,
    smoothing,
)
from ivystep.runtime import event_log

# A new leader first hears from the other hosts, which takes about as long as
# they need to notice the loss of the leader before.
WARM_UP_S = 2.0
# A pause from which this host counts as a new leader.
MAX_PAUSE_S = 1.0
# Time constant of the mean time in progress, in seconds. It is a property of
# the requests and hardly changes within a wave.
RUN_AVERAGE_S = 5.0
# Bound of the mean time in progress, in seconds, if nothing is in progress.
MIN_RUN_S = 0.001
# Time between two looks at the round trips of all hosts, in seconds.
MEASURE_S = 1.0
# Change of a share since the last log line that is worth another one.
LOGGED_CHANGE = 0.1

SharesByService = dict[str, dict[str, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """An upstream as the leader knows it.

    Attributes:
        capacity: Requests that it takes at once, corrected by its speed; 0 if
            it takes no new requests.
        running: Requests of all hosts that it has in progress.
    """

    service: str
    data_centre: str
    capacity: float
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """All upstreams, and what the routes ask for.

    Attributes:
        target_latency_by_service: Time within which answers have their full
            value, in seconds.
    """

    upstreams: Iterable[UpstreamLoad]
    target_latency_by_service: Mapping[str, float]


class _ServiceState:
    """What is kept of one service between two decisions."""

    def __init__(self) -> None:
        self.shares_by_source: dict[str, smoothing.SourceShares] = {}
        self.logged_by_source: dict[str, Mapping[str, float] | None] = {}
        self._running: float | None = None
        self._per_s = 0.0

    def mean_run_s(self, running: int, per_s: float, elapsed_s: float) -> float:
        """Return the mean time in progress, by Little's law."""
        if self._running is None:
            self._running = float(running)
            self._per_s = per_s
        weight = 1 - math.exp(-elapsed_s / RUN_AVERAGE_S)
        self._running += weight * (running - self._running)
        self._per_s += weight * (per_s - self._per_s)
        return max(self._running / max(self._per_s, MIN_RUN_S), MIN_RUN_S)


class SharePlanner:
    """Decides the shares while this host is the leader.

    Args:
        price_s: Delay that a crossing is worth avoiding, in seconds.
        usual_cost: See ``smoothing.SourceShares``.
        write: Writes an event.

    Attributes:
        rates: Arrivals in all data centres.
        trips: Round trips that the hosts have measured.
    """

    def __init__(
        self,
        price_s: float,
        usual_cost: float,
        write: Callable[[event_log.Event], None],
    ) -> None:
        self.rates = demand.DemandRates()
        self.trips = round_trips.RoundTrips()
        self._price_s = price_s
        self._usual_cost = usual_cost
        self._write = write
        self._state_by_service: dict[str, _ServiceState] = {}
        self._leading_since = -math.inf
        self._planned_at = -math.inf
        self._measured_at = -math.inf
        self._crossing_s: Mapping[tuple[str, str], float] = {}
        self._names: set[str] = set()

    def shares_from(self, source: str) -> SharesByService:
        """Return the shares in force for the hosts of a data centre."""
        return {
            service: state.shares_by_source[source].current
            for service, state in self._state_by_service.items()
            if source in state.shares_by_source
            and state.shares_by_source[source].current
        }

    def plan(self, observed: Observation, now: float) -> None:
        """Decide all shares.

        Args:
            observed: All upstreams and targets.
            now: Current time in seconds.
        """
        elapsed_s = now - self._planned_at
        if elapsed_s <= 0:
            return
        self._planned_at = now
        if elapsed_s > MAX_PAUSE_S:
            self._start(now)
            return
        self.rates.advance(elapsed_s, now)
        upstreams_by_service = collections.defaultdict(list)
        for upstream in observed.upstreams:
            upstreams_by_service[upstream.service].append(upstream)
        for gone in self._state_by_service.keys() - upstreams_by_service.keys():
            del self._state_by_service[gone]
        for service, upstreams in upstreams_by_service.items():
            self._plan_service(
                service,
                upstreams,
                observed.target_latency_by_service.get(service, math.inf),
                now,
                elapsed_s,
            )

    def _start(self, now: float) -> None:
        """Forget what was known, because another host has led meanwhile."""
        self._leading_since = now
        self._state_by_service = {}
        self.rates = demand.DemandRates()

    def _plan_service(
        self,
        service: str,
        upstreams: list[UpstreamLoad],
        target_latency_s: float,
        now: float,
        elapsed_s: float,
    ) -> None:
        names = set(self.rates.data_centres)
        names.update(upstream.data_centre for upstream in upstreams)
        self._names |= names
        if len(names) < 2:
            self._state_by_service.pop(service, None)
            return
        state = self._state_by_service.setdefault(service, _ServiceState())
        per_s_by_name = self.rates.per_s(service)
        running = sum(upstream.running for upstream in upstreams)
        run_s = state.mean_run_s(
            running, sum(per_s_by_name.values()), elapsed_s
        )
        if now - self._leading_since < WARM_UP_S:
            return
        load = balance.ServiceLoad(
            run_s,
            {
                name: balance.CentreLoad(
                    sum(
                        upstream.capacity
                        for upstream in upstreams
                        if upstream.data_centre == name
                    ),
                    per_s_by_name.get(name, 0.0) * run_s,
                    demand.noise(per_s_by_name.get(name, 0.0)),
                    self.rates.age_s(name, now),
                )
                for name in names
            },
            self._crossings(),
            target_latency_s,
        )
        for source, flow in balance.distribute(load).items():
            shares = state.shares_by_source.setdefault(
                source, smoothing.SourceShares(self._usual_cost)
            )
            shares.update(
                load,
                smoothing.Step(source, smoothing.to_shares(flow), elapsed_s),
            )
            self._log_change(service, source, load)

    def _crossings(self) -> Mapping[tuple[str, str], float]:
        """Return the delays of all crossings, renewed once in a while."""
        if self._planned_at - self._measured_at < MEASURE_S:
            return self._crossing_s
        self._measured_at = self._planned_at
        smallest_s = self.trips.smallest()
        names = {name for pair in smallest_s for name in pair}
        names.update(self._names)
        self._crossing_s = {
            (source, destination): self._price_s
            + round_trips.added_s(smallest_s, source, destination)
            for source in names
            for destination in names
            if source != destination
        }
        return self._crossing_s

    def _log_change(
        self, service: str, source: str, load: balance.ServiceLoad
    ) -> None:
        """Log shares that differ clearly from the last line."""
        state = self._state_by_service[service]
        current = state.shares_by_source[source].current
        before = state.logged_by_source.get(source)
        if not _differ(before, current):
            return
        state.logged_by_source[source] = current and dict(current)
        unmet = self.rates.take_unmet(service, source)
        self._write(
            events.CentreSharesChanged.from_decision(
                service, source, current or {}, load, unmet
            )
        )


def _differ(
    before: Mapping[str, float] | None, after: Mapping[str, float] | None
) -> bool:
    if not before or not after:
        return bool(before) != bool(after)
    return any(
        abs(before.get(name, 0.0) - after.get(name, 0.0)) >= LOGGED_CHANGE
        for name in before.keys() | after.keys()
    )
