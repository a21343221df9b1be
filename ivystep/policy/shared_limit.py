"""Divides the requests per second that one upstream takes among all hosts.

An overloaded upstream states the limit in its answers, and each host that has
seen it keeps to an equal share without asking the others: it takes turns that
are ``hosts / limit`` seconds apart. The load that this answers is a few
requests a second at an upstream that all hosts know.

Unused turns must not add up: after a quiet time, all hosts would send at once.
A few hosts may each keep one turn. Of many hosts, each one's turn passes, so
that only those whose turn has just come can send.
"""

import random
from collections.abc import Callable

# Below this limit, turns would be so far apart that no host would learn that
# the upstream has recovered.
MIN_LIMIT_PER_S = 0.4
# Largest number of hosts that may each keep an unused turn.
MAX_HOSTS_THAT_KEEP_TURNS = 4
# Time for which a turn lasts if it is not kept.
TURN_LIFE_S = 1.0


class SharedLimit:
    """This host's share of the limit of one upstream.

    Args:
        draw: Returns a random number from 0 to 1.

    Attributes:
        limit_per_s: Requests per second that the upstream takes from all hosts;
            None if it names no limit.
    """

    def __init__(self, draw: Callable[[], float] = random.random) -> None:
        self.limit_per_s: float | None = None
        self._draw = draw
        self._hosts = 1
        self._named_at = float('-inf')
        self._last_turn_at = float('-inf')

    @property
    def is_limited(self) -> bool:
        """Whether the upstream names a limit."""
        return self.limit_per_s is not None

    def on_named(self, limit_per_s: float, hosts: int, now: float) -> None:
        """Apply a limit that the upstream has named.

        The first turn comes after a random part of the time between turns, so
        that hosts which learn of the limit together do not send together.

        Args:
            limit_per_s: Requests per second from all hosts.
            hosts: Number of hosts that share it.
            now: Current time in seconds.
        """
        is_first = not self.is_limited
        self.limit_per_s = limit_per_s
        self._hosts = max(hosts, 1)
        self._named_at = now
        if is_first:
            self._last_turn_at = now - self._interval_s * self._draw()

    def on_not_named(self, sent_at: float) -> None:
        """Lift the limit after an answer that names none.

        Args:
            sent_at: Time at which the answered request was sent. Answers may
                overtake each other, so one to a request from before the limit
                was named says nothing.
        """
        if sent_at > self._named_at:
            self.limit_per_s = None

    def wait_s(self, now: float) -> float:
        """Return the time until this host's next turn; 0 if it may send now."""
        if not self.is_limited:
            return 0.0
        elapsed_s = now - self._last_turn_at
        interval_s = self._interval_s
        if elapsed_s < interval_s:
            return interval_s - elapsed_s
        if self._hosts <= MAX_HOSTS_THAT_KEEP_TURNS:
            return 0.0
        since_turn_s = elapsed_s % interval_s
        return 0.0 if since_turn_s < TURN_LIFE_S else interval_s - since_turn_s

    def try_take(self, now: float) -> bool:
        """Take this host's turn to send one request.

        Args:
            now: Current time in seconds.

        Returns:
            False if it is not this host's turn.
        """
        if self.wait_s(now) > 0:
            return False
        self._last_turn_at = now
        return True

    @property
    def share_per_s(self) -> float:
        """Requests per second that this host may send under the limit."""
        return 1 / self._interval_s

    @property
    def _interval_s(self) -> float:
        """Time between two turns of this host."""
        return self._hosts / max(self.limit_per_s or 0.0, MIN_LIMIT_PER_S)
