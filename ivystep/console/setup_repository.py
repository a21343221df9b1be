"""Reads setup versions from the platform and submits drafts to it."""

from ivystep.console import drafts
from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.setup import (
    difference,
    document,
    history,
    records,
    snapshot,
    submission,
)

HISTORY_LIMIT = 100


class SetupRepository:
    """Reads versions of the setup, caching the newest, and submits drafts.

    Args:
        rows: Client of the table service.
        store: Client of the object store.
    """

    def __init__(self, rows: table.Table, store: objects.Objects) -> None:
        self._history = history.History(rows, store)
        self._submitter = submission.Submitter(rows, store)
        self._version = 0
        self._snapshot: snapshot.Snapshot | None = None

    def newest_version(self) -> int:
        """Return the setup version in force.

        Raises:
            errors.PlatformError: The platform failed, or returned an older
                version than this console has read before.
        """
        version = self._history.newest_version()
        if version < self._version:
            raise errors.UnavailableError(
                f'the table service holds version {version}, but version '
                f'{self._version} was accepted before'
            )
        return version

    def new_draft(self) -> drafts.Draft:
        """Return a draft based on the version in force."""
        version = self.newest_version()
        return drafts.Draft(version, self.read(version))

    def read(self, version: int) -> document.Document:
        """Read the document of a setup version.

        Raises:
            errors.SetupError: The version does not exist.
            errors.PlatformError: The platform failed.
        """
        version_snapshot = self._history.read_version(version, self._snapshot)
        if version >= self._version:
            self._version = version
            self._snapshot = version_snapshot
        return version_snapshot.read_document()

    def changes_since(self, version: int) -> list[difference.Change]:
        """Return the changes from a setup version to the one in force."""
        newest = self.newest_version()
        if newest == version:
            return []
        return difference.compare_documents(
            self.read(version), self.read(newest)
        )

    def submit(
        self, draft: drafts.Draft, operator: str
    ) -> submission.SubmitResult:
        """Submit a draft; see ``submission.Submitter.submit``.

        The draft keeps its submission id until it is edited. Submitting it
        again after a lost answer therefore applies it at most once.
        """
        return self._submitter.submit(
            draft.document, draft.base_version, operator, draft.submission_id
        )

    def recent(self) -> list[records.ChangeRecord]:
        """Return the newest records of the audit trail, newest first."""
        return self._history.recent(HISTORY_LIMIT)
