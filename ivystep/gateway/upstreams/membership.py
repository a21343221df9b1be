"""Tracks the upstreams that have an entry in the platform's store.

An upstream whose entry disappears gets no new work. Entries that expired
during an outage of the store are written again within about two seconds
after it, so an entry that is missing at the end of an outage is tolerated for
that time. An entry that disappears later may still have expired, because its
upstream has not written again yet; it is tolerated for one heartbeat interval.

An incarnation that has drained is never used again: a heartbeat from before it
started to drain may be written late.

An upstream that has ended may keep its entry while its address is given to
another one. Once the entry of the other is known, the older upstream gets no
calls and requests. Which one is older is a guess: the store's order is that of
the writes, and the last write of an upstream that has ended may be late. So a
doubt ends after some time, or as a request finds out who is there: each names
its upstream, and another one refuses it without running it.
"""

import collections
import dataclasses
from collections.abc import Callable, Sequence

import eventlet

from ivystep.core import errors
from ivystep.gateway import events
from ivystep.gateway.store import row_application, store_contact
from ivystep.gateway.upstreams import upstream_state
from ivystep.platform import rows, upstream_entries
from ivystep.runtime import clock, event_log
from ivystep.settings import gateway as settings_models
from ivystep.traffic import peer_bounds, upstreams

# Time within which the platform writes expired entries again after an outage,
# plus the delay of the feed.
RETURN_GRACE_S = 2.3
# Incarnations that have left and are remembered.
MAX_REMEMBERED = 4096
CHECK_INTERVAL_S = 0.5
# Heartbeats for which an upstream gets nothing that has been found not to be at
# its address, or whose address another entry names. The store drops the entry
# of one that has ended after three.
MISDIRECTED_HEARTBEATS = 2.0
DEFAULT_BOUNDS = settings_models.PeerBounds()


class Membership:
    """``TableSink`` of the table of upstreams.

    Args:
        log: Event log of changes.
        on_change: Called with an upstream that is new or has changed.
        on_removed: Called with an upstream that gets no new work any more.
        contact: Tells when the store has returned from an outage.
        heartbeat_s: Heartbeat interval of the upstreams.
        bounds: Bounds of what an upstream may send.

    Attributes:
        upstream_by_id: Upstreams that have an entry or may regain it.
        needed_version: Store version of the last change that every host must
            learn of soon. Adapters that an upstream holds are none: the leader
            tells of its orders itself.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        on_change: Callable[[upstream_state.Upstream], None],
        on_removed: Callable[[upstream_state.Upstream], None],
        contact: store_contact.StoreContact,
        heartbeat_s: float,
        bounds: settings_models.PeerBounds = DEFAULT_BOUNDS,
    ) -> None:
        self.upstream_by_id: dict[str, upstream_state.Upstream] = {}
        self.needed_version = 0
        self._essentials_by_id: dict[str, upstreams.UpstreamEntry] = {}
        self._ids_by_address: dict[tuple[str, int], set[str]] = {}
        self._log = log
        self._on_change = on_change
        self._on_removed = on_removed
        self._heartbeat_s = heartbeat_s
        self._bounds = peer_bounds.PeerBounds.from_config(bounds)
        self._missing_since: dict[str, float] = {}
        self._drained: collections.OrderedDict[tuple[object, ...], None] = (
            collections.OrderedDict()
        )
        self._version_by_id: dict[str, int] = {}
        self._is_store_lost = False
        self._contact = contact
        self._left: collections.OrderedDict[tuple[object, ...], None] = (
            collections.OrderedDict()
        )
        self._is_copy = False
        self._restored_at = float('-inf')

    def replace_rows(self, found: Sequence[rows.StoredRow]) -> None:
        """Apply all rows; see ``feeds.TableSink``."""
        present = {row.key for row in found}
        for gone in set(self._essentials_by_id) - present:
            del self._essentials_by_id[gone]
        row_application.apply_each(found, self.apply_row, self._log)
        for upstream_id in set(self.upstream_by_id) - present:
            self._on_missing(upstream_id)

    def apply_row(self, row: rows.StoredRow) -> None:
        """Apply one row; see ``feeds.TableSink``."""
        if row.version < self._version_by_id.get(row.key, 0):
            return
        self._version_by_id[row.key] = row.version
        if row.is_deleted:
            self._record_essentials(row, None)
            self._version_by_id.pop(row.key)
            if row.key in self.upstream_by_id:
                self._on_missing(row.key)
            return
        try:
            entry = upstream_entries.decode_entry(row)
        except errors.SetupError as error:
            self._log.write(
                events.EntryIgnored(row.key, error.reason, row.version)
            )
            self._record_essentials(row, None)
            self._remove(row.key, 'the entry is malformed')
            return
        self._record_essentials(row, entry)
        self._apply_entry(entry)

    def on_store_lost(self) -> None:
        """Keep all upstreams during an outage of the store."""
        self._is_store_lost = True

    def on_store_restored(self) -> None:
        """Expect rows from a copy that may lack what was written since.

        Upstreams write their entries again, so those that the copy lacks get
        the time that expired entries get.
        """
        self._version_by_id.clear()
        self.needed_version = 0
        self._is_copy = True
        self._restored_at = clock.now()

    def on_store_regained(self) -> None:
        """Start the grace period for entries that may have expired."""
        self._is_store_lost = False
        self._is_copy = False
        for upstream_id in tuple(self._missing_since):
            self._remove_later(upstream_id, max(self._grace_left_s, 0.0))

    def maintain(self) -> None:
        """End doubts, and close idle connections before the upstreams do.

        Runs until the task is killed.
        """
        while True:
            clock.sleep(CHECK_INTERVAL_S)
            now = clock.now()
            for upstream in list(self.upstream_by_id.values()):
                upstream.connections.drop_expired()
                self._try_again(upstream, now)

    def is_contested(self, upstream: upstream_state.Upstream) -> bool:
        """Return whether another entry names the address of an upstream.

        Args:
            upstream: The upstream.
        """
        ids = self._ids_by_address.get(upstream.entry.address, set())
        return len(ids) > 1

    def on_other_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Apply that another upstream has answered at an address.

        If there are others that claim it, each is as likely to be there.

        Args:
            upstream: The upstream that was meant.
        """
        upstream.on_misdirected()
        self._log_change(upstream, 'misdirected', 'an answer says so')
        self._on_change(upstream)
        ids = self._ids_by_address.get(upstream.entry.address, set())
        for upstream_id in sorted(ids):
            claimant = self.upstream_by_id[upstream_id]
            if claimant.is_doubted:
                self._begin_trial(claimant, 'the other claimant is not there')

    def _try_again(self, upstream: upstream_state.Upstream, now: float) -> None:
        doubted_s = upstream.misdirected_s(now)
        if doubted_s >= MISDIRECTED_HEARTBEATS * self._heartbeat_s:
            self._begin_trial(upstream, 'after some time')

    def _begin_trial(
        self, upstream: upstream_state.Upstream, reason: str
    ) -> None:
        upstream.begin_trial()
        self._log_change(upstream, 'tried', reason)
        self._on_change(upstream)

    def _apply_entry(self, entry: upstreams.UpstreamEntry) -> None:
        if self._is_late_heartbeat(entry):
            self._log.write(
                events.EntryIgnored(
                    entry.upstream_id,
                    'this incarnation has drained or left',
                    entry.version,
                )
            )
            return
        self._missing_since.pop(entry.upstream_id, None)
        known = self.upstream_by_id.get(entry.upstream_id)
        if known is None or known.entry.identity != entry.identity:
            if known is not None:
                self._remove(entry.upstream_id, 'restarted')
            known = upstream_state.Upstream(entry, self._bounds)
            self.upstream_by_id[entry.upstream_id] = known
            self._log_change(known, 'added', '')
            self._claim_address(known, has_left=entry.identity in self._left)
        elif known.entry.state is not entry.state:
            known.replace_entry(entry, clock.now())
            self._log_change(known, entry.state.value, 'state in its entry')
        known.replace_entry(entry, clock.now())
        self._on_change(known)

    def _claim_address(
        self, claimant: upstream_state.Upstream, *, has_left: bool
    ) -> None:
        """Give the address of a new upstream to the newest entry.

        A newer entry of a known upstream takes no address away, since it may
        be a heartbeat that the platform has written late. Nor does the entry
        of one that had left: those that are known now came after it.

        Args:
            claimant: The upstream.
            has_left: Whether its entry was gone before.
        """
        ids = self._ids_by_address.setdefault(claimant.entry.address, set())
        for upstream_id in sorted(ids):
            known = self.upstream_by_id[upstream_id]
            is_newer = claimant.entry.version > known.entry.version
            if is_newer and not has_left:
                older, newer = known, claimant
            else:
                older, newer = claimant, known
            older.doubt(newer.entry.version)
            self._log_change(
                older,
                'misdirected',
                f'{newer.upstream_id} has its address since store version '
                f'{newer.entry.version}',
            )
            if older is known:
                self._on_change(older)
        ids.add(claimant.upstream_id)

    def _release_address(self, removed: upstream_state.Upstream) -> None:
        address = removed.entry.address
        self._ids_by_address[address].discard(removed.upstream_id)
        if not self._ids_by_address[address]:
            del self._ids_by_address[address]

    def _record_essentials(
        self, row: rows.StoredRow, entry: upstreams.UpstreamEntry | None
    ) -> None:
        """Record whether all hosts need a change of an entry.

        Args:
            row: The changed row.
            entry: Its content; None if it names no upstream.
        """
        essentials = None if entry is None else _essentials(entry)
        if essentials == self._essentials_by_id.get(row.key):
            return
        self.needed_version = max(self.needed_version, row.version)
        if essentials is None:
            del self._essentials_by_id[row.key]
        else:
            self._essentials_by_id[row.key] = essentials

    def _is_late_heartbeat(self, entry: upstreams.UpstreamEntry) -> bool:
        """Return whether an incarnation that has left seems to be ready.

        One that has drained never is. One that has left without a notice is,
        unless the entry comes from a copy that is older than its removal.
        """
        if entry.state is upstreams.UpstreamState.DRAINING:
            self._drained[entry.identity] = None
            _drop_oldest(self._drained)
            return False
        if self._is_copy and entry.identity in self._left:
            return True
        return entry.identity in self._drained

    def _on_missing(self, upstream_id: str) -> None:
        """Remove an upstream whose entry is gone, at once or after a grace."""
        if self._grace_left_s <= 0 and not self._is_store_lost:
            self._remove(upstream_id, 'the entry is gone')
            return
        if upstream_id in self._missing_since:
            return
        self._missing_since[upstream_id] = clock.now()
        self._log_change(
            self.upstream_by_id[upstream_id], 'missing', 'after a store outage'
        )
        if not self._is_store_lost:
            self._remove_later(
                upstream_id, min(self._grace_left_s, self._heartbeat_s)
            )

    @property
    def _grace_left_s(self) -> float:
        """Time for which entries may still be missing after an outage."""
        returned_at = max(self._contact.returned_at, self._restored_at)
        return returned_at + RETURN_GRACE_S - clock.now()

    def _remove_later(self, upstream_id: str, grace_s: float) -> None:
        eventlet.spawn_after(
            grace_s,
            self._on_grace_over,
            upstream_id,
            self._missing_since[upstream_id],
        )

    def _on_grace_over(self, upstream_id: str, missing_since: float) -> None:
        # After a further outage, the time starts again.
        is_missing = self._missing_since.get(upstream_id) == missing_since
        if is_missing and not self._is_store_lost:
            self._remove(upstream_id, 'the entry did not return')

    def _remove(self, upstream_id: str, reason: str) -> None:
        self._missing_since.pop(upstream_id, None)
        removed = self.upstream_by_id.pop(upstream_id, None)
        if removed is None:
            return
        self._release_address(removed)
        self._left[removed.entry.identity] = None
        _drop_oldest(self._left)
        if removed.is_draining:
            # An answer may have told it, which no entry need have done.
            self._drained[removed.entry.identity] = None
            _drop_oldest(self._drained)
        self._log_change(removed, 'removed', reason)
        removed.remove()
        self._on_removed(removed)

    def _log_change(
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


def _essentials(entry: upstreams.UpstreamEntry) -> upstreams.UpstreamEntry:
    """Return an entry without what hosts need not learn of soon."""
    return dataclasses.replace(
        entry,
        held_model_by_name={
            name: dataclasses.replace(model, adapter_versions={})
            for name, model in entry.held_model_by_name.items()
        },
        leaves_in_s=0.0 if entry.leaves_in_s is not None else None,
        version=0,
    )


def _drop_oldest(
    remembered: collections.OrderedDict[tuple[object, ...], None],
) -> None:
    if len(remembered) > MAX_REMEMBERED:
        remembered.popitem(last=False)
