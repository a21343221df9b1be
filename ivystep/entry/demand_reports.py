"""Keeps the latest demand report of each entry for the planner of a pool."""

import dataclasses

from ivystep.core import types
from ivystep.policy import load_order

# Entries with waiting requests report every 100 ms; one that has not reported
# for this time is assumed to have stopped.
REPORT_MAX_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class DemandChange:
    """What a new report changed in the demand of all entries.

    Attributes:
        added: Adapters for which no request waited before.
        dropped: Adapters for which no request waits any more.
    """

    added: list[types.AdapterRef]
    dropped: list[types.AdapterRef]


class DemandReports:
    """The demand of a pool, by adapter and reporting entry."""

    def __init__(self) -> None:
        self._wanted_by_ref: dict[
            types.AdapterRef, dict[str, load_order.WantedLoad]
        ] = {}
        self._refs_by_entry: dict[str, set[types.AdapterRef]] = {}
        self._reported_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether requests wait at any entry."""
        return bool(self._wanted_by_ref)

    def is_wanted(self, ref: types.AdapterRef) -> bool:
        """Return whether requests wait for an adapter at any entry."""
        return ref in self._wanted_by_ref

    def wanted_by(self, entry_id: str) -> list[load_order.WantedLoad]:
        """Return the demand for each adapter that an entry waits for.

        Args:
            entry_id: Process id of the entry.

        Returns:
            The demand of all entries for these adapters, ordered by adapter.
        """
        return [
            load_order.WantedLoad.merged(self._wanted_by_ref[ref].values())
            for ref in sorted(self._refs_by_entry[entry_id])
        ]

    def replace(
        self,
        entry_id: str,
        demands: tuple[types.AdapterDemand, ...],
        now: float,
    ) -> DemandChange:
        """Replace an entry's demand by a new report.

        Args:
            entry_id: Process id of the entry.
            demands: Its demand; see ``planner.DemandSink.report_demand``.
            now: Current time in seconds.

        Returns:
            The adapters that are newly wanted, and those no longer wanted.
        """
        wanted = [demand for demand in demands if demand.waiting]
        refs = {demand.ref for demand in wanted}
        dropped = self._drop(entry_id, refs)
        self._reported_at[entry_id] = now
        self._refs_by_entry[entry_id] = refs
        added = []
        for demand in wanted:
            if demand.ref not in self._wanted_by_ref:
                added.append(demand.ref)
            by_entry = self._wanted_by_ref.setdefault(demand.ref, {})
            by_entry[entry_id] = load_order.WantedLoad.from_demand(demand, now)
        return DemandChange(added, dropped)

    def expire(self, now: float) -> list[types.AdapterRef]:
        """Drop the demand of entries that no longer report.

        Args:
            now: Current time in seconds.

        Returns:
            The adapters for which no request waits any more.
        """
        horizon = now - REPORT_MAX_AGE_S
        dropped = []
        for entry_id, reported_at in list(self._reported_at.items()):
            if reported_at < horizon:
                dropped.extend(self._drop(entry_id, set()))
                del self._reported_at[entry_id]
                del self._refs_by_entry[entry_id]
        return dropped

    def _drop(
        self, entry_id: str, kept: set[types.AdapterRef]
    ) -> list[types.AdapterRef]:
        """Remove an entry's demand, except for the adapters in ``kept``."""
        dropped = []
        for ref in self._refs_by_entry.get(entry_id, set()) - kept:
            by_entry = self._wanted_by_ref[ref]
            del by_entry[entry_id]
            if not by_entry:
                del self._wanted_by_ref[ref]
                dropped.append(ref)
        return dropped
