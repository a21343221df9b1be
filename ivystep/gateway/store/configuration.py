"""Keeps the operator's configuration that is in force at this host.

Only a higher version replaces the version in force. A configuration that
cannot be decoded is logged and ignored, and the version in force stays.
"""

import dataclasses
import math
from collections.abc import Callable, Sequence

from ivystep.core import errors, types, units
from ivystep.gateway import events
from ivystep.gateway.store import row_application
from ivystep.platform import operator_config, rows
from ivystep.runtime import clock, event_log
from ivystep.traffic import contracts


class Configuration:
    """``TableSink`` of the operator's table.

    Args:
        log: Event log of changes.
        on_config: Called with each version that comes into force.
        on_version: Called with each newer version of an adapter and the
            version that it replaces.

    Attributes:
        current: The configuration in force; None before the first.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        on_config: Callable[[contracts.RouteConfig], None],
        on_version: Callable[[types.AdapterRef, types.AdapterRef], None],
    ) -> None:
        self.current: contracts.RouteConfig | None = None
        self._log = log
        self._on_config = on_config
        self._on_version = on_version
        self._versions_by_adapter: dict[tuple[str, str], _AdapterVersions] = {}

    @property
    def version(self) -> int:
        """Configuration version in force; 0 before the first."""
        return self.current.version if self.current else 0

    def newest(self, model: str, adapter: str) -> types.AdapterRef:
        """Return the newest version of an adapter; 1 if none was named.

        Args:
            model: Base model.
            adapter: Adapter of the model.
        """
        named = self._versions_by_adapter.get((model, adapter))
        return types.AdapterRef(model, adapter, named.version if named else 1)

    def previous(
        self, ref: types.AdapterRef, allowed_s: float
    ) -> types.AdapterRef | None:
        """Return the previous version of an adapter while it may be used.

        Args:
            ref: The adapter with its newest version.
            allowed_s: Time in seconds for which the previous version may be
                used after the newest one was named. It counts from the
                latest time at which the store did not have it, because this
                host may have learned of it much later.

        Returns:
            None if there is no previous version or its time may be over.
        """
        named = self._versions_by_adapter.get((ref.account, ref.name))
        if named is None or clock.uptime() >= named.named_after + allowed_s:
            return None
        return types.AdapterRef(ref.account, ref.name, named.previous)

    def is_replaced(self, ref: types.AdapterRef) -> bool:
        """Return whether a newer version of an adapter has been named.

        Args:
            ref: The adapter with its version.
        """
        return self.replaced_after(ref) is not None

    def replaced_after(self, ref: types.AdapterRef) -> float | None:
        """Return when a version of an adapter was replaced by a newer one.

        Args:
            ref: The adapter with its version.

        Returns:
            The latest uptime in seconds at which no newer version had been
            named, as far as this host knows; minus infinity if it knows
            nothing of that time, None if the version is the newest one.
        """
        named = self._versions_by_adapter.get((ref.account, ref.name))
        if named is None or ref.version >= named.version:
            return None
        return named.named_after if ref.version >= named.previous else -math.inf

    def replace_rows(self, found: Sequence[rows.StoredRow]) -> None:
        """Apply all rows; see ``feeds.TableSink``."""
        row_application.apply_each(found, self.apply_row, self._log)

    def apply_row(self, row: rows.StoredRow) -> None:
        """Apply one row; see ``feeds.TableSink``."""
        if row.is_deleted:
            return
        try:
            if row.key == operator_config.CONFIG_KEY:
                self._put_in_force(
                    operator_config.decode_config(row), row.version
                )
            elif row.key.startswith(operator_config.VERSION_PREFIX):
                self._record_version(operator_config.decode_version(row), row)
        except errors.SetupError as error:
            self._log.write(
                events.EntryIgnored(row.key, error.reason, row.version)
            )

    def on_store_lost(self) -> None:
        """Keep the version in force."""

    def on_store_restored(self) -> None:
        """Keep the version in force until a higher one is written again."""

    def on_store_regained(self) -> None:
        """Do nothing; the feed resumes at its last store version."""

    def _put_in_force(
        self, config: contracts.RouteConfig, store_version: int
    ) -> None:
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
                len(config.accounts.account_by_name) if config.accounts else -1,
            )
        )
        self._on_config(config)

    def _record_version(
        self, named: operator_config.RequiredVersion, row: rows.StoredRow
    ) -> None:
        key = (named.model, named.adapter)
        known = self._versions_by_adapter.get(key)
        if known is not None and known.version >= named.version:
            return
        previous = known.version if known else 1
        self._versions_by_adapter[key] = _AdapterVersions(
            named.version, previous, row.written_after
        )
        self._log.write(
            events.VersionNamed(
                f'{named.model}/{named.adapter}',
                named.version,
                row.version,
                previous,
                units.whole_ms(clock.uptime() - row.written_after),
            )
        )
        self._on_version(
            types.AdapterRef(named.model, named.adapter, named.version),
            types.AdapterRef(named.model, named.adapter, previous),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _AdapterVersions:
    """The newest version of an adapter and the one before it.

    Attributes:
        named_after: Uptime at which the operator had not named it yet.
    """

    version: int
    previous: int
    named_after: float
