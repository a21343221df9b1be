"""A pool: the upstreams of one base model, seen from one entry.

Requests wait here until an upstream holds their adapter and has room.
"""

import collections
from collections.abc import Collection

import eventlet
from eventlet import event

from ivystep.core import errors, types
from ivystep.entry import links
from ivystep.runtime import clock, logs

STATUS_MAX_AGE_S = 3.0

log = logs.get('pool')


class UpstreamView:
    """What this entry knows about one upstream.

    Attributes:
        sent: Attempts that this entry has in progress there.
    """

    def __init__(
        self, status: types.UpstreamStatus, link: links.UpstreamLink
    ) -> None:
        self.status = status
        self.link = link
        self.reported = clock.now()
        self.sent = 0

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent there."""
        is_fresh = clock.now() - self.reported < STATUS_MAX_AGE_S
        return is_fresh and self.status.healthy and not self.status.draining


class Pool:
    """Upstreams of one base model or plain service.

    Args:
        name: Name of the pool.
        process_id: Id of this entry.
    """

    def __init__(self, name: str, process_id: str) -> None:
        self.name = name
        self._process_id = process_id
        self._view_by_id: dict[str, UpstreamView] = {}
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._loading: set[types.AdapterRef] = set()
        self._used_at: dict[types.AdapterRef, float] = {}

    def on_status(
        self, status: types.UpstreamStatus, link: links.UpstreamLink
    ) -> None:
        """Take over a sidecar's report.

        Args:
            status: The report.
            link: Link to the sidecar.
        """
        view = self._view_by_id.get(status.upstream_id)
        if view is None:
            view = UpstreamView(status, link)
            self._view_by_id[status.upstream_id] = view
        view.status = status
        view.link = link
        view.reported = clock.now()
        self._place_waiting()

    def on_lost(self, upstream_id: str) -> None:
        """Forget an upstream whose sidecar cannot be reached."""
        self._view_by_id.pop(upstream_id, None)

    def link(self, upstream_id: str) -> links.UpstreamLink:
        """Return the link to an upstream.

        Raises:
            errors.RefusedError: The upstream has gone.
        """
        view = self._view_by_id.get(upstream_id)
        if view is None:
            raise errors.RefusedError(
                'upstream_unavailable',
                'The upstream has gone.',
                status=503,
                retry_after_s=1.0,
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
            avoid: Upstreams tried before, used only if there is no other.

        Returns:
            The placement; ``finish`` must be called with it.

        Raises:
            errors.RefusedError: The request cannot meet its deadline.
        """
        waiting = _Waiting(request, avoid)
        self._waiting.append(waiting)
        self._place_waiting()
        try:
            with eventlet.Timeout(
                max(request.deadline - clock.now(), 0), TimeoutError
            ):
                return waiting.placed.wait()
        except TimeoutError as error:
            raise errors.RefusedError(
                'deadline_exceeded',
                'No upstream could take the request before its deadline.',
                status=503,
                retry_after_s=1.0,
                step='route',
                peer=self.name,
            ) from error
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def finish(self, placement: types.Placement) -> None:
        """Give back the room that a placement took."""
        view = self._view_by_id.get(placement.upstream_id)
        if view is not None:
            view.sent -= 1
        self._place_waiting()

    def _place_waiting(self) -> None:
        for waiting in list(self._waiting):
            request = waiting.request
            view = self._route(request, waiting.avoid)
            if view is not None:
                self._waiting.remove(waiting)
                view.sent += 1
                self._used_at[request.adapter] = clock.now()
                waiting.placed.send(
                    types.Placement(
                        request,
                        view.status.upstream_id,
                        view.status.sidecar_incarnation,
                    ),
                )
            elif request.adapter is not None:
                self._start_load(request)

    def _route(
        self, request: types.Request, avoid: Collection[str]
    ) -> UpstreamView | None:
        ref = request.adapter
        candidates = [
            view
            for view in self._view_by_id.values()
            if view.is_usable
            and view.sent < view.status.max_running
            and (ref is None or ref in view.status.resident_by_ref)
        ]
        return min(
            candidates,
            key=lambda view: (view.status.upstream_id in avoid, view.sent),
            default=None,
        )

    def _start_load(self, request: types.Request) -> None:
        if request.adapter in self._loading or self._is_resident(
            request.adapter
        ):
            return
        usable = [view for view in self._view_by_id.values() if view.is_usable]
        if not usable:
            return
        view = min(usable, key=lambda one: len(one.status.resident_by_ref))
        self._loading.add(request.adapter)
        eventlet.spawn(self._load, request, view)

    def _is_resident(self, ref: types.AdapterRef | None) -> bool:
        return any(
            view.is_usable and ref in view.status.resident_by_ref
            for view in self._view_by_id.values()
        )

    def _load(self, request: types.Request, view: UpstreamView) -> None:
        status = view.status
        evict: tuple[types.AdapterRef, ...] = ()
        if len(status.resident_by_ref) >= status.slots:
            idle = [
                resident.ref
                for resident in status.resident_by_ref.values()
                if resident.running == 0
            ]
            evict = tuple(
                sorted(idle, key=lambda ref: self._used_at.get(ref, 0))[:1]
            )
        order = types.LoadOrder(
            request.adapter, request.adapter_source, evict, self._process_id
        )
        outcome = view.link.load(order, request.setup_version)
        self._loading.discard(request.adapter)
        if not outcome.ok:
            log.warning('Load failed: %s.', outcome.reason)
            clock.sleep(1.0)
            self._place_waiting()


class _Waiting:
    """A request that waits for an upstream."""

    def __init__(self, request: types.Request, avoid: Collection[str]) -> None:
        self.request = request
        self.avoid = avoid
        self.placed = event.Event()
