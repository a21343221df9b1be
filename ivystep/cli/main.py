"""The ``ivystep`` program."""

import dataclasses
import sys
import typing

import cappa

from ivystep import cli
from ivystep.cli import commands
from ivystep.core import errors

EXIT_USAGE = 2


@cappa.command(name='ivystep', description=cli.DESCRIPTION)
@dataclasses.dataclass
class Ivystep:
    """Arguments of the program."""

    command: cappa.Subcommands[
        commands.Entry | commands.Sidecar | commands.Submit | commands.Check
    ]


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run the program.

    Args:
        argv: Arguments without the program's name; None takes the process's.
    """
    try:
        cappa.invoke(Ivystep, argv=None if argv is None else list(argv))
    except errors.IvystepError as error:
        sys.stderr.write(f'{error}\n')
        is_usage = isinstance(error, errors.SettingsError | errors.SetupError)
        sys.exit(EXIT_USAGE if is_usage else 1)
