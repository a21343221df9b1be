"""Publishes news of adapter loads from the leader to all other hosts.

Each host keeps a connection to the leader, which reports at once where an
adapter is resident, will soon be resident, or is no longer resident. Without
the news, the engines' entries would show that more than a second later.
"""

import collections
import dataclasses
from collections.abc import Callable, Mapping, Sequence

import eventlet
from eventlet import queue

from ivystep.core import errors, types, units
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

# Longest time between two messages, which carry the numbers of requests in
# progress and all queued news.
HEARTBEAT_S = 0.15
# Silence after which the other side counts as failed.
SILENCE_TIMEOUT_S = 1.8
# News queued for a slow host; beyond this, its connection is closed.
MAX_QUEUED_NEWS = 1000

LoadByUpstream = Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterNews:
    """A load or an eviction of an adapter.

    Attributes:
        is_held: Whether it is or will be resident.
        ready_in_s: Time in seconds until it is resident.
    """

    ref: types.AdapterRef
    upstream_id: str
    is_held: bool
    ready_in_s: float = 0.0


class NewsBoard:
    """Publishes news to this host and to all hosts that follow it.

    Args:
        host: Name of this host.
        on_news: Called with each piece of news.
        own_load: Returns this host's requests in progress by upstream.
        on_loads: Called with all hosts' requests in progress by upstream.
        on_hosts: Called with the number of hosts, including this one.
    """

    def __init__(
        self,
        host: str,
        on_news: Callable[[AdapterNews], None],
        own_load: Callable[[], LoadByUpstream],
        on_loads: Callable[[LoadByUpstream], None],
        on_hosts: Callable[[int], None],
    ) -> None:
        self._host = host
        self._on_news = on_news
        self._own_load = own_load
        self._on_loads = on_loads
        self._on_hosts = on_hosts
        self._watchers: set[queue.LightQueue] = set()
        self._load_by_host: dict[str, LoadByUpstream] = {}

    def publish(self, news: AdapterNews) -> None:
        """Publish news to all hosts without blocking."""
        self._on_news(news)
        for queued in list(self._watchers):
            try:
                queued.put_nowait(news)
            except queue.Full:
                # ``serve`` ends the connection, and the host reconnects.
                self._watchers.discard(queued)

    def serve(self, link: channel.Channel) -> None:
        """Send news to one host until its connection ends.

        Args:
            link: Connection of the host.

        Raises:
            errors.LinkError: The connection ended.
        """
        queued = queue.LightQueue(MAX_QUEUED_NEWS)
        self._watchers.add(queued)
        receiver = eventlet.spawn(self._receive_load, link)
        try:
            while queued in self._watchers and not receiver.dead:
                batch = _next_news(queued)
                link.send(_message(batch, self._total_load(), self._hosts))
        finally:
            self._watchers.discard(queued)
            receiver.kill()

    def follow(self, link: channel.Channel) -> None:
        """Apply the news of the leader until the connection ends.

        Args:
            link: Connection to the leader.

        Raises:
            errors.LinkError: The connection ended or fell silent.
        """
        link.send(ttypes.Watch())
        while True:
            message = link.receive(SILENCE_TIMEOUT_S)
            if not isinstance(message, ttypes.News):
                raise errors.LinkError('expected news', peer=link.peer)
            for one in message.items:
                self._on_news(
                    AdapterNews(
                        convert.adapter_ref(one.adapter),
                        one.upstream,
                        one.held,
                        one.ready_in_ms / units.MS_PER_S,
                    )
                )
            self._on_loads(message.running)
            self._on_hosts(message.hosts)
            link.send(ttypes.HostLoad(self._host, dict(self._own_load())))

    def apply_total_load(self) -> None:
        """Apply the total load and the number of hosts on the leader."""
        self._on_loads(self._total_load())
        self._on_hosts(self._hosts)

    @property
    def _hosts(self) -> int:
        return 1 + len(self._watchers)

    def _receive_load(self, link: channel.Channel) -> None:
        """Record the load of one host until its connection ends."""
        host = ''
        try:
            while True:
                message = link.receive(SILENCE_TIMEOUT_S)
                if not isinstance(message, ttypes.HostLoad):
                    return
                host = message.host
                self._load_by_host[host] = message.running
        except errors.LinkError:
            # The sending task closes the connection and raises the error.
            return
        finally:
            self._load_by_host.pop(host, None)

    def _total_load(self) -> LoadByUpstream:
        """Return all hosts' requests in progress by upstream."""
        total = collections.Counter(self._own_load())
        for load in self._load_by_host.values():
            total.update(load)
        return total


def _next_news(queued: queue.LightQueue) -> list[AdapterNews]:
    """Return all queued news, at the latest when a heartbeat is due."""
    batch = []
    with eventlet.Timeout(HEARTBEAT_S, exception=False):
        batch.append(queued.get())
    while not queued.empty():
        batch.append(queued.get_nowait())
    return batch


def _message(
    batch: Sequence[AdapterNews], total: LoadByUpstream, hosts: int
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
