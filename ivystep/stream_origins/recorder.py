"""Records the software versions of services in the store.

Designed for some dozens of services with a few versions each: one read for each
service as a host starts, one more when a version appears or the store's era
changes, and a conditional write by the host that is first. The leader looks at
its last answers twice a second without a call, and writes when a version has
lost its last upstream or has been gone for the retention time.
"""

import collections
import dataclasses
import random
import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors
from ivystep.gateway import events as gateway_events
from ivystep.platform import rows, version_rows
from ivystep.policy import version_history
from ivystep.runtime import clock, event_log
from ivystep.stream_origins import events, service_versions

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 2.0
JITTER_SHARE = 0.3
MAINTENANCE_INTERVAL_S = 0.5
# The store keeps its history for about this long; after a longer loss of
# contact, a version may have come and gone unseen.
MAX_BLIND_S = 15.0
# Age from which an answer is read again that is incomplete or names versions
# that this host does not know: other hosts may have changed the row.
REFRESH_S = 20.0


class Feed(typing.Protocol):
    """The part of ``feeds.TableFeed`` of the upstreams that is used.

    Attributes:
        era: Era of the store.
    """

    era: int

    def progress(self) -> object | None:
        """Return None while the table is not followed."""


class VersionRecorder:
    """The software versions of services, in the store and at this host.

    Args:
        client: Client of the store.
        log: Event log of changes and outages.

    Attributes:
        on_recorded: Called with a service whose row has been read or written.
        on_restored: Called when the store was restored from an older copy.
        era: Highest era of the store that this host knows.
    """

    def __init__(
        self, client: rows.RowsClient, log: event_log.EventLog
    ) -> None:
        self.on_recorded: Callable[[str], None] = _ignore_service
        self.on_restored: Callable[[], None] = _ignore
        self.era = 0
        self._followed_era = 0
        self._client = client
        self._log = log
        self._services: frozenset[str] = frozenset()
        self._view_by_service: dict[str, service_versions.StoreView] = {}
        # Uptime at which each view was read.
        self._read_at_by_service: dict[str, float] = {}
        # Versions that may be used: found in the row or added to it, while
        # this host knew an upstream of them.
        self._usable_by_service: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._history_by_service: collections.defaultdict[
            str, version_history.VersionHistory
        ] = collections.defaultdict(
            lambda: version_history.VersionHistory(service_versions.RETENTION_S)
        )
        self._outdated: set[str] = set()
        self._running: set[str] = set()
        # Row version that the last write without an answer expects.
        self._uncertain_version_by_service: dict[str, int] = {}
        self._known_since: dict[str, float] = {}
        self._contact_at = clock.uptime()
        self._may_remove = False

    def configure(self, services: frozenset[str]) -> None:
        """Apply which services have resumable routes.

        Args:
            services: Names of the services.
        """
        # The rows of other services are not kept up to date.
        for added in services - self._services:
            self._usable_by_service.pop(added, None)
            self._outdated.add(added)
        self._services = services
        for service in services:
            self._start(service)

    def add(self, service: str, version: str) -> None:
        """Record an upstream that was added.

        Args:
            service: Its service.
            version: Version of its software.
        """
        self._history_by_service[service].add(version)
        self._known_since.setdefault(service, clock.uptime())
        self._start(service)

    def remove(self, service: str, version: str) -> None:
        """Record an upstream that was removed.

        Args:
            service: Its service.
            version: Version of its software.
        """
        history = self._history_by_service[service]
        history.remove(version, clock.now())
        if version not in history.present:
            self._usable_by_service[service].discard(version)

    def may_use(self, service: str, version: str) -> bool:
        """Return whether upstreams of a version may be used.

        Args:
            service: Their service.
            version: Version of their software.
        """
        return (
            service not in self._services
            or version in self._usable_by_service[service]
        )

    def possible(self, service: str) -> frozenset[str]:
        """Return the versions at which a stream may have begun.

        Args:
            service: The service.
        """
        found = self._history_by_service[service].recent(clock.now())
        view = self._view(service)
        return found if view is None else found | view.possible

    def is_complete(self, service: str) -> bool:
        """Return whether ``possible`` is known to lack no version.

        Versions that other hosts have added since the row was read may be
        missing.

        Args:
            service: The service.
        """
        view = self._view(service)
        return view is not None and view.is_complete

    def knows_all(self, service: str) -> bool:
        """Return whether this host has known a service long enough.

        Args:
            service: The service.
        """
        now = clock.uptime()
        known_since = self._known_since.get(service, now)
        return now >= known_since + service_versions.RETENTION_S

    def read(self, service: str) -> service_versions.StoreView:
        """Read the row of a service.

        Args:
            service: The service.

        Raises:
            errors.PlatformError: The row could not be read.
        """
        page = self._client.read(
            version_rows.TABLE, service, f'{service}\0', limit=1
        )
        if page.store_time_s is None:
            raise errors.UnavailableError(
                'the answer names no time',
                step=f'read {version_rows.TABLE}',
                peer='store',
            )
        era = page.era or 0
        self.era = max(self.era, era)
        row = page.rows[0] if page.rows else None
        return self._to_view(row, era, page.store_time_s)

    def maintain(self, feed: Feed, is_leader: Callable[[], bool]) -> None:
        """Keep the rows up to date until the task is killed.

        Args:
            feed: Feed of the upstreams.
            is_leader: Returns whether this host is the leader.
        """
        was_leader = False
        while True:
            is_known = feed.progress() is not None
            self._record_contact(is_known=is_known)
            self._may_remove = is_known and is_leader()
            self._follow_era(feed.era)
            if self._may_remove and not was_leader:
                self._outdated |= self._services
            was_leader = self._may_remove
            for service in self._services:
                self._start(service)
            clock.sleep(MAINTENANCE_INTERVAL_S)

    def _follow_era(self, era: int) -> None:
        """Have all rows written again after a restoration of the store."""
        is_first = not self._view_by_service
        self.era = max(self.era, era)
        if self.era > self._followed_era:
            self._followed_era = self.era
            self._outdated |= self._services
            if not is_first:
                self.on_restored()

    def _record_contact(self, *, is_known: bool) -> None:
        """Record whether this host follows the upstreams.

        Args:
            is_known: Whether it does.
        """
        now = clock.uptime()
        if not is_known:
            return
        if now - self._contact_at > MAX_BLIND_S:
            self._known_since = dict.fromkeys(self._known_since, now)
        self._contact_at = now

    def _start(self, service: str) -> None:
        """Start the task that records a service, if that is needed."""
        is_running = service in self._running
        if not is_running and self._needs_recording(service):
            self._running.add(service)
            eventlet.spawn_n(self._record, service)

    def _needs_recording(self, service: str) -> bool:
        if service not in self._services:
            return False
        known = self._known(service)
        if known.present - self._usable_by_service[service]:
            return True
        view = self._view(service)
        if view is None:
            return bool(known.present)
        if service in self._outdated or self._may_have_changed(service, view):
            return True
        return service_versions.update(view, known) != view.versions

    def _may_have_changed(
        self, service: str, view: service_versions.StoreView
    ) -> bool:
        """Return whether other hosts may know what this host lacks."""
        age_s = clock.uptime() - self._read_at_by_service[service]
        recent = self._history_by_service[service].recent(clock.now())
        is_puzzling = not view.is_complete or bool(view.possible - recent)
        return is_puzzling and age_s >= REFRESH_S

    def _record(self, service: str) -> None:
        try:
            self._record_until_known(service)
        finally:
            self._running.discard(service)

    def _record_until_known(self, service: str) -> None:
        retry_s = FIRST_RETRY_S
        while self._needs_recording(service):
            try:
                self._synchronize(service)
            except errors.PlatformError as error:
                self._log.write(
                    gateway_events.DependencyLost(
                        f'store/{version_rows.TABLE}', str(error)
                    )
                )
                clock.sleep(retry_s * random.uniform(1, 1 + JITTER_SHARE))
                retry_s = min(2 * retry_s, MAX_RETRY_S)

    def _synchronize(self, service: str) -> None:
        """Read the row of a service, and write it if it lacks something.

        Raises:
            errors.PlatformError: The row could not be read or written.
        """
        self._outdated.discard(service)
        try:
            view = self.read(service)
            wanted = service_versions.update(view, self._known(service))
            # A write without an answer may be carried out later. Its condition
            # fails only once the row has a new version.
            is_uncertain = view.row_version == (
                self._uncertain_version_by_service.get(service)
            )
            if wanted is not None and (is_uncertain or wanted != view.versions):
                view = self._write(service, view, wanted)
        except errors.PlatformError:
            self._outdated.add(service)
            raise
        self._adopt(service, view)

    def _write(
        self,
        service: str,
        view: service_versions.StoreView,
        wanted: version_rows.ServiceVersions,
    ) -> service_versions.StoreView:
        """Write a row; return the one of another host if that was faster."""
        write = version_rows.encode(service, wanted, view.row_version)
        try:
            row_version = self._client.transact([write])
        except errors.UncertainWriteError:
            self._uncertain_version_by_service[service] = view.row_version
            raise
        except rows.RowConflictError as conflict:
            self._uncertain_version_by_service.pop(service, None)
            found = next(iter(conflict.rows), None)
            return self._to_view(found, view.era, view.store_time_s)
        self._uncertain_version_by_service.pop(service, None)
        self._log.write(
            events.VersionsRecorded(
                service,
                ','.join(sorted(wanted.gone_s_by_version)),
                sum(
                    gone_s is not None
                    for gone_s in wanted.gone_s_by_version.values()
                ),
                wanted.era,
                wanted.complete_from_s <= view.store_time_s,
                row_version,
            )
        )
        return dataclasses.replace(
            view, versions=wanted, row_version=row_version, is_malformed=False
        )

    def _adopt(self, service: str, view: service_versions.StoreView) -> None:
        self._view_by_service[service] = view
        self._read_at_by_service[service] = clock.uptime()
        present = self._history_by_service[service].present
        self._usable_by_service[service] |= present & view.serving
        self.on_recorded(service)

    def _view(self, service: str) -> service_versions.StoreView | None:
        """Return the last view of a service, with the time gone on."""
        view = self._view_by_service.get(service)
        if view is None:
            return None
        age_s = clock.uptime() - self._read_at_by_service[service]
        return dataclasses.replace(view, store_time_s=view.store_time_s + age_s)

    def _known(self, service: str) -> service_versions.HostView:
        history = self._history_by_service[service]
        return service_versions.HostView(
            history.present,
            history.recent(clock.now()),
            is_whole=self.knows_all(service),
            may_remove=self._may_remove,
        )

    def _to_view(
        self, row: rows.StoredRow | None, era: int, store_time_s: float
    ) -> service_versions.StoreView:
        if row is None:
            return service_versions.StoreView(None, 0, era, store_time_s)
        try:
            versions = version_rows.decode(row)
        except errors.SetupError as error:
            self._log.write(
                gateway_events.EntryIgnored(row.key, error.reason, row.version)
            )
            return service_versions.StoreView(
                None, row.version, era, store_time_s, is_malformed=True
            )
        return service_versions.StoreView(
            versions, row.version, era, store_time_s
        )


def _ignore_service(service: str) -> None:
    """Ignore that a service was recorded."""


def _ignore() -> None:
    """Ignore a restoration."""
