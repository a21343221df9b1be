"""Subcommands of the ``ivystep`` program."""

import dataclasses
import pathlib
import sys
import typing

import cappa
import pydantic

from ivystep.core import errors
from ivystep.entry import daemon as entry_daemon
from ivystep.platform import objects, table
from ivystep.runtime import logs
from ivystep.settings import ini, models
from ivystep.setup import document, submission
from ivystep.sidecar import daemon as sidecar_daemon

PLATFORM_TIMEOUT_S = 5.0

ConfigPath = typing.Annotated[
    str, cappa.Arg(long='--config', help='Path of the INI settings.')
]


@cappa.command(help='Serve callers.')
@dataclasses.dataclass
class Entry:
    """Run an entry."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        settings = ini.load(self.config, models.EntrySettings)
        logs.configure(settings.process.log_level)
        entry_daemon.EntryDaemon.from_config(settings).run()


@cappa.command(help='Serve one upstream.')
@dataclasses.dataclass
class Sidecar:
    """Run a sidecar."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        settings = ini.load(self.config, models.SidecarSettings)
        logs.configure(settings.process.log_level)
        sidecar_daemon.run(settings)


@cappa.command(help='Check a setup document.')
@dataclasses.dataclass
class Check:
    """Validate a document without submitting it."""

    path: str

    def __call__(self) -> None:
        """Print whether the document is valid."""
        read_document(self.path)
        sys.stdout.write(f'{self.path} is valid.\n')


@cappa.command(help='Submit a setup document as one change.')
@dataclasses.dataclass
class Submit:
    """Submit a document."""

    path: str
    table_url: typing.Annotated[str, cappa.Arg(long=True)]
    objects_url: typing.Annotated[str, cappa.Arg(long=True)]
    base_version: typing.Annotated[int, cappa.Arg(long=True)]
    operator: typing.Annotated[str, cappa.Arg(long=True)]

    def __call__(self) -> None:
        """Submit and print the new version."""
        setup = submission.Submitter(
            table.TableClient(self.table_url, PLATFORM_TIMEOUT_S),
            objects.ObjectsClient(self.objects_url, PLATFORM_TIMEOUT_S),
        )
        outcome = setup.submit(
            read_document(self.path), self.base_version, self.operator
        )
        sys.stdout.write(f'Version {outcome.version} is accepted.\n')


def read_document(path: str) -> document.Document:
    """Read and validate a setup document.

    Raises:
        errors.SetupError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return document.Document.model_validate_json(text)
    except (OSError, UnicodeError, pydantic.ValidationError) as error:
        raise errors.SetupError(
            f'{path}: {error}', step='check document'
        ) from error
