"""Adds up the demand of all hosts for the adapters of a pool.

Every host reports several times a second, and each planned load looks at the
demand. The sums are therefore kept by adapter and updated for the adapters in a
report, rather than computed from all reports.
"""

import collections
from collections.abc import Collection, Iterable

from ivystep.core import types
from ivystep.policy import load_value

# Hosts with waiting requests report every 100 ms; one that has not reported
# for this time is taken as gone.
REPORT_MAX_AGE_S = 1.0


class HostDemands:
    """The last reports of all hosts."""

    def __init__(self) -> None:
        self._reported_at: dict[str, float] = {}
        self._refs_by_host: dict[str, set[types.AdapterRef]] = {}
        self._used_refs_by_host: dict[str, set[types.AdapterRef]] = {}
        self._users_by_ref: collections.Counter[types.AdapterRef] = (
            collections.Counter()
        )
        self._demand_by_host: collections.defaultdict[
            types.AdapterRef, dict[str, load_value.AggregateDemand]
        ] = collections.defaultdict(dict)
        self._total_by_ref: dict[
            types.AdapterRef, load_value.AggregateDemand
        ] = {}

    def __bool__(self) -> bool:
        """Return whether any host has reported."""
        return bool(self._reported_at)

    def replace(
        self, host: str, demands: Iterable[types.AdapterDemand], now: float
    ) -> None:
        """Replace the demand of a host by a new report.

        Args:
            host: The host.
            demands: The report.
            now: Current time in seconds.
        """
        self._remove(host)
        self._reported_at[host] = now
        waiting = self._refs_by_host[host] = set()
        used = self._used_refs_by_host[host] = set()
        for demand in demands:
            if demand.running:
                used.add(demand.ref)
            if demand.waiting:
                waiting.add(demand.ref)
                self._demand_by_host[demand.ref][host] = (
                    load_value.AggregateDemand.from_demand(demand, now)
                )
                self._total_by_ref.pop(demand.ref, None)
        self._users_by_ref.update(used)

    def remove_silent(self, now: float) -> None:
        """Remove the demand of hosts that have not reported lately."""
        for host, reported_at in list(self._reported_at.items()):
            if reported_at < now - REPORT_MAX_AGE_S:
                self._remove(host)
                del self._reported_at[host]

    def is_needed(self, ref: types.AdapterRef) -> bool:
        """Return whether requests wait for an adapter or use it."""
        return ref in self._demand_by_host or ref in self._users_by_ref

    def totals(self) -> Collection[load_value.AggregateDemand]:
        """Return the demand of all hosts for each adapter."""
        for ref, demand_by_host in self._demand_by_host.items():
            if ref not in self._total_by_ref:
                self._total_by_ref[ref] = load_value.AggregateDemand.merged(
                    demand_by_host.values()
                )
        return self._total_by_ref.values()

    def _remove(self, host: str) -> None:
        for ref in self._refs_by_host.pop(host, ()):
            self._total_by_ref.pop(ref, None)
            demand_by_host = self._demand_by_host[ref]
            del demand_by_host[host]
            if not demand_by_host:
                del self._demand_by_host[ref]
        for ref in self._used_refs_by_host.pop(host, ()):
            self._users_by_ref[ref] -= 1
            if not self._users_by_ref[ref]:
                del self._users_by_ref[ref]
