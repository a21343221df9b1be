"""The planner of a pool: the role that decides which adapter is loaded next.

Each entry reports the demand of its waiting requests to one planner, chosen by
rendezvous hashing over the live entries. The planner's state is soft: a new
planner starts from the next reports. Two planners at once only slow down the
weight store.
"""

import typing

from ivystep.core import types


class DemandSink(typing.Protocol):
    """Where a pool reports its demand: the local planner or a remote one."""

    def report(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Take over an entry's demand.

        A report replaces the entry's previous one: an adapter that it does
        not name has nothing waiting there. An entry whose waiting requests
        are reported must report again within a second, or it is taken to
        have gone.

        Args:
            entry_id: Process id of the reporting entry.
            demands: One item for each adapter with waiting requests or new
                arrivals.

        Returns:
            Forecasts for the adapters that come too late for at least one of
            the waiting requests; others are omitted.

        Raises:
            errors.LinkError: The planner cannot be reached; the report is
                repeated with the next one.
        """
