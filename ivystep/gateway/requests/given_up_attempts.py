"""Finds upstreams that crash under attempts that this host has given up.

The connection of such an attempt is closed, so its upstream's end does not show
there. The upstream is looked at again for a short time, at no cost while a
connection to it is open.
"""

import copy
import dataclasses
from collections.abc import Callable

import eventlet

from ivystep.gateway.requests import crashes, request_state
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock

# An upstream that crashes is down for longer.
CHECK_INTERVAL_S = 0.1
# An upstream ends most requests whose connection was closed before this.
SUSPECT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _GivenUp:
    """An attempt that was given up.

    Attributes:
        state: The request as it was then.
        at: Time in seconds.
    """

    state: request_state.RequestState
    at: float


class GivenUpAttempts:
    """The attempts that this host has given up within ``SUSPECT_S``.

    Args:
        evidence: Counts the crashes.
        on_ended: Called with an upstream that has crashed.
    """

    def __init__(
        self,
        evidence: crashes.Crashes,
        on_ended: Callable[[upstream_state.Upstream], None],
    ) -> None:
        self._evidence = evidence
        self._on_ended = on_ended
        self._attempts_by_upstream: dict[
            upstream_state.Upstream, list[_GivenUp]
        ] = {}

    def add(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Suspect a request until its upstream has had the time to end it.

        Args:
            state: The request, whose attempt was given up.
            upstream: The upstream, which may still run it.
        """
        given_up = _GivenUp(copy.copy(state), clock.now())
        is_watched = upstream in self._attempts_by_upstream
        self._attempts_by_upstream.setdefault(upstream, []).append(given_up)
        if not is_watched:
            eventlet.spawn(self._watch, upstream)

    def on_crash(self, upstream: upstream_state.Upstream) -> None:
        """Count the crash of an upstream against its given-up attempts."""
        now = clock.now()
        for attempt in self._attempts_by_upstream.pop(upstream, ()):
            if now - attempt.at <= SUSPECT_S:
                self._evidence.record(attempt.state, upstream, attempt.at)

    def _watch(self, upstream: upstream_state.Upstream) -> None:
        while upstream in self._attempts_by_upstream:
            clock.sleep(CHECK_INTERVAL_S)
            self._drop_old(upstream)
            # The requests in progress notice the end by themselves.
            if not upstream.in_progress and upstream.connections.has_ended():
                self.on_crash(upstream)
                self._on_ended(upstream)

    def _drop_old(self, upstream: upstream_state.Upstream) -> None:
        horizon = clock.now() - SUSPECT_S
        kept = [
            attempt
            for attempt in self._attempts_by_upstream.pop(upstream, ())
            if attempt.at > horizon
        ]
        if kept:
            self._attempts_by_upstream[upstream] = kept
