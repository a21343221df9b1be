"""Sends orders to one engine in sequence.

Each order names the number of orders that the engine must have accepted
before it. An unanswered order can therefore not be carried out after a later
one; until then, its adapter counts as possibly resident.
"""

import dataclasses
from collections.abc import Callable

from ivystep.core import errors, units
from ivystep.gateway.loads import engine_reports, leader_events, slot_usage
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock, event_log
from ivystep.traffic import orders

# An accepted load uses a slot at once. Reports show it within this time, even
# when many parallel loads slow each other down.
LOAD_REPORT_DELAY_S = 2.0
SEQUENCE_TRIES = 3
ANSWER_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """Permission to send orders to engines.

    Attributes:
        holder: The leader.
        token: Fencing token of its lease.
    """

    holder: str
    token: int


class OrderSender:
    """Sends the orders of this host to one engine.

    Calls must not overlap, or two orders would have the same number.

    Args:
        upstream: The engine.
        api: Client of the engines.
        authority: Returns the permission to send orders, or None.
        usage: The engine's slots in use, which orders change.
        log: Event log of orders.
    """

    def __init__(
        self,
        upstream: upstream_state.Upstream,
        api: orders.EngineApi,
        authority: Callable[[], Authority | None],
        usage: slot_usage.SlotUsage,
        log: event_log.EventLog,
    ) -> None:
        self._upstream = upstream
        self._api = api
        self._authority = authority
        self._slot_usage = usage
        self._log = log
        self._order_count: int | None = None
        self._order_count_token = 0

    def send(
        self,
        model: str,
        adapter: str,
        version: int | None,
        *,
        is_load: bool,
        room: slot_usage.Room | None = None,
    ) -> orders.Outcome:
        """Send one order, and repeat it if its sequence number was wrong.

        Args:
            model: Base model.
            adapter: Adapter of the model; empty for the model itself.
            version: Version to load; None for the newest.
            is_load: Whether to load; otherwise unload.
            room: The slots by which a load was decided on, for the log.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
        for _ in range(SEQUENCE_TRIES):
            authority = self._authority()
            if authority is None:
                return orders.Outcome.FENCED
            order = orders.Order(
                is_load=is_load,
                model=model,
                adapter=adapter,
                version=version,
                expected_orders=self._current_order_count(authority),
                holder=authority.holder,
                token=authority.token,
            )
            outcome = self._send_until_answered(order, room)
            if outcome is not orders.Outcome.OUT_OF_SEQUENCE:
                return outcome
            self._order_count = None
            clock.sleep(upstream_state.REPORT_AGE_S)
        return orders.Outcome.OUT_OF_SEQUENCE

    def send_once(self, model: str, *, expected_orders: int) -> orders.Outcome:
        """Order the load of a base model in a known state of the engine.

        Args:
            model: Base model.
            expected_orders: Number of orders that the engine had accepted in
                that state. If it has accepted others since, it refuses this
                one, which is not repeated.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
        authority = self._authority()
        if authority is None:
            return orders.Outcome.FENCED
        outcome = self._send_until_answered(
            orders.Order(
                is_load=True,
                model=model,
                adapter='',
                version=None,
                expected_orders=expected_orders,
                holder=authority.holder,
                token=authority.token,
            )
        )
        if outcome is orders.Outcome.OUT_OF_SEQUENCE:
            self._order_count = None
        return outcome

    def _send_until_answered(
        self, order: orders.Order, room: slot_usage.Room | None = None
    ) -> orders.Outcome:
        """Send an order until it is answered.

        All attempts, and an unanswered order before this one, expect the same
        number of accepted orders, so the engine carries out at most one.
        """
        for attempt in range(ANSWER_TRIES):
            try:
                outcome = self._send_once(order, room)
            except errors.LinkError:
                if attempt + 1 < ANSWER_TRIES and self._may_still_send(order):
                    continue
                # The engine may yet carry it out and count it.
                self._order_count = None
                self._slot_usage.remember_order(
                    order, upstream_state.UNANSWERED_ORDER_S
                )
                raise
            break
        self._record_outcome(order, outcome)
        return outcome

    def _may_still_send(self, order: orders.Order) -> bool:
        """Return whether this host still has the authority of an order."""
        authority = self._authority()
        return authority is not None and authority.token == order.token

    def _record_outcome(
        self, order: orders.Order, outcome: orders.Outcome
    ) -> None:
        """Record the effect of an answered order."""
        # The engine unloads an idle adapter at once and gives the same answer
        # as for an adapter that is not resident, but counts only the former.
        is_unloaded = (
            outcome is orders.Outcome.ALREADY_HELD
            and not order.is_load
            and self._slot_usage.may_hold(order)
        )
        if outcome is orders.Outcome.ACCEPTED or is_unloaded:
            self._order_count = order.expected_orders + 1
            self._slot_usage.remember_order(
                order,
                LOAD_REPORT_DELAY_S
                if order.is_load
                else upstream_state.REPORT_AGE_S,
            )
        elif outcome is orders.Outcome.ALREADY_HELD and order.is_load:
            self._slot_usage.remember_order(order, LOAD_REPORT_DELAY_S)

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
                    *(dataclasses.astuple(room) if room else ()),
                )
            )
        return outcome

    def _current_order_count(self, authority: Authority) -> int:
        """Return the number of orders that the engine has accepted."""
        if (
            self._order_count is None
            or self._order_count_token != authority.token
        ):
            self._order_count = engine_reports.read_report(
                self._api, self._upstream, self._log
            ).order_count
            self._order_count_token = authority.token
        return self._order_count
