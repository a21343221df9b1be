"""News of loads, from the host that gives orders to all other hosts.

Each host keeps a connection to the holder of the duty and hears at once which
engine holds an adapter, will hold it soon, or holds it no longer. Without the
news it would learn that from the engines' entries, more than a second later.
"""

import collections
import dataclasses
from collections.abc import Callable, Mapping, Sequence

import eventlet
from eventlet import queue

from ivystep.core import errors, types, units
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

# Loads are exchanged this often, and the news that wait meanwhile with them.
HEARTBEAT_S = 0.15
# Silence after which the holder counts as gone.
SILENCE_S = 1.8
# News that wait for a slow host; beyond that its connection is closed.
MAX_WAITING = 1000

Loads = Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterNews:
    """What has become of an adapter at an engine.

    Attributes:
        ready_in_s: Time in seconds until the engine holds it.
    """

    ref: types.AdapterRef
    upstream_id: str
    is_held: bool
    ready_in_s: float = 0.0


class NewsBoard:
    """Hands news to this host and to the hosts that watch it.

    Args:
        host: Name of this host.
        on_news: Takes each piece of news at this host.
        own_load: Returns this host's requests in progress by upstream.
        on_loads: Takes the requests of all hosts in progress by upstream.
        on_hosts: Takes the number of hosts, this one included.
    """

    def __init__(
        self,
        host: str,
        on_news: Callable[[AdapterNews], None],
        own_load: Callable[[], Loads],
        on_loads: Callable[[Loads], None],
        on_hosts: Callable[[int], None],
    ) -> None:
        self._host = host
        self._on_news = on_news
        self._own_load = own_load
        self._on_loads = on_loads
        self._on_hosts = on_hosts
        self._watchers: set[queue.LightQueue] = set()
        self._load_by_host: dict[str, Loads] = {}

    def publish(self, news: AdapterNews) -> None:
        """Tell everyone; never blocks."""
        self._on_news(news)
        for waiting in list(self._watchers):
            try:
                waiting.put_nowait(news)
            except queue.Full:
                # Its connection ends, and the host asks again.
                self._watchers.discard(waiting)

    def serve(self, link: channel.Channel) -> None:
        """Send news to one host until its connection ends.

        Args:
            link: Connection of the host.

        Raises:
            errors.LinkError: The connection ended.
        """
        waiting = queue.LightQueue(MAX_WAITING)
        self._watchers.add(waiting)
        receiver = eventlet.spawn(self._receive_loads, link)
        try:
            while waiting in self._watchers and not receiver.dead:
                found = _next_news(waiting)
                link.send(_message(found, self._total(), self._hosts))
        finally:
            self._watchers.discard(waiting)
            receiver.kill()

    def follow(self, link: channel.Channel) -> None:
        """Take the news of the holder until its connection ends.

        Args:
            link: Connection to the holder.

        Raises:
            errors.LinkError: The connection ended or fell silent.
        """
        link.send(ttypes.Watch())
        while True:
            message = link.receive(SILENCE_S)
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
        """Take over the loads of all hosts, at the holder itself."""
        self._on_loads(self._total())
        self._on_hosts(self._hosts)

    @property
    def _hosts(self) -> int:
        return 1 + len(self._watchers)

    def _receive_loads(self, link: channel.Channel) -> None:
        """Take the loads of one host until its connection ends."""
        host = ''
        try:
            while True:
                message = link.receive(SILENCE_S)
                if not isinstance(message, ttypes.HostLoad):
                    return
                host = message.host
                self._load_by_host[host] = message.running
        except errors.LinkError:
            # The task that sends ends the connection and says why.
            return
        finally:
            self._load_by_host.pop(host, None)

    def _total(self) -> Loads:
        """Return the requests of all hosts in progress by upstream."""
        total = collections.Counter(self._own_load())
        for load in self._load_by_host.values():
            total.update(load)
        return total


def _next_news(waiting: queue.LightQueue) -> list[AdapterNews]:
    """Wait for news, at most until the next heartbeat."""
    found = []
    with eventlet.Timeout(HEARTBEAT_S, exception=False):
        found.append(waiting.get())
    while not waiting.empty():
        found.append(waiting.get_nowait())
    return found


def _message(
    found: Sequence[AdapterNews], total: Loads, hosts: int
) -> ttypes.News:
    return ttypes.News(
        [
            ttypes.AdapterNews(
                convert.adapter_id(one.ref),
                one.upstream_id,
                one.is_held,
                int(one.ready_in_s * units.MS_PER_S),
            )
            for one in found
        ],
        dict(total),
        hosts,
    )
