"""Tracks which adapters use the adapter slots of one engine.

Reports arrive late. The last order for each adapter therefore overrides them
until one counts it among the orders that the engine has accepted.
"""

import dataclasses

from ivystep.core import types
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock
from ivystep.traffic import orders, upstreams


@dataclasses.dataclass(frozen=True, slots=True)
class _SentOrder:
    """The last order for an adapter.

    Attributes:
        uses_slot: Whether the adapter may use a slot after the order.
        hidden_until: Time until which reports may not show the order.
        counted_at: Number of accepted orders from which a report shows the
            order, or that the engine will never carry it out; None if the
            engine does not count it.
    """

    uses_slot: bool
    hidden_until: float
    counted_at: int | None

    def is_shown(
        self,
        report: upstreams.EngineReport,
        sent_at: float,
        expected_orders: int,
    ) -> bool:
        """Return whether a report shows the effect of the order.

        An order that is among the expected ones was accepted, so only a report
        that counts it shows it, however late reports are.
        """
        if self.counted_at is None:
            return self.hidden_until < sent_at
        if report.order_count >= self.counted_at:
            return True
        is_expected = self.counted_at <= expected_orders
        return not is_expected and self.hidden_until < sent_at


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The adapter slots of an engine as an order is decided on.

    Attributes:
        used: Slots that are in use with the adapter of the order.
        slots: Adapter slots of the engine.
        order_count: Number of orders that the engine had accepted in the
            report by which the slots were counted.
        expected_orders: The same with the orders of this host that were
            accepted since and are counted, too.
    """

    used: int
    slots: int
    order_count: int
    expected_orders: int

    @property
    def is_sufficient(self) -> bool:
        """Whether the adapter of the order fits."""
        return self.used <= self.slots


class SlotUsage:
    """The adapter slots of one engine that are in use.

    Args:
        upstream: The engine.
    """

    def __init__(self, upstream: upstream_state.Upstream) -> None:
        self._upstream = upstream
        self._last_order_by_name: dict[tuple[str, str], _SentOrder] = {}
        self._model_order: _SentOrder | None = None
        self._waiting_unloads: set[tuple[str, str]] = set()

    def room(
        self,
        ref: types.AdapterRef,
        report: upstreams.EngineReport,
        sent_at: float,
        slots: int,
        expected_orders: int,
    ) -> Room:
        """Return the slots in use if the engine gets one more adapter.

        An engine that is ordered to load more adapters than fit fails.
        Orders that reports may not show yet, and unanswered orders to load,
        therefore count as carried out.

        Args:
            ref: The adapter to load; a slot that it already uses suffices.
            report: A report of the engine.
            sent_at: Time at which its call was sent; orders since then, and
                those that it may not show, are taken into account.
            slots: Number of adapter slots beside the base models of the
                report. No slot counts as free while a base model may be on its
                way, which will use memory.
            expected_orders: Number of orders that the engine has accepted if
                no other host has sent any since the report.
        """
        used = {
            (model.name, adapter)
            for model in report.held_model_by_name.values()
            for adapter in model.adapter_versions
        }
        used.update(
            (loading.account, loading.name) for loading in report.loading
        )
        for name, sent in list(self._last_order_by_name.items()):
            if sent.is_shown(report, sent_at, expected_orders):
                del self._last_order_by_name[name]
            elif sent.uses_slot:
                used.add(name)
            else:
                used.discard(name)
        used.add((ref.account, ref.name))
        is_held = ref.account in report.held_model_by_name
        is_changing = report.is_busy or self._may_load_model(
            report, sent_at, expected_orders
        )
        if is_changing or not is_held:
            slots = 0
        return Room(len(used), slots, report.order_count, expected_orders)

    def is_resident(
        self, order: orders.Order, report: upstreams.EngineReport
    ) -> bool:
        """Return whether the adapter of an order is known to be resident.

        Args:
            order: An order of this host.
            report: The last report. All orders that the engine accepted after
                it are of this host.

        Returns:
            False also if it may have been unloaded since the report.
        """
        name = (order.model, order.adapter)
        sent = self._last_order_by_name.get(name)
        if name in self._waiting_unloads or (sent and not sent.uses_slot):
            return False
        held = report.held_model_by_name.get(order.model)
        return held is not None and order.adapter in held.adapter_versions

    def remember_waiting_unload(self, order: orders.Order) -> None:
        """Remember an unload that the engine may carry out at any time."""
        self._waiting_unloads.add((order.model, order.adapter))

    def remember_order(
        self, order: orders.Order, hidden_s: float, *, is_counted: bool = True
    ) -> None:
        """Remember an order until reports show it.

        Args:
            order: An order that was carried out, or was not answered.
            hidden_s: Seconds for which reports may not show it;
                ``upstream_state.UNANSWERED_ORDER_S`` without an answer.
            is_counted: Whether the engine counts the order if it accepts it.
        """
        sent = _SentOrder(
            order.is_load,
            clock.now() + hidden_s,
            order.expected_orders + 1 if is_counted else None,
        )
        if not order.adapter:
            self._model_order = sent
            return
        is_answered = hidden_s < upstream_state.UNANSWERED_ORDER_S
        if order.is_load and is_answered:
            self._waiting_unloads.discard((order.model, order.adapter))
        if order.is_load or is_answered:
            self._last_order_by_name[order.model, order.adapter] = sent

    def _may_load_model(
        self,
        report: upstreams.EngineReport,
        sent_at: float,
        expected_orders: int,
    ) -> bool:
        """Return whether a base model is on its way that no report shows."""
        sent = self._model_order
        if sent is not None and sent.is_shown(report, sent_at, expected_orders):
            self._model_order = None
        return self._model_order is not None
