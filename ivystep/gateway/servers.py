"""Builds the servers of a gateway beside the one for callers."""

import dataclasses
import typing
from collections.abc import Callable

from ivystep.entry import peer_server
from ivystep.metrics import operators_app, registry
from ivystep.platform import readiness
from ivystep.runtime import listeners, page_server
from ivystep.settings import gateway as settings_models
from ivystep.wire import listener as wire_listener
from ivystep.wire import tls

Spawn = Callable[..., None]


@dataclasses.dataclass(frozen=True, slots=True)
class Servers:
    """The servers of one gateway.

    Attributes:
        addresses: Addresses on which they listen.
        spawn: Starts a task with arguments.
        report: Called with events of the listeners.
    """

    addresses: settings_models.Addresses
    spawn: Spawn
    report: listeners.Report

    def start_readiness(self, is_ready: Callable[[], bool]) -> None:
        """Serve the platform's readiness checks.

        Args:
            is_ready: Returns whether the host accepts callers.
        """
        server = page_server.PageServer(
            self._listen('readiness', self.addresses.readiness),
            readiness.ReadinessApp(is_ready),
        )
        self.spawn(server.run)

    def start_operators(
        self,
        metrics: registry.Metrics,
        status: Callable[[], operators_app.ProcessStatus],
    ) -> None:
        """Serve the metrics and the status for operators.

        Args:
            metrics: The metrics.
            status: Returns the status.
        """
        server = page_server.PageServer(
            self._listen('operators', self.addresses.operators),
            operators_app.OperatorsApp(metrics, status),
        )
        self.spawn(server.run)

    def start_peers(self, *arguments: typing.Any) -> listeners.Listener:
        """Serve other gateways.

        Args:
            arguments: See ``peer_server.PeerServer``.

        Returns:
            The listener.
        """
        listener = self._listen('peers', self.addresses.peers)
        self.spawn(
            wire_listener.serve,
            listener,
            None,
            tls.ENTRY_NAME,
            peer_server.PeerServer(*arguments).handle,
        )
        return listener

    def _listen(
        self, purpose: str, address: tuple[str, int]
    ) -> listeners.Listener:
        return listeners.Listener.open(purpose, address, self.report)
