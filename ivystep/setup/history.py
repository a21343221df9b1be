"""Reads the audit trail and earlier versions of the setup."""

import itertools

from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.setup import document, index, records, snapshot

MAX_REFUSALS = 500


class History:
    """The audit trail in the table service.

    Args:
        rows: The table service.
        store: The object store.
    """

    def __init__(self, rows: table.Table, store: objects.Objects) -> None:
        self._rows = rows
        self._objects = store

    def recent(self, limit: int) -> list[records.ChangeRecord]:
        """Return accepted and refused submissions, newest first.

        Args:
            limit: Number of versions to go back from the newest.

        Raises:
            errors.UnavailableError: The table service failed.
            errors.SetupError: A row is not a valid record.
        """
        manifest = self._rows.get(records.MANIFEST_KEY)
        newest = manifest.version if manifest else 0
        oldest = max(0, newest - limit)
        accepted = [
            records.parse(row)
            for row in self._rows.scan(
                records.AUDIT_PREFIX, records.audit_key(oldest)
            )
        ]
        since = accepted[0].wall_time if accepted and oldest else 0
        refused = self._rows.scan(
            records.REFUSED_PREFIX, records.refused_key(since)
        )
        refusals = [
            records.parse(row)
            for row in itertools.islice(refused, MAX_REFUSALS)
        ]
        return sorted(
            (*accepted, *refusals),
            key=lambda record: (record.wall_time, record.version),
            reverse=True,
        )

    def outcome(self, submission_id: str) -> records.ChangeRecord | None:
        """Return the outcome of a submission.

        Args:
            submission_id: Id of the submission.

        Returns:
            The record, or None if there is none: the submission has not been
            applied, but a delayed write of it may still take effect.

        Raises:
            errors.UnavailableError: The table service failed.
        """
        row = self._rows.get(records.submission_key(submission_id))
        return records.parse(row) if row else None

    def record(self, version: int) -> records.ChangeRecord:
        """Return the record of an accepted version.

        Raises:
            errors.SetupError: There is no such version.
            errors.UnavailableError: The table service failed.
        """
        row = self._rows.get(records.audit_key(version))
        if row is None:
            raise errors.SetupError(f'there is no version {version}')
        return records.parse(row)

    def read_version(
        self, version: int, previous: snapshot.Snapshot | None = None
    ) -> snapshot.Snapshot:
        """Read a version of the setup.

        Args:
            version: The version; 0 is the empty setup.
            previous: A snapshot whose equal objects are not read again.

        Raises:
            errors.SetupError: There is no such version, or it is invalid.
            errors.PlatformError: A platform service failed.
        """
        if version == 0:
            return snapshot.build(document.Common(), ())
        root = self.record(version).root
        return snapshot.read(root, self._objects.get, previous)

    def newest_version(self) -> int:
        """Return the version in force, 0 before the first submission.

        Raises:
            errors.UnavailableError: The table service failed.
            errors.SetupError: The manifest is invalid.
        """
        row = self._rows.get(records.MANIFEST_KEY)
        if row is None:
            return 0
        index.parse_manifest(row.value)
        return row.version
