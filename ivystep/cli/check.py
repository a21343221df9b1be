"""The subcommand that checks settings files and setup documents."""

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
Kind = typing.Literal[
    'auto', 'setup', 'entry', 'gateway', 'sidecar', 'operators'
]


@cappa.command(help='Check settings files and setup documents.')
@dataclasses.dataclass
class Check:
    """Validate files without using them."""

    paths: typing.Annotated[list[str], cappa.Arg(help='Files to check.')] = (
        dataclasses.field(default_factory=list)
    )
    kind: typing.Annotated[
        Kind,
        cappa.Arg(
            long=True,
            help='What the files are; "auto" goes by the name and sections.',
        ),
    ] = 'auto'
    describe: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print all settings as Markdown.')
    ] = False

    def __call__(self) -> None:
        """Print whether each file is valid.

        Raises:
            errors.SettingsError: No file is named.
        """
        if self.describe:
            sys.stdout.write(describe.describe())
        elif not self.paths:
            raise errors.SettingsError('name at least one file to check')
        for path in self.paths:
            kind = check(path, self.kind)
            sys.stdout.write(f'{path}: valid ({kind})\n')


def check(path: str, kind: Kind) -> str:
    """Check one file.

    Args:
        path: The file.
        kind: What it is.

    Returns:
        What it is.

    Raises:
        errors.SettingsError: It is not valid as settings.
        errors.SetupError: It is not valid as a setup document.
    """
    found = kind
    if kind == 'auto':
        found = _guess(path)
    if found == 'setup':
        files.read_document(path)
    else:
        ini.load(path, MODEL_BY_KIND[found])
    return found


def _guess(path: str) -> str:
    if pathlib.Path(path).suffix != '.ini':
        return 'setup'
    sections = ini.read_sections(path)
    if 'upstream' in sections:
        return 'sidecar'
    if 'addresses' in sections:
        return 'gateway'
    return 'entry' if 'peers' in sections else 'operators'
