"""Tests of the loads of base models that the leader orders."""

import dataclasses
import types

import eventlet

from ivystep.core import errors
from ivystep.gateway.loads import (
    base_model_loader,
    engine_link,
    order_sender,
    residency_updates,
)
from ivystep.gateway.upstreams import upstream_state
from ivystep.policy import load_times
from ivystep.runtime import clock
from ivystep.traffic import contracts, orders, upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes

LOAD_S = 6.0
MODELS = ('m0', 'm1')
ENGINE_MB = 100.0
MODEL_MB = 60.0
REPORT_LAG_S = 0.2


class Engine:
    """An engine that has room for one base model.

    Attributes:
        load_s: How long a load takes.
        answers_from: Time from which it sends reports.
        overfilled: Whether it has accepted more models than it has room for.
        held: Models that it holds.
    """

    def __init__(self, load_s, *held):
        self.load_s = load_s
        self.held = list(held)
        self.answers_from = 0.0
        self.overfilled = False
        self.accepted = 0
        self._loading = None
        self._states = []

    def read_report(self, endpoint):
        if clock.now() < self.answers_from:
            raise errors.LinkError('connection refused', step='report')
        self._update()
        seen_at = clock.now() - REPORT_LAG_S
        seen = [state for at, state in self._states if at <= seen_at]
        return seen[-1] if seen else self._states[0][1]

    def send_order(self, endpoint, order):
        self._update()
        if self._loading or order.expected_orders != self.accepted:
            return orders.Outcome.OUT_OF_SEQUENCE
        if order.model in self.held:
            return orders.Outcome.ALREADY_HELD
        self.accepted += 1
        self.overfilled |= bool(self.held)
        self._loading = (clock.now() + self.load_s, order.model)
        self._update()
        return orders.Outcome.ACCEPTED

    def _update(self):
        if self._loading and self._loading[0] <= clock.now():
            self.held.append(self._loading[1])
            self._loading = None
        held = {name: upstreams.HeldModel(name, 1, {}) for name in self.held}
        report = upstreams.EngineReport(
            0, held, bool(self._loading), self.accepted, (), 0, 0, 0
        )
        self._states.append((clock.now(), report))


class Site:
    """Engines, and the leader that orders their base models.

    Args:
        engines: The engines by id.
        seen: Base models in the entry of each engine, by id.
    """

    def __init__(self, engines, seen):
        self._engines = engines
        self.upstream_by_id = {
            one: upstream_state.Upstream(entry_of(one, seen[one]))
            for one in engines
        }
        self.current = types.SimpleNamespace(service_by_name={'llm': service()})
        self._links = {
            upstream: engine_link.EngineLink(upstream, self._context(one))
            for one, upstream in self.upstream_by_id.items()
        }
        self._loader = base_model_loader.BaseModelLoader(
            self, self, self, self._links.get, fakes.FakeLog()
        )
        eventlet.spawn(self._loader.run)

    def authority(self):
        return order_sender.Authority('host', 1)

    def show(self, engine_id, *models):
        """Apply an entry that the engine has written."""
        self.upstream_by_id[engine_id].replace_entry(
            entry_of(engine_id, models), clock.now()
        )

    def _context(self, engine_id):
        return engine_link.LinkContext(
            api=self._engines[engine_id],
            authority=self.authority,
            on_change=lambda upstream: None,
            adapter_slots=lambda upstream, models: 4,
            is_cached=lambda upstream, ref: False,
            updates=residency_updates.ResidencyUpdates(
                'host',
                lambda published: None,
                dict,
                lambda running: None,
                lambda hosts: None,
                lambda: True,
                fakes.heartbeat_contents(),
            ),
            times=load_times.LoadTimes(),
            log=fakes.FakeLog(),
        )


def entry_of(engine_id, models):
    held = {name: upstreams.HeldModel(name, 1, {}) for name in models}
    return dataclasses.replace(fakes.entry(engine_id), held_model_by_name=held)


def service():
    models = {
        name: contracts.Model(name, MODEL_MB, LOAD_S, 1.0) for name in MODELS
    }
    return contracts.Service(
        'llm',
        '/health',
        100,
        contracts.EngineClass(8, 1000, ENGINE_MB, 4, 2.0, models),
    )


@clocks.on_virtual_clock
def test_load_that_takes_longer_than_configured_is_followed_by_no_other():
    """Guards against two base models on an engine with room for one: the order
    for the second one is repeated once the load of the first has ended.
    """
    engines = {'i-1': Engine(LOAD_S), 'i-2': Engine(3 * LOAD_S)}
    site = Site(engines, {'i-1': (), 'i-2': ()})
    for _ in range(40):
        clock.sleep(1)
        if engines['i-1'].held:
            # Fewer engines hold the other model than before.
            site.show('i-1', *engines['i-1'].held)
    assert not any(engine.overfilled for engine in engines.values())
    assert [len(engine.held) for engine in engines.values()] == [1, 1]


@clocks.on_virtual_clock
def test_entry_without_models_is_not_that_of_an_empty_engine():
    """Guards against an engine that is overfilled because an entry of another
    program does not say what it holds.
    """
    engine = Engine(LOAD_S, 'm1')
    Site({'i-1': engine}, {'i-1': ()})
    clock.sleep(30)
    assert not engine.overfilled


@clocks.on_virtual_clock
def test_empty_engine_loads_a_model_soon():
    """Guards against an engine that stays empty after a start."""
    engine = Engine(LOAD_S)
    Site({'i-1': engine}, {'i-1': ()})
    clock.sleep(LOAD_S + 3)
    assert engine.read_report(None).held_model_by_name
    assert engine.accepted == 1


@clocks.on_virtual_clock
def test_engine_that_sends_no_report_at_first_loads_a_model_soon():
    """Guards against an engine that stays empty for the time of a load that has
    not begun, because it was not reached when its entry appeared.
    """
    engine = Engine(LOAD_S)
    engine.answers_from = clock.now() + 1
    Site({'i-1': engine}, {'i-1': ()})
    clock.sleep(4)
    assert engine.accepted == 1
