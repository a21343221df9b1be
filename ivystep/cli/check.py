"""The ``check`` subcommand: validates settings files and setup documents."""

import dataclasses
import pathlib
import sys
import types
import typing

import cappa

from ivystep.cli import files
from ivystep.core import errors
from ivystep.settings import describe, gateway, ini, models

MODEL_BY_KIND = types.MappingProxyType(
    {
        'entry': models.EntrySettings,
        'gateway': gateway.GatewaySettings,
        'sidecar': models.SidecarSettings,
        'operators': models.OperatorSettings,
    }
)
FileKind = typing.Literal[
    'auto', 'setup', 'entry', 'gateway', 'sidecar', 'operators'
]


@cappa.command(help='Check settings files and setup documents.')
@dataclasses.dataclass
class Check:
    """Validates files without applying them."""

    paths: typing.Annotated[list[str], cappa.Arg(help='Files to check.')] = (
        dataclasses.field(default_factory=list)
    )
    kind: typing.Annotated[
        FileKind,
        cappa.Arg(
            long=True,
            help='Kind of the files; "auto" goes by suffix and sections.',
        ),
    ] = 'auto'
    describe: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print all settings as Markdown.')
    ] = False

    def __call__(self) -> None:
        """Print the kind of each valid file; stop at the first invalid one.

        Raises:
            errors.SettingsError: No file is named, or a settings file is
                invalid.
            errors.SetupError: A setup document is invalid.
        """
        if self.describe:
            sys.stdout.write(describe.describe())
        elif not self.paths:
            raise errors.SettingsError('name at least one file to check')
        for path in self.paths:
            kind = check(path, self.kind)
            sys.stdout.write(f'{path}: valid ({kind})\n')


def check(path: str, kind: FileKind) -> str:
    """Check one file.

    Args:
        path: Path of the file.
        kind: Kind of the file; ``auto`` detects it.

    Returns:
        The kind of the file, never ``auto``.

    Raises:
        errors.SettingsError: The settings file is invalid.
        errors.SetupError: The setup document is invalid.
    """
    detected = kind
    if kind == 'auto':
        detected = _detect_kind(path)
    if detected == 'setup':
        files.read_document(path)
    else:
        ini.load(path, MODEL_BY_KIND[detected])
    return detected


def _detect_kind(path: str) -> str:
    if pathlib.Path(path).suffix != '.ini':
        return 'setup'
    sections = ini.read_sections(path)
    if 'upstream' in sections:
        return 'sidecar'
    if 'addresses' in sections:
        return 'gateway'
    return 'entry' if 'peers' in sections else 'operators'
