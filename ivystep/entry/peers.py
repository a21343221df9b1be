"""Links between entries: demand reports and gossip of the setup version.

A pool's planner is the live entry with the highest rendezvous hash. Entries
that disagree for a moment report to two planners, which only slows down the
weight store. A peer that did not answer counts as unreachable for a few
seconds.

Each entry sends its setup version to three random peers every second. A new
version thus reaches 1,200 entries within about seven rounds, and the traffic
of an entry does not grow with their number.
"""

import functools
import math
import random
import typing
from collections.abc import Callable

from ivystep.core import errors, ids, types, units
from ivystep.entry import planner
from ivystep.runtime import clock, logs
from ivystep.wire import channel, convert, handshake, tls
from ivystep.wire.gen import ttypes

CALL_TIMEOUT_S = 2.0
UNREACHABLE_PERIOD_S = 5.0
# Time for which nothing is sent to an address at which another process has
# answered. The one that is meant may be started there later.
MISDIRECTED_PERIOD_S = 1.0
NOTICE_INTERVAL_S = 1.0
PEERS_PER_NOTICE = 3

log = logs.get('peers')


class PeerLink:
    """Client of another entry; reconnects after an error.

    Args:
        process_id: Id of this entry.
        addressee: The peer.
        contexts: TLS contexts of this entry; None for plain connections.
    """

    def __init__(
        self,
        process_id: str,
        addressee: handshake.Addressee,
        contexts: tls.TlsContexts | None,
    ) -> None:
        self.addressee = addressee
        self._process_id = process_id
        self._contexts = contexts
        self._idle_connections: list[channel.Channel] = []
        self._unreachable_until = float('-inf')
        self._misdirected_until = float('-inf')

    @property
    def is_reachable(self) -> bool:
        """Whether no recent call to the peer has failed."""
        return clock.now() >= self._unreachable_until

    def ask(
        self, message: typing.Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> typing.Any:
        """Send a message and wait for its answer.

        Args:
            message: A message to which peers send an answer.
            timeout_s: Longest wait for the answer, in seconds.

        Returns:
            The answer.

        Raises:
            errors.LinkError: The peer did not answer.
        """
        connection = None
        try:
            connection = (
                self._idle_connections.pop()
                if self._idle_connections
                else self.open()
            )
            reply = connection.request(message, timeout_s)
        except errors.LinkError:
            self._unreachable_until = clock.now() + UNREACHABLE_PERIOD_S
            self.close()
            raise
        except BaseException:
            # The task was interrupted while it waited for the answer, so the
            # connection cannot carry another message.
            if connection is not None:
                connection.close()
            raise
        self._idle_connections.append(connection)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def open(self) -> channel.Channel:
        """Open a connection for the exclusive use of the caller.

        Raises:
            errors.MisdirectedError: Another process is at the address.
            errors.LinkError: The peer cannot be reached.
        """
        if clock.now() < self._misdirected_until:
            raise errors.MisdirectedError(
                'another process has answered',
                step='connect',
                peer=str(self.addressee),
            )
        connection = channel.Channel.connect(
            self.addressee.address, self._contexts, tls.ENTRY_NAME
        )
        try:
            handshake.introduce(
                connection, self._process_id, self.addressee, CALL_TIMEOUT_S
            )
        except errors.MisdirectedError:
            self._misdirected_until = clock.now() + MISDIRECTED_PERIOD_S
            raise
        # A peer that has restarted is reachable before the period ends.
        self._unreachable_until = float('-inf')
        return connection


class RemotePlanner:
    """``DemandSink`` that reports to the planner at another entry."""

    def __init__(self, pool: str, link: PeerLink) -> None:
        self._pool = pool
        self._link = link

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Send the demand report to the peer.

        See ``planner.DemandSink.report_demand``.
        """
        reply = self._link.ask(
            ttypes.Demand(
                self._pool, entry_id, [demand_message(one) for one in demands]
            ),
        )
        if not isinstance(reply, ttypes.DemandAccepted):
            raise errors.LinkError('unexpected answer', step='demand')
        return tuple(_forecast_from_message(one) for one in reply.forecasts)


class Peers:
    """The other entries, with a link to each.

    Args:
        process_id: Id of this entry.
        contexts: TLS contexts of this entry.
        setup_version: Returns the setup version in force at this entry, 0 if
            none.
        on_version: Called with each setup version that a peer sends.
    """

    def __init__(
        self,
        process_id: str,
        contexts: tls.TlsContexts,
        setup_version: Callable[[], int],
        on_version: Callable[[int], None],
    ) -> None:
        self._process_id = process_id
        self._contexts = contexts
        self._setup_version = setup_version
        self._on_version = on_version
        self._link_by_host: dict[str, PeerLink] = {}

    def set_entries(self, entry_by_host: dict[str, types.HostEntry]) -> None:
        """Set the live entries; open and close links accordingly.

        Args:
            entry_by_host: Live entries by host name.
        """
        for host, entry in entry_by_host.items():
            addressee = handshake.Addressee(host, (entry.address, entry.port))
            known = self._link_by_host.get(host)
            if host == self._process_id or (
                known and known.addressee == addressee
            ):
                continue
            self._link_by_host[host] = PeerLink(
                self._process_id, addressee, self._contexts
            )
        for host in set(self._link_by_host) - set(entry_by_host):
            self._link_by_host.pop(host).close()

    def sink(self, pool: str, local: planner.DemandSink) -> planner.DemandSink:
        """Return the planner that is responsible for a pool.

        Args:
            pool: Name of the pool.
            local: This entry's planner of the pool.
        """
        hosts = [
            host
            for host, link in self._link_by_host.items()
            if link.is_reachable
        ]
        chosen = max(
            [*hosts, self._process_id],
            key=functools.partial(_rendezvous, pool),
        )
        if chosen == self._process_id:
            return local
        return RemotePlanner(pool, self._link_by_host[chosen])

    def spread_version(self) -> None:
        """Exchange versions with random peers until the task is killed."""
        while True:
            self.exchange_versions()
            clock.sleep(NOTICE_INTERVAL_S)

    def exchange_versions(self) -> None:
        """Send the setup version to a few random peers and receive theirs."""
        links = self.reachable()
        for link in random.sample(links, min(PEERS_PER_NOTICE, len(links))):
            try:
                reply = link.ask(ttypes.SetupNotice(self._setup_version()))
            except errors.LinkError as error:
                log.info('Peer %s is unreachable: %s.', link.addressee, error)
                continue
            if isinstance(reply, ttypes.SetupNotice):
                self._on_version(reply.version)

    def reachable(self) -> list[PeerLink]:
        """Return the links to the reachable peers."""
        return [
            link for link in self._link_by_host.values() if link.is_reachable
        ]


def _rendezvous(pool: str, host: str) -> bytes:
    return ids.digest(pool.encode(), host.encode())


def demand_message(demand: types.AdapterDemand) -> ttypes.AdapterDemand:
    """Convert an adapter's demand to a message."""
    return ttypes.AdapterDemand(
        adapter=convert.adapter_id(demand.ref),
        source=demand.source,
        setup_version=demand.setup_version,
        weight=demand.weight,
        waiting=demand.waiting,
        oldest_wait_ms=int(demand.oldest_wait_s * units.MS_PER_S),
        start_within_ms=int(demand.start_within_s * units.MS_PER_S),
        arrivals=demand.arrivals,
        running=demand.running,
        aim_within_ms=(
            None
            if math.isinf(demand.target_start_within_s)
            else int(demand.target_start_within_s * units.MS_PER_S)
        ),
        timely_value=demand.timely_value,
        late_value=demand.late_value,
        software_versions=list(demand.software_versions) or None,
    )


def demand(message: ttypes.AdapterDemand) -> types.AdapterDemand:
    """Convert a message to an adapter's demand."""
    return types.AdapterDemand(
        ref=convert.adapter_ref(message.adapter),
        source=message.source,
        setup_version=message.setup_version,
        weight=message.weight,
        waiting=message.waiting,
        oldest_wait_s=message.oldest_wait_ms / units.MS_PER_S,
        start_within_s=message.start_within_ms / units.MS_PER_S,
        arrivals=message.arrivals,
        running=message.running or 0,
        target_start_within_s=(
            math.inf
            if message.aim_within_ms is None
            else message.aim_within_ms / units.MS_PER_S
        ),
        timely_value=message.timely_value or 0.0,
        late_value=message.late_value or 0.0,
        software_versions=tuple(message.software_versions or ()),
    )


def _forecast_from_message(message: ttypes.LoadForecast) -> types.LoadForecast:
    return types.LoadForecast(
        ref=convert.adapter_ref(message.adapter),
        ready_in_s=message.ready_in_ms / units.MS_PER_S,
        retry_after_s=message.retry_after_ms / units.MS_PER_S,
    )


def forecast_message(forecast: types.LoadForecast) -> ttypes.LoadForecast:
    """Convert a forecast to a message."""
    return ttypes.LoadForecast(
        adapter=convert.adapter_id(forecast.ref),
        ready_in_ms=int(forecast.ready_in_s * units.MS_PER_S),
        retry_after_ms=int(forecast.retry_after_s * units.MS_PER_S),
    )
