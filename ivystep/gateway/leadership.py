"""Which host gives orders to engines.

One host at a time, the holder of a lease in the platform's store. After the
lease has changed hands the new holder waits until the engines count the
orders of the one before as past. All other hosts send it their demand.
"""

import dataclasses
from collections.abc import Callable

import eventlet

from ivystep.coordination import lease
from ivystep.core import errors, types
from ivystep.entry import peers, planner
from ivystep.gateway import engine_link, events, news, prefill_queues
from ivystep.platform import table
from ivystep.policy import prefill
from ivystep.runtime import clock, event_log

LEASE_KEY = 'lease/orders'
FOLLOW_RETRY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipTimings:
    """How the leadership passes from one host to the next.

    Attributes:
        lease_s: Duration of the lease, in seconds.
        handover_delay_s: Time for which the orders of an earlier holder
            count, in seconds.
    """

    lease_s: float
    handover_delay_s: float


class _NoPlanner:
    """``DemandSink`` while the holder is not known."""

    def report_demand(
        self, entry_id: str, demands: tuple[types.AdapterDemand, ...]
    ) -> tuple[types.LoadForecast, ...]:
        """Refuse the report; it is repeated soon."""
        raise errors.LinkError('no host gives orders', step='demand')


class Leadership:
    """The leadership of this host: its part in giving orders.

    Args:
        rows: The table that holds the lease.
        host: Name of this host.
        address: Address at which other hosts reach this one.
        turns: How the leadership passes from one host to the next.
        board: Takes the news of the holder.
        on_active: Called when this host may give orders.
        gates: The gates of the engines at this host.
        log: Where changes are written.
    """

    def __init__(
        self,
        rows: table.Table,
        host: str,
        address: tuple[str, int],
        turns: LeadershipTimings,
        *,
        board: news.NewsBoard,
        on_active: Callable[[], None],
        queues: prefill_queues.PrefillQueues,
        log: event_log.EventLog,
    ) -> None:
        self._host = host
        self._turn_s = turns.handover_delay_s
        self._board = board
        self._on_active = on_active
        self._gates = queues
        self._log = log
        self._active_from = float('inf')
        self._link_by_address: dict[tuple[str, int], peers.PeerLink] = {}
        self._lease = lease.Lease(
            rows,
            LEASE_KEY,
            _holder_id(host, address),
            turns.lease_s,
            is_sole=True,
        )

    @property
    def holder(self) -> str:
        """Host that was last seen to hold the lease; empty if none was."""
        return self._lease.seen_holder_id.partition('@')[0]

    @property
    def is_leader(self) -> bool:
        """Whether this host holds the lease."""
        return self._lease.is_held()

    def authority(self) -> engine_link.Authority | None:
        """Return the leave to give orders now, or None."""
        if not self._lease.is_held() or clock.now() < self._active_from:
            return None
        return engine_link.Authority(self._host, self._lease.token)

    def sink(self, pool: str, local: planner.DemandSink) -> planner.DemandSink:
        """Return the planner of a pool; see ``pool.ChooseSink``."""
        if self._lease.is_held():
            return local
        _, _, text = self._lease.seen_holder_id.partition('@')
        if not text or self.holder == self._host:
            return _NoPlanner()
        return peers.RemotePlanner(pool, self._link(text))

    def wait_for_permit(
        self, engine: str, ticket: prefill.Ticket
    ) -> prefill.Permit:
        """Wait until a prompt may be sent to an engine.

        Args:
            engine: Incarnation of the engine.
            ticket: The request.

        Returns:
            The permit; of unknown leave if no holder answers.
        """
        if self._lease.is_held():
            return self._gates.wait(engine, ticket)
        _, _, text = self._lease.seen_holder_id.partition('@')
        if not text or self.holder == self._host:
            return prefill.Permit(
                prefill.PermitDecision.UNKNOWN, 'no host gives permits'
            )
        link = self._link(text)
        if not link.is_reachable:
            return prefill.Permit(
                prefill.PermitDecision.UNKNOWN, f'{text} is not reached'
            )
        return prefill_queues.ask(link, engine, ticket)

    def run(self) -> None:
        """Hold the lease whenever it can be had, until killed."""
        while True:
            token = self._lease.acquire()
            before = self._lease.previous_holder_id.partition('@')[0]
            is_turn = before not in {'', self._host}
            wait_s = self._turn_s if is_turn else 0.0
            self._active_from = clock.now() + wait_s
            self._log.write(events.DutyChanged(self._host, token, 'acquired'))
            keeper = eventlet.spawn(self._lease.keep)
            clock.sleep(wait_s)
            if self._lease.is_held():
                self._on_active()
            keeper.wait()
            self._active_from = float('inf')
            self._log.write(
                events.DutyChanged(self.holder, self._lease.token, 'ended')
            )

    def follow(self) -> None:
        """Take the news of the holder until killed."""
        while True:
            _, _, text = self._lease.seen_holder_id.partition('@')
            if text and not self._lease.is_held():
                self._follow(text)
            clock.sleep(FOLLOW_RETRY_S)

    def release(self) -> None:
        """Give the lease up before this host stops."""
        if self._lease.is_held():
            self._active_from = float('inf')
            self._lease.release()
            self._log.write(
                events.DutyChanged(self._host, self._lease.token, 'released')
            )

    def _follow(self, text: str) -> None:
        link = None
        try:
            link = self._link(text).open()
            self._board.follow(link)
        except errors.LinkError as error:
            self._log.write(events.DependencyLost(f'holder/{text}', str(error)))
        finally:
            if link is not None:
                link.close()

    def _link(self, text: str) -> peers.PeerLink:
        ip, _, port = text.rpartition(':')
        address = (ip, int(port))
        link = self._link_by_address.get(address)
        if link is None:
            self._close_links()
            link = peers.PeerLink(self._host, address, None)
            self._link_by_address[address] = link
        return link

    def _close_links(self) -> None:
        for link in self._link_by_address.values():
            link.close()
        self._link_by_address.clear()


def _holder_id(host: str, address: tuple[str, int]) -> str:
    return f'{host}@{address[0]}:{address[1]}'
