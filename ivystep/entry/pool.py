"""Places the requests for one base model on its upstreams.

A request waits in its pool until an upstream with its adapter resident has
room in its batch. The pool's planner, at this or another entry, decides which
adapters are loaded.
"""

import functools
import typing
from collections.abc import Callable, Collection, Mapping

import eventlet

from ivystep.core import errors, types
from ivystep.entry import (
    demand_reporter,
    links,
    local_demand,
    planner,
    service_time,
    waiting,
)
from ivystep.metrics import registry
from ivystep.policy import routing
from ivystep.runtime import clock
from ivystep.setup import document

IDLE_REPORT_INTERVAL_S = 1.0
MIN_RETRY_AFTER_S = 1.0
# Demand and forecast are rounded down to milliseconds on their way.
WIRE_ROUNDING_S = 0.002

MakePlanner = Callable[[str, routing.UpstreamIndex], typing.Any]
ChooseSink = Callable[[str, planner.DemandSink], planner.DemandSink]


def use_local_planner(
    pool: str, local: planner.DemandSink
) -> planner.DemandSink:
    """Return this entry's planner; a ``ChooseSink`` without peers."""
    return local


class Pool:
    """The upstreams of one base model or plain service, as one entry sees them.

    Args:
        name: Name of the pool.
        process_id: Id of this entry.
        choose_sink: Returns the planner of the pool; gets the pool's name and
            the planner at this entry.
        data_centre: Data centre of this entry; empty if unknown.
        metrics: Records load stalls and waiting requests.
        index: The pool's upstreams; a new index with default rules if None.
        make_planner: Creates the planner at this entry; ``planner.Planner``
            if None.
        idle_report_s: Time between demand reports while no request waits, in
            seconds.

    Attributes:
        planner: The planner at this entry; it plans only if ``choose_sink``
            chooses it, but always counts arrivals.
    """

    def __init__(
        self,
        name: str,
        process_id: str,
        choose_sink: ChooseSink = use_local_planner,
        data_centre: str = '',
        metrics: registry.Metrics | None = None,
        index: routing.UpstreamIndex | None = None,
        make_planner: MakePlanner | None = None,
        idle_report_s: float = IDLE_REPORT_INTERVAL_S,
    ) -> None:
        self.name = name
        self._metrics = metrics or registry.Metrics()
        self._index = index or routing.UpstreamIndex(data_centre)
        self.planner = (
            planner.Planner(process_id, self._index)
            if make_planner is None
            else make_planner(process_id, self._index)
        )
        self._waiting = waiting.WaitingRequests()
        self._service_time = service_time.ServiceTime()
        self._weight_by_account: Mapping[str, float] = {}
        self._demand = local_demand.LocalDemand(self._waiting, self._weight)
        self._reporter = demand_reporter.DemandReporter(
            name,
            process_id,
            self._demand,
            self.planner,
            choose_sink,
            on_forecast=self._refuse_late,
            idle_report_s=idle_report_s,
        )

    @property
    def in_progress(self) -> int:
        """Number of placements that have not been finished."""
        return self._index.in_flight

    def is_held(self, ref: types.AdapterRef) -> bool:
        """Return whether any upstream reports an adapter as resident."""
        return self._index.is_held(ref)

    def holders(self, ref: types.AdapterRef) -> list[str]:
        """Return the ids of the upstreams with an adapter resident."""
        return [view.status.upstream_id for view in self._index.holders(ref)]

    def configure(
        self,
        settings: document.Pool,
        weight_by_account: Mapping[str, float] | None = None,
    ) -> None:
        """Set the values that a setup has for the pool.

        Args:
            settings: The pool in the setup document.
            weight_by_account: Fair-share weights; 1 for other accounts.
        """
        self.planner.configure(settings.loads_per_s, settings.batching_weight)
        self._weight_by_account = weight_by_account or {}

    def record_data_centre(self, upstream_id: str, data_centre: str) -> None:
        """Record the data centre of an upstream."""
        self._index.record_data_centre(upstream_id, data_centre)

    def on_status(
        self, status: types.UpstreamStatus, link: links.UpstreamLink
    ) -> None:
        """Process a status report of a sidecar; ignore an outdated one.

        Args:
            status: The status report.
            link: Link to the sidecar.
        """
        view = self._index.apply_status(status, link, clock.now())
        if view is not None:
            self._place_waiting(view)
            self.planner.on_status(view)

    def on_lost(self, upstream_id: str) -> None:
        """Give no new work to an upstream until it reports again."""
        self._index.remove(upstream_id)
        self.planner.on_lost(upstream_id)
        self._reporter.wake()

    def link(self, upstream_id: str) -> links.UpstreamLink:
        """Return the link to an upstream.

        Raises:
            errors.RefusedError: The upstream was removed.
        """
        view = self._index.view_by_id.get(upstream_id)
        if view is None:
            raise errors.RefusedError(
                'upstream_unavailable',
                'The upstream is gone.',
                status=503,
                retry_after_s=MIN_RETRY_AFTER_S,
                step='route',
                peer=upstream_id,
            )
        return view.link

    def place(
        self, request: types.Request, avoid: Collection[str] = ()
    ) -> types.Placement:
        """Place a request on an upstream, waiting until one can take it.

        Args:
            request: The request.
            avoid: Ids of upstreams tried before. One of them is used only if
                there is no other and it has reported since: an earlier report
                may name an adapter that has been evicted.

        Returns:
            The placement; the caller must pass it to ``finish``.

        Raises:
            errors.RefusedError: The request cannot start in time for its
                deadline.
        """
        now = clock.now()
        self._record_arrival(request)
        start_by = self._start_by(request, now)
        waiter = waiting.WaitingRequest(request, avoid, now, start_by)
        if not self._waiting.has_earlier(request):
            view = self._route(waiter)
            if view is not None:
                self._metrics.record_load_stall(request.account, 0)
                return self._reserve(waiter, view)
        is_stalled = not self._index.is_held(request.adapter)
        if self._waiting.add(waiter):
            self._reporter.wake()
        placement = None
        self._metrics.change_waiting(request.account, 1)
        try:
            placement = self._wait(waiter)
        finally:
            self._metrics.change_waiting(request.account, -1)
            self._end_wait(waiter, placement)
        stall_s = clock.now() - now if is_stalled else 0
        self._metrics.record_load_stall(request.account, stall_s)
        return placement

    def finish(self, placement: types.Placement) -> None:
        """Release the capacity that a placement reserved."""
        request = placement.request
        self._demand.record_end(request.adapter)
        self._service_time.finish(request.request_id, clock.now())
        self.planner.service_s = self._service_time.mean_s
        view = self._index.view(placement.upstream_id)
        if view is not None:
            view.release(request.account)
            self._place_waiting(view)
            self.planner.wake()

    def _start_by(self, request: types.Request, now: float) -> float:
        """Return the latest start that meets the request's deadline."""
        if request.start_by is not None:
            return request.start_by
        return self._service_time.latest_start(request.deadline, now)

    def _end_wait(
        self, waiter: waiting.WaitingRequest, placement: types.Placement | None
    ) -> None:
        self._waiting.discard(waiter)
        if placement is None and waiter.placement is not None:
            # The task was interrupted just as its request was placed.
            self.finish(waiter.placement)

    def _wait(self, waiter: waiting.WaitingRequest) -> types.Placement:
        timeout_s = max(waiter.start_by - clock.now(), 0)
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                return waiter.placed.wait()
        except TimeoutError as error:
            if waiter.placed.ready():
                # The request was placed just as the wait timed out.
                return waiter.placed.wait()
            raise self._refusal(
                'deadline_exceeded', self.planner.load_s
            ) from error

    def _refusal(self, code: str, retry_after_s: float) -> errors.RefusedError:
        return errors.RefusedError(
            code,
            'No upstream can take the request in time for its deadline.',
            status=503,
            retry_after_s=max(retry_after_s, MIN_RETRY_AFTER_S),
            step='route',
            peer=self.name,
        )

    def _route(
        self, waiter: waiting.WaitingRequest
    ) -> routing.UpstreamView | None:
        return self._index.route(
            waiter.request.adapter,
            clock.now(),
            avoid=waiter.avoid,
            avoid_until=waiter.waiting_since,
            software_version=waiter.request.software_version,
        )

    def _reserve(
        self, waiter: waiting.WaitingRequest, view: routing.UpstreamView
    ) -> types.Placement:
        request = waiter.request
        now = clock.now()
        view.reserve(request.account, now)
        self._demand.record_start(request.adapter)
        self._service_time.start(request.request_id, now)
        return types.Placement(
            request, view.status.upstream_id, view.status.sidecar_incarnation
        )

    def _place_waiting(self, view: routing.UpstreamView) -> None:
        """Fill an upstream with waiting requests while it has room."""
        if not self._waiting:
            return
        now = clock.now()
        while view.has_room(now):
            waiter = self._waiting.next_for(
                view,
                self._weight,
                functools.partial(self._index.is_allowed, view, now=now),
            )
            if waiter is None:
                return
            self._waiting.discard(waiter)
            waiter.placement = self._reserve(
                waiter, self._route(waiter) or view
            )
            waiter.placed.send(waiter.placement)

    def _weight(self, account: str) -> float:
        return self._weight_by_account.get(account, 1.0)

    def _record_arrival(self, request: types.Request) -> None:
        if request.adapter is not None:
            self._demand.record_arrival(request.adapter, request)
            self._reporter.start()

    def _refuse_late(
        self, forecast: types.LoadForecast, reported_at: float
    ) -> None:
        """Refuse the requests that cannot start in time.

        The forecast may have arrived late, but was not made before the demand
        was reported.

        Args:
            forecast: The planner's forecast.
            reported_at: Time at which the demand was reported.
        """
        ready_at = reported_at + forecast.ready_in_s + WIRE_ROUNDING_S
        for waiter in self._waiting.waiting_for(forecast.ref):
            if waiter.start_by < ready_at:
                self._waiting.discard(waiter)
                waiter.placed.send_exception(
                    self._refusal('overloaded', forecast.retry_after_s)
                )
