"""The operator's configuration in force at this host.

Only a higher version replaces one in force. A configuration that cannot be
decoded is ignored with a log line, and the one before stays in force.
"""

import dataclasses
from collections.abc import Callable, Sequence

from ivystep.core import errors, types
from ivystep.gateway import events
from ivystep.platform import operator_config, rows
from ivystep.runtime import clock, event_log
from ivystep.traffic import contracts


class Configuration:
    """Takes the rows of the operator's table.

    Args:
        log: Where changes are written.
        on_config: Called with each version that comes into force.
        on_version: Called when a version of an adapter is named.

    Attributes:
        current: The configuration in force; None before the first.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        on_config: Callable[[contracts.RouteConfig], None],
        on_version: Callable[[types.AdapterRef], None],
    ) -> None:
        self.current: contracts.RouteConfig | None = None
        self._log = log
        self._on_config = on_config
        self._on_version = on_version
        self._named_by_adapter: dict[tuple[str, str], _Named] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.current.version if self.current else 0

    def newest(self, model: str, adapter: str) -> types.AdapterRef:
        """Return the newest version of an adapter that was named.

        Args:
            model: Base model.
            adapter: Adapter of the model.
        """
        named = self._named_by_adapter.get((model, adapter))
        return types.AdapterRef(model, adapter, named.version if named else 1)

    def previous(
        self, ref: types.AdapterRef, allowed_s: float
    ) -> types.AdapterRef | None:
        """Return the version before the newest, while it may still be used.

        Args:
            ref: The newest version.
            allowed_s: Time for which the version before may be used, counted
                from when this host learnt of the newest.

        Returns:
            None if there is none or the time has passed.
        """
        named = self._named_by_adapter.get((ref.account, ref.name))
        if named is None or clock.now() >= named.learnt_at + allowed_s:
            return None
        return types.AdapterRef(ref.account, ref.name, named.previous)

    def replace(self, found: Sequence[rows.StoredRow]) -> None:
        """Take over all rows; see ``feeds.TableSink``."""
        for row in found:
            self.apply(row)

    def apply(self, row: rows.StoredRow) -> None:
        """Take over one row; see ``feeds.TableSink``."""
        if row.is_deleted:
            return
        try:
            if row.key == operator_config.CONFIG_KEY:
                self._adopt(operator_config.decode_config(row), row.version)
            elif row.key.startswith(operator_config.VERSION_PREFIX):
                self._name(operator_config.decode_version(row), row.version)
        except errors.SetupError as error:
            self._log.write(
                events.EntryIgnored(row.key, error.reason, row.version)
            )

    def on_store_lost(self) -> None:
        """Keep serving with the version in force."""

    def on_store_regained(self) -> None:
        """Nothing to do: the feed goes on where it was."""

    def _adopt(self, config: contracts.RouteConfig, store_version: int) -> None:
        if config.version <= self.version:
            return
        self.current = config
        routes = config.route_by_prefix_by_host.values()
        self._log.write(
            events.ConfigAdopted(
                config.version,
                store_version,
                sum(len(by_prefix) for by_prefix in routes),
                len(config.service_by_name),
            )
        )
        self._on_config(config)

    def _name(
        self, named: operator_config.RequiredVersion, store_version: int
    ) -> None:
        key = (named.model, named.adapter)
        known = self._named_by_adapter.get(key)
        if known is not None and known.version >= named.version:
            return
        previous = known.version if known else 1
        self._named_by_adapter[key] = _Named(
            named.version, previous, clock.now()
        )
        self._log.write(
            events.VersionNamed(
                f'{named.model}/{named.adapter}', named.version, store_version
            )
        )
        self._on_version(
            types.AdapterRef(named.model, named.adapter, named.version)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Named:
    """A version that the operator has named, and the one before it."""

    version: int
    previous: int
    learnt_at: float
