"""Tests of orders to an engine whose earlier state is told late, on the
virtual clock.
"""

import dataclasses
import random

import eventlet
import pytest

from ivystep.core import errors
from ivystep.runtime import clock
from ivystep.traffic import contracts, orders, upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.gateway.loads import test_engine_link as links

LOST = fakes.Delivery(is_answered=False)


def set_entry(bench, *held):
    """Apply an entry that the engine wrote when it held some adapters."""
    entry = bench.upstream.entry
    models = {
        fakes.MODEL: upstreams.HeldModel(fakes.MODEL, 1, dict.fromkeys(held, 1))
    }
    bench.upstream.replace_entry(
        dataclasses.replace(
            entry, held_model_by_name=models, version=entry.version + 1
        ),
        clock.now(),
    )


@clocks.on_virtual_clock
def test_unload_that_the_engine_does_not_count_is_not_counted():
    """Guards against a late order that is accepted after the next leader's."""
    bench = links.Bench(None, 'a2', 'a3')
    assert bench.load('a4').ok
    clock.sleep(1)
    set_entry(bench, 'a1', 'a2', 'a3')
    bench.engine.deliveries = [
        fakes.Delivery(),
        fakes.Delivery(is_answered=False, delay_s=5.0),
        LOST,
        LOST,
    ]
    assert not bench.load('a5', 'a1').ok
    bench.token = 8
    bench.renew_link()
    assert bench.load('a6').ok
    clock.sleep(10)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_failed_read_does_not_make_an_earlier_report_recent():
    """Guards against a load that is judged by a report of any age."""
    engine = fakes.FakeEngine(links.SLOTS, load_s=3.0)
    bench = links.Bench(engine, 'a1', 'a2')
    read = bench.engine.read_report
    bench.times._fetch_s = 2.5
    for name in ('a3', 'a4'):
        eventlet.spawn(bench.load, name)
    clock.sleep(0.1)

    def fail(endpoint):
        clock.sleep(0.3)
        raise errors.LinkError('timed out', step='report')

    bench.engine.read_report = fail
    clock.sleep(3.2)
    bench.engine.read_report = read
    bench.load('a5')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_read_in_progress_does_not_make_an_earlier_report_recent():
    """Guards against a load that is judged by a report of any age."""
    engine = fakes.FakeEngine(links.SLOTS, load_s=3.0)
    bench = links.Bench(engine, 'a1', 'a2')
    read = bench.engine.read_report

    def read_slowly(endpoint):
        clock.sleep(0.25)
        return read(endpoint)

    bench.times._fetch_s = 2.5
    for name in ('a3', 'a4'):
        eventlet.spawn(bench.load, name)
    clock.sleep(0.1)
    bench.engine.read_report = read_slowly
    # The loads are confirmed from 2.71 s on.
    clock.sleep(2.7)
    bench.load('a5')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_late_report_does_not_hide_an_order_that_it_does_not_count():
    """Guards against a load by a report that was made before earlier loads."""
    bench = links.Bench(
        fakes.FakeEngine(links.SLOTS, report_lag_s=5.0), 'a1', 'a2', 'a3'
    )
    bench.engine._record_state()
    clock.sleep(3)
    assert bench.load('a4').ok
    clock.sleep(3.1)
    bench.load('a5')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_slots_are_counted_for_the_models_of_the_same_report():
    """Guards against the slots of an engine that seems to hold no model."""
    bench = links.Bench(None, 'a1', 'a2', 'a3', 'a4')
    engine_class = dataclasses.replace(
        fakes.service(2 * links.SLOTS).engine,
        weights_mb=1000.0 + links.SLOTS,
        model_by_name={
            fakes.MODEL: contracts.Model(fakes.MODEL, 1000.0, 6.0, 1.0)
        },
    )
    bench._context = dataclasses.replace(
        bench._context,
        adapter_slots=lambda upstream, models: engine_class.adapter_capacity(
            models
        ),
    )
    bench.renew_link()
    bench.link._read_report()
    entry = bench.upstream.entry
    bench.upstream.replace_entry(
        dataclasses.replace(
            entry, held_model_by_name={}, version=entry.version + 1
        ),
        clock.now(),
    )
    bench.load('a5')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_base_model_is_not_ordered_at_an_address_that_is_another_upstreams():
    """Guards against calls to an address that is another upstream's."""
    bench = links.Bench()
    asked = []

    def refuse(endpoint):
        asked.append(endpoint)
        raise errors.MisdirectedError('status 421', step='report')

    bench.engine.read_report = refuse
    for _ in range(3):
        with pytest.raises(errors.LinkError):
            bench.link.load_model(fakes.MODEL)
        clock.sleep(2)
    assert len(asked) == 1


@clocks.on_virtual_clock
def test_order_is_not_repeated_at_an_address_that_is_another_upstreams():
    """Guards against orders by a report of an engine that has ended."""
    bench = links.Bench()
    bench.link._read_report()
    sent = []

    def refuse(endpoint, order):
        sent.append(order)
        return orders.Outcome.OTHER_UPSTREAM

    bench.engine.send_order = refuse
    read = links.count_reports(bench.engine)
    assert not bench.load('a1').ok
    assert not bench.load('a2').ok
    assert len(sent) == 1 or read


@clocks.on_virtual_clock
def test_orders_of_two_leaders_in_turn_do_not_overfill_an_engine():
    """Guards against late orders of an earlier leader beside newer ones."""
    for delay_s in (0.35, 0.7, 1.3, 3.0, 8.0, 11.9):
        for pause_s in (0.0, 0.2, 0.4, 1.1, 3.3):
            bench = links.Bench(None, 'a1', 'a2')
            late = fakes.Delivery(is_answered=False, delay_s=delay_s)
            bench.engine.deliveries = [late] * 3
            bench.load('a3')
            bench.token = 8
            bench.renew_link()
            clock.sleep(pause_s)
            for name in ('a4', 'a5', 'a6'):
                eventlet.spawn(bench.load, name)
            clock.sleep(15)
            assert not bench.engine.overfilled


def play_two_links(seed):
    """Order loads by two links to one engine at once, some of them late.

    Returns:
        Whether the engine was overfilled.
    """
    draw = random.Random(seed)
    engine = fakes.FakeEngine(links.SLOTS, load_s=draw.choice((0.05, 0.25, 2)))
    benches = [links.Bench(engine), links.Bench(engine)]
    benches[1].token = draw.choice((7, 8))
    for _ in range(draw.randrange(3, 25)):
        if draw.random() < 0.4:
            engine.deliveries.append(
                fakes.Delivery(
                    is_answered=False,
                    delay_s=draw.choice((None, 0.05, 0.5, 2.0, 8.0)),
                )
            )
        if draw.random() < 0.2:
            draw.choice(benches).renew_link()
        victims = draw.sample('12345678', draw.choice((0, 0, 1)))
        eventlet.spawn(
            draw.choice(benches).load,
            f'a{draw.randrange(1, 9)}',
            *(f'a{victim}' for victim in victims),
        )
        clock.sleep(draw.choice((0.0, 0.01, 0.1, 0.4, 2.0)))
    clock.sleep(30)
    return engine.overfilled


@clocks.on_virtual_clock
def test_two_links_to_one_engine_do_not_overfill_it():
    """Guards against orders of a link whose entry went and came back."""
    assert [seed for seed in range(150) if play_two_links(seed)] == []
