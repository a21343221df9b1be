"""Publishes residency updates from the leader to all other hosts.

Each host keeps a connection to the leader, which reports at once where an
adapter is resident, will soon be resident, or is no longer resident. Without
the updates, a host would see that more than a second later, in the engines'
entries in the store.
"""

import collections
import dataclasses
import math
import typing
from collections.abc import Callable, Mapping, Sequence

import eventlet
from eventlet import queue

from ivystep.coordination import lease_renewal
from ivystep.core import errors, types, units
from ivystep.data_centres import exchange
from ivystep.gateway.store import table_progress
from ivystep.gateway.upstreams import measurements
from ivystep.policy import load_correction
from ivystep.prefill import prefill_rates
from ivystep.runtime import clock
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

PERCENT = 100
# Longest time between two messages, which carry the numbers of requests in
# progress and all queued updates.
HEARTBEAT_S = 0.15
# Silence after which the other side counts as failed.
SILENCE_TIMEOUT_S = 1.8
# Updates queued for a slow host; beyond this, its connection is closed.
MAX_QUEUED_UPDATES = 1000
# Updates of this time are told to a host that begins to follow. Older ones are
# in the engines' entries that each host reads every few seconds.
REPEATED_S = 8.0
MAX_REPEATED = 500

RequestsByUpstream = Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ResidencyUpdate:
    """A change of the residency of an adapter at an engine.

    Attributes:
        is_held: Whether it is or will be resident.
        ready_in_s: Time in seconds until it is resident.
    """

    ref: types.AdapterRef
    upstream_id: str
    is_held: bool
    ready_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatContents:
    """What the heartbeats carry beside residency and requests.

    Attributes:
        progress: Progress with the store's tables that the leader tells.
        own_renewal: Returns this host's last renewal of the leader's lease.
        measured: Measurements that a host tells the leader.
        centres: Arrivals and shares of the data centres.
    """

    progress: table_progress.SharedProgress
    own_renewal: Callable[[], lease_renewal.Renewal]
    measured: measurements.Measurements
    centres: exchange.CentreExchange


class ResidencyUpdates:
    """Publishes residency updates to this host and all hosts that follow it.

    Args:
        host: Name of this host.
        on_update: Called with each update.
        own_requests: Returns this host's requests in progress by upstream.
        on_requests: Called with all hosts' requests in progress by upstream.
        on_host_count: Called with the number of hosts, including this one.
        is_leader: Returns whether this host is the leader.
        contents: What the heartbeats carry besides.
    """

    def __init__(
        self,
        host: str,
        on_update: Callable[[ResidencyUpdate], None],
        own_requests: Callable[[], RequestsByUpstream],
        on_requests: Callable[[RequestsByUpstream], None],
        on_host_count: Callable[[int], None],
        is_leader: Callable[[], bool],
        contents: HeartbeatContents,
    ) -> None:
        self._measured = contents.measured
        self._centres = contents.centres
        self._data_centre_by_link: dict[channel.Channel, str] = {}
        self._own_renewal = contents.own_renewal
        self._told_renewal: lease_renewal.Renewal | None = None
        self._progress = contents.progress
        self._host = host
        self._on_update = on_update
        self._own_requests = own_requests
        self._on_requests = on_requests
        self._on_host_count = on_host_count
        self._is_leader = is_leader
        self._recent: collections.deque[tuple[float, ResidencyUpdate]] = (
            collections.deque(maxlen=MAX_REPEATED)
        )
        self._follower_queues: set[queue.LightQueue] = set()
        self._requests_by_host: dict[str, RequestsByUpstream] = {}

    def publish(self, update: ResidencyUpdate) -> None:
        """Publish an update to all hosts without blocking."""
        self._recent.append((clock.now(), update))
        self._on_update(update)
        for pending in list(self._follower_queues):
            try:
                pending.put_nowait(update)
            except queue.Full:
                # ``serve`` ends the connection, and the host reconnects.
                self._follower_queues.discard(pending)

    def serve(self, link: channel.Channel) -> None:
        """Send updates to one host while this host is the leader.

        The connection ends afterwards, so that the other host follows the next
        leader even if this process goes on to run.

        Args:
            link: Connection of the host.

        Raises:
            errors.LinkError: The connection ended, this host is not the
                leader any more, or the other host is too slow.
        """
        pending = queue.LightQueue(MAX_QUEUED_UPDATES)
        for update in self._recent_updates():
            pending.put_nowait(update)
        self._follower_queues.add(pending)
        receiver = eventlet.spawn(self._receive_requests, link)
        try:
            while self._may_send_to(pending) and not receiver.dead:
                batch = _next_updates(pending)
                message = _message(
                    batch, self._total_requests(), self._host_count
                )
                message.tables = _progress_items(self._progress.own())
                message.renewal = _renewal_item(self._own_renewal())
                message.centre_shares = self._centres.shares_for(
                    self._data_centre_by_link.get(link, '')
                )
                link.send(message)
        finally:
            self._drop_follower(link, pending)
            receiver.kill()
        raise errors.LinkError('no more updates for this host', peer=link.peer)

    def follow(self, link: channel.Channel) -> None:
        """Apply the updates of the leader until the connection ends.

        Args:
            link: Connection to the leader.

        Raises:
            errors.LinkError: The connection ended or fell silent.
        """
        # What arrived without a leader is no demand of this moment.
        self._centres.clear()
        try:
            self._follow(link)
        finally:
            self._told_renewal = None
            self._centres.clear()

    def told_renewal(self) -> lease_renewal.Renewal | None:
        """Return the last renewal of its lease that the leader has told.

        Returns:
            None while this host does not follow a leader.
        """
        return self._told_renewal

    def apply_total_requests(self) -> None:
        """Apply the total requests and the number of hosts on the leader."""
        self._on_requests(self._total_requests())
        self._on_host_count(self._host_count)

    def _drop_follower(
        self, link: channel.Channel, pending: queue.LightQueue
    ) -> None:
        self._follower_queues.discard(pending)
        self._data_centre_by_link.pop(link, None)

    def _follow(self, link: channel.Channel) -> None:
        link.send(ttypes.Watch())
        while True:
            message = link.receive(SILENCE_TIMEOUT_S)
            while message is not None:
                latest = self._apply(message, link.peer)
                message = link.receive_ready()
            # A host that is behind applies only the latest totals.
            self._told_renewal = _renewal(latest.renewal)
            self._progress.record(_told_progress(latest))
            self._on_requests(latest.running)
            self._on_host_count(latest.hosts)
            self._centres.on_shares(latest.centre_shares)
            load = _host_load(
                self._host, self._own_requests(), self._measured.take()
            )
            load.centre = self._centres.report()
            link.send(load)
            # Messages that have arrived meanwhile must not keep other tasks
            # from running.
            clock.sleep(0)

    def _recent_updates(self) -> list[ResidencyUpdate]:
        """Return the last updates, as they are to be told now."""
        now = clock.now()
        return [
            dataclasses.replace(
                update, ready_in_s=max(update.ready_in_s - (now - told_at), 0.0)
            )
            for told_at, update in self._recent
            if told_at > now - REPEATED_S
        ]

    def _may_send_to(self, pending: queue.LightQueue) -> bool:
        return self._is_leader() and pending in self._follower_queues

    def _apply(self, message: typing.Any, peer: str) -> ttypes.News:
        """Apply the updates in one message of the leader, and return it.

        Raises:
            errors.LinkError: It is a message of another type.
        """
        if not isinstance(message, ttypes.News):
            raise errors.LinkError('expected residency updates', peer=peer)
        for one in message.items:
            self._on_update(
                ResidencyUpdate(
                    convert.adapter_ref(one.adapter),
                    one.upstream,
                    one.held,
                    one.ready_in_ms / units.MS_PER_S,
                )
            )
        return message

    @property
    def _host_count(self) -> int:
        return 1 + len(self._follower_queues)

    def _receive_requests(self, link: channel.Channel) -> None:
        """Record the requests in progress of one host until it disconnects."""
        host = ''
        try:
            while True:
                message = link.receive(SILENCE_TIMEOUT_S)
                if not isinstance(message, ttypes.HostLoad):
                    return
                host = message.host
                self._requests_by_host[host] = message.running
                self._data_centre_by_link[link] = self._centres.on_report(
                    host, message.centre
                )
                self._measured.apply(
                    _prefill_samples(message), _load_answers(message)
                )
        except errors.LinkError:
            # The sending task closes the connection and raises the error.
            return
        finally:
            self._requests_by_host.pop(host, None)
            self._centres.on_disconnected(host)

    def _total_requests(self) -> RequestsByUpstream:
        """Return all hosts' requests in progress by upstream."""
        total = collections.Counter(self._own_requests())
        for requests in self._requests_by_host.values():
            total.update(requests)
        return total


def _next_updates(pending: queue.LightQueue) -> list[ResidencyUpdate]:
    """Return all queued updates, at the latest when a heartbeat is due."""
    batch = []
    with eventlet.Timeout(HEARTBEAT_S, exception=False):
        batch.append(pending.get())
    while not pending.empty():
        batch.append(pending.get_nowait())
    return batch


def _message(
    batch: Sequence[ResidencyUpdate], total: RequestsByUpstream, hosts: int
) -> ttypes.News:
    return ttypes.News(
        [
            ttypes.AdapterNews(
                convert.adapter_id(one.ref),
                one.upstream_id,
                one.is_held,
                int(one.ready_in_s * units.MS_PER_S),
            )
            for one in batch
        ],
        dict(total),
        hosts,
    )


def _progress_items(
    progress: Sequence[table_progress.TableProgress],
) -> list[ttypes.TableProgress]:
    return [
        ttypes.TableProgress(
            one.table,
            one.era,
            one.version,
            int(one.complete_at_s * units.MS_PER_S),
        )
        for one in progress
    ]


def _renewal_item(renewal: lease_renewal.Renewal) -> ttypes.LeaseRenewal:
    age_s = clock.uptime() - renewal.sent_at
    return ttypes.LeaseRenewal(
        renewal.token, renewal.version, int(age_s * units.MS_PER_S)
    )


def _renewal(item: ttypes.LeaseRenewal | None) -> lease_renewal.Renewal | None:
    """Return a renewal that the leader tells of.

    It was sent at least its age before the message arrived. The age is rounded
    down.
    """
    if item is None:
        return None
    sent_at = clock.uptime() - item.age_ms / units.MS_PER_S
    return lease_renewal.Renewal(item.token, item.version, sent_at)


def _told_progress(
    message: ttypes.News,
) -> list[table_progress.TableProgress]:
    """Return the progress in a message; hosts of an older release tell none."""
    return [
        table_progress.TableProgress(
            one.table,
            one.era,
            one.version,
            one.complete_at_ms / units.MS_PER_S,
        )
        for one in message.tables or ()
    ]


def _host_load(
    host: str, running: RequestsByUpstream, measured: measurements.Taken
) -> ttypes.HostLoad:
    return ttypes.HostLoad(
        host,
        dict(running),
        [
            ttypes.PrefillSample(
                one.engine,
                one.tokens,
                int(one.first_event_s * units.US_PER_S),
                math.ceil(one.fill * PERCENT),
            )
            for one in measured.samples
        ],
        [
            ttypes.LoadAnswer(
                one.upstream_id,
                one.adapter,
                int(one.since_s * units.US_PER_S),
                one.is_held,
            )
            for one in measured.answers
        ],
    )


def _prefill_samples(
    message: ttypes.HostLoad,
) -> list[prefill_rates.PrefillSample]:
    """Return the samples of a host; one of an older release sends none."""
    return [
        prefill_rates.PrefillSample(
            one.engine,
            one.tokens,
            one.first_event_us / units.US_PER_S,
            (one.fill_percent or 0) / PERCENT,
        )
        for one in message.prefills or ()
    ]


def _load_answers(
    message: ttypes.HostLoad,
) -> list[load_correction.LoadAnswer]:
    """Return the answers of a host; one of an older release sends none."""
    return [
        load_correction.LoadAnswer(
            one.upstream, one.adapter, one.since_us / units.US_PER_S, one.held
        )
        for one in message.load_answers or ()
    ]
