"""Tests of the number of orders that an order to an engine expects."""

import dataclasses

import pytest

from ivystep.core import errors
from ivystep.gateway.loads import order_sender, slot_usage
from ivystep.gateway.upstreams import upstream_state
from ivystep.traffic import orders
from tests.coordination import fakes as clocks
from tests.gateway import fakes


class Bench:
    """A sender and the answers that its engine gives."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.token = 7
        upstream = upstream_state.Upstream(fakes.entry())
        self.sender = order_sender.OrderSender(
            upstream,
            self,
            lambda: order_sender.Authority('host', self.token),
            slot_usage.SlotUsage(upstream),
            self.read_report,
            fakes.FakeLog(),
        )

    def read_report(self, *, is_new=False):
        return report(0)

    def send_order(self, endpoint, order):
        outcome = self.outcomes.pop(0)
        if outcome is None:
            raise errors.LinkError('timed out', step='order')
        return outcome

    def load(self, expected_orders):
        room = slot_usage.Room(1, 4, expected_orders, expected_orders)
        return self.sender.load(fakes.MODEL, 'a1', 1, room)


def report(order_count):
    state = fakes.FakeEngine()._state()
    return dataclasses.replace(state, order_count=order_count)


@clocks.on_virtual_clock
def test_report_from_before_the_first_known_order_is_no_base_of_a_load():
    """Guards against a load judged by a state before orders of others."""
    sender = Bench().sender
    assert sender.expected_orders(report(5)) == 5
    assert sender.expected_orders(report(3)) is None


@clocks.on_virtual_clock
def test_accepted_order_is_expected_before_reports_count_it():
    """Guards against a second load that the engine has to refuse."""
    bench = Bench(orders.Outcome.ACCEPTED)
    assert bench.sender.expected_orders(report(5)) == 5
    bench.load(5)
    assert bench.sender.expected_orders(report(5)) == 6


@pytest.mark.parametrize(
    'outcome', [orders.Outcome.OUT_OF_SEQUENCE, orders.Outcome.OTHER_UPSTREAM]
)
@clocks.on_virtual_clock
def test_number_of_orders_is_unknown_after_a_refusal(outcome):
    """Guards against a number by which a late order of another fits in."""
    bench = Bench(orders.Outcome.ACCEPTED, outcome)
    bench.sender.expected_orders(report(5))
    bench.load(5)
    bench.load(6)
    assert bench.sender.expected_orders(report(5)) == 5


@clocks.on_virtual_clock
def test_number_of_orders_is_unknown_after_an_order_without_an_answer():
    """Guards against a number that a lost order may have made too low."""
    bench = Bench(orders.Outcome.ACCEPTED, None, None, None)
    bench.sender.expected_orders(report(5))
    bench.load(5)
    with pytest.raises(errors.LinkError):
        bench.load(6)
    assert bench.sender.expected_orders(report(5)) == 5


@clocks.on_virtual_clock
def test_number_of_orders_is_unknown_in_another_term():
    """Guards against orders of other leaders between two terms of one."""
    bench = Bench(orders.Outcome.ACCEPTED)
    bench.sender.expected_orders(report(5))
    bench.load(5)
    bench.token = 9
    assert bench.sender.expected_orders(report(5)) == 5
