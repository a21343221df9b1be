"""Submits a setup document as one change.

Changed objects are stored first. Then one transaction writes the manifest,
the audit record and the outcome under the submission id. An accepted change
without its audit record is therefore impossible, and a change whose
transaction fails leaves the earlier version in force.
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

READ_BACK_ROUNDS = 4
READ_BACK_PAUSE_S = 0.5

log = logs.get('setup')


class StaleBaseError(errors.ConflictError):
    """Another change was accepted first.

    Attributes:
        version: Version that is now in force.
        changes: What was changed since the operator's base version.
    """

    def __init__(
        self, base: int, version: int, changes: list[difference.Change]
    ) -> None:
        super().__init__(
            f'the change was drawn from version {base}, but version {version} '
            f'is in force; nothing was changed',
            step='submit',
        )
        self.version = version
        self.changes = changes


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitResult:
    """An accepted submission.

    Attributes:
        version: Version that the submission became.
        submission_id: Id of the submission.
        is_resolved: Whether the write's answer was lost and the outcome was
            established by reading back.
        is_repeated: Whether an earlier submission with this id had already
            been applied.
    """

    version: int
    submission_id: str
    is_resolved: bool = False
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Draft:
    """A submission on its way.

    Attributes:
        record: The record to write if it is accepted.
        row_version: Version of the row with the outcome of this submission
            id, 0 if there is none.
    """

    record: records.ChangeRecord
    row_version: int


class Submitter:
    """Writes new versions of the setup.

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
        """Make a document the setup, if the base version is still in force.

        Args:
            source: The validated document.
            base_version: Version that the operator started from; 0 if none.
            operator: Who submits, for the audit trail.
            submission_id: Id of an earlier try whose outcome is not known;
                empty for a new submission.

        Returns:
            The new version.

        Raises:
            StaleBaseError: Another change was accepted first.
            errors.SetupError: The id belongs to another document.
            errors.UnavailableError: Nothing was changed.
            errors.UncertainWriteError: The outcome is not known yet; the
                message names the submission id to ask for.
        """
        wanted = snapshot.build(source.common, source.accounts)
        draft = _Draft(
            records.ChangeRecord(
                submission_id=submission_id or ids.new_id('sub'),
                operator=operator,
                wall_time=clock.wall_time(),
                base_version=base_version,
                version=base_version + 1,
                root=wanted.root.digest,
                outcome='accepted',
            ),
            row_version=0,
        )
        if submission_id:
            row = self._rows.get(records.submission_key(submission_id))
            if row and _is_accepted(row, draft):
                return _repeated(row)
            draft = _Draft(draft.record, row.version if row else 0)
        return self._submit(wanted, draft)

    def record_refusal(
        self, operator: str, base_version: int, reason: str
    ) -> None:
        """Record a document that was refused before it was submitted.

        A platform failure is logged only: nothing was changed either way.

        Args:
            operator: Who submitted.
            base_version: Version that the operator started from.
            reason: Why it was refused.
        """
        record = records.ChangeRecord(
            submission_id=ids.new_id('sub'),
            operator=operator,
            wall_time=clock.wall_time(),
            base_version=base_version,
            outcome='refused',
            reason=reason,
        )
        self._record(_Draft(record, 0))

    def _submit(self, wanted: snapshot.Snapshot, draft: _Draft) -> SubmitResult:
        base = draft.record.base_version
        if self._history.newest_version() != base:
            return self._lost_race(wanted, draft)
        earlier = self._history.read_version(base, wanted)
        changes = difference.compare_snapshots(earlier, wanted)
        self._upload(earlier, wanted)
        draft = _Draft(
            draft.record.model_copy(
                update={
                    'changes': _first_lines(changes),
                    'change_count': len(changes),
                }
            ),
            draft.row_version,
        )
        return self._write(wanted, draft)

    def _upload(
        self, earlier: snapshot.Snapshot, wanted: snapshot.Snapshot
    ) -> None:
        present = {stored.digest for stored in earlier.objects()}
        try:
            for stored in wanted.objects():
                if stored.digest not in present:
                    self._objects.put(stored.body)
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f'a section could not be stored, nothing was changed: '
                f'{error.reason}',
                step='submit',
                peer=error.peer,
            ) from error

    def _write(self, wanted: snapshot.Snapshot, draft: _Draft) -> SubmitResult:
        record = draft.record
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
            table.Put(key, content, draft.row_version),
        )
        try:
            self._rows.transact(puts)
        except errors.UncertainWriteError:
            return self._read_back(draft)
        except errors.ConflictError:
            return self._lost_race(wanted, draft)
        return SubmitResult(record.version, record.submission_id)

    def _read_back(self, draft: _Draft) -> SubmitResult:
        """Find out what became of a write with a lost answer.

        If the write has not appeared, it may still be on its way. A
        ``not_applied`` record under the submission id settles it: the write
        expects the earlier version of that row and can no longer succeed.
        """
        key = records.submission_key(draft.record.submission_id)
        for attempt in range(READ_BACK_ROUNDS):
            clock.sleep(READ_BACK_PAUSE_S * attempt)
            try:
                row = self._settle(key, draft)
            except errors.PlatformError as error:
                log.warning('Outcome not read yet: %s.', error)
                continue
            if _is_accepted(row, draft):
                return SubmitResult(
                    draft.record.version,
                    draft.record.submission_id,
                    is_resolved=True,
                )
            raise errors.UnavailableError(
                'the write was lost; nothing was changed and the change may '
                'be submitted again',
                step='submit',
            )
        raise errors.UncertainWriteError(
            f'the outcome is not known yet. Ask later with "ivystep history '
            f'--submission {draft.record.submission_id}", or submit the same '
            f'document with "--submission {draft.record.submission_id}": it '
            f'is applied once at most',
            step='submit',
        )

    def _settle(self, key: str, draft: _Draft) -> table.Row:
        """Return the final outcome, written by this or by the lost write."""
        row = self._rows.get(key)
        if row is None or row.version == draft.row_version:
            self._cancel(draft)
            row = self._rows.get(key)
        if row is None:
            raise errors.UnavailableError('the outcome was not found')
        return row

    def _cancel(self, draft: _Draft) -> None:
        cancelled = draft.record.model_copy(
            update={
                'outcome': 'not_applied',
                'version': 0,
                'reason': 'The write to the table service was lost.',
            }
        )
        try:
            self._transact_record(_Draft(cancelled, draft.row_version))
        except errors.ConflictError:
            log.info('The write of %s has appeared.', cancelled.submission_id)

    def _lost_race(
        self, wanted: snapshot.Snapshot, draft: _Draft
    ) -> SubmitResult:
        """Recognise an own earlier write, or refuse the submission."""
        key = records.submission_key(draft.record.submission_id)
        row = self._rows.get(key)
        if row and _is_accepted(row, draft):
            return _repeated(row)
        raise self._refuse_stale(wanted, draft)

    def _refuse_stale(
        self, wanted: snapshot.Snapshot, draft: _Draft
    ) -> StaleBaseError:
        base = draft.record.base_version
        newest = self._history.newest_version()
        error = StaleBaseError(base, newest, [])
        if base <= newest:
            in_force = self._history.read_version(newest, wanted)
            before = self._history.read_version(base, in_force)
            error.changes = difference.compare_snapshots(before, in_force)
        refused = draft.record.model_copy(
            update={
                'outcome': 'refused',
                'version': 0,
                'reason': f'Version {newest} was accepted first.',
            }
        )
        self._record(_Draft(refused, draft.row_version))
        return error

    def _record(self, draft: _Draft) -> None:
        try:
            self._transact_record(draft)
        except errors.PlatformError as error:
            log.warning('Refusal not recorded: %s.', error)

    def _transact_record(self, draft: _Draft) -> None:
        record = draft.record
        content = record.model_dump(mode='json')
        refused = records.refused_key(record.wall_time, record.submission_id)
        self._rows.transact(
            (
                table.Put(refused, content, 0),
                table.Put(
                    records.submission_key(record.submission_id),
                    content,
                    draft.row_version,
                ),
            )
        )


def _first_lines(changes: list[difference.Change]) -> tuple[str, ...]:
    first = changes[: records.MAX_RECORDED_CHANGES]
    return tuple(str(change) for change in first)


def _is_accepted(row: table.Row, draft: _Draft) -> bool:
    record = records.parse(row)
    if record.outcome != 'accepted':
        return False
    if record.root != draft.record.root:
        raise errors.SetupError(
            f'submission {record.submission_id} was another document; it '
            f'became version {record.version}',
            step='submit',
        )
    return True


def _repeated(row: table.Row) -> SubmitResult:
    record = records.parse(row)
    return SubmitResult(record.version, record.submission_id, is_repeated=True)
