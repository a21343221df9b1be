"""Tests of the planner of loads to several engines, on the virtual clock."""

import math

import eventlet
import pytest

from ivystep.core import types
from ivystep.gateway import load_planner
from ivystep.policy import load_target, load_times, routing
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes

COSTS = load_target.TargetCosts(spread=0.02, fetch=0.04)
LOAD_S = 0.25


def ref(name, version=1):
    return types.AdapterRef(fakes.MODEL, name, version)


class Engine:
    """An engine that carries out loads beside one another."""

    def __init__(self, world, upstream_id, held, places, running=0):
        self.world = world
        self.upstream_id = upstream_id
        self.held = {ref(name) for name in held}
        self.coming = set()
        self.places = places
        self.running = running
        self.sequence = 0
        self.evicted = []

    def status(self):
        self.sequence += 1
        return types.UpstreamStatus(
            upstream_id=self.upstream_id,
            sidecar_incarnation='1',
            engine_incarnation='1',
            sequence=self.sequence,
            healthy=True,
            draining=False,
            running=self.running,
            slots=self.places - len(self.coming),
            max_running=8,
            resident_by_ref={
                one: types.ResidentAdapter(one, 0) for one in self.held
            },
            loading=None,
            setup_version=0,
            crash_fingerprints=(),
        )

    def load(self, order, setup_version):
        self.world.started.append(order.ref.name)
        for victim in order.evict:
            assert victim in self.held, 'evicted twice'
            self.held.remove(victim)
            self.evicted.append(victim.name)
        self.coming.add(order.ref)
        self.world.report(self)
        clock.sleep(LOAD_S)
        self.coming.remove(order.ref)
        self.held.add(order.ref)
        assert len(self.held | self.coming) <= self.places
        self.world.report(self)
        return types.LoadResult(True, 'loaded', '')


class World:
    """A planner with some engines."""

    def __init__(self):
        rules = routing.RoutingRules(silence_s=math.inf, remote_cost=0.05)
        self.index = routing.UpstreamIndex('', rules)
        self.planner = load_planner.LoadPlanner(
            'host',
            self.index,
            COSTS,
            30.0,
            lambda: self.has_duty,
            load_times.LoadTimes(),
        )
        self.has_duty = True
        self.started = []
        self.engines = []

    def engine(self, *held, places=4, running=0):
        made = Engine(self, f'i-{len(self.engines)}', held, places, running)
        self.engines.append(made)
        self.report(made)
        return made

    def report(self, engine):
        view = self.index.apply_status(engine.status(), engine, clock.now())
        self.planner.on_status(view)

    def ask(self, *demands, host='host'):
        self.planner.report_demand(host, demands)


def demand(name, **more):
    values = {
        'ref': ref(name),
        'source': '',
        'setup_version': 0,
        'weight': 1.0,
        'waiting': 1,
        'oldest_wait_s': 0.0,
        'start_within_s': 3.0,
        'arrivals': 1,
        'target_start_within_s': 0.8,
        'timely_value': 1.0,
        'late_value': 0.0,
    }
    return types.AdapterDemand(**{**values, **more})


@clocks.on_virtual_clock
def test_loads_go_to_several_engines_at_once():
    """Guards against requests that wait for each other's loads."""
    world = World()
    for _ in range(4):
        world.engine()
    world.ask(*(demand(f'a{number}') for number in range(8)))
    clock.sleep(LOAD_S + 0.05)
    assert sorted(world.started) == [f'a{number}' for number in range(8)]
    assert [len(engine.held) for engine in world.engines] == [2, 2, 2, 2]


@clocks.on_virtual_clock
def test_timely_requests_come_before_late_ones():
    """Guards against a backlog in which every request comes too late."""
    world = World()
    world.engine(places=1)
    world.ask(
        demand(
            'late', timely_value=0.0, late_value=9.0, target_start_within_s=-1.0
        ),
        demand('cheap', timely_value=0.5),
        demand('dear', timely_value=2.0),
    )
    clock.sleep(LOAD_S / 2)
    assert world.started == ['dear']


@clocks.on_virtual_clock
def test_adapters_in_use_anywhere_are_not_evicted():
    """Guards against an eviction that waits for another host's requests."""
    world = World()
    engine = world.engine('used', 'idle', places=2)
    world.ask(demand('used', waiting=0, running=3), host='other')
    world.ask(demand('new'))
    clock.sleep(LOAD_S + 0.05)
    assert engine.evicted == ['idle']


@clocks.on_virtual_clock
def test_adapter_returns_to_where_it_was():
    """Guards against loads from the weight store that are not needed."""
    world = World()
    world.engine(places=2, running=3)
    former = world.engine('a1', places=2, running=3)
    former.held.clear()
    world.report(former)
    world.engine(places=2)
    world.ask(demand('a1'))
    clock.sleep(LOAD_S + 0.05)
    assert ref('a1') in former.held


@clocks.on_virtual_clock
def test_version_in_use_is_not_replaced_in_place():
    """Guards against an engine that takes no orders for seconds."""
    world = World()
    busy = world.engine('a1', places=4)
    free = world.engine(places=4, running=6)
    world.ask(demand('a1', waiting=0, running=1), host='other')
    world.ask(demand('a1', ref=ref('a1', 2)))
    clock.sleep(LOAD_S + 0.05)
    assert ref('a1', 2) in free.held
    assert ref('a1') in busy.held


@clocks.on_virtual_clock
def test_popular_adapter_gets_a_copy_on_an_emptier_engine():
    """Guards against one engine that is filled by one adapter."""
    world = World()
    world.engine('hot', running=6)
    empty = world.engine()
    for _ in range(6):
        world.ask(demand('hot', waiting=0, arrivals=20))
        clock.sleep(0.3)
    assert ref('hot') in empty.held


@clocks.on_virtual_clock
def test_demand_of_a_silent_host_is_forgotten():
    """Guards against loads for requests of a host that has gone."""
    world = World()
    world.ask(demand('a1'), host='gone')
    clock.sleep(2)
    world.engine()
    clock.sleep(1)
    assert world.started == []


@pytest.mark.parametrize('hosts', [1, 3])
def test_hosts_that_want_the_same_adapter_get_one_load(hosts):
    """Guards against one load for each host."""

    @clocks.on_virtual_clock
    def play():
        world = World()
        world.engine()
        world.engine()
        for number in range(hosts):
            eventlet.spawn(world.ask, demand('a1'), host=f'host-{number}')
        clock.sleep(LOAD_S * 3)
        return world.started

    assert play() == ['a1']


@clocks.on_virtual_clock
def test_adapter_that_many_ask_for_suddenly_is_copied_within_two_seconds():
    """Guards against an engine overfilled by the requests for one adapter.

    The load of a day on which demand moves to another adapter: until now the
    others had all requests, then it gets a fifth of them.
    """
    world = World()
    first = world.engine('a0', 'sudden', running=2)
    for number in range(1, 5):
        world.engine(f'a{number}', running=2)

    def ask(sudden):
        others = [
            demand(f'a{number}', waiting=0, arrivals=6, timely_value=0.0)
            for number in range(5)
        ]
        moved = demand('sudden', waiting=0, arrivals=8, timely_value=0.0)
        world.ask(*others, *([moved] if sudden else []))
        clock.sleep(1)

    for _ in range(30):
        ask(sudden=False)
    world.started.clear()
    first.running = 6
    world.report(first)
    ask(sudden=True)
    ask(sudden=True)
    assert 'sudden' in world.started


@clocks.on_virtual_clock
def test_nothing_is_planned_without_the_duty():
    """Guards against beliefs spoilt by evictions that are not carried out."""
    world = World()
    engine = world.engine('a1', places=1)
    world.has_duty = False
    for _ in range(10):
        world.ask(demand('a2'))
        clock.sleep(0.1)
    assert (world.started, engine.evicted) == ([], [])
    world.has_duty = True
    world.ask(demand('a2'))
    clock.sleep(LOAD_S)
    assert world.started == ['a2']


@clocks.on_virtual_clock
def test_engine_that_refuses_a_load_is_not_asked_at_every_turn():
    """Guards against hundreds of reports from an engine that is full."""
    world = World()
    engine = world.engine()
    engine.load = lambda order, version: (
        world.started.append(order.ref.name)
        or types.LoadResult(False, 'busy', 'No place is free.')
    )
    for _ in range(20):
        world.ask(demand('a1'))
        world.report(engine)
        clock.sleep(0.05)
    assert 1 <= len(world.started) <= 6
