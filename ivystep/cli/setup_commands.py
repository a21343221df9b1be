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
        help='Submission id, to repeat a try whose outcome is not known.',
    ),
]


@dataclasses.dataclass(frozen=True)
class Services:
    """What the settings name: reading and writing the setup."""

    history: history.History
    submitter: submission.Submitter

    @classmethod
    def from_config(cls, path: str) -> typing.Self:
        """Connect to the platform that an operators' settings file names."""
        platform = ini.load(path, models.OperatorSettings).platform
        rows = table.TableClient(platform.table_url, platform.timeout_s)
        store = objects.ObjectsClient(platform.objects_url, platform.timeout_s)
        return cls(
            history.History(rows, store), submission.Submitter(rows, store)
        )

    def read(self, version: int | None) -> tuple[int, document.Document]:
        """Read a version of the setup.

        Args:
            version: The version; None is the one in force.
        """
        if version is None:
            version = self.history.newest_version()
        return version, self.history.read_version(version).read_document()


@cappa.command(help='Submit a setup document as one change.')
@dataclasses.dataclass
class Submit:
    """Submit a document."""

    path: typing.Annotated[str, cappa.Arg(help='JSON document.')]
    config: commands.ConfigPath
    base_version: typing.Annotated[
        int,
        cappa.Arg(long=True, help='Version that the document was drawn from.'),
    ]
    operator: OperatorName
    submission: SubmissionId = ''

    def __call__(self) -> None:
        """Submit and print the new version."""
        services = Services.from_config(self.config)
        try:
            source = files.read_document(self.path)
        except errors.SetupError as error:
            services.submitter.record_refusal(
                self.operator, self.base_version, error.reason
            )
            raise
        outcome = services.submitter.submit(
            source, self.base_version, self.operator, self.submission
        )
        sys.stdout.write(f'{describe_result(outcome)}\n')


@cappa.command(help='Make an earlier version the setup, as a new change.')
@dataclasses.dataclass
class Restore:
    """Submit the document of an earlier version."""

    version: typing.Annotated[int, cappa.Arg(help='Version to restore.')]
    config: commands.ConfigPath
    operator: OperatorName
    submission: SubmissionId = ''

    def __call__(self) -> None:
        """Submit on the version in force and print the new version."""
        services = Services.from_config(self.config)
        _, source = services.read(self.version)
        outcome = services.submitter.submit(
            source,
            services.history.newest_version(),
            self.operator,
            self.submission,
        )
        sys.stdout.write(f'{describe_result(outcome)}\n')


@cappa.command(help='Print the setup in force or an earlier version.')
@dataclasses.dataclass
class Show:
    """Print a document."""

    config: commands.ConfigPath
    version: typing.Annotated[
        int | None, cappa.Arg(long=True, help='An earlier version.')
    ] = None

    def __call__(self) -> None:
        """Print the document as JSON and its version on standard error."""
        services = Services.from_config(self.config)
        version, source = services.read(self.version)
        text = json.dumps(source.model_dump(mode='json'), indent=2)
        sys.stdout.write(f'{text}\n')
        sys.stderr.write(f'This is version {version}.\n')


@cappa.command(help='Print what a document would change, or two versions.')
@dataclasses.dataclass
class Diff:
    """Print differences by account and key."""

    config: commands.ConfigPath
    path: typing.Annotated[
        str, cappa.Arg(help='Document to compare; none compares versions.')
    ] = ''
    from_version: typing.Annotated[
        int | None, cappa.Arg(long=True, help='Earlier version.')
    ] = None
    to_version: typing.Annotated[
        int | None, cappa.Arg(long=True, help='Later version.')
    ] = None

    def __call__(self) -> None:
        """Print one line for each difference."""
        services = Services.from_config(self.config)
        version, old = services.read(self.from_version)
        if self.path:
            name, new = self.path, files.read_document(self.path)
        else:
            later, new = services.read(self.to_version)
            name = f'version {later}'
        changes = difference.compare_documents(old, new)
        sys.stdout.write(f'From version {version} to {name}:\n')
        sys.stdout.write(format_changes(changes))


@cappa.command(help='Print who changed the setup, when, and what became of it.')
@dataclasses.dataclass
class History:
    """Print the audit trail."""

    config: commands.ConfigPath
    limit: typing.Annotated[
        int, cappa.Arg(long=True, help='Number of versions to go back.')
    ] = 20
    submission: typing.Annotated[
        str, cappa.Arg(long=True, help='Print the outcome of one submission.')
    ] = ''

    def __call__(self) -> None:
        """Print the records, newest first."""
        trail = Services.from_config(self.config).history
        if self.submission:
            record = trail.outcome(self.submission)
            text = describe_record(record) if record else _unknown()
            sys.stdout.write(text)
            return
        for record in trail.recent(self.limit):
            sys.stdout.write(describe_record(record))


def describe_result(outcome: submission.SubmitResult) -> str:
    """Return the sentence that tells an operator of an accepted change."""
    sentences = [f'Version {outcome.version} is accepted.']
    if outcome.is_resolved:
        sentences.append(
            'The answer was lost; reading back confirmed the change.'
        )
    if outcome.is_repeated:
        sentences.append('It had been applied before; nothing was changed now.')
    return ' '.join(sentences)


def describe_record(record: records.ChangeRecord) -> str:
    """Return the lines of one record of the audit trail."""
    moment = datetime.datetime.fromtimestamp(record.wall_time, datetime.UTC)
    title = f'version {record.version}' if record.version else record.outcome
    origin = f'from version {record.base_version}, {record.submission_id}'
    when = f'{moment:%Y-%m-%d %H:%M:%S} UTC'
    lines = [f'{when}  {title}  by {record.operator}, {origin}']
    if record.reason:
        lines.append(f'    {record.reason}')
    lines.extend(f'    {change}' for change in record.changes)
    hidden = record.change_count - len(record.changes)
    if hidden > 0:
        lines.append(f'    and {hidden} further changes')
    return '\n'.join((*lines, ''))


def format_changes(changes: list[difference.Change]) -> str:
    """Return one line for each change."""
    lines = [f'  {change}\n' for change in changes]
    return ''.join(lines) or '  nothing differs\n'


def _unknown() -> str:
    return (
        'The platform has no record of this submission: it was not applied '
        'so far.\nSubmit the same document with the same id to settle it; it '
        'is applied once at most.\n'
    )
