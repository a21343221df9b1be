"""A pool: the upstreams of one base model, seen from one entry.

Requests wait here until an upstream holds their adapter and has room. The
pool's planner, at this or another entry, decides which adapters are loaded.
"""

import collections
import functools
import math
import typing
from collections.abc import Callable, Collection, Mapping

import eventlet
from eventlet import event

from ivystep.core import errors, types
from ivystep.entry import links, planner, service_time, waiting
from ivystep.metrics import registry
from ivystep.policy import routing
from ivystep.runtime import clock, logs
from ivystep.setup import document

REPORT_INTERVAL_S = 0.1
IDLE_REPORT_INTERVAL_S = 1.0
MIN_RETRY_AFTER_S = 1.0
# A request keeps at least this share of its time for the wait. After some slow
# requests the expected service time exceeded short deadlines; with nothing
# resident, every request was then refused and none corrected the estimate.
LEAST_WAIT_SHARE = 0.5

MakePlanner = Callable[[str, routing.UpstreamIndex], typing.Any]
ChooseSink = Callable[[str, planner.DemandSink], planner.DemandSink]

log = logs.get('pool')


def use_local(pool: str, local: planner.DemandSink) -> planner.DemandSink:
    """Choose this entry's planner, for an entry without peers."""
    return local


class Pool:
    """Upstreams of one base model or plain service.

    Args:
        name: Name of the pool.
        process_id: Id of this entry.
        choose_sink: Returns the pool's planner, given the local one.
        data_centre: Data centre of this entry; empty if it has none.
        metrics: Where load stalls and waiting requests are recorded.
        index: The pool's upstreams; made with the usual rules if None.
        make_planner: Makes the planner at this entry; the usual one if None.
        idle_report_s: Time between reports of demand while nothing waits.

    Attributes:
        planner: The planner at this entry, used if it has the role.
    """

    def __init__(
        self,
        name: str,
        process_id: str,
        choose_sink: ChooseSink = use_local,
        data_centre: str = '',
        metrics: registry.Metrics | None = None,
        index: routing.UpstreamIndex | None = None,
        make_planner: MakePlanner | None = None,
        idle_report_s: float = IDLE_REPORT_INTERVAL_S,
    ) -> None:
        self.name = name
        self._idle_report_s = idle_report_s
        self._metrics = metrics or registry.Metrics()
        self._index = index or routing.UpstreamIndex(data_centre)
        self.planner = (
            planner.Planner(process_id, self._index)
            if make_planner is None
            else make_planner(process_id, self._index)
        )
        self._process_id = process_id
        self._choose_sink = choose_sink
        self._waiting = waiting.WaitingRequests()
        self._service = service_time.ServiceTime()
        self._arrivals: collections.Counter[types.AdapterRef] = (
            collections.Counter()
        )
        self._latest_by_ref: dict[types.AdapterRef, types.Request] = {}
        self._weight_by_account: Mapping[str, float] = {}
        self._running_by_ref: collections.Counter[types.AdapterRef] = (
            collections.Counter()
        )
        self._is_reporting = False
        self._report_due = event.Event()

    @property
    def in_progress(self) -> int:
        """Placements that have not been finished."""
        return self._index.sent

    def is_held(self, ref: types.AdapterRef) -> bool:
        """Return whether an upstream reports an adapter as resident."""
        return self._index.is_held(ref)

    def holders(self, ref: types.AdapterRef) -> list[str]:
        """Return the ids of the upstreams that hold an adapter."""
        return [view.status.upstream_id for view in self._index.holders(ref)]

    def configure(
        self,
        settings: document.Pool,
        weight_by_account: Mapping[str, float] | None = None,
    ) -> None:
        """Take over the pool's part of a setup.

        Args:
            settings: The pool in the setup document.
            weight_by_account: Weights in the load order; 1 if not named.
        """
        self.planner.configure(settings.loads_per_s, settings.batching_weight)
        self._weight_by_account = weight_by_account or {}

    def locate(self, upstream_id: str, data_centre: str) -> None:
        """Record the data centre of an upstream."""
        self._index.locate(upstream_id, data_centre)

    def on_status(
        self, status: types.UpstreamStatus, link: links.UpstreamLink
    ) -> None:
        """Take over a sidecar's report; outdated ones are ignored.

        Args:
            status: The report.
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
        self._report_soon()

    def link(self, upstream_id: str) -> links.UpstreamLink:
        """Return the link to an upstream.

        Raises:
            errors.RefusedError: The upstream has gone.
        """
        view = self._index.view_by_id.get(upstream_id)
        if view is None:
            raise errors.RefusedError(
                'upstream_unavailable',
                'The upstream has gone.',
                status=503,
                retry_after_s=MIN_RETRY_AFTER_S,
                step='route',
                peer=upstream_id,
            )
        return view.link

    def place(
        self, request: types.Request, avoid: Collection[str] = ()
    ) -> types.Placement:
        """Wait until the request has an upstream.

        Args:
            request: The request.
            avoid: Upstreams tried before, used only if there is no other
                and after a new report: the last one may still name an adapter
                that has been evicted since.

        Returns:
            The placement; ``finish`` must be called with it.

        Raises:
            errors.RefusedError: The request cannot meet its deadline.
        """
        now = clock.now()
        self._count_arrival(request)
        start_by = self._start_by(request, now)
        entry = waiting.WaitingRequest(request, avoid, now, start_by)
        if not self._waiting.waiting_for(request.adapter):
            view = self._route(entry)
            if view is not None:
                self._metrics.record_load_stall(request.account, 0)
                return self._take(entry, view)
        is_stalled = not self._index.is_held(request.adapter)
        if self._waiting.add(entry):
            self._report_soon()
        placement = None
        self._metrics.change_waiting(request.account, 1)
        try:
            placement = self._wait(entry)
        finally:
            self._metrics.change_waiting(request.account, -1)
            self._end_wait(entry, placement)
        stall_s = clock.now() - now if is_stalled else 0
        self._metrics.record_load_stall(request.account, stall_s)
        return placement

    def finish(self, placement: types.Placement) -> None:
        """Give back the room that a placement took."""
        request = placement.request
        self._end_running(request.adapter)
        self._service.finish(request.request_id, clock.now())
        self.planner.service_s = self._service.mean_s
        view = self._index.view(placement.upstream_id)
        if view is not None:
            view.release(request.account)
            self._place_waiting(view)
            self.planner.wake()

    def _end_running(self, ref: types.AdapterRef | None) -> None:
        if ref is None:
            return
        self._running_by_ref[ref] -= 1
        if not self._running_by_ref[ref]:
            del self._running_by_ref[ref]

    def _start_by(self, request: types.Request, now: float) -> float:
        """Return the time by which a request must be placed."""
        if request.start_by is not None:
            return request.start_by
        left_s = request.deadline - now
        service_s = min(
            self._service.expected_s, left_s * (1 - LEAST_WAIT_SHARE)
        )
        return request.deadline - service_s

    def _end_wait(
        self, entry: waiting.WaitingRequest, placement: types.Placement | None
    ) -> None:
        self._waiting.discard(entry)
        if placement is None and entry.placement is not None:
            # The task was ended in the instant in which it was placed.
            self.finish(entry.placement)

    def _wait(self, entry: waiting.WaitingRequest) -> types.Placement:
        timeout_s = max(entry.start_by - clock.now(), 0)
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                return entry.placed.wait()
        except TimeoutError as error:
            if entry.placed.ready():
                # It was placed in the same instant in which it gave up.
                return entry.placed.wait()
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
        self, entry: waiting.WaitingRequest
    ) -> routing.UpstreamView | None:
        return self._index.route(
            entry.request.adapter,
            clock.now(),
            avoid=entry.avoid,
            avoid_until=entry.since,
        )

    def _take(
        self, entry: waiting.WaitingRequest, view: routing.UpstreamView
    ) -> types.Placement:
        request = entry.request
        now = clock.now()
        view.reserve(request.account, now)
        if request.adapter is not None:
            self._running_by_ref[request.adapter] += 1
        self._service.start(request.request_id, now)
        return types.Placement(
            request, view.status.upstream_id, view.status.sidecar_incarnation
        )

    def _place_waiting(self, view: routing.UpstreamView) -> None:
        """Place waiting requests on an upstream that may have room."""
        if not self._waiting:
            return
        now = clock.now()
        refs = (None, *view.status.resident_by_ref)
        while view.has_room(now):
            # The account with the least there comes first, so that a flood
            # by one account does not fill every batch.
            entry = min(
                (
                    head
                    for head in self._waiting.heads(refs)
                    if view.accepts_retry(head.avoid, head.since)
                ),
                key=functools.partial(self._turn, view),
                default=None,
            )
            if entry is None:
                return
            self._waiting.discard(entry)
            entry.placement = self._take(entry, self._route(entry) or view)
            entry.placed.send(entry.placement)

    def _turn(
        self, view: routing.UpstreamView, entry: waiting.WaitingRequest
    ) -> tuple[float, float]:
        account = entry.request.account
        used = view.sent_by_account[account] / self._weight(account)
        return used, entry.since

    def _weight(self, account: str) -> float:
        return self._weight_by_account.get(account, 1.0)

    def _count_arrival(self, request: types.Request) -> None:
        if request.adapter is not None:
            self._arrivals[request.adapter] += 1
            self._latest_by_ref[request.adapter] = request
            if not self._is_reporting:
                self._is_reporting = True
                eventlet.spawn(self._report_demand)

    def _report_soon(self) -> None:
        if not self._report_due.ready():
            self._report_due.send()

    def _report_demand(self) -> None:
        """Report demand again and again, at once for a first waiter."""
        while True:
            self._report_due = event.Event()
            try:
                self._report()
            except Exception:
                # Without this task, no waiting request would get a load.
                log.exception('Report of %s failed.', self.name)
            interval_s = (
                REPORT_INTERVAL_S if self._waiting else self._idle_report_s
            )
            with eventlet.Timeout(interval_s, exception=False):
                self._report_due.wait()

    def _report(self) -> None:
        is_idle = not self._arrivals and not self._waiting
        if is_idle and not self._running_by_ref:
            return
        sink = self._choose_sink(self.name, self.planner)
        demands = self._demands()
        if sink is not self.planner:
            self.planner.count_arrivals(demands)
        try:
            forecasts = sink.report_demand(self._process_id, demands)
        except errors.IvystepError as error:
            log.info('Demand of %s not reported: %s.', self.name, error)
            return
        for forecast in forecasts:
            self._refuse_late(forecast)

    def _demands(self) -> tuple[types.AdapterDemand, ...]:
        arrivals = self._arrivals
        latest = self._latest_by_ref
        self._arrivals = collections.Counter()
        self._latest_by_ref = {}
        refs = dict.fromkeys(
            (*self._waiting.refs(), *arrivals, *self._running_by_ref)
        )
        return tuple(
            self._demand(ref, arrivals[ref], latest.get(ref)) for ref in refs
        )

    def _demand(
        self,
        ref: types.AdapterRef,
        arrivals: int,
        latest: types.Request | None,
    ) -> types.AdapterDemand:
        now = clock.now()
        entries = self._waiting.waiting_for(ref)
        request = entries[-1].request if entries else latest
        since = min((entry.since for entry in entries), default=now)
        late = [
            entry for entry in entries if entry.request.target_start_by <= now
        ]
        timely = [
            entry for entry in entries if entry.request.target_start_by > now
        ]
        target_start_by = min(
            (one.request.target_start_by for one in timely), default=math.inf
        )
        start_by = min((entry.start_by for entry in entries), default=now)
        return types.AdapterDemand(
            ref=ref,
            source=request.adapter_source if request else '',
            setup_version=request.setup_version if request else 0,
            weight=self._weight(ref.account),
            waiting=len(entries),
            oldest_wait_s=now - since,
            start_within_s=max(start_by - now, 0),
            arrivals=arrivals,
            running=self._running_by_ref[ref],
            target_start_within_s=target_start_by - now,
            timely_value=sum(one.request.value_rate for one in timely),
            late_value=sum(one.request.value_rate for one in late),
        )

    def _refuse_late(self, forecast: types.LoadForecast) -> None:
        ready_at = clock.now() + forecast.ready_in_s
        for entry in self._waiting.waiting_for(forecast.ref):
            if entry.start_by < ready_at:
                self._waiting.discard(entry)
                entry.placed.send_exception(
                    self._refusal('overloaded', forecast.retry_after_s)
                )
