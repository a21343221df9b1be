"""Collects the demand of one entry for the adapters of a pool."""

import collections
import math
from collections.abc import Callable, Iterable

from ivystep.core import types
from ivystep.entry import waiting
from ivystep.runtime import clock


class LocalDemand:
    """The requests for a pool's adapters that arrive, wait and run here.

    Args:
        waiting_requests: The waiting requests.
        weight: Returns the fair-share weight of an account.
    """

    def __init__(
        self,
        waiting_requests: waiting.WaitingRequests,
        weight: Callable[[str], float],
    ) -> None:
        self._waiting = waiting_requests
        self._weight = weight
        self._arrivals: collections.Counter[types.AdapterRef] = (
            collections.Counter()
        )
        self._latest_request_by_ref: dict[types.AdapterRef, types.Request] = {}
        self._running_by_ref: collections.Counter[types.AdapterRef] = (
            collections.Counter()
        )

    def __bool__(self) -> bool:
        """Return whether there is anything to report."""
        return bool(self._arrivals or self._waiting or self._running_by_ref)

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    def record_arrival(
        self, ref: types.AdapterRef, request: types.Request
    ) -> None:
        """Record a new request.

        Args:
            ref: The adapter that it needs.
            request: The request.
        """
        self._arrivals[ref] += 1
        self._latest_request_by_ref[ref] = request

    def record_start(self, ref: types.AdapterRef | None) -> None:
        """Record that a request runs; None for one without an adapter."""
        if ref is not None:
            self._running_by_ref[ref] += 1

    def record_end(self, ref: types.AdapterRef | None) -> None:
        """Record that a request has ended; None for one without an adapter."""
        if ref is None:
            return
        self._running_by_ref[ref] -= 1
        if not self._running_by_ref[ref]:
            del self._running_by_ref[ref]

    def collect(self) -> tuple[types.AdapterDemand, ...]:
        """Return the demand, with the arrivals since the last call."""
        arrivals = self._arrivals
        latest_request_by_ref = self._latest_request_by_ref
        self._arrivals = collections.Counter()
        self._latest_request_by_ref = {}
        refs = dict.fromkeys(
            (*self._waiting.refs(), *arrivals, *self._running_by_ref)
        )
        return tuple(
            self._adapter_demand(
                ref, arrivals[ref], latest_request_by_ref.get(ref)
            )
            for ref in refs
        )

    def _adapter_demand(
        self,
        ref: types.AdapterRef,
        arrivals: int,
        latest_request: types.Request | None,
    ) -> types.AdapterDemand:
        now = clock.now()
        waiters = self._waiting.waiting_for(ref)
        request = waiters[-1].request if waiters else latest_request
        waiting_since = min(
            (waiter.waiting_since for waiter in waiters), default=now
        )
        late = [
            waiter
            for waiter in waiters
            if waiter.request.target_start_by <= now
        ]
        timely = [
            waiter for waiter in waiters if waiter.request.target_start_by > now
        ]
        target_start_by = min(
            (one.request.target_start_by for one in timely), default=math.inf
        )
        start_by = min((waiter.start_by for waiter in waiters), default=now)
        return types.AdapterDemand(
            ref=ref,
            source=request.adapter_source if request else '',
            setup_version=request.setup_version if request else 0,
            weight=self._weight(ref.account),
            waiting=len(waiters),
            oldest_wait_s=now - waiting_since,
            start_within_s=max(start_by - now, 0),
            arrivals=arrivals,
            running=self._running_by_ref[ref],
            target_start_within_s=target_start_by - now,
            timely_value=sum(one.request.value_rate for one in timely),
            late_value=sum(one.request.value_rate for one in late),
            software_versions=_software_versions(waiters),
        )


def _software_versions(
    waiters: Iterable[waiting.WaitingRequest],
) -> tuple[str, ...]:
    """Return the software versions that waiting requests need."""
    versions = {waiter.request.software_version for waiter in waiters}
    return tuple(sorted(version for version in versions if version is not None))
