"""Simulated connections that delay, lose, repeat and misroute messages."""

import collections
import enum
import random
import typing
from collections.abc import Callable

import eventlet
from eventlet import event, hubs

from ivystep.core import errors
from ivystep.entry import links
from ivystep.runtime import clock
from ivystep.wire import channel, handshake

LATENCY_S = 0.002
LONG_DELAY_S = 3.0


class Delivery(enum.Enum):
    """How one message is delivered."""

    DELIVER = 'deliver'
    DELAY = 'delay'
    LOSE = 'lose it and all that follow'
    CUT = 'cut the connection'
    REPEAT = 'repeat'
    MISROUTE = 'deliver on another connection'


DELIVERY_FAULTS = tuple(
    delivery for delivery in Delivery if delivery is not Delivery.DELIVER
)


class Network:
    """All connections of one schedule.

    Args:
        choices: Source of random choices.

    Attributes:
        fault_share: Share of messages that are not delivered normally.
    """

    def __init__(self, choices: random.Random) -> None:
        self.fault_share = 0.0
        self._choices = choices
        self._ends: list[Channel] = []

    def connect(
        self, serve: Callable[['Channel'], None], host: str
    ) -> 'Channel':
        """Open a connection.

        Args:
            serve: Serves the far end, in a task of its own.
            host: Name of the host at the far end.
        """
        near = Channel(self, host, 'near')
        far = Channel(self, host, 'far')
        near.other = far
        far.other = near
        self._ends.extend((near, far))
        eventlet.spawn(_serve, serve, far)
        return near

    def break_all(self, host: str) -> None:
        """Close all connections to a host whose process ends."""
        for end in tuple(self._ends):
            if end.host == host:
                end.close()

    def remove(self, end: 'Channel') -> None:
        """Remove a closed end."""
        if end in self._ends:
            self._ends.remove(end)

    def transmit(self, sender: 'Channel', frame: bytes) -> None:
        """Deliver a frame to the other end, or inject a fault."""
        if self._choices.random() >= self.fault_share:
            sender.other.arrive(frame, LATENCY_S)
            return
        delivery = self._choices.choice(DELIVERY_FAULTS)
        if delivery is Delivery.LOSE:
            sender.is_losing = True
        elif delivery is Delivery.CUT:
            sender.close()
        elif delivery is Delivery.MISROUTE:
            same = [end for end in self._ends if end.side == sender.other.side]
            self._choices.choice(same or [sender.other]).arrive(frame, 0)
        elif delivery is Delivery.REPEAT:
            sender.other.arrive(frame, LATENCY_S)
            sender.other.arrive(frame, LATENCY_S)
        else:
            delay_s = self._choices.random() * LONG_DELAY_S
            sender.other.arrive(frame, delay_s)


class Channel:
    """One end of a connection, with the interface of ``channel.Channel``.

    Args:
        network: Network that transmits the messages.
        host: Name of the host at the far end.
        side: ``near`` at the entry, ``far`` at the host.
    """

    def __init__(self, network: Network, host: str, side: str) -> None:
        self.peer = f'{host} {side}'
        self.host = host
        self.side = side
        self.other: Channel = self
        self.is_closed = False
        self.is_losing = False
        self.has_waited = False
        self.on_identified: Callable[[], None] = _ignore
        self._network = network
        self._frames: collections.deque[bytes] = collections.deque()
        self._is_ended = False
        self._last_arrival = 0.0
        self._readable = event.Event()

    def send(self, message: typing.Any) -> None:
        """Send one message; see ``channel.Channel.send``."""
        if self.is_closed:
            raise errors.LinkError('closed', step='send', peer=self.peer)
        if not self.is_losing:
            self._network.transmit(self, channel.encode(message))

    def receive(self, timeout_s: float | None = None) -> typing.Any:
        """Wait for one message; see ``channel.Channel.receive``."""
        self.has_waited = not self._frames
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                self.wait_readable()
        except (OSError, TimeoutError) as error:
            self.close()
            raise errors.LinkError(
                str(error) or 'timed out', step='receive', peer=self.peer
            ) from error
        if not self._frames:
            self.close()
            raise errors.LinkError('ended', step='receive', peer=self.peer)
        return self._decode_first()

    def receive_ready(self) -> typing.Any:
        """Return a message that has arrived; see ``channel.Channel``."""
        return self._decode_first() if self._frames else None

    def request(
        self, message: typing.Any, timeout_s: float | None = None
    ) -> typing.Any:
        """Send a message and wait for the next one."""
        self.send(message)
        return self.receive(timeout_s)

    def is_stale(self) -> bool:
        """Return whether the connection ended or has unread messages."""
        return self.is_closed or self._is_ended or bool(self._frames)

    def wait_readable(self) -> None:
        """Wait for a message or the end of the connection.

        Raises:
            OSError: The connection was closed on this side.
        """
        while not self._frames and not self._is_ended:
            if self.is_closed:
                raise OSError('closed')
            self._readable.wait()

    def close(self) -> None:
        """Close this end; the other end is notified after the latency."""
        if self.is_closed:
            return
        self.is_closed = True
        self._network.remove(self)
        self._wake()
        if not self.is_losing:
            self.other.arrive(b'', LATENCY_S)

    def arrive(self, frame: bytes, delay_s: float) -> None:
        """Schedule a frame, in order; an empty one ends the connection."""
        due = max(clock.now() + delay_s, self._last_arrival)
        self._last_arrival = due
        hubs.get_hub().schedule_call_global(
            due - clock.now(), self._deliver, frame
        )

    def _deliver(self, frame: bytes) -> None:
        if self.is_closed or self._is_ended:
            return
        if frame:
            self._frames.append(frame)
        else:
            self._is_ended = True
        self._wake()

    def _wake(self) -> None:
        readable = self._readable
        self._readable = event.Event()
        readable.send()

    def _decode_first(self) -> typing.Any:
        return channel.decode(self._frames.popleft()[channel.HEADER.size :])


class MemoryLink(links.ThriftLink):
    """The entry's link over simulated connections.

    Args:
        process_id: Id of the entry.
        host: Name of the sidecar's host.
        connect: Opens a connection to the current sidecar incarnation.
    """

    def __init__(
        self, process_id: str, host: str, connect: Callable[[], Channel]
    ) -> None:
        super().__init__(process_id, handshake.Addressee(host, ('', 0)), None)
        self._connect_to_host = connect

    def _connect(self) -> Channel:
        return self._connect_to_host()


def _serve(serve: Callable[[Channel], None], end: Channel) -> None:
    try:
        serve(end)
    except errors.LinkError:
        # The other end closed the connection or sent an unexpected message.
        end.close()
    finally:
        end.close()


def _ignore() -> None:
    """Ignore who the other end is."""
