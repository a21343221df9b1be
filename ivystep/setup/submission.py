"""Submits a setup document as one atomic change.

The changed objects are stored first. One transaction then writes the manifest,
the audit record and the outcome under the submission id. Every accepted change
therefore has an audit record, and if the transaction fails, the earlier version
stays in force.
"""

import dataclasses

from ivystep.core import errors, ids
from ivystep.platform import objects, table
from ivystep.runtime import clock, logs
from ivystep.setup import (
    difference,
    document,
    history,
    index,
    records,
    snapshot,
)

READ_BACK_ATTEMPTS = 4
READ_BACK_PAUSE_S = 0.5

log = logs.get('setup')


class StaleBaseError(errors.ConflictError):
    """Another change was accepted since the base version.

    Attributes:
        version: Version in force.
        changes: Differences between the base version and that version.
    """

    def __init__(
        self, base: int, version: int, changes: list[difference.Change]
    ) -> None:
        super().__init__(
            f'the change is based on version {base}, but version {version} '
            f'is in force; nothing was changed',
            step='submit',
        )
        self.version = version
        self.changes = changes


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitResult:
    """An accepted submission.

    Attributes:
        version: Version that the submission created.
        submission_id: Id of the submission.
        is_resolved: Whether the answer to the write was lost and the outcome
            was determined by reading back.
        is_repeated: Whether an earlier submission with this id had already
            been accepted.
    """

    version: int
    submission_id: str
    is_resolved: bool = False
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingSubmission:
    """A submission whose outcome has not been written.

    Attributes:
        record: The record to write.
        row: Row that holds the outcome for this submission id, as it was
            read; None if there is none.
    """

    record: records.ChangeRecord
    row: table.Row | None = None

    @property
    def row_version(self) -> int:
        """Version of the row; 0 if there is none."""
        return self.row.version if self.row else 0


class Submitter:
    """Submits new versions of the setup.

    Args:
        rows: The table service.
        store: The object store.
    """

    def __init__(self, rows: table.Table, store: objects.Objects) -> None:
        self._rows = rows
        self._objects = store
        self._history = history.History(rows, store)

    def submit(
        self,
        source: document.Document,
        base_version: int,
        operator: str,
        submission_id: str = '',
    ) -> SubmitResult:
        """Put a document in force if the base version is still in force.

        Args:
            source: The validated document.
            base_version: Version that the operator started from; 0 if none.
            operator: Name of the operator, for the audit trail.
            submission_id: Id of an earlier attempt whose outcome is unknown;
                empty for a new submission.

        Returns:
            The accepted submission.

        Raises:
            StaleBaseError: Another change was accepted first.
            errors.SetupError: The id was used for another document.
            errors.UnavailableError: Nothing was changed.
            errors.UncertainWriteError: The outcome is not known yet; the
                message has the submission id with which to query it.
        """
        submitted = snapshot.build(source.common, source.accounts)
        pending = _PendingSubmission(
            records.ChangeRecord(
                submission_id=submission_id or ids.new_id('sub'),
                operator=operator,
                wall_time=clock.wall_time(),
                base_version=base_version,
                version=base_version + 1,
                root=submitted.root.digest,
                outcome='accepted',
            )
        )
        if submission_id:
            row = self._rows.get(records.submission_key(submission_id))
            if row and _is_accepted(row, pending):
                return _repeated_result(row)
            pending = _PendingSubmission(pending.record, row)
        return self._submit(submitted, pending)

    def record_refusal(
        self, operator: str, base_version: int, reason: str
    ) -> None:
        """Record a document that was refused without being submitted.

        A platform failure is only logged, since the setup is unchanged anyway.

        Args:
            operator: Name of the operator who submitted.
            base_version: Version that the operator started from.
            reason: Why the document was refused.
        """
        record = records.ChangeRecord(
            submission_id=ids.new_id('sub'),
            operator=operator,
            wall_time=clock.wall_time(),
            base_version=base_version,
            outcome='refused',
            reason=reason,
        )
        self._try_record(_PendingSubmission(record))

    def _submit(
        self, submitted: snapshot.Snapshot, pending: _PendingSubmission
    ) -> SubmitResult:
        base = pending.record.base_version
        if self._history.newest_version() != base:
            return self._resolve_conflict(submitted, pending)
        earlier = self._history.read_version(base, submitted)
        changes = difference.compare_snapshots(earlier, submitted)
        self._upload(earlier, submitted)
        pending = _PendingSubmission(
            pending.record.model_copy(
                update={
                    'changes': _format_changes(changes),
                    'change_count': len(changes),
                }
            ),
            pending.row,
        )
        return self._write(submitted, pending)

    def _upload(
        self, earlier: snapshot.Snapshot, submitted: snapshot.Snapshot
    ) -> None:
        present = {stored.digest for stored in earlier.objects()}
        try:
            for stored in submitted.objects():
                if stored.digest not in present:
                    self._objects.put(stored.body)
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f'a section could not be stored, nothing was changed: '
                f'{error.reason}',
                step='submit',
                peer=error.peer,
            ) from error

    def _write(
        self, submitted: snapshot.Snapshot, pending: _PendingSubmission
    ) -> SubmitResult:
        record = pending.record
        content = record.model_dump(mode='json')
        manifest = index.Manifest(
            root=record.root, submission_id=record.submission_id
        )
        key = records.submission_key(record.submission_id)
        puts = (
            table.Put(
                records.MANIFEST_KEY,
                manifest.model_dump(mode='json'),
                record.base_version,
            ),
            table.Put(records.audit_key(record.version), content, 0),
            table.Put.replacing(pending.row, key, content),
        )
        try:
            self._rows.transact(puts)
        except errors.UncertainWriteError:
            return self._read_back(pending)
        except errors.ConflictError:
            return self._resolve_conflict(submitted, pending)
        return SubmitResult(record.version, record.submission_id)

    def _read_back(self, pending: _PendingSubmission) -> SubmitResult:
        """Determine the outcome of a write whose answer was lost.

        A write that has not taken effect may still be delayed. Writing a
        ``not_applied`` record under the submission id makes the outcome final:
        the write expects the earlier version of that row and can no longer
        succeed.
        """
        key = records.submission_key(pending.record.submission_id)
        for attempt in range(READ_BACK_ATTEMPTS):
            clock.sleep(READ_BACK_PAUSE_S * attempt)
            try:
                row = self._read_final_outcome(key, pending)
            except errors.PlatformError as error:
                log.warning(
                    'Outcome of the submission is not known yet: %s.', error
                )
                continue
            if _is_accepted(row, pending):
                return SubmitResult(
                    pending.record.version,
                    pending.record.submission_id,
                    is_resolved=True,
                )
            raise errors.UnavailableError(
                'the write was lost; nothing was changed and the change may '
                'be submitted again',
                step='submit',
            )
        raise errors.UncertainWriteError(
            f'the outcome is not known yet. Ask later with "ivystep history '
            f'--submission {pending.record.submission_id}", or submit the same '
            f'document with "--submission {pending.record.submission_id}": it '
            f'is applied once at most',
            step='submit',
        )

    def _read_final_outcome(
        self, key: str, pending: _PendingSubmission
    ) -> table.Row:
        """Return the final outcome, cancelling the write if there is none."""
        row = self._rows.get(key)
        if row is None or row.version == pending.row_version:
            self._cancel(pending)
            row = self._rows.get(key)
        if row is None:
            raise errors.UnavailableError('the outcome was not found')
        return row

    def _cancel(self, pending: _PendingSubmission) -> None:
        cancelled = pending.record.model_copy(
            update={
                'outcome': 'not_applied',
                'version': 0,
                'reason': 'The write to the table service was lost.',
            }
        )
        try:
            self._write_outcome(_PendingSubmission(cancelled, pending.row))
        except errors.ConflictError:
            log.info(
                'The delayed write of submission %s took effect.',
                cancelled.submission_id,
            )

    def _resolve_conflict(
        self, submitted: snapshot.Snapshot, pending: _PendingSubmission
    ) -> SubmitResult:
        """Return the result of an earlier write with this id, or refuse."""
        key = records.submission_key(pending.record.submission_id)
        row = self._rows.get(key)
        if row and _is_accepted(row, pending):
            return _repeated_result(row)
        raise self._refuse_stale(submitted, pending)

    def _refuse_stale(
        self, submitted: snapshot.Snapshot, pending: _PendingSubmission
    ) -> StaleBaseError:
        base = pending.record.base_version
        newest = self._history.newest_version()
        error = StaleBaseError(base, newest, [])
        if base <= newest:
            in_force = self._history.read_version(newest, submitted)
            before = self._history.read_version(base, in_force)
            error.changes = difference.compare_snapshots(before, in_force)
        refused = pending.record.model_copy(
            update={
                'outcome': 'refused',
                'version': 0,
                'reason': f'Version {newest} was accepted first.',
            }
        )
        self._try_record(_PendingSubmission(refused, pending.row))
        return error

    def _try_record(self, pending: _PendingSubmission) -> None:
        try:
            self._write_outcome(pending)
        except errors.PlatformError as error:
            log.warning('Refusal could not be recorded: %s.', error)

    def _write_outcome(self, pending: _PendingSubmission) -> None:
        record = pending.record
        content = record.model_dump(mode='json')
        refused = records.refused_key(record.wall_time, record.submission_id)
        self._rows.transact(
            (
                table.Put(refused, content, 0),
                table.Put.replacing(
                    pending.row,
                    records.submission_key(record.submission_id),
                    content,
                ),
            )
        )


def _format_changes(changes: list[difference.Change]) -> tuple[str, ...]:
    first = changes[: records.MAX_RECORDED_CHANGES]
    return tuple(str(change) for change in first)


def _is_accepted(row: table.Row, pending: _PendingSubmission) -> bool:
    record = records.parse(row)
    if record.outcome != 'accepted':
        return False
    if record.root != pending.record.root:
        raise errors.SetupError(
            f'submission {record.submission_id} was for another document; it '
            f'created version {record.version}',
            step='submit',
        )
    return True


def _repeated_result(row: table.Row) -> SubmitResult:
    record = records.parse(row)
    return SubmitResult(record.version, record.submission_id, is_repeated=True)
