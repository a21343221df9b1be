"""Loads adapters and base models on one engine by orders.

A load evicts other adapters first if it has to. Its completion is published
when it is expected, and confirmed by the engine's reports.
"""

import dataclasses
from collections.abc import Callable, Mapping

import eventlet
from eventlet import semaphore

from ivystep.core import errors, types
from ivystep.gateway import events
from ivystep.gateway.loads import (
    engine_reports,
    order_sender,
    residency_updates,
    slot_usage,
)
from ivystep.gateway.upstreams import upstream_state
from ivystep.policy import base_models, load_times
from ivystep.runtime import clock, event_log
from ivystep.traffic import orders, upstreams

POLL_INTERVAL_S = 0.06
LOAD_TIMEOUT_S = 6.0
UNLOAD_TIMEOUT_S = 2.0
# The engine has accepted an unload and carries it out when the requests that
# use the adapter have ended.
IN_USE = 'adapter_in_use'
# Only this host sends orders to the engine, so an earlier report and the orders
# since tell which slots are in use. A restart is noticed by its order count.
MAX_REPORT_AGE_S = 1.0
# Growth of the polling interval for a load that takes longer than expected.
POLL_GROWTH = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class LinkContext:
    """Dependencies that the links to all engines share.

    Attributes:
        api: Client of the engines.
        authority: Returns the permission to send orders, or None.
        on_change: Called when the known state of an engine has changed.
        adapter_slots: Returns the number of adapter slots of an engine beside
            the base models that it holds.
        is_cached: Returns whether an engine's host caches an adapter.
        updates: Publishes residency updates.
        times: Estimates the duration of loads.
        log: Event log of orders.
    """

    api: orders.EngineApi
    authority: Callable[[], order_sender.Authority | None]
    on_change: Callable[[upstream_state.Upstream], None]
    adapter_slots: Callable[
        [upstream_state.Upstream, Mapping[str, object]], int
    ]
    is_cached: Callable[[upstream_state.Upstream, types.AdapterRef], bool]
    updates: residency_updates.ResidencyUpdates
    times: load_times.LoadTimes
    log: event_log.EventLog


class NoReportError(errors.LinkError):
    """An engine sent no report, without which it gets no order."""


class EngineLink:
    """``UpstreamLink`` of a pool to an engine of the platform.

    Args:
        upstream: The engine.
        context: Dependencies that all links share.
    """

    def __init__(
        self, upstream: upstream_state.Upstream, context: LinkContext
    ) -> None:
        self._upstream = upstream
        self._context = context
        self._slot_usage = slot_usage.SlotUsage(upstream)
        self._sender = order_sender.OrderSender(
            upstream,
            context.api,
            context.authority,
            self._slot_usage,
            self._recent_report,
            context.log,
        )
        self._lock = semaphore.Semaphore(1)
        self._report: upstreams.EngineReport | None = None
        # The report may answer an earlier call than that by which it was read.
        self._report_asked_at = 0.0
        self._report_read_at = 0.0

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Load an adapter; see ``links.UpstreamLink.load``."""
        if self._context.authority() is None:
            # Nothing is published, since the engine does not change.
            return _refusal(orders.Outcome.FENCED)
        upstream = self._upstream
        if not upstream.takes_orders(clock.now()):
            return types.LoadResult(
                False, 'busy', 'The engine takes few requests, and no orders.'
            )
        # An earlier order to load the adapter may yet be carried out.
        earlier_order_at = upstream.loading.get(order.ref)
        upstream.loading[order.ref] = clock.now()
        # From now on, the evicted adapters get no new requests, and no other
        # load evicts them.
        for victim in order.evict:
            self._publish(victim, is_held=False)
        self._context.on_change(upstream)
        result = types.LoadResult(
            False, 'link_failed', 'The load was cancelled.'
        )
        try:
            result = self._load(order)
        except errors.LinkError as error:
            self._report = None
            result = types.LoadResult(False, 'link_failed', str(error))
        finally:
            self._finish_load(order.ref, result, earlier_order_at)
        return result

    def load_model(self, model: str) -> orders.Outcome:
        """Order the load of a base model, if the engine is empty.

        Its entry may be older, or say nothing of its models. Its report names
        what it holds together with the number of orders that it has accepted,
        and the order expects this number: so it is carried out in the state of
        the report, or not at all.

        Returns:
            The outcome; ``OUT_OF_SEQUENCE`` also if no order was sent.

        Raises:
            NoReportError: The engine sent no report, so it got no order.
            errors.LinkError: The engine may carry the order out later.
        """
        with self._lock:
            try:
                report = self._read_report()
            except errors.LinkError as error:
                raise NoReportError(str(error)) from error
            if not base_models.may_load(report):
                return orders.Outcome.OUT_OF_SEQUENCE
            return self._sender.load_model(model, report.order_count)

    def _load(self, order: types.LoadOrder) -> types.LoadResult:
        ref = order.ref
        with self._lock:
            if any(victim in self._upstream.loading for victim in order.evict):
                # An unload that overtakes its load would free no slot.
                return types.LoadResult(
                    False, 'busy', 'The adapter to evict is still loading.'
                )
            for victim in order.evict:
                refusal = self._unload(victim)
                if refusal is not None:
                    self._restore_victim(victim, refusal)
                    return refusal
            outcome = self._order_load(ref)
        if outcome is None:
            return types.LoadResult(False, 'busy', 'No adapter slot is free.')
        if outcome is orders.Outcome.ALREADY_HELD:
            return types.LoadResult(True, 'loaded', '')
        if outcome is not orders.Outcome.ACCEPTED:
            return self._refuse(outcome)
        self._upstream.loading[ref] = clock.now()
        return self._await_load(ref)

    def _order_load(self, ref: types.AdapterRef) -> orders.Outcome | None:
        """Order the load of an adapter if the engine has room.

        A load that is refused because the engine has accepted other orders is
        judged anew by a newer report.

        Returns:
            The outcome; None if no slot is free.
        """
        for attempt in range(order_sender.SEQUENCE_TRIES):
            if attempt:
                self._report = None
                clock.sleep(upstream_state.REPORT_AGE_S)
            room = self._judge_room(ref)
            if room is None:
                continue
            if not room.is_sufficient:
                self._report = None
                return None
            outcome = self._sender.load(
                ref.account, ref.name, ref.version, room
            )
            if outcome is not orders.Outcome.OUT_OF_SEQUENCE:
                return outcome
        return orders.Outcome.OUT_OF_SEQUENCE

    def _judge_room(self, ref: types.AdapterRef) -> slot_usage.Room | None:
        """Return the slots in use if the engine gets one more adapter.

        Returns:
            None if the report is too old to judge by it.
        """
        report = self._recent_report()
        expected = self._sender.expected_orders(report)
        if expected is None:
            return None
        return self._slot_usage.room(
            ref,
            report,
            self._report_asked_at,
            self._context.adapter_slots(
                self._upstream, report.held_model_by_name
            ),
            expected,
        )

    def _refuse(self, outcome: orders.Outcome) -> types.LoadResult:
        """Return the result of a refused order.

        The engine is not in the state that was known, or another upstream is
        at its address; a new report tells before the next order.
        """
        self._report = None
        return _refusal(outcome)

    def _restore_victim(
        self, victim: types.AdapterRef, refusal: types.LoadResult
    ) -> None:
        """Publish that an adapter is still resident after a refused unload."""
        if refusal.code != IN_USE:
            self._publish(victim, is_held=True)

    def _finish_load(
        self,
        ref: types.AdapterRef,
        result: types.LoadResult,
        earlier_order_at: float | None,
    ) -> None:
        """Update the known state of the engine after a load."""
        if not result.ok:
            self._revert_load(ref, result, earlier_order_at)
        self._context.on_change(self._upstream)

    def _revert_load(
        self,
        ref: types.AdapterRef,
        result: types.LoadResult,
        earlier_order_at: float | None,
    ) -> None:
        """Undo the announcement of a failed load."""
        if earlier_order_at is not None:
            self._upstream.loading[ref] = earlier_order_at
            return
        self._publish(ref, is_held=False)
        # An unanswered order may yet be carried out, so it still uses a slot.
        if result.code != 'link_failed':
            self._upstream.loading.pop(ref, None)

    def _unload(self, ref: types.AdapterRef) -> types.LoadResult | None:
        """Unload an adapter.

        Returns:
            The reason of the failure; None on success.
        """
        outcome = self._sender.unload(ref.account, ref.name)
        if outcome is orders.Outcome.ALREADY_HELD:
            return None
        if outcome is not orders.Outcome.ACCEPTED:
            return self._refuse(outcome)
        deadline = clock.now() + UNLOAD_TIMEOUT_S
        while clock.now() < deadline:
            clock.sleep(POLL_INTERVAL_S)
            held = self._read_report().held_model_by_name.get(ref.account)
            if held is None or ref.name not in held.adapter_versions:
                return None
        return types.LoadResult(
            False, IN_USE, f'{ref.lora_name} is still in use.'
        )

    def _publish(
        self, ref: types.AdapterRef, *, is_held: bool, ready_in_s: float = 0.0
    ) -> None:
        self._context.updates.publish(
            residency_updates.ResidencyUpdate(
                ref, self._upstream.upstream_id, is_held, ready_in_s
            )
        )

    def _await_load(self, ref: types.AdapterRef) -> types.LoadResult:
        """Publish a load and wait until it is expected to be complete.

        Reports show the load later, so a background task polls them.
        """
        is_cached = self._context.is_cached(self._upstream, ref)
        ordered_at = clock.now()
        ready_in_s = self._context.times.expected_s(is_cached=is_cached)
        self._context.times.correction.record_load(
            self._upstream.upstream_id,
            ref.lora_name,
            ready_in_s,
            is_cached=is_cached,
        )
        self._publish(ref, is_held=True, ready_in_s=ready_in_s)
        eventlet.spawn(
            self._confirm_load, ref, ordered_at, ready_in_s, is_cached=is_cached
        )
        clock.sleep(ready_in_s)
        return types.LoadResult(True, 'loaded', '')

    def _confirm_load(
        self,
        ref: types.AdapterRef,
        ordered_at: float,
        ready_in_s: float,
        *,
        is_cached: bool,
    ) -> None:
        """Wait until an adapter is known to be resident.

        Usually the answer to a request tells; otherwise reports are polled.
        """
        clock.sleep(ready_in_s + load_times.REPORT_LAG_S)
        if self._context.times.is_confirmed(
            self._upstream.upstream_id, ref.lora_name
        ):
            self._upstream.loading.pop(ref, None)
            self._context.times.record_confirmed(
                ready_in_s, is_cached=is_cached
            )
            self._context.on_change(self._upstream)
            return
        pause_s = POLL_INTERVAL_S
        while clock.now() < ordered_at + LOAD_TIMEOUT_S:
            if not self._upstream.takes_orders(clock.now()):
                clock.sleep(POLL_INTERVAL_S)
                continue
            try:
                held = self._read_report().held_model_by_name.get(ref.account)
            except errors.LinkError as error:
                self._context.log.write(
                    events.DependencyLost(
                        f'engine/{self._upstream.upstream_id}', str(error)
                    )
                )
                break
            if held and held.adapter_versions.get(ref.name, 0) >= ref.version:
                self._upstream.loading.pop(ref, None)
                self._context.times.record_load(
                    clock.now() - ordered_at,
                    is_cached=is_cached,
                    is_first_report=pause_s == POLL_INTERVAL_S,
                )
                self._context.on_change(self._upstream)
                return
            clock.sleep(pause_s)
            pause_s *= POLL_GROWTH
        self._publish(ref, is_held=False)

    def _recent_report(self, *, is_new: bool = False) -> upstreams.EngineReport:
        """Return the last report, or a new one if it is too old."""
        if (
            is_new
            or self._report is None
            or clock.now() > self._report_read_at + MAX_REPORT_AGE_S
        ):
            return self._read_report()
        return self._report

    def _read_report(self) -> upstreams.EngineReport:
        read_at = clock.now()
        report, asked_at = engine_reports.read_report(
            self._context.api, self._upstream, self._context.log
        )
        # The polling of a load may read at the same time.
        if self._report is None or asked_at >= self._report_asked_at:
            self._report = report
            self._report_asked_at = asked_at
            self._report_read_at = read_at
        return report


def _refusal(outcome: orders.Outcome) -> types.LoadResult:
    code = 'not_owner' if outcome is orders.Outcome.FENCED else 'busy'
    return types.LoadResult(
        False, code, f'The order was refused: {outcome.value}.'
    )
