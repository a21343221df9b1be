"""Subcommands that run the daemons and the console."""

import dataclasses
import typing

import cappa

from ivystep.console import daemon as console_daemon
from ivystep.entry import daemon as entry_daemon
from ivystep.gateway import daemon as gateway_daemon
from ivystep.runtime import event_log, logs
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
        settings = ini.load(self.config, models.EntrySettings)
        logs.configure(settings.process.log_level)
        entry_daemon.EntryDaemon.from_config(settings).run()


@cappa.command(help='Run a gateway, which serves the configured routes.')
@dataclasses.dataclass
class Gateway:
    """Runs a gateway."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        settings = ini.load(self.config, gateway_settings.GatewaySettings)
        event_log.configure(settings.process.log_level)
        gateway_daemon.GatewayDaemon.from_config(settings).run()


@cappa.command(help='Run the sidecar of one upstream on its host.')
@dataclasses.dataclass
class Sidecar:
    """Runs a sidecar."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until drained."""
        settings = ini.load(self.config, models.SidecarSettings)
        logs.configure(settings.process.log_level)
        sidecar_daemon.run(settings)


@cappa.command(help='Run the console, which serves forms to operators.')
@dataclasses.dataclass
class Console:
    """Runs the console."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until SIGTERM."""
        settings = ini.load(self.config, models.OperatorSettings)
        logs.configure('INFO')
        console_daemon.run(settings)
