"""Keys and records of the setup in the table service.

- ``setup/current``: the manifest; the row version is the setup version.
- ``audit/<version>``: the record of an accepted change.
- ``refused/<time>-<submission id>``: the record of a refused submission.
- ``submission/<submission id>``: the outcome of a submission.
"""

import typing

import pydantic

from ivystep.core import errors, units
from ivystep.platform import table
from ivystep.setup import document

MANIFEST_KEY = 'setup/current'
AUDIT_PREFIX = 'audit/'
REFUSED_PREFIX = 'refused/'
SUBMISSION_PREFIX = 'submission/'
VERSION_DIGITS = 12
TIME_DIGITS = 15
MAX_RECORDED_CHANGES = 200

Outcome = typing.Literal['accepted', 'refused', 'not_applied']


class ChangeRecord(document.StrictModel):
    """Record of a submission and its outcome.

    Attributes:
        submission_id: Id of the submission.
        operator: Name of the operator who submitted it.
        wall_time: Time of the submission in seconds since the epoch.
        base_version: Version that the operator started from.
        version: Version that the submission created; 0 if it was not accepted.
        root: Digest of the root object of the submitted setup, empty if the
            document was invalid.
        outcome: Whether it was accepted, refused or not applied.
        reason: Why it was not accepted.
        changes: The first differences from the base version, one line each.
        change_count: Number of all differences from the base version.
    """

    submission_id: str
    operator: str
    wall_time: float
    base_version: int
    version: int = 0
    root: str = ''
    outcome: Outcome
    reason: str = ''
    changes: tuple[str, ...] = ()
    change_count: int = 0


def audit_key(version: int) -> str:
    """Return the key of the record of an accepted change."""
    return f'{AUDIT_PREFIX}{version:0{VERSION_DIGITS}d}'


def refused_key(wall_time: float, submission_id: str = '') -> str:
    """Return the key of the record of a refusal; the keys sort by time."""
    milliseconds = int(wall_time * units.MS_PER_S)
    return f'{REFUSED_PREFIX}{milliseconds:0{TIME_DIGITS}d}-{submission_id}'


def submission_key(submission_id: str) -> str:
    """Return the key of the outcome of a submission."""
    return f'{SUBMISSION_PREFIX}{submission_id}'


def parse(row: table.Row) -> ChangeRecord:
    """Parse the record in a row.

    Raises:
        errors.SetupError: The row is not a valid record.
    """
    try:
        return ChangeRecord.model_validate(row.value)
    except pydantic.ValidationError as error:
        raise errors.SetupError(
            f'row {row.key} is not a valid change record', step='read history'
        ) from error
