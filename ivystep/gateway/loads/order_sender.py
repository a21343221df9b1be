"""Sends orders to one engine in sequence.

Each order names the number of orders that the engine must have accepted
before it. An unanswered order can therefore not be carried out after a later
one; until then, its adapter counts as possibly resident.

A load names the number of orders of the very state by which its room was
judged: a report, and the orders of this object that were accepted since. If
the engine has accepted any other order, it refuses the load, which is not sent
again with another number: its room has to be judged anew.
"""

import dataclasses
import typing
from collections.abc import Callable

from ivystep.core import errors, units
from ivystep.gateway.loads import leader_events, slot_usage
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock, event_log
from ivystep.traffic import orders, upstreams

# An accepted load uses a slot at once. Reports show it within this time, even
# when many parallel loads slow each other down.
LOAD_REPORT_DELAY_S = 2.0
SEQUENCE_TRIES = 3
ANSWER_TRIES = 3
# Refusals by an engine that is not in the state that was known.
UNKNOWN_STATE_OUTCOMES = frozenset(
    (orders.Outcome.OUT_OF_SEQUENCE, orders.Outcome.OTHER_UPSTREAM)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """Permission to send orders to engines.

    Attributes:
        holder: The leader.
        token: Fencing token of its lease.
    """

    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownOrders:
    """Orders that an engine has accepted, all known from one number on.

    Attributes:
        token: Fencing token under which they were sent.
        first: Number of accepted orders in the report from which they count.
        count: Number of accepted orders. All but the first ones are known.
    """

    token: int
    first: int
    count: int


class ReadReport(typing.Protocol):
    """Returns a report of an engine."""

    def __call__(self, *, is_new: bool) -> upstreams.EngineReport:
        """Return a recent report.

        Args:
            is_new: Whether it must be read now.

        Raises:
            errors.LinkError: The engine sent no valid report.
        """


class OrderSender:
    """Sends the orders of this host to one engine.

    Calls must not overlap, or two orders would have the same number.

    Args:
        upstream: The engine.
        api: Client of the engines.
        authority: Returns the permission to send orders, or None.
        usage: The engine's slots in use, which orders change.
        read_report: Returns the report of the engine by which a later load is
            judged, or reads a new one.
        log: Event log of orders.
    """

    def __init__(
        self,
        upstream: upstream_state.Upstream,
        api: orders.EngineApi,
        authority: Callable[[], Authority | None],
        usage: slot_usage.SlotUsage,
        read_report: ReadReport,
        log: event_log.EventLog,
    ) -> None:
        self._upstream = upstream
        self._api = api
        self._authority = authority
        self._slot_usage = usage
        self._read_report = read_report
        self._log = log
        self._known: _KnownOrders | None = None

    def unload(self, model: str, adapter: str) -> orders.Outcome:
        """Order an unload, and repeat it if its sequence number was wrong.

        It needs no room, so any state of the engine will do.

        Args:
            model: Base model.
            adapter: Adapter of the model.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
        for attempt in range(SEQUENCE_TRIES):
            if attempt:
                clock.sleep(upstream_state.REPORT_AGE_S)
            report = self._read_report(is_new=attempt > 0)
            expected = self.expected_orders(report)
            if expected is None:
                continue
            outcome = self._send(
                model, adapter, None, expected, is_load=False, report=report
            )
            if outcome is not orders.Outcome.OUT_OF_SEQUENCE:
                return outcome
        return orders.Outcome.OUT_OF_SEQUENCE

    def load(
        self,
        model: str,
        adapter: str,
        version: int | None,
        room: slot_usage.Room,
    ) -> orders.Outcome:
        """Order the load of an adapter in a known state of the engine.

        Args:
            model: Base model.
            adapter: Adapter of the model.
            version: Version to load; None for the newest.
            room: The slots by which the load was decided on. If the engine has
                accepted other orders than that state has, it refuses this one.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
        return self._send(
            model,
            adapter,
            version,
            room.expected_orders,
            is_load=True,
            room=room,
        )

    def load_model(self, model: str, expected_orders: int) -> orders.Outcome:
        """Order the load of a base model in a known state of the engine.

        Args:
            model: Base model.
            expected_orders: Number of orders that the engine had accepted in
                that state. If it has accepted others since, it refuses this
                one, which is not repeated.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
        return self._send(model, '', None, expected_orders, is_load=True)

    def expected_orders(self, report: upstreams.EngineReport) -> int | None:
        """Return the number of orders of a report and of those sent since.

        Args:
            report: The report by which room is judged.

        Returns:
            None if the report is older than the state in which this object
            began to count its orders; then nothing can be judged by it. If the
            next one is, too, the engine has started anew.
        """
        authority = self._authority()
        token = authority.token if authority else 0
        known = self._known
        is_unknown = known is None or known.token != token
        if is_unknown or report.order_count > known.count:
            known = _KnownOrders(token, report.order_count, report.order_count)
            self._known = known
        if report.order_count >= known.first:
            return known.count
        self._known = None
        return None

    def _send(
        self,
        model: str,
        adapter: str,
        version: int | None,
        expected_orders: int,
        *,
        is_load: bool,
        room: slot_usage.Room | None = None,
        report: upstreams.EngineReport | None = None,
    ) -> orders.Outcome:
        authority = self._authority()
        if authority is None:
            return orders.Outcome.FENCED
        if self._upstream.is_gone:
            return orders.Outcome.OTHER_UPSTREAM
        order = orders.Order(
            is_load=is_load,
            model=model,
            adapter=adapter,
            version=version,
            expected_orders=expected_orders,
            holder=authority.holder,
            token=authority.token,
        )
        outcome = self._send_until_answered(order, room)
        self._record_outcome(order, outcome, report)
        return outcome

    def _send_until_answered(
        self, order: orders.Order, room: slot_usage.Room | None
    ) -> orders.Outcome:
        """Send an order until it is answered.

        All attempts, and an unanswered order before this one, expect the same
        number of accepted orders, so the engine carries out at most one.
        """
        for attempt in range(ANSWER_TRIES):
            try:
                return self._send_once(order, room)
            except errors.LinkError:
                if not order.is_load:
                    self._slot_usage.remember_waiting_unload(order)
                if attempt + 1 < ANSWER_TRIES and self._may_still_send(order):
                    continue
                # The engine may yet carry it out and count it.
                self._known = None
                self._slot_usage.remember_order(
                    order, upstream_state.UNANSWERED_ORDER_S
                )
                raise
        raise AssertionError('the last attempt returns or raises')

    def _may_still_send(self, order: orders.Order) -> bool:
        """Return whether the order still has its authority and engine."""
        authority = self._authority()
        is_held = authority is not None and authority.token == order.token
        return is_held and not self._upstream.is_gone

    def _record_outcome(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        report: upstreams.EngineReport | None,
    ) -> None:
        """Record the effect of an answered order."""
        if outcome in UNKNOWN_STATE_OUTCOMES:
            self._known = None
        elif outcome is orders.Outcome.ACCEPTED:
            self._count_order(order)
            # An accepted unload waits for the requests that use the adapter;
            # only a report tells that it has freed the slot.
            if order.is_load:
                self._slot_usage.remember_order(order, LOAD_REPORT_DELAY_S)
            else:
                self._slot_usage.remember_waiting_unload(order)
        elif outcome is orders.Outcome.ALREADY_HELD:
            self._record_held(order, report)

    def _record_held(
        self, order: orders.Order, report: upstreams.EngineReport | None
    ) -> None:
        """Record the effect of an order that the engine found carried out."""
        if order.is_load:
            self._slot_usage.remember_order(
                order, LOAD_REPORT_DELAY_S, is_counted=False
            )
            return
        # The engine unloads an idle adapter at once and gives the same answer
        # as for one that is not resident, but counts only the first. With too
        # high a number, a load could follow an order of another leader.
        if report and self._slot_usage.is_resident(order, report):
            self._count_order(order)
            self._slot_usage.remember_order(order, upstream_state.REPORT_AGE_S)

    def _send_once(
        self, order: orders.Order, room: slot_usage.Room | None
    ) -> orders.Outcome:
        entry = self._upstream.entry
        sent_at = clock.now()
        outcome = None
        try:
            outcome = self._api.send_order(entry.endpoint, order)
        finally:
            self._log.write(
                leader_events.OrderGiven(
                    entry.upstream_id,
                    'load' if order.is_load else 'unload',
                    order.target,
                    order.expected_orders,
                    order.token,
                    outcome.value if outcome else 'no answer',
                    int((clock.now() - sent_at) * units.MS_PER_S),
                    *(
                        (room.used, room.slots, room.order_count)
                        if room
                        else ()
                    ),
                )
            )
        return outcome

    def _count_order(self, order: orders.Order) -> None:
        """Count an accepted order."""
        known = self._known
        first = order.expected_orders
        if known is not None and known.token == order.token:
            first = known.first
        self._known = _KnownOrders(
            order.token, first, order.expected_orders + 1
        )
