"""Keeps the state of upstreams as reported, and routes requests to them."""

import collections
import dataclasses
import hashlib
import math
import random
import typing
from collections.abc import Iterable

from ivystep.coordination import failure_detector
from ivystep.core import types

# Reports are coalesced over 50 ms and then cross the network, so a request
# that was sent shortly before a report arrived may not be counted in it.
REPORT_LAG_S = 0.1
MAX_FORMER_UPSTREAMS = 4096
# Upstreams among which a request without an adapter chooses.
SAMPLED_UPSTREAMS = 4
NO_UPSTREAMS: frozenset[str] = frozenset()


def rendezvous(key: str, names: Iterable[str]) -> str:
    """Choose one name for a key by rendezvous hashing.

    All callers with the same names choose the same one. Adding or removing a
    name changes the choice only for the keys that are assigned to it.

    Args:
        key: What is assigned, for example the name of a pool.
        names: The candidates; must not be empty.

    Returns:
        The name with the highest hash.
    """
    return max(
        names,
        key=lambda name: hashlib.sha256(f'{key}\0{name}'.encode()).digest(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRules:
    """How an index chooses among its upstreams.

    Attributes:
        silence_s: Time in seconds without a report after which an upstream
            gets no new requests; infinite if it does not report on its own.
        remote_cost: Share of a batch by which an upstream in this data centre
            may be fuller than one elsewhere and still be preferred.
        is_local_only: Whether a request leaves the data centre only if no
            usable upstream in it can serve the request.
    """

    silence_s: float = failure_detector.TIMEOUT_S
    remote_cost: float = math.inf
    is_local_only: bool = False


class Destinations(typing.Protocol):
    """Draws the data centre of each request."""

    def choose(self, now: float) -> str:
        """Return the data centre of the next request; empty if any."""

    def record(
        self, destination: str, now: float, *, drawn: str, has_drawn: bool
    ) -> None:
        """Record the data centre to which a request is sent."""


class UpstreamView:
    """The state of one upstream as known to this entry.

    Args:
        status: Its first report.
        link: Link to the sidecar.
        silence_s: See ``RoutingRules``.

    Attributes:
        status: The last report.
        link: Link to the sidecar.
        reported_at: Time of receipt of the last report, in seconds.
        in_flight: Attempts of this entry that are in progress on the upstream.
        in_flight_by_account: The same by account.
        is_lost: Whether the connection to the sidecar has ended.
        data_centre: Data centre of the upstream; empty if unknown.
    """

    def __init__(
        self,
        status: types.UpstreamStatus,
        link: typing.Any,
        silence_s: float = failure_detector.TIMEOUT_S,
    ) -> None:
        self.status = status
        self.link = link
        self.reported_at = 0.0
        self.in_flight = 0
        self.in_flight_by_account: collections.Counter[str] = (
            collections.Counter()
        )
        self.is_lost = False
        self.data_centre = ''
        self._detector = failure_detector.FailureDetector(silence_s)
        self._recent: collections.deque[float] = collections.deque()
        self._former_incarnations: collections.deque[str] = collections.deque(
            maxlen=8
        )

    def accepts(self, status: types.UpstreamStatus) -> bool:
        """Return whether a report is newer than the last one.

        Args:
            status: A report, possibly repeated or out of order.
        """
        incarnation = status.sidecar_incarnation
        if incarnation == self.status.sidecar_incarnation:
            return status.sequence > self.status.sequence
        return incarnation not in self._former_incarnations

    def apply_status(
        self, status: types.UpstreamStatus, link: typing.Any, now: float
    ) -> None:
        """Update the view from an accepted report.

        Args:
            status: The report.
            link: Link to the sidecar that sent it.
            now: Time of receipt in seconds.
        """
        if status.sidecar_incarnation != self.status.sidecar_incarnation:
            self._former_incarnations.append(self.status.sidecar_incarnation)
        self.status = status
        self.link = link
        self.reported_at = now
        self._detector.heartbeat(now)
        self.is_lost = False
        while self._recent and self._recent[0] < now - REPORT_LAG_S:
            self._recent.popleft()

    def is_usable(self, now: float) -> bool:
        """Return whether new requests may be sent to the upstream.

        Args:
            now: Current time in seconds.
        """
        is_open = self.status.healthy and not self.status.draining
        is_reporting = not self._detector.is_suspected(now)
        return is_reporting and is_open and not self.is_lost

    @property
    def running(self) -> int:
        """Running requests, including those sent since the report."""
        return max(self.status.running + len(self._recent), self.in_flight)

    @property
    def fill(self) -> float:
        """Running requests divided by the size of the engine's batch."""
        return self.running / max(self.status.max_running, 1)

    def has_room(self, now: float) -> bool:
        """Return whether one more request fits into the engine's batch.

        Args:
            now: Current time in seconds.
        """
        return self.is_usable(now) and self.running < self.status.max_running

    def accepts_retry(self, avoid: frozenset[str], since: float) -> bool:
        """Return whether the upstream may get a request, perhaps a second time.

        Args:
            avoid: Upstreams to which the request was sent before.
            since: Time at which the last attempt ended, in seconds.
        """
        return self.status.upstream_id not in avoid or self.reported_at > since

    def has_version(self, software_version: str | None) -> bool:
        """Return whether the upstream runs a version of the software.

        Args:
            software_version: The version; None for any.
        """
        return software_version in {None, self.status.software_version}

    def reserve(self, account: str, now: float) -> None:
        """Count a request that is sent to the upstream.

        Args:
            account: Account of the request.
            now: Current time in seconds.
        """
        self.in_flight += 1
        self.in_flight_by_account[account] += 1
        self._recent.append(now)

    def release(self, account: str) -> None:
        """Count the end of a request that was sent to the upstream.

        Args:
            account: Account of the request.
        """
        self.in_flight -= 1
        # A request that has ended uses no capacity, reported or not.
        while len(self._recent) > max(self.in_flight, 0):
            self._recent.popleft()
        self.in_flight_by_account[account] -= 1
        if not self.in_flight_by_account[account]:
            del self.in_flight_by_account[account]


class UpstreamIndex:
    """The upstreams of a pool, indexed by the adapters that they hold.

    Args:
        data_centre: Data centre of this entry; empty if it has none.
        rules: How upstreams are chosen.
        destinations: Draws the data centre of each request; None if only the
            rules count.
    """

    def __init__(
        self,
        data_centre: str = '',
        rules: RoutingRules | None = None,
        destinations: Destinations | None = None,
    ) -> None:
        self.rules = rules or RoutingRules()
        self.view_by_id: dict[str, UpstreamView] = {}
        self._former_by_id: collections.OrderedDict[str, UpstreamView] = (
            collections.OrderedDict()
        )
        self._ids_by_ref: dict[types.AdapterRef, set[str]] = {}
        self._data_centre = data_centre
        self._destinations = destinations
        self._data_centre_by_id: dict[str, str] = {}
        self._ids: list[str] = []
        self._ids_by_data_centre: collections.defaultdict[str, list[str]] = (
            collections.defaultdict(list)
        )

    @property
    def in_flight(self) -> int:
        """Requests of this entry that are in progress on any upstream."""
        views = (*self.view_by_id.values(), *self._former_by_id.values())
        return sum(view.in_flight for view in views)

    def apply_status(
        self, status: types.UpstreamStatus, link: typing.Any, now: float
    ) -> UpstreamView | None:
        """Update an upstream's view from a report.

        Args:
            status: The report.
            link: Link to the sidecar that sent it.
            now: Time of receipt in seconds.

        Returns:
            The upstream's view, or None if the report is outdated.
        """
        upstream_id = status.upstream_id
        view = self.view_by_id.get(upstream_id)
        if view is None:
            view = self._former_by_id.get(upstream_id)
        if view is None:
            view = UpstreamView(status, link, self.rules.silence_s)
            view.data_centre = self._data_centre_by_id.get(upstream_id, '')
        elif not view.accepts(status):
            return None
        self._unindex(view)
        view.apply_status(status, link, now)
        self._add(view)
        return view

    def remove(self, upstream_id: str) -> None:
        """Send no new requests to an upstream until it reports again.

        Args:
            upstream_id: The upstream; an unknown one is ignored.
        """
        view = self.view_by_id.pop(upstream_id, None)
        if view is None:
            return
        self._unindex(view)
        self._ids.remove(upstream_id)
        self._ids_by_data_centre[view.data_centre].remove(upstream_id)
        view.is_lost = True
        # The view is kept to recognize outdated reports, and to count the end
        # of requests that are still in progress there.
        self._former_by_id[upstream_id] = view
        if len(self._former_by_id) > MAX_FORMER_UPSTREAMS:
            self._former_by_id.popitem(last=False)

    def view(self, upstream_id: str) -> UpstreamView | None:
        """Return the view of an upstream, even if its connection is lost."""
        return self.view_by_id.get(upstream_id) or self._former_by_id.get(
            upstream_id
        )

    def record_data_centre(self, upstream_id: str, data_centre: str) -> None:
        """Record the data centre of an upstream."""
        self._data_centre_by_id[upstream_id] = data_centre
        view = self.view(upstream_id)
        if view is None or view.data_centre == data_centre:
            return
        if upstream_id in self.view_by_id:
            self._ids_by_data_centre[view.data_centre].remove(upstream_id)
            self._ids_by_data_centre[data_centre].append(upstream_id)
        view.data_centre = data_centre

    def is_held(self, ref: types.AdapterRef) -> bool:
        """Return whether any upstream reports an adapter as resident."""
        return ref in self._ids_by_ref

    def holders(self, ref: types.AdapterRef) -> list[UpstreamView]:
        """Return the upstreams that report an adapter as resident."""
        return [
            self.view_by_id[upstream_id]
            for upstream_id in self._ids_by_ref.get(ref, ())
        ]

    def route(
        self,
        ref: types.AdapterRef | None,
        now: float,
        avoid: frozenset[str] = NO_UPSTREAMS,
        avoid_until: float = 0.0,
        software_version: str | None = None,
    ) -> UpstreamView | None:
        """Choose the upstream for one request.

        Among the upstreams with room, those not tried before come first, then
        those in the data centre that is drawn for the request, or in this
        entry's if none is drawn, then those with the emptier batch. If
        ``remote_cost`` is finite, it is added to the fill of upstreams
        elsewhere instead. Ties are broken at random, so that entries with the
        same reports do not all choose the same upstream.

        No data centre is drawn for retries and resumed streams.

        Args:
            ref: The adapter that must be resident, or None.
            now: Current time in seconds.
            avoid: Upstreams that were tried before.
            avoid_until: Time after which an upstream that was tried before must
                have reported to be chosen again, in seconds.
            software_version: Version that the upstream must run; None for any.

        Returns:
            The upstream, or None if none has room.
        """
        drawn = ''
        if self._destinations and not avoid and software_version is None:
            drawn = self._destinations.choose(now)
        if ref is None:
            candidates = self._sampled_views(
                now, avoid, software_version, drawn
            )
        else:
            candidates = self.holders(ref)
        chosen = min(
            (
                view
                for view in candidates
                if view.accepts_retry(avoid, avoid_until)
                and view.has_version(software_version)
                and view.has_room(now)
                and self.is_allowed(view, ref, now, avoid)
            ),
            key=lambda view: self._preference(view, avoid, drawn),
            default=None,
        )
        if self._destinations and chosen:
            self._destinations.record(
                chosen.data_centre,
                now,
                drawn=drawn,
                has_drawn=any(view.data_centre == drawn for view in candidates),
            )
        return chosen

    def is_allowed(
        self,
        view: UpstreamView,
        ref: types.AdapterRef | None,
        now: float,
        avoid: frozenset[str] = NO_UPSTREAMS,
    ) -> bool:
        """Return whether the rules let an upstream have a request.

        Args:
            view: The upstream.
            ref: The adapter that must be resident, or None.
            now: Current time in seconds.
            avoid: Upstreams that were tried before.
        """
        is_local = view.data_centre == self._data_centre
        if is_local or not self.rules.is_local_only:
            return True
        views = self.view_by_id.values() if ref is None else self.holders(ref)
        return not any(
            other.data_centre == self._data_centre
            and other.is_usable(now)
            and other.status.upstream_id not in avoid
            for other in views
        )

    def _sampled_views(
        self,
        now: float,
        avoid: frozenset[str],
        software_version: str | None,
        drawn: str,
    ) -> list[UpstreamView]:
        """Return a random sample of the upstreams, or all if it has no room.

        Args:
            now: Current time in seconds.
            avoid: Upstreams that were tried before.
            software_version: Version that the upstream must run; None for any.
            drawn: Data centre to which the sample is limited; empty if to none.
        """
        ids = self._ids
        if drawn:
            ids = self._ids_by_data_centre.get(drawn, [])
        few = random.sample(ids, min(SAMPLED_UPSTREAMS, len(ids)))
        views = [self.view_by_id[upstream_id] for upstream_id in few]
        if any(
            view.has_room(now)
            and view.has_version(software_version)
            and view.status.upstream_id not in avoid
            and self.is_allowed(view, None, now, avoid)
            for view in views
        ):
            return views
        return list(self.view_by_id.values())

    def _preference(
        self, view: UpstreamView, avoid: frozenset[str], drawn: str
    ) -> tuple[bool, bool, float, float]:
        was_tried = view.status.upstream_id in avoid
        is_remote = view.data_centre != self._data_centre
        is_elsewhere = bool(drawn) and view.data_centre != drawn
        fill = view.fill
        if math.isinf(self.rules.remote_cost):
            is_elsewhere = is_elsewhere if drawn else is_remote
            return was_tried, is_elsewhere, fill, random.random()
        cost = fill + self.rules.remote_cost * is_remote
        return was_tried, is_elsewhere, cost, random.random()

    def _add(self, view: UpstreamView) -> None:
        upstream_id = view.status.upstream_id
        self._former_by_id.pop(upstream_id, None)
        if upstream_id not in self.view_by_id:
            self._ids.append(upstream_id)
            self._ids_by_data_centre[view.data_centre].append(upstream_id)
        self.view_by_id[upstream_id] = view
        for ref in view.status.resident_by_ref:
            self._ids_by_ref.setdefault(ref, set()).add(upstream_id)

    def _unindex(self, view: UpstreamView) -> None:
        for ref in view.status.resident_by_ref:
            holders = self._ids_by_ref.get(ref)
            if holders is not None:
                holders.discard(view.status.upstream_id)
                if not holders:
                    del self._ids_by_ref[ref]
