"""Counts arrivals on each host, and estimates rates of them on the leader.

The estimate is a double exponential average, which follows a steady rise
without a lag, and is told ahead by the time until it takes effect. Demand
swings within seconds, and an average alone would be behind by its time constant
at the front of a wave.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

# Time constant of the averages, in seconds: long enough for some dozens of
# arrivals, short against waves with a period of 13 s.
AVERAGE_S = 1.0
# Age of the reports of a data centre from which its rates are kept as
# they were, and from which they are dropped. Reports come every 0.15 s.
HOLD_S = 0.5
DROP_S = 30.0
# Rates below this, in requests per second, are dropped.
MIN_RATE = 0.001
# Time in seconds by which a rate is told ahead: hosts draw from shares that
# follow within 0.3 s and reach them with the next heartbeat.
LEAD_S = 0.5
# Variance of the estimate relative to the arrivals of one ``AVERAGE_S``.
VARIANCE = 1.81


@dataclasses.dataclass(frozen=True, slots=True)
class Arrivals:
    """Requests of a service that arrived at one host since its last report.

    Attributes:
        unmet: Requests that found no upstream with capacity in the data centre
            that was drawn for them.
    """

    service: str
    count: int
    unmet: int = 0


class ArrivalCounts:
    """Counts the arrivals at this host."""

    def __init__(self) -> None:
        self._count_by_service: collections.Counter[str] = collections.Counter()
        self._unmet_by_service: collections.Counter[str] = collections.Counter()

    def record(self, service: str) -> None:
        """Count a request for a service."""
        self._count_by_service[service] += 1

    def record_unmet(self, service: str) -> None:
        """Count a request that was sent elsewhere than was drawn for it."""
        self._unmet_by_service[service] += 1

    def take(self) -> list[Arrivals]:
        """Return the arrivals since the last call."""
        services = self._count_by_service.keys() | self._unmet_by_service.keys()
        taken = [
            Arrivals(
                service,
                self._count_by_service[service],
                self._unmet_by_service[service],
            )
            for service in services
        ]
        self._count_by_service.clear()
        self._unmet_by_service.clear()
        return taken


class _Rate:
    """Rate of the arrivals for one service in one data centre."""

    def __init__(self) -> None:
        self.count = 0
        self.mean: float | None = None
        self._mean_of_mean = 0.0

    def advance(self, elapsed_s: float) -> None:
        """Take over the arrivals of the time since the last call."""
        rate = self.count / elapsed_s
        self.count = 0
        if self.mean is None:
            self.mean = rate
            self._mean_of_mean = rate
            return
        weight = 1 - math.exp(-elapsed_s / AVERAGE_S)
        self.mean += weight * (rate - self.mean)
        self._mean_of_mean += weight * (self.mean - self._mean_of_mean)

    @property
    def per_s(self) -> float:
        """Estimate of the rate ``LEAD_S`` ahead."""
        if self.mean is None:
            return 0.0
        rise = self.mean - self._mean_of_mean
        return max(self.mean + rise * (1 + LEAD_S / AVERAGE_S), 0.0)


class DemandRates:
    """Rates of the arrivals in all data centres, kept by the leader."""

    def __init__(self) -> None:
        self._rate_by_key: collections.defaultdict[tuple[str, str], _Rate] = (
            collections.defaultdict(_Rate)
        )
        self._heard_at: dict[str, float] = {}
        self._unmet_by_key: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @property
    def data_centres(self) -> Iterable[str]:
        """Data centres whose hosts have reported."""
        return self._heard_at.keys()

    def add(
        self, data_centre: str, arrivals: Iterable[Arrivals], now: float
    ) -> None:
        """Add the report of a host.

        Args:
            data_centre: Data centre of the host.
            arrivals: Its arrivals since its last report.
            now: Current time in seconds.
        """
        self._heard_at[data_centre] = now
        for one in arrivals:
            key = (one.service, data_centre)
            self._rate_by_key[key].count += one.count
            self._unmet_by_key[key] += one.unmet

    def advance(self, elapsed_s: float, now: float) -> None:
        """Update all rates.

        Args:
            elapsed_s: Time since the last call, in seconds.
            now: Current time in seconds.
        """
        for key, rate in list(self._rate_by_key.items()):
            age_s = now - self._heard_at.get(key[1], -math.inf)
            if age_s <= HOLD_S:
                rate.advance(elapsed_s)
            elif age_s > DROP_S:
                del self._rate_by_key[key]
                continue
            if rate.per_s < MIN_RATE and (rate.mean or 0.0) < MIN_RATE:
                del self._rate_by_key[key]

    def per_s(self, service: str) -> Mapping[str, float]:
        """Return the rates for a service by data centre."""
        return {
            name: self._rate_by_key[service, name].per_s
            for name in self._heard_at
            if (service, name) in self._rate_by_key
        }

    def age_s(self, data_centre: str, now: float) -> float:
        """Return the age of the newest report from a data centre.

        Args:
            data_centre: The data centre.
            now: Current time in seconds.

        Returns:
            0 for a data centre in which no host has ever reported: all
            requests that are sent there come from hosts elsewhere.
        """
        return now - self._heard_at.get(data_centre, now)

    def take_unmet(self, service: str, data_centre: str) -> int:
        """Return the unmet requests since the last call."""
        return self._unmet_by_key.pop((service, data_centre), 0)


def noise(per_s: float) -> float:
    """Return the relative standard deviation of the estimate of a rate."""
    if per_s <= 0:
        return 0.0
    return math.sqrt(VARIANCE / (per_s * AVERAGE_S))
