"""The pools of an entry, kept in step with setup and host list."""

from collections.abc import Callable, Iterator, Mapping

from ivystep.core import types
from ivystep.entry import isolation, links, planner, pool
from ivystep.metrics import registry
from ivystep.setup import compiled


class AccountWeights(Mapping[str, float]):
    """Weights by account name, read from the setup without a copy."""

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
    """Pools by name; one is made when its first upstream is known.

    Args:
        process_id: Id of this entry.
        data_centre: Data centre of this entry.
        choose_sink: Returns the planner of a pool, given the local one.
        suspects: Quarantines of the pools.
        on_status: Called with each report of an upstream.
        metrics: Where the pools record load stalls.
    """

    def __init__(
        self,
        process_id: str,
        data_centre: str,
        choose_sink: pool.ChooseSink,
        suspects: isolation.Isolation,
        on_status: Callable[[types.UpstreamStatus], None],
        metrics: registry.Metrics,
    ) -> None:
        self._process_id = process_id
        self._data_centre = data_centre
        self._choose_sink = choose_sink
        self._suspects = suspects
        self._report = on_status
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
        """Take over a setup version.

        Args:
            setup: The version now in force.
        """
        self._setup = setup
        for name in self._pool_by_name:
            self._configure(name)

    def add(self, entry: types.HostEntry) -> None:
        """Take over an upstream from the host list.

        Args:
            entry: The upstream's host.
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
        """Take over a sidecar's report.

        Args:
            name: Name of the upstream's pool.
            status: The report.
            link: Link to the sidecar.
        """
        self._report(status)
        self._suspects.on_status(name, status)
        self[name].on_status(status, link)

    def on_lost(self, name: str, upstream_id: str) -> None:
        """Take over that an upstream cannot be reached or is leaving."""
        self._suspects.on_lost(name, upstream_id)
        self[name].on_lost(upstream_id)

    def planner(self, name: str) -> planner.DemandSink | None:
        """Return the planner of a pool at this entry, None if unknown."""
        known = self._pool_by_name.get(name)
        return known.planner if known else None

    def _configure(self, name: str) -> None:
        if self._setup is None or name not in self._setup.pool_by_name:
            return
        self[name].configure(
            self._setup.pool_by_name[name],
            AccountWeights(self._setup),
        )
