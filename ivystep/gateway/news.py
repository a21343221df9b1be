"""News of loads, from the host that gives orders to all other hosts.

Each host keeps a connection to the holder of the duty and hears at once which
engine holds an adapter, will hold it soon, or holds it no longer. Without the
news it would learn that from the engines' entries, more than a second later.
"""

import dataclasses
from collections.abc import Callable, Sequence

import eventlet
from eventlet import queue

from ivystep.core import errors, types, units
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

HEARTBEAT_S = 0.5
# Silence after which the holder counts as gone.
SILENCE_S = 1.8
# News that wait for a slow host; beyond that its connection is closed.
MAX_WAITING = 1000


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
        on_news: Takes each piece of news at this host.
    """

    def __init__(self, on_news: Callable[[AdapterNews], None]) -> None:
        self._on_news = on_news
        self._watchers: set[queue.LightQueue] = set()

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
        try:
            while waiting in self._watchers:
                link.send(_message(_next_news(waiting)))
        finally:
            self._watchers.discard(waiting)

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


def _next_news(waiting: queue.LightQueue) -> list[AdapterNews]:
    """Wait for news, at most until the next heartbeat."""
    found = []
    with eventlet.Timeout(HEARTBEAT_S, exception=False):
        found.append(waiting.get())
    while not waiting.empty():
        found.append(waiting.get_nowait())
    return found


def _message(found: Sequence[AdapterNews]) -> ttypes.News:
    return ttypes.News(
        [
            ttypes.AdapterNews(
                convert.adapter_id(one.ref),
                one.upstream_id,
                one.is_held,
                int(one.ready_in_s * units.MS_PER_S),
            )
            for one in found
        ]
    )
