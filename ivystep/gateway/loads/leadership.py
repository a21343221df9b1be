"""Elects the leader, the one host that sends orders to engines.

The leader holds a lease in the platform's store. After a change of leader,
the new one waits until the orders of the previous one have expired. All other
hosts send the leader their demand.
"""

import dataclasses
import typing
from collections.abc import Callable

import eventlet

from ivystep.coordination import lease, lease_renewal
from ivystep.core import errors, types, units
from ivystep.entry import peers, planner
from ivystep.gateway import events
from ivystep.gateway.loads import (
    leader_events,
    order_sender,
    prefill_queues,
    residency_updates,
)
from ivystep.platform import http, table
from ivystep.prefill import prefill
from ivystep.runtime import clock, event_log
from ivystep.settings import gateway as settings_models
from ivystep.wire import handshake

LEASE_KEY = 'lease/orders'
FOLLOW_RETRY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipTimings:
    """Timings of a change of leader.

    Attributes:
        lease_s: Duration of the lease, in seconds.
        handover_delay_s: Time in seconds after which orders of the previous
            leader have expired.
        acquire_delay_s: Time in seconds for which stronger hosts may acquire
            a free lease first.
    """

    lease_s: float
    handover_delay_s: float
    acquire_delay_s: float = 0.0


class _NoLeaderSink:
    """``DemandSink`` while no leader is known."""

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Refuse the report; the pool repeats it soon."""
        raise errors.LinkError('no leader is known', step='demand')


class Leadership:
    """Takes part in the election and connects this host to the leader.

    Args:
        rows: The table that holds the lease.
        host: Name of this host.
        address: Address at which other hosts reach this one.
        timings: Timings of a change of leader.
        updates: Applies the residency updates of the leader.
        on_active: Called when this host may send orders.
        queues: Prefill queues that are used while this host is the leader.
        log: Event log of changes of leader.
    """

    def __init__(
        self,
        rows: table.Table,
        host: str,
        address: tuple[str, int],
        timings: LeadershipTimings,
        *,
        updates: residency_updates.ResidencyUpdates,
        on_active: Callable[[], None],
        queues: prefill_queues.PrefillQueues,
        log: event_log.EventLog,
    ) -> None:
        self._host = host
        self._handover_delay_s = timings.handover_delay_s
        self._updates = updates
        self._on_active = on_active
        self._queues = queues
        self._log = log
        self._active_from = float('inf')
        self._is_stopping = False
        self._link_by_leader: dict[handshake.Addressee, peers.PeerLink] = {}
        self._lease = lease.Lease(
            rows,
            LEASE_KEY,
            _holder_id(host, address),
            timings.lease_s,
            is_sole=True,
            told_renewal=updates.told_renewal,
            delay_s=timings.acquire_delay_s,
        )

    @classmethod
    def from_config(
        cls,
        settings: settings_models.GatewaySettings,
        on_call: http.OnCall,
        *,
        updates: residency_updates.ResidencyUpdates,
        on_active: Callable[[], None],
        queues: prefill_queues.PrefillQueues,
        log: event_log.EventLog,
    ) -> typing.Self:
        """Take part with a host's settings.

        Args:
            settings: The settings.
            on_call: See ``http.PlatformHttp``.
            updates: See the class, also for what follows.
            on_active: Called when this host may send orders.
            queues: Prefill queues.
            log: Event log of changes of leader.
        """
        return cls(
            table.TableClient(
                settings.store.url, settings.store.timeout_s, on_call=on_call
            ),
            settings.process.id,
            settings.addresses.peers,
            LeadershipTimings(
                settings.bounds.lease_s,
                settings.bounds.handover_delay_s,
                settings.capacity.acquire_delay_s,
            ),
            updates=updates,
            on_active=on_active,
            queues=queues,
            log=log,
        )

    @property
    def holder(self) -> str:
        """Host that was last seen to hold the lease; empty if none was."""
        return self._lease.seen_holder_id.partition('@')[0]

    @property
    def is_leader(self) -> bool:
        """Whether this host holds the lease."""
        return self._lease.is_held()

    @property
    def term(self) -> int:
        """Fencing token of this host's lease; 0 if it does not hold it."""
        return self._lease.token if self._lease.is_held() else 0

    @property
    def leader(self) -> handshake.Addressee | None:
        """Another host that is the leader; None if unknown."""
        addressee = _addressee(self._lease.seen_holder_id)
        if addressee is None or addressee.process_id == self._host:
            return None
        return addressee

    def renewal(self) -> lease_renewal.Renewal:
        """Return this host's last renewal of the lease."""
        return self._lease.renewal()

    def authority(self) -> order_sender.Authority | None:
        """Return the permission to send orders now, or None."""
        if not self._lease.is_held() or clock.now() < self._active_from:
            return None
        return order_sender.Authority(self._host, self._lease.token)

    def sink(self, pool: str, local: planner.DemandSink) -> planner.DemandSink:
        """Return the leader's planner of a pool; see ``pool.ChooseSink``."""
        if self._lease.is_held():
            return local
        leader = self.leader
        if leader is None:
            return _NoLeaderSink()
        return peers.RemotePlanner(pool, self._link(leader))

    def wait_for_permit(
        self, engine: str, ticket: prefill.Ticket
    ) -> prefill.Permit:
        """Wait until a prompt may be sent to an engine.

        Args:
            engine: Incarnation of the engine.
            ticket: The request.

        Returns:
            The permit; its decision is ``UNKNOWN`` if no leader answers.
        """
        if self._lease.is_held():
            return self._queues.wait(engine, ticket)
        leader = self.leader
        if leader is None:
            return prefill.Permit(
                prefill.PermitDecision.UNKNOWN, 'no leader is known'
            )
        link = self._link(leader)
        if not link.is_reachable:
            return prefill.Permit(
                prefill.PermitDecision.UNKNOWN,
                f'{leader} cannot be reached',
            )
        return prefill_queues.request_permit(link, engine, ticket)

    def run(self) -> None:
        """Acquire and keep the lease; only observe it once this host stops."""
        while not self._is_stopping:
            token = self._lease.acquire()
            if self._is_stopping:
                # Acquired while this host drains; the next leader need not
                # wait for the lease to expire.
                self._release()
                break
            previous_host = self._lease.previous_holder_id.partition('@')[0]
            is_handover = previous_host not in {'', self._host}
            wait_s = self._handover_delay_s if is_handover else 0.0
            self._active_from = clock.now() + wait_s
            self._log.write(
                leader_events.DutyChanged(self._host, token, 'acquired')
            )
            self._log_acquisition()
            renewal = eventlet.spawn(self._lease.keep)
            clock.sleep(wait_s)
            if self._lease.is_held():
                self._on_active()
            renewal.wait()
            self._active_from = float('inf')
            self._log.write(
                leader_events.DutyChanged(
                    self.holder, self._lease.token, 'ended'
                )
            )
        self._lease.observe()

    def follow(self) -> None:
        """Apply the leader's residency updates until the task is killed."""
        while True:
            leader = self.leader
            if leader is not None and not self._lease.is_held():
                self._follow(leader)
            clock.sleep(FOLLOW_RETRY_S)

    def release(self) -> None:
        """Release the lease before this host stops, and acquire it no more."""
        self._is_stopping = True
        if self._lease.is_held():
            self._active_from = float('inf')
            self._release()
            self._log.write(
                leader_events.DutyChanged(
                    self._host, self._lease.token, 'released'
                )
            )

    def _log_acquisition(self) -> None:
        acquisition = self._lease.acquisition
        self._log.write(
            leader_events.LeaseAcquired(
                self._lease.token,
                acquisition.basis.value,
                acquisition.row_token,
                acquisition.row_holder_id.partition('@')[0],
                int(acquisition.waited_s * units.MS_PER_S),
            )
        )

    def _release(self) -> None:
        started = clock.now()
        is_acknowledged = self._lease.release()
        self._log.write(
            leader_events.LeaseReleased(
                self._lease.token,
                is_acknowledged,
                int((clock.now() - started) * units.MS_PER_S),
            )
        )

    def _follow(self, leader: handshake.Addressee) -> None:
        link = None
        try:
            link = self._link(leader).open()
            self._updates.follow(link)
        except errors.LinkError as error:
            self._log.write(
                events.DependencyLost(f'holder/{leader.location}', str(error))
            )
        finally:
            if link is not None:
                link.close()

    def _link(self, leader: handshake.Addressee) -> peers.PeerLink:
        link = self._link_by_leader.get(leader)
        if link is None:
            self._close_links()
            link = peers.PeerLink(self._host, leader, None)
            self._link_by_leader[leader] = link
        return link

    def _close_links(self) -> None:
        for link in self._link_by_leader.values():
            link.close()
        self._link_by_leader.clear()


def _holder_id(host: str, address: tuple[str, int]) -> str:
    return f'{host}@{address[0]}:{address[1]}'


def _addressee(holder_id: str) -> handshake.Addressee | None:
    """Return the holder of a lease; None if its id names no address."""
    host, _, address = holder_id.partition('@')
    if not address:
        return None
    ip, _, port = address.rpartition(':')
    return handshake.Addressee(host, (ip, int(port)))
