"""Finds out whether the host of a TCP peer is gone, however slowly it reads.

A peer that does not read keeps its window closed, but its kernel answers each
probe. The user time-out of TCP ends both: a peer that answers no more, and one
that answers and takes nothing. So it is not set. While the kernel has nothing
to send, keep-alive finds a peer that is gone; while it has, this module looks
whether what was sent is acknowledged.
"""

import typing
import weakref
from collections.abc import Callable

from eventlet import hubs

from ivystep.runtime import clock, sockets, tcp_state

# A peer that has acknowledged nothing for as long, of several sends, is gone.
GONE_AFTER_S = float(sockets.KEEPALIVE_S)
UNANSWERED_SENDS = 2
# Most peers have acknowledged everything by the first look.
FIRST_LOOK_S = 1.0
LOOK_INTERVAL_S = 0.25
# The kernel dates acknowledgements by its ticks.
TICK_S = 0.02


class PeerSilence:
    """What a peer has left without an acknowledgement.

    A kernel that sees a closed window asks ever more seldom, so a long time
    without an acknowledgement alone does not tell that the peer is gone; that
    it was asked more than once meanwhile does.

    Args:
        sent_at: Time of the first send that may be unanswered, in seconds.
    """

    def __init__(self, sent_at: float) -> None:
        # An acknowledgement as early as this may be one of an earlier send.
        self._looked_at = sent_at + 2 * TICK_S
        self._sent_segments = 0
        self._unanswered_sends = 0
        self._silent_since = sent_at

    def update(self, state: tcp_state.TcpState, now: float) -> None:
        """Apply the state of the connection at a time.

        Args:
            state: The state.
            now: Current time in seconds.
        """
        acknowledged_at = now - state.since_ack_s
        if acknowledged_at > self._looked_at - TICK_S:
            self._unanswered_sends = 0
            self._silent_since = acknowledged_at
        elif state.sent_segments > self._sent_segments:
            self._unanswered_sends += 1
        self._sent_segments = state.sent_segments
        self._looked_at = now

    @property
    def is_suspicious(self) -> bool:
        """Whether a send is unanswered."""
        return self._unanswered_sends > 0

    def is_gone(self, now: float) -> bool:
        """Return whether the peer's host is gone or out of reach.

        Args:
            now: Current time in seconds.
        """
        is_long = now - self._silent_since >= GONE_AFTER_S
        return is_long and self._unanswered_sends >= UNANSWERED_SENDS


class LivenessCheck:
    """Watches one connection while the kernel has something to send on it.

    Args:
        connection: A connected TCP socket.
        on_gone: Method of the connection's owner that is called on the hub,
            once, if the peer's host is gone. It is not kept alive, so that an
            owner that is dropped closes its socket at once.
    """

    def __init__(
        self, connection: typing.Any, on_gone: Callable[[], None]
    ) -> None:
        self._connection = connection
        self._on_gone = weakref.WeakMethod(on_gone)
        self._timer: typing.Any = None
        self._silence = PeerSilence(0.0)
        self._acknowledged_bytes = 0
        self._progress_at = 0.0

    @property
    def stalled_s(self) -> float:
        """Time for which the peer has taken nothing of what waits for it.

        In seconds, to one look; 0 if nothing waits.
        """
        return 0.0 if self._timer is None else clock.now() - self._progress_at

    def before_send(self) -> None:
        """Watch the connection until what is sent now is acknowledged."""
        if self._timer is None:
            self._progress_at = clock.now()
            self._silence = PeerSilence(self._progress_at)
            self._look_in(FIRST_LOOK_S)

    def stop(self) -> None:
        """Watch the connection no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look_in(self, seconds: float) -> None:
        self._timer = hubs.get_hub().schedule_call_global(seconds, self._look)

    def _look(self) -> None:
        self._timer = None
        state = tcp_state.TcpState.of_connection(self._connection)
        if state is None or state.is_settled:
            return
        now = clock.now()
        if state.acknowledged_bytes > self._acknowledged_bytes:
            self._acknowledged_bytes = state.acknowledged_bytes
            self._progress_at = now
        self._silence.update(state, now)
        if self._silence.is_gone(now):
            on_gone = self._on_gone()
            if on_gone is not None:
                on_gone()
            return
        self._look_in(
            LOOK_INTERVAL_S if self._silence.is_suspicious else FIRST_LOOK_S
        )
