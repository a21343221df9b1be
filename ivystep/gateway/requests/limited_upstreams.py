"""Keeps to the limits and the rest that upstreams ask for in their answers.

An upstream that rests counts as unavailable, and so does a limited one between
two turns of this host, so that its pool sends requests elsewhere. If all
upstreams of a service rest or are limited, requests whose turn would come too
late are refused at once.
"""

import collections
import contextlib
from collections.abc import Callable, Generator

import eventlet

from ivystep.core import errors
from ivystep.gateway import events
from ivystep.gateway.requests import request_state
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock, event_log
from ivystep.traffic import calls

HIGHEST_SUCCESS_STATUS = 299

OnChange = Callable[[upstream_state.Upstream], None]


class LimitedUpstreams:
    """The upstreams of this host that name a limit or rest.

    Args:
        upstream_by_id: The upstreams that this host knows.
        host_count: Returns the number of hosts that share each limit.
        on_change: Called when an upstream becomes available or unavailable.
        log: Event log of changed limits.
    """

    def __init__(
        self,
        upstream_by_id: dict[str, upstream_state.Upstream],
        host_count: Callable[[], int],
        on_change: OnChange,
        log: event_log.EventLog,
    ) -> None:
        self._upstream_by_id = upstream_by_id
        self._host_count = host_count
        self._on_change = on_change
        self._log = log
        self._waiting_for_turn: set[upstream_state.Upstream] = set()
        self._waiting_by_service: collections.Counter[str] = (
            collections.Counter()
        )

    def on_answer(
        self,
        upstream: upstream_state.Upstream,
        head: calls.AnswerHead,
        sent_at: float,
    ) -> None:
        """Apply the limit and the rest that an answer names, or none.

        Args:
            upstream: The upstream that answered.
            head: The head of its answer.
            sent_at: Time at which the request was sent.
        """
        if head.rest_s is not None:
            upstream.rest(head.rest_s, clock.now())
            self.refresh(upstream)
        before = upstream.limit.limit_per_s
        if head.limit_per_s is not None:
            upstream.limit.on_named(
                head.limit_per_s, self._host_count(), clock.now()
            )
        elif not head.is_not_run and head.status <= HIGHEST_SUCCESS_STATUS:
            upstream.limit.on_not_named(sent_at)
        named = upstream.limit.limit_per_s
        if named == before:
            return
        self._log.write(
            events.UpstreamLimited(
                upstream.upstream_id,
                -1.0 if named is None else named,
                self._host_count(),
            )
        )
        self.refresh(upstream)

    def try_take(self, upstream: upstream_state.Upstream) -> bool:
        """Take this host's turn to send one request to an upstream.

        Returns:
            False if the upstream is limited and it is not this host's turn.
        """
        if not upstream.limit.is_limited:
            return True
        is_taken = upstream.limit.try_take(clock.now())
        self.refresh(upstream)
        return is_taken

    def refresh(self, upstream: upstream_state.Upstream) -> None:
        """Update an upstream's availability now and at this host's turn."""
        self._on_change(upstream)
        wait_s = upstream.wait_s(clock.now())
        if wait_s > 0 and upstream not in self._waiting_for_turn:
            self._waiting_for_turn.add(upstream)
            eventlet.spawn_after(wait_s, self._on_turn, upstream)

    @contextlib.contextmanager
    def wait_in_turn(
        self, state: request_state.RequestState
    ) -> Generator[None]:
        """Count a request as waiting for a place within the context.

        Raises:
            errors.RefusedError: All upstreams of its service rest or are
                limited, and the request's turn would come after its latest
                start.
        """
        wait_s = self.expected_wait_s(state.service)
        if wait_s and clock.now() + wait_s > state.send_by:
            raise errors.RefusedError(
                'upstream_limited',
                'All upstreams rest, or take fewer requests than are waiting.',
                status=503,
                retry_after_s=wait_s,
                step='place',
                peer=state.service,
            )
        self._waiting_by_service[state.service] += 1
        try:
            yield
        finally:
            self._waiting_by_service[state.service] -= 1

    def expected_wait_s(self, service: str) -> float:
        """Return the wait of a service's next request.

        The upstreams are searched only while one of them rests or is limited.

        Args:
            service: Name of the service.

        Returns:
            Time in seconds; 0 if an upstream neither rests nor is limited.
        """
        if not self._waiting_for_turn:
            return 0.0
        now = clock.now()
        found = [
            upstream
            for upstream in self._upstream_by_id.values()
            if upstream.entry.service == service and not upstream.is_draining
        ]
        waits_s = [
            upstream.rest_s(now)
            for upstream in found
            if not upstream.limit.is_limited
        ]
        limited = [upstream for upstream in found if upstream.limit.is_limited]
        if limited:
            share_per_s = sum(one.limit.share_per_s for one in limited)
            first_turn_s = min(one.wait_s(now) for one in limited)
            waiting = self._waiting_by_service[service]
            waits_s.append(first_turn_s + waiting / share_per_s)
        return min(waits_s, default=0.0)

    def _on_turn(self, upstream: upstream_state.Upstream) -> None:
        self._waiting_for_turn.discard(upstream)
        self.refresh(upstream)
