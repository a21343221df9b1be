"""Which upstreams exist, as the platform's store has them.

An entry that disappears normally ends new work at once. After an outage of
the store, entries that lapsed meanwhile are written again within about two
seconds, so one that is missing then is given that time.
"""

from collections.abc import Callable, Sequence

import eventlet

from ivystep.core import errors
from ivystep.gateway import events, upstream_state
from ivystep.platform import rows, upstream_entries
from ivystep.runtime import clock, event_log
from ivystep.traffic import upstreams

# The platform's time for entries to return after an outage, with the time
# that the feed takes to bring them.
RETURN_GRACE_S = 2.3


class Membership:
    """Takes the rows of the upstreams' table.

    Args:
        log: Where changes are written.
        on_change: Called with an upstream that is new or has changed.
        on_removed: Called with an upstream that gets no new work any more.

    Attributes:
        upstream_by_id: Upstreams that exist.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        on_change: Callable[[upstream_state.Upstream], None],
        on_removed: Callable[[upstream_state.Upstream], None],
    ) -> None:
        self.upstream_by_id: dict[str, upstream_state.Upstream] = {}
        self._log = log
        self._on_change = on_change
        self._on_removed = on_removed
        self._missing_since: dict[str, float] = {}
        self._version_by_id: dict[str, int] = {}
        self._is_store_lost = False
        self._regained_at = float('-inf')

    def replace_rows(self, found: Sequence[rows.StoredRow]) -> None:
        """Take over all rows; see ``feeds.TableSink``."""
        present = {row.key for row in found}
        for row in found:
            self.apply_row(row)
        for upstream_id in set(self.upstream_by_id) - present:
            self._miss(upstream_id)

    def apply_row(self, row: rows.StoredRow) -> None:
        """Take over one row; see ``feeds.TableSink``."""
        if row.version < self._version_by_id.get(row.key, 0):
            return
        self._version_by_id[row.key] = row.version
        if row.is_deleted:
            self._version_by_id.pop(row.key)
            if row.key in self.upstream_by_id:
                self._miss(row.key)
            return
        try:
            entry = upstream_entries.decode_entry(row)
        except errors.SetupError as error:
            self._log.write(
                events.EntryIgnored(row.key, error.reason, row.version)
            )
            self._remove(row.key, 'the entry is malformed')
            return
        self._take(entry)

    def on_store_lost(self) -> None:
        """Keep all upstreams while the store does not answer."""
        self._is_store_lost = True

    def on_store_regained(self) -> None:
        """Give lapsed entries time to return; see ``feeds.TableSink``."""
        self._is_store_lost = False
        self._regained_at = clock.now()

    def _take(self, entry: upstreams.UpstreamEntry) -> None:
        self._missing_since.pop(entry.upstream_id, None)
        known = self.upstream_by_id.get(entry.upstream_id)
        is_same = (
            known is not None
            and known.entry.started_at_ms == entry.started_at_ms
            and known.entry.address == entry.address
            and known.entry.service == entry.service
        )
        if not is_same:
            if known is not None:
                self._remove(entry.upstream_id, 'started again')
            known = upstream_state.Upstream(entry)
            self.upstream_by_id[entry.upstream_id] = known
            self._note(known, 'added', '')
        elif known.entry.state is not entry.state:
            known.replace_entry(entry, clock.now())
            self._note(known, entry.state.value, 'by its entry')
        known.replace_entry(entry, clock.now())
        self._on_change(known)

    def _miss(self, upstream_id: str) -> None:
        """Take over that an entry is gone."""
        left_s = self._regained_at + RETURN_GRACE_S - clock.now()
        if left_s <= 0 and not self._is_store_lost:
            self._remove(upstream_id, 'the entry is gone')
            return
        if upstream_id not in self._missing_since:
            self._missing_since[upstream_id] = clock.now()
            self._note(
                self.upstream_by_id[upstream_id], 'missing', 'after an outage'
            )
            eventlet.spawn_after(
                max(left_s, RETURN_GRACE_S), self._give_up, upstream_id
            )

    def _give_up(self, upstream_id: str) -> None:
        if self._missing_since.pop(upstream_id, None) is not None:
            self._remove(upstream_id, 'the entry did not return')

    def _remove(self, upstream_id: str, reason: str) -> None:
        self._missing_since.pop(upstream_id, None)
        removed = self.upstream_by_id.pop(upstream_id, None)
        if removed is None:
            return
        self._note(removed, 'removed', reason)
        removed.connections.close()
        self._on_removed(removed)

    def _note(
        self, upstream: upstream_state.Upstream, change: str, reason: str
    ) -> None:
        entry = upstream.entry
        self._log.write(
            events.UpstreamChanged(
                entry.upstream_id,
                entry.service,
                f'{entry.address[0]}:{entry.address[1]}',
                change,
                reason,
                entry.version,
            )
        )
