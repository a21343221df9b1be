"""Reads and submits the setup.

The manifest row ``setup/current`` names the digest of each section; sections
lie in the object store. A submission stores changed sections first and then
writes manifest and audit record in one transaction, so an accepted change
without its audit record is impossible.
"""

import dataclasses
import json
import typing
from collections.abc import Iterator

import pydantic

from ivystep.core import errors, ids
from ivystep.platform import objects, table
from ivystep.runtime import clock, logs
from ivystep.setup import compiled, document

MANIFEST_KEY = 'setup/current'
AUDIT_PREFIX = 'audit/'
COMMON_SECTION = 'common'
AUDIT_DIGITS = 12

log = logs.get('setup')


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitResult:
    """An accepted submission.

    Attributes:
        version: Version that is now in force.
        resolved: Whether the write's answer was lost and the outcome was
            established by reading back.
    """

    version: int
    resolved: bool


class SetupStore:
    """The setup as kept by the platform, with a local cache of sections."""

    def __init__(self, rows: table.Table, store: objects.Objects) -> None:
        self._rows = rows
        self._objects = store
        self._current: compiled.CompiledSetup | None = None
        self._section_by_digest: dict[str, typing.Any] = {}

    @property
    def current(self) -> compiled.CompiledSetup | None:
        """The highest version read so far; None before the first read."""
        return self._current

    def refresh(self) -> compiled.CompiledSetup | None:
        """Read the manifest and adopt it if it is newer.

        Returns:
            The setup in force; None if none was ever submitted.

        Raises:
            errors.PlatformError: A platform service failed; the current
                setup stays in force.
            errors.SetupError: The stored document is invalid.
        """
        row = self._rows.get(MANIFEST_KEY)
        if row is None:
            return self._current
        if self._current and row.version <= self._current.version:
            return self._current
        candidate = compiled.CompiledSetup.from_document(
            self._read_document(row.value), row.version
        )
        if self._current is None or candidate.version > self._current.version:
            self._current = candidate
            log.info('Setup version %d is in force.', candidate.version)
        return self._current

    def submit(
        self, source: document.Document, base_version: int, operator: str
    ) -> SubmitResult:
        """Make a document the setup, if the base version is still current.

        Args:
            source: The validated document.
            base_version: Version that the operator started from; 0 if none.
            operator: Who submits, for the audit trail.

        Returns:
            The new version.

        Raises:
            errors.ConflictError: Another change was accepted first.
            errors.PlatformError: The platform failed. With
                ``UncertainWriteError`` the outcome is not known yet.
        """
        digest_by_section = {
            name: self._objects.put(_canonical(section))
            for name, section in _sections(source).items()
        }
        submission_id = ids.new_id('sub')
        version = base_version + 1
        record = {
            'submission_id': submission_id,
            'operator': operator,
            'wall_time': clock.wall_time(),
            'base_version': base_version,
            'sections': digest_by_section,
        }
        puts = (
            table.Put(
                MANIFEST_KEY,
                {
                    'sections': digest_by_section,
                    'submission_id': submission_id,
                },
                base_version,
            ),
            table.Put(_audit_key(version), record, 0),
        )
        try:
            self._rows.transact(puts)
        except errors.UncertainWriteError:
            self._resolve(submission_id, version)
            return SubmitResult(version, resolved=True)
        return SubmitResult(version, resolved=False)

    def history(self) -> Iterator[table.Row]:
        """Return the audit records, oldest first.

        Raises:
            errors.UnavailableError: The table service failed.
        """
        return self._rows.scan(AUDIT_PREFIX)

    def version_document(self, version: int) -> document.Document:
        """Read the document of an earlier version.

        Args:
            version: A version in the audit trail.

        Raises:
            errors.SetupError: There is no such version.
            errors.PlatformError: A platform service failed.
        """
        row = self._rows.get(_audit_key(version))
        if row is None:
            raise errors.SetupError(f'there is no version {version}')
        return self._read_document(row.value)

    def _resolve(self, submission_id: str, version: int) -> None:
        """Find out whether a write with a lost answer was applied."""
        try:
            row = self._rows.get(_audit_key(version))
        except errors.UnavailableError as error:
            raise errors.UncertainWriteError(
                'the outcome is not known; read the history before '
                'submitting again',
                step='submit',
                peer=error.peer,
            ) from error
        if row is None:
            raise errors.UncertainWriteError(
                'the change has not appeared yet; read the history before '
                'submitting again',
                step='submit',
            )
        if row.value['submission_id'] != submission_id:
            raise errors.ConflictError(
                f'version {version} was submitted by {row.value["operator"]}',
                step='submit',
            )

    def _read_document(self, manifest: typing.Any) -> document.Document:
        common: dict[str, typing.Any] = {}
        accounts = []
        section_by_digest = {}
        for name, digest in manifest['sections'].items():
            section = self._section_by_digest.get(digest)
            if section is None:
                section = json.loads(self._objects.get(digest))
            section_by_digest[digest] = section
            if name == COMMON_SECTION:
                common = section
            else:
                accounts.append(section)
        self._section_by_digest = section_by_digest
        try:
            return document.Document.model_validate(
                {
                    **common,
                    'accounts': accounts,
                }
            )
        except pydantic.ValidationError as error:
            raise errors.SetupError(str(error), step='read') from error


def _sections(source: document.Document) -> dict[str, typing.Any]:
    whole = source.model_dump(mode='json')
    accounts = whole.pop('accounts')
    sections = {f'account/{part["name"]}': part for part in accounts}
    return {COMMON_SECTION: whole, **sections}


def _canonical(section: typing.Any) -> bytes:
    return json.dumps(section, sort_keys=True, separators=(',', ':')).encode()


def _audit_key(version: int) -> str:
    return f'{AUDIT_PREFIX}{version:0{AUDIT_DIGITS}d}'
