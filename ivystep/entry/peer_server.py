"""Serves other entries: demand reports, permits, the setup and its version."""

import functools
import typing
from collections.abc import Callable

from ivystep.core import errors
from ivystep.entry import peers, planner
from ivystep.wire import channel, handshake
from ivystep.wire.gen import ttypes


class SetupSource(typing.Protocol):
    """Interface through which peers read this entry's setup."""

    def version(self) -> int:
        """Return the setup version in force at this entry, 0 if none."""

    def announce_version(self, version: int) -> None:
        """Record that a setup version exists."""

    def manifest(self) -> tuple[int, dict[str, str]]:
        """Return the version in force and the digests of its sections."""

    def section(self, digest: str) -> bytes | None:
        """Return a section by its digest; None if this entry lacks it."""


class PeerServer:
    """Answers the messages on the connections of other entries.

    Args:
        process_id: Id of this entry.
        planner_of: Returns this entry's planner of a pool, or None if the
            pool is unknown.
        setup: The setup of this entry.
        watch: Serves a connection on which a peer subscribes to news; None
            if this entry publishes none.
        permit: Decides on a request for a permit; None if this entry grants
            no permits.
        quota: Answers a report of a host on quotas; None if this entry grants
            no credit.
    """

    def __init__(
        self,
        process_id: str,
        planner_of: Callable[[str], planner.DemandSink | None],
        setup: SetupSource,
        watch: Callable[[channel.Channel], None] | None = None,
        permit: Callable[[ttypes.PermitRequest], ttypes.Permit] | None = None,
        quota: Callable[[ttypes.QuotaReport], ttypes.QuotaGrants] | None = None,
    ) -> None:
        self.process_id = process_id
        self.planner_of = planner_of
        self.setup = setup
        self.watch = watch
        self.permit = permit
        self.quota = quota

    def handle(self, connection: channel.Channel) -> None:
        """Answer the messages on one connection until it ends.

        Args:
            connection: The connection.

        Raises:
            errors.LinkError: The connection ended, means another process, or
                a message is invalid.
        """
        handshake.accept(
            connection,
            ttypes.Hello(self.process_id, '', 'entry', self.setup.version()),
        )
        while True:
            message = connection.receive()
            if isinstance(message, ttypes.Watch) and self.watch is not None:
                self.watch(connection)
            else:
                connection.send(_answer(message, self))


@functools.singledispatch
def _answer(message: typing.Any, server: PeerServer) -> typing.Any:
    """Return the answer to a message; one function for each type."""
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
        raise errors.LinkError('this process grants no permits', step='permit')
    return server.permit(message)


@_answer.register
def _answer_quota(
    message: ttypes.QuotaReport, server: PeerServer
) -> ttypes.QuotaGrants:
    if server.quota is None:
        raise errors.LinkError('this process grants no credit', step='quota')
    return server.quota(message)


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
