"""Answers other entries: demand, setup version and setup sections."""

import functools
import typing
from collections.abc import Callable

from ivystep.core import errors
from ivystep.entry import peers, planner
from ivystep.wire import channel
from ivystep.wire.gen import ttypes

HELLO_TIMEOUT_S = 5.0


class SetupSource(typing.Protocol):
    """What peers may ask of this entry's setup."""

    def version(self) -> int:
        """Return the version in force here, 0 if none."""

    def announce_version(self, version: int) -> None:
        """Take note that a version exists."""

    def manifest(self) -> tuple[int, dict[str, str]]:
        """Return the version in force and its sections' digests by name."""

    def section(self, digest: str) -> bytes | None:
        """Return a section, or None if it is not held here."""


class PeerServer:
    """Serves one connection of another entry at a time, each in its task.

    Args:
        process_id: Id of this entry.
        planner_of: Returns the planner of a pool at this entry, or None if
            the pool is unknown here.
        setup: The setup of this entry.
        watch: Serves a peer that watches for news; None if there are none.
        permit: Answers a request for a permit; None if none are given.
    """

    def __init__(
        self,
        process_id: str,
        planner_of: Callable[[str], planner.DemandSink | None],
        setup: SetupSource,
        watch: Callable[[channel.Channel], None] | None = None,
        permit: Callable[[ttypes.PermitRequest], ttypes.Permit] | None = None,
    ) -> None:
        self.process_id = process_id
        self.planner_of = planner_of
        self.setup = setup
        self.watch = watch
        self.permit = permit

    def handle(self, link: channel.Channel) -> None:
        """Answer the messages of one connection until it ends.

        Args:
            link: The connection.

        Raises:
            errors.LinkError: The connection ended.
        """
        hello = link.receive(HELLO_TIMEOUT_S)
        if not isinstance(hello, ttypes.Hello):
            raise errors.LinkError('expected a hello', peer=link.peer)
        link.send(
            ttypes.Hello(self.process_id, '', 'entry', self.setup.version())
        )
        while True:
            message = link.receive()
            if isinstance(message, ttypes.Watch) and self.watch is not None:
                self.watch(link)
            else:
                link.send(_answer(message, self))


@functools.singledispatch
def _answer(message: typing.Any, server: PeerServer) -> typing.Any:
    """Return the answer to one message."""
    raise errors.LinkError(f'unexpected {type(message).__name__}')


@_answer.register
def _answer_demand(
    message: ttypes.Demand, server: PeerServer
) -> ttypes.DemandAccepted:
    target = server.planner_of(message.pool)
    if target is None:
        raise errors.LinkError(f'unknown pool {message.pool}', step='demand')
    demands = tuple(peers.demand(one) for one in message.demands)
    forecasts = target.report_demand(message.entry_id, demands)
    return ttypes.DemandAccepted(
        [peers.forecast_message(forecast) for forecast in forecasts],
    )


@_answer.register
def _answer_permit(
    message: ttypes.PermitRequest, server: PeerServer
) -> ttypes.Permit:
    if server.permit is None:
        raise errors.LinkError('no permits are given here', step='permit')
    return server.permit(message)


@_answer.register
def _answer_notice(
    message: ttypes.SetupNotice, server: PeerServer
) -> ttypes.SetupNotice:
    server.setup.announce_version(message.version)
    return ttypes.SetupNotice(server.setup.version())


@_answer.register
def _answer_manifest(
    message: ttypes.GetManifest, server: PeerServer
) -> ttypes.Manifest:
    version, digest_by_section = server.setup.manifest()
    return ttypes.Manifest(version, digest_by_section)


@_answer.register
def _answer_section(
    message: ttypes.GetSection, server: PeerServer
) -> ttypes.Section:
    return ttypes.Section(server.setup.section(message.digest))
