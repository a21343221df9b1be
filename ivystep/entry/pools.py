"""Keeps the pools of an entry up to date with the setup and the host list."""

from collections.abc import Callable, Iterator, Mapping

from ivystep.core import types
from ivystep.entry import isolation, links, planner, pool
from ivystep.metrics import registry
from ivystep.setup import compiled


class AccountWeights(Mapping[str, float]):
    """Read-only view of the account weights in a setup, by account name."""

    def __init__(self, setup: compiled.CompiledSetup) -> None:
        self._setup = setup

    def __getitem__(self, name: str) -> float:
        """Return the weight of an account."""
        account = self._setup.account_by_name.get(name)
        if account is None:
            raise KeyError(name)
        return account.weight

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the accounts."""
        return iter(self._setup.account_by_name)

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._setup.account_by_name)


class Pools(Mapping[str, pool.Pool]):
    """Pools by name; a pool is created with its first upstream.

    Args:
        process_id: Id of this entry.
        data_centre: Data centre of this entry.
        choose_sink: Returns the planner of a pool; gets its name and the
            planner at this entry.
        quarantines: Quarantines of the pools.
        on_status: Called with each status report of a sidecar.
        metrics: Records load stalls and waiting requests.
    """

    def __init__(
        self,
        process_id: str,
        data_centre: str,
        choose_sink: pool.ChooseSink,
        quarantines: isolation.Isolation,
        on_status: Callable[[types.UpstreamStatus], None],
        metrics: registry.Metrics,
    ) -> None:
        self._process_id = process_id
        self._data_centre = data_centre
        self._choose_sink = choose_sink
        self._quarantines = quarantines
        self._status_callback = on_status
        self._metrics = metrics
        self._pool_by_name: dict[str, pool.Pool] = {}
        self._setup: compiled.CompiledSetup | None = None

    def __getitem__(self, name: str) -> pool.Pool:
        """Return a pool by name."""
        return self._pool_by_name[name]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names."""
        return iter(self._pool_by_name)

    def __len__(self) -> int:
        """Return the number of pools."""
        return len(self._pool_by_name)

    def configure(self, setup: compiled.CompiledSetup) -> None:
        """Configure all pools from a setup version.

        Args:
            setup: The setup version that is now in force.
        """
        self._setup = setup
        for name in self._pool_by_name:
            self._configure(name)

    def add(self, entry: types.HostEntry) -> None:
        """Add an upstream from the host list; create its pool if needed.

        Args:
            entry: The host's entry in the list.
        """
        if entry.pool not in self._pool_by_name:
            self._pool_by_name[entry.pool] = pool.Pool(
                entry.pool,
                self._process_id,
                self._choose_sink,
                self._data_centre,
                self._metrics,
            )
            self._configure(entry.pool)
        self[entry.pool].record_data_centre(entry.host, entry.data_centre)

    def on_status(
        self, name: str, status: types.UpstreamStatus, link: links.UpstreamLink
    ) -> None:
        """Process a status report of a sidecar.

        Args:
            name: Name of the upstream's pool.
            status: The status report.
            link: Link to the sidecar.
        """
        self._status_callback(status)
        self._quarantines.on_status(name, status)
        self[name].on_status(status, link)

    def on_lost(self, name: str, upstream_id: str) -> None:
        """Give no new work to an upstream that is unreachable or leaving."""
        self._quarantines.on_lost(name, upstream_id)
        self[name].on_lost(upstream_id)

    def planner(self, name: str) -> planner.DemandSink | None:
        """Return this entry's planner of a pool, None if it is unknown."""
        known = self._pool_by_name.get(name)
        return known.planner if known else None

    def _configure(self, name: str) -> None:
        if self._setup is None or name not in self._setup.pool_by_name:
            return
        self[name].configure(
            self._setup.pool_by_name[name],
            AccountWeights(self._setup),
        )
