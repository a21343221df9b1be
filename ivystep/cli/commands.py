"""Subcommands that run the daemons and the console."""

import dataclasses
import functools
import typing

import cappa

from ivystep.console import daemon as console_daemon
from ivystep.entry import daemon as entry_daemon
from ivystep.gateway import daemon as gateway_daemon
from ivystep.runtime import event_log, logs, process
from ivystep.settings import gateway as gateway_settings
from ivystep.settings import ini, models
from ivystep.sidecar import daemon as sidecar_daemon

ConfigPath = typing.Annotated[
    str, cappa.Arg(long='--config', help='Path of the INI settings.')
]


@cappa.command(help='Run an entry, which serves callers.')
@dataclasses.dataclass
class Entry:
    """Runs an entry."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        life = process.Process(
            'entry',
            functools.partial(ini.load, self.config, models.EntrySettings),
        )
        logs.configure(process.log_level(life.settings))
        life.run(entry_daemon.run, logs.event_writer('entry'))


@cappa.command(help='Run a gateway, which serves the configured routes.')
@dataclasses.dataclass
class Gateway:
    """Runs a gateway."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        life = process.Process(
            'gateway',
            functools.partial(
                ini.load, self.config, gateway_settings.GatewaySettings
            ),
        )
        event_log.configure(process.log_level(life.settings))
        life.run(
            gateway_daemon.run,
            event_log.EventLog('process', life.settings.process.id).write,
        )


@cappa.command(help='Run the sidecar of one upstream on its host.')
@dataclasses.dataclass
class Sidecar:
    """Runs a sidecar."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        life = process.Process(
            'sidecar',
            functools.partial(ini.load, self.config, models.SidecarSettings),
        )
        logs.configure(process.log_level(life.settings))
        life.run(sidecar_daemon.run, logs.event_writer('sidecar'))


@cappa.command(help='Run the console, which serves forms to operators.')
@dataclasses.dataclass
class Console:
    """Runs the console."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until SIGTERM."""
        life = process.Process(
            'console',
            functools.partial(ini.load, self.config, models.OperatorSettings),
        )
        logs.configure(process.log_level(life.settings))
        life.run(console_daemon.run, logs.event_writer('console'))
