"""Subcommands that read and change the setup."""

import dataclasses
import datetime
import json
import sys
import typing

import cappa

from ivystep.cli import commands, files
from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.settings import ini, models
from ivystep.setup import difference, document, history, records, submission

OperatorName = typing.Annotated[
    str, cappa.Arg(long='--operator', help='Your name, for the audit trail.')
]
SubmissionId = typing.Annotated[
    str,
    cappa.Arg(
        long='--submission',
        help='Id of a submission whose outcome is unknown, to repeat it.',
    ),
]


@dataclasses.dataclass(frozen=True)
class SetupAccess:
    """Reads and writes the setup on the configured platform.

    Attributes:
        history: Versions and audit trail.
        submitter: Writer of new versions.
    """

    history: history.History
    submitter: submission.Submitter

    @classmethod
    def from_config(cls, path: str) -> typing.Self:
        """Return access to the platform that a settings file names."""
        platform = ini.load(path, models.OperatorSettings).platform
        rows = table.TableClient(platform.table_url, platform.timeout_s)
        store = objects.ObjectsClient(platform.objects_url, platform.timeout_s)
        return cls(
            history.History(rows, store), submission.Submitter(rows, store)
        )

    def read(self, version: int | None) -> tuple[int, document.Document]:
        """Read a version of the setup.

        Args:
            version: The setup version; None means the one in force.

        Returns:
            The setup version and its document.
        """
        if version is None:
            version = self.history.newest_version()
        return version, self.history.read_version(version).read_document()


@cappa.command(help='Submit a setup document as one change.')
@dataclasses.dataclass
class Submit:
    """Submits a document."""

    path: typing.Annotated[str, cappa.Arg(help='JSON document.')]
    config: commands.ConfigPath
    base_version: typing.Annotated[
        int,
        cappa.Arg(
            long=True, help='Setup version that the document is based on.'
        ),
    ]
    operator: OperatorName
    submission: SubmissionId = ''

    def __call__(self) -> None:
        """Submit the document and print the new setup version."""
        setup = SetupAccess.from_config(self.config)
        try:
            source = files.read_document(self.path)
        except errors.SetupError as error:
            setup.submitter.record_refusal(
                self.operator, self.base_version, error.reason
            )
            raise
        outcome = setup.submitter.submit(
            source, self.base_version, self.operator, self.submission
        )
        sys.stdout.write(f'{describe_result(outcome)}\n')


@cappa.command(help='Submit an earlier setup version as a new change.')
@dataclasses.dataclass
class Restore:
    """Submits the document of an earlier setup version."""

    version: typing.Annotated[int, cappa.Arg(help='Setup version to restore.')]
    config: commands.ConfigPath
    operator: OperatorName
    submission: SubmissionId = ''
    base_version: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Setup version to replace; the one in force if omitted.',
        ),
    ] = None

    def __call__(self) -> None:
        """Submit a change to the base version; print the new version.

        Raises:
            errors.SetupError: A submission is repeated without its base
                version. That in force may be another one by now.
        """
        if self.submission and self.base_version is None:
            raise errors.SetupError(
                'name the version that the submission was based on with '
                '"--base-version"'
            )
        setup = SetupAccess.from_config(self.config)
        base = self.base_version
        if base is None:
            base = setup.history.newest_version()
            sys.stderr.write(f'This change is based on version {base}.\n')
        _, source = setup.read(self.version)
        outcome = setup.submitter.submit(
            source, base, self.operator, self.submission
        )
        sys.stdout.write(f'{describe_result(outcome)}\n')


@cappa.command(help='Print the setup in force or an earlier version.')
@dataclasses.dataclass
class Show:
    """Prints the document of a setup version."""

    config: commands.ConfigPath
    version: typing.Annotated[
        int | None, cappa.Arg(long=True, help='An earlier setup version.')
    ] = None

    def __call__(self) -> None:
        """Print the document as JSON and its version on standard error."""
        setup = SetupAccess.from_config(self.config)
        version, source = setup.read(self.version)
        text = json.dumps(source.model_dump(mode='json'), indent=2)
        sys.stdout.write(f'{text}\n')
        sys.stderr.write(f'This is version {version}.\n')


@cappa.command(
    help='Compare a document or a setup version with another version.'
)
@dataclasses.dataclass
class Diff:
    """Prints differences by account and key."""

    config: commands.ConfigPath
    path: typing.Annotated[
        str,
        cappa.Arg(
            help='Document to compare; if omitted, compares two versions.'
        ),
    ] = ''
    from_version: typing.Annotated[
        int | None, cappa.Arg(long=True, help='Earlier setup version.')
    ] = None
    to_version: typing.Annotated[
        int | None, cappa.Arg(long=True, help='Later setup version.')
    ] = None

    def __call__(self) -> None:
        """Print one line per difference."""
        setup = SetupAccess.from_config(self.config)
        version, old = setup.read(self.from_version)
        if self.path:
            name, new = self.path, files.read_document(self.path)
        else:
            later, new = setup.read(self.to_version)
            name = f'version {later}'
        changes = difference.compare_documents(old, new)
        sys.stdout.write(f'From version {version} to {name}:\n')
        sys.stdout.write(format_changes(changes))


@cappa.command(help='Print the audit trail of the setup: who, when, outcome.')
@dataclasses.dataclass
class History:
    """Prints the audit trail."""

    config: commands.ConfigPath
    limit: typing.Annotated[
        int, cappa.Arg(long=True, help='Number of versions to go back.')
    ] = 20
    submission: typing.Annotated[
        str, cappa.Arg(long=True, help='Print the outcome of one submission.')
    ] = ''

    def __call__(self) -> None:
        """Print the records, newest first."""
        audit_trail = SetupAccess.from_config(self.config).history
        if self.submission:
            record = audit_trail.outcome(self.submission)
            text = describe_record(record) if record else _describe_unknown()
            sys.stdout.write(text)
            return
        for record in audit_trail.recent(self.limit):
            sys.stdout.write(describe_record(record))


def describe_result(outcome: submission.SubmitResult) -> str:
    """Return a message that confirms an accepted change."""
    sentences = [f'Version {outcome.version} is accepted.']
    if outcome.is_resolved:
        sentences.append(
            'The answer was lost; reading back confirmed the change.'
        )
    if outcome.is_repeated:
        sentences.append(
            'It had already been applied; nothing was changed now.'
        )
    return ' '.join(sentences)


def describe_record(record: records.ChangeRecord) -> str:
    """Return the text for one record of the audit trail."""
    moment = datetime.datetime.fromtimestamp(record.wall_time, datetime.UTC)
    title = f'version {record.version}' if record.version else record.outcome
    origin = f'from version {record.base_version}, {record.submission_id}'
    when = f'{moment:%Y-%m-%d %H:%M:%S} UTC'
    lines = [f'{when}  {title}  by {record.operator}, {origin}']
    if record.reason:
        lines.append(f'    {record.reason}')
    lines.extend(f'    {change}' for change in record.changes)
    omitted = record.change_count - len(record.changes)
    if omitted > 0:
        lines.append(f'    and {omitted} further changes')
    return '\n'.join((*lines, ''))


def format_changes(changes: list[difference.Change]) -> str:
    """Return one line per change."""
    lines = [f'  {change}\n' for change in changes]
    return ''.join(lines) or '  nothing differs\n'


def _describe_unknown() -> str:
    return (
        'The platform has no record of this submission: it has not been '
        'applied yet.\nTo complete it, submit the same document with the same '
        'id; it is applied at most once.\n'
    )
