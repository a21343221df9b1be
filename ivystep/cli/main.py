"""The ``ivystep`` program: dispatches to the subcommands."""

import dataclasses
import sys
import typing

import cappa

from ivystep.cli import (
    check,
    commands,
    explain,
    loadgen,
    log_events,
    setup_commands,
    status,
)
from ivystep.core import errors
from ivystep.setup import submission

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNCERTAIN = 3


@cappa.command(name='ivystep')
@dataclasses.dataclass
class Ivystep:
    """Shared serving layer for very many LoRA adapters."""

    command: cappa.Subcommands[
        commands.Entry
        | commands.Gateway
        | commands.Sidecar
        | commands.Console
        | check.Check
        | setup_commands.Submit
        | setup_commands.Show
        | setup_commands.Diff
        | setup_commands.History
        | setup_commands.Restore
        | status.Status
        | loadgen.Loadgen
        | explain.Explain
        | log_events.LogEvents
    ]


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run the program.

    Args:
        argv: Arguments without the program's name; None means those of the
            process.
    """
    try:
        cappa.invoke(Ivystep, argv=None if argv is None else list(argv))
    except errors.IvystepError as error:
        sys.stderr.write(f'{error}\n')
        if isinstance(error, submission.StaleBaseError):
            changes = setup_commands.format_changes(error.changes)
            sys.stderr.write(f'Changed since then:\n{changes}')
        sys.exit(exit_code(error))


def exit_code(error: errors.IvystepError) -> int:
    """Return the exit code for an error.

    Args:
        error: The error that ended the command.

    Returns:
        2 for invalid settings or documents, 3 if the outcome of a change is
        unknown, 1 otherwise.
    """
    if isinstance(error, errors.SettingsError | errors.SetupError):
        return EXIT_USAGE
    if isinstance(error, errors.UncertainWriteError):
        return EXIT_UNCERTAIN
    return EXIT_FAILED
