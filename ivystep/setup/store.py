"""Holds the setup version in force at an entry and replaces it by newer ones.

An entry polls the manifest; sidecars and other entries also report versions to
it. It only ever moves to a higher version. While it knows of a higher version
than the loaded one, it refuses new requests, so that no request is served with
a setup that the entry knows to be outdated.
"""

import json
import math
import typing
from collections.abc import Mapping

import eventlet
from eventlet import event, semaphore

from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.runtime import clock, logs
from ivystep.setup import (
    compiled,
    document,
    index,
    loader,
    records,
    snapshot,
    submission,
)

# Loading a new version usually takes a few milliseconds. Requests that arrive
# meanwhile wait up to this time before they are refused.
LOAD_WAIT_S = 1.0
RETRY_AFTER_S = 2.0
MANIFEST_NAME = 'manifest'

log = logs.get('setup')


class SetupStore:
    """The setup in force in this process.

    Args:
        rows: The table service.
        store: The object store.
    """

    def __init__(self, rows: table.Table, store: objects.Objects) -> None:
        self._rows = rows
        self._objects = store
        self._loaded: loader.LoadedVersion | None = None
        self._known_version = 0
        self._stored_version = 0
        self._confirmed_at = clock.uptime()
        self._read_due_at = math.inf
        self._loaded_event = event.Event()
        self._announced = event.Event()
        self._refresh_lock = semaphore.Semaphore(1)

    @property
    def latest(self) -> compiled.CompiledSetup | None:
        """The highest version loaded so far; None if none was loaded."""
        return self._loaded.setup if self._loaded else None

    @property
    def current(self) -> compiled.CompiledSetup | None:
        """The setup for new requests; None if none was loaded.

        Raises:
            errors.RefusedError: With code ``configuration_behind`` if a higher
                version is known but not loaded.
        """
        if self.is_behind and self._loaded:
            raise errors.RefusedError(
                'configuration_behind',
                f'This entry knows of setup version {self._known_version} '
                f'but has not read it yet.',
                status=503,
                retry_after_s=RETRY_AFTER_S,
            )
        return self.latest

    @property
    def is_behind(self) -> bool:
        """Whether a higher version than the loaded one is known."""
        return self._known_version > self._version

    @property
    def is_read_overdue(self) -> bool:
        """Whether the setup has not been read for longer than expected.

        This process was paused then, or its machine suspended, and may not
        have learned of a higher version.
        """
        return clock.uptime() > self._read_due_at

    @property
    def known_version(self) -> int:
        """The highest version known to exist."""
        return max(self._known_version, self._version)

    @property
    def age_s(self) -> float:
        """Seconds since the loaded version was certainly the newest.

        They count from the time at which the last read was sent, because its
        answer may have been processed late.
        """
        return clock.uptime() - self._confirmed_at

    def current_for_request(self) -> compiled.CompiledSetup:
        """Return the setup for a new request, waiting briefly if outdated.

        After a pause of this process, it may be outdated as well. If the
        setup cannot be read then, the loaded one stays in force.

        Raises:
            errors.RefusedError: With code ``no_setup`` or
                ``configuration_behind``; the request was not run.
        """
        deadline = clock.now() + LOAD_WAIT_S
        if self.is_read_overdue:
            self._wake_poller()
        while self._may_be_outdated and clock.now() < deadline:
            loaded_event = self._loaded_event
            with eventlet.Timeout(deadline - clock.now(), exception=False):
                loaded_event.wait()
        setup = self.current
        if setup is None:
            raise errors.RefusedError(
                'no_setup',
                'This entry has not read the setup yet.',
                status=503,
                retry_after_s=RETRY_AFTER_S,
            )
        return setup

    def problems(self, poll_interval_s: float) -> list[str]:
        """Return one sentence per current problem, for operators.

        Args:
            poll_interval_s: Time between reads of the manifest.
        """
        messages = []
        if self._loaded is None:
            messages.append('The setup has not been read yet.')
        elif self.is_behind:
            messages.append(
                f'Setup version {self._known_version} is known but only '
                f'version {self._version} is loaded; requests are refused.'
            )
        if self.age_s > 5 * poll_interval_s:
            messages.append(
                f'The setup has not been confirmed for {self.age_s:.0f} s; '
                f'the table service or the object store does not answer.'
            )
        if self._stored_version < self._version:
            messages.append(
                f'The table service holds version {self._stored_version}, '
                f'which is older than version {self._version} in force.'
            )
        return messages

    def announce_version(self, version: int) -> bool:
        """Record that a version exists, as reported by another process.

        Args:
            version: A version that a sidecar or another entry knows.

        Returns:
            Whether it is higher than all known versions. In that case, tasks
            in ``wait_for_announcement`` are woken.
        """
        if version <= self.known_version:
            return False
        self._known_version = version
        self._wake_poller()
        return True

    def wait_for_announcement(self, timeout_s: float) -> bool:
        """Wait until a higher version is reported or a read is overdue.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            Whether either happened before the time-out.
        """
        announced = self._announced
        with eventlet.Timeout(timeout_s, exception=False):
            announced.wait()
        return announced.ready()

    def expect_read(self, due_at: float) -> None:
        """Record that a read has ended, and by when the next one ends.

        Args:
            due_at: Uptime in seconds by which the next read ends, unless this
                process is paused.
        """
        self._read_due_at = due_at
        self._wake_requests()

    def refresh(self) -> compiled.CompiledSetup | None:
        """Read the manifest and load the version if it is higher.

        Returns:
            The highest version loaded; None if none was loaded.

        Raises:
            errors.PlatformError: A platform service failed; the loaded
                setup stays in force.
            errors.SetupError: The stored setup is invalid.
        """
        with self._refresh_lock:
            read_at = clock.uptime()
            row = self._rows.get(records.MANIFEST_KEY)
            self._record_stored_version(row.version if row else 0)
            if row is not None and row.version > self._version:
                manifest = index.parse_manifest(row.value)
                self._load(row.version, manifest, self._objects.get)
            if not self.is_behind:
                self._confirmed_at = read_at
        return self.latest

    def submit(
        self, source: document.Document, base_version: int, operator: str
    ) -> submission.SubmitResult:
        """Submit a document; see ``submission.Submitter.submit``."""
        submitter = submission.Submitter(self._rows, self._objects)
        return submitter.submit(source, base_version, operator)

    def export(self) -> tuple[int, dict[str, bytes]]:
        """Return the loaded version in the form that is sent to a peer.

        Returns:
            The version and its objects by digest, with the manifest under the
            key ``manifest``. Version 0 means that none is loaded.
        """
        if self._loaded is None:
            return 0, {}
        manifest = self._loaded.manifest.model_dump_json().encode()
        sections = {
            stored.digest: stored.body
            for stored in self._loaded.snapshot.objects()
        }
        return self._loaded.setup.version, {MANIFEST_NAME: manifest, **sections}

    def import_version(
        self, version: int, sections: Mapping[str, bytes]
    ) -> bool:
        """Load a version that a peer has exported, if it is higher.

        Args:
            version: Version that the peer has exported.
            sections: Objects that ``export`` of the peer returned.

        Returns:
            Whether it was loaded.

        Raises:
            errors.SetupError: The objects are incomplete, damaged or invalid.
        """
        with self._refresh_lock:
            if version <= self._version:
                return False
            self._known_version = max(self._known_version, version)
            manifest = index.parse_manifest(
                _parse_json(sections.get(MANIFEST_NAME, b''))
            )
            self._load(version, manifest, loader.ReceivedObjects(sections).get)
        return True

    @property
    def _may_be_outdated(self) -> bool:
        return self.is_behind or self.is_read_overdue

    @property
    def _version(self) -> int:
        return self._loaded.setup.version if self._loaded else 0

    def _record_stored_version(self, version: int) -> None:
        if version < self._version <= self._stored_version:
            log.error(
                'The table service returned the older version %d; version %d '
                'stays in force.',
                version,
                self._version,
            )
        self._stored_version = version
        self._known_version = max(self._known_version, version)

    def _load(
        self,
        version: int,
        manifest: index.Manifest,
        fetch: snapshot.Fetch,
    ) -> None:
        loaded = loader.load(version, manifest, fetch, self._loaded)
        self._loaded = loaded
        self._stored_version = max(self._stored_version, version)
        self._wake_requests()
        log.info('Setup version %d is in force.', version)

    def _wake_requests(self) -> None:
        loaded_event = self._loaded_event
        self._loaded_event = event.Event()
        loaded_event.send()

    def _wake_poller(self) -> None:
        announced = self._announced
        self._announced = event.Event()
        announced.send()


def _parse_json(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None
