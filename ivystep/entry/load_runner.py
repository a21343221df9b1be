"""Has upstreams load adapters and records the results."""

from collections.abc import Callable

import eventlet

from ivystep.core import errors, types
from ivystep.entry import load_estimate, load_progress
from ivystep.policy import load_back_off, routing
from ivystep.runtime import clock, logs

# Failures that concern the upstream, not the adapter: it may be loaded on
# another upstream at once, and this one gets no load until its next report.
UPSTREAM_FAILURE_CODES = frozenset(
    (
        'adapter_in_use',
        'busy',
        'draining',
        'engine_down',
        'fenced',
        'link_failed',
        'no_slot',
        'not_owner',
        'wrong_incarnation',
    )
)

log = logs.get('planner')


class LoadRunner:
    """Runs the loads of one pool, each in its own task.

    Args:
        estimate: Expected duration of a load.
        progress: The loads in progress.
        back_off: Adapters whose loads fail.
        on_end: Called at the end of each load.
    """

    def __init__(
        self,
        estimate: load_estimate.LoadEstimate,
        progress: load_progress.LoadProgress,
        back_off: load_back_off.BackOff,
        on_end: Callable[[], None],
    ) -> None:
        self._estimate = estimate
        self._progress = progress
        self._back_off = back_off
        self._on_end = on_end

    def start(
        self,
        order: types.LoadOrder,
        setup_version: int,
        view: routing.UpstreamView,
        now: float,
    ) -> None:
        """Start a load.

        Args:
            order: The order.
            setup_version: Version of the setup that names the adapter.
            view: The upstream that loads it.
            now: Current time in seconds.
        """
        self._progress.record_start(order.ref, now)
        eventlet.spawn(self._run, order, setup_version, view, now)

    def _run(
        self,
        order: types.LoadOrder,
        setup_version: int,
        view: routing.UpstreamView,
        started: float,
    ) -> None:
        try:
            outcome = view.link.load(order, setup_version)
        except errors.IvystepError as error:
            outcome = types.LoadResult(False, 'link_failed', str(error))
        now = clock.now()
        self._progress.record_end(order.ref, started)
        if outcome.ok:
            self._progress.record_loaded(order.ref, now)
            self._back_off.record_success(order.ref)
            self._estimate.update(now - started)
        elif outcome.code in UPSTREAM_FAILURE_CODES:
            log.info(
                'Load of %s on %s refused: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                outcome.reason,
            )
        else:
            pause_s = self._back_off.record_failure(order.ref, now)
            log.warning(
                'Load of %s on %s failed, next attempt in %.0f s: %s.',
                order.ref.lora_name,
                view.status.upstream_id,
                pause_s,
                outcome.reason,
            )
        # The upstream becomes a target again with its next status report; the
        # last report still names the evicted adapter.
        self._on_end()
