"""Queues of the requests at one entry that wait for an upstream."""

import collections
import functools
from collections.abc import Callable, Collection, Iterable, Iterator

from eventlet import event

from ivystep.core import types
from ivystep.policy import routing


class WaitingRequest:
    """A request that waits for an upstream.

    Args:
        request: The request.
        avoid: Ids of the upstreams that were tried before.
        waiting_since: Time at which it began to wait.
        start_by: Latest time of placement that meets its deadline.

    Attributes:
        placement: The placement; None while the request waits.
        placed: Event with the placement, or with the error that ends the wait.
    """

    def __init__(
        self,
        request: types.Request,
        avoid: Collection[str],
        waiting_since: float,
        start_by: float,
    ) -> None:
        self.request = request
        self.avoid = frozenset(avoid)
        self.waiting_since = waiting_since
        self.start_by = start_by
        self.placement: types.Placement | None = None
        self.placed = event.Event()


_Queue = collections.OrderedDict[int, WaitingRequest]
# Account and required software version.
_QueueKey = tuple[str, str | None]


class WaitingRequests:
    """Queues per adapter, account and software version, by arrival.

    A request that only few upstreams can take must not hold up the others.
    """

    def __init__(self) -> None:
        self._queue_by_key_by_ref: dict[
            types.AdapterRef | None, dict[_QueueKey, _Queue]
        ] = {}

    def __bool__(self) -> bool:
        """Return whether any request waits."""
        return bool(self._queue_by_key_by_ref)

    def add(self, waiting: WaitingRequest) -> bool:
        """Add a request; return whether it is the first for its adapter."""
        ref = waiting.request.adapter
        is_first = ref not in self._queue_by_key_by_ref
        queues = self._queue_by_key_by_ref.setdefault(ref, {})
        queue = queues.setdefault(
            _queue_key(waiting.request), collections.OrderedDict()
        )
        queue[id(waiting)] = waiting
        return is_first

    def discard(self, waiting: WaitingRequest) -> None:
        """Remove a request, if present."""
        request = waiting.request
        queues = self._queue_by_key_by_ref.get(request.adapter, {})
        queue = queues.get(_queue_key(request))
        if queue is None or queue.pop(id(waiting), None) is None:
            return
        if not queue:
            del queues[_queue_key(request)]
        if not queues:
            del self._queue_by_key_by_ref[request.adapter]

    def heads(
        self, refs: Iterable[types.AdapterRef | None]
    ) -> Iterator[WaitingRequest]:
        """Yield the oldest request of each queue for each given adapter."""
        for ref in refs:
            for queue in self._queue_by_key_by_ref.get(ref, {}).values():
                yield next(iter(queue.values()))

    def next_for(
        self,
        view: routing.UpstreamView,
        weight: Callable[[str], float],
        is_allowed: Callable[[types.AdapterRef | None], bool],
    ) -> WaitingRequest | None:
        """Return the waiting request that an upstream takes next.

        Args:
            view: The upstream.
            weight: Returns the fair-share weight of an account.
            is_allowed: Returns whether the upstream may have requests for an
                adapter, or without one.

        Returns:
            The request; None if the upstream can take none of them.
        """
        # The account with the fewest requests on the upstream, relative to
        # its weight, comes first, so that a flood by one account does not
        # fill every batch.
        return min(
            (
                head
                for head in self.heads((None, *view.status.resident_by_ref))
                if view.accepts_retry(head.avoid, head.waiting_since)
                and view.has_version(head.request.software_version)
                and is_allowed(head.request.adapter)
            ),
            key=functools.partial(_order_on, view, weight),
            default=None,
        )

    def has_earlier(self, request: types.Request) -> bool:
        """Return whether others wait for what a request needs.

        Args:
            request: A request that has just arrived.
        """
        queues = self._queue_by_key_by_ref.get(request.adapter, {})
        return any(
            version in {None, request.software_version} for _, version in queues
        )

    def waiting_for(self, ref: types.AdapterRef | None) -> list[WaitingRequest]:
        """Return the requests that wait for an adapter."""
        return [
            waiting
            for queue in self._queue_by_key_by_ref.get(ref, {}).values()
            for waiting in queue.values()
        ]

    def refs(self) -> list[types.AdapterRef]:
        """Return the adapters that requests wait for."""
        return [ref for ref in self._queue_by_key_by_ref if ref is not None]


def _order_on(
    view: routing.UpstreamView,
    weight: Callable[[str], float],
    waiter: WaitingRequest,
) -> tuple[float, float]:
    account = waiter.request.account
    used = view.in_flight_by_account[account] / weight(account)
    return used, waiter.waiting_since


def _queue_key(request: types.Request) -> _QueueKey:
    return request.account, request.software_version
