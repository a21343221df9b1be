"""Tests of the planner of parallel loads, on the virtual clock."""

import dataclasses
import math

import eventlet
import pytest

from ivystep.core import types
from ivystep.gateway.loads import load_planner
from ivystep.policy import load_target, load_times, load_value, routing
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.core import statuses
from tests.gateway import fakes

COSTS = load_target.TargetCosts(spread=0.02, fetch=0.04)
LOAD_S = 0.25


def ref(name, version=1):
    return types.AdapterRef(fakes.MODEL, name, version)


class Engine:
    """An engine that carries out loads in parallel."""

    def __init__(self, fixture, upstream_id, held, slots, running=0):
        self.fixture = fixture
        self.upstream_id = upstream_id
        self.held = {ref(name) for name in held}
        self.loading = set()
        self.slots = slots
        self.running = running
        self.sequence = 0
        self.evicted = []
        self.software_version = 'v1'

    def status(self):
        self.sequence += 1
        status = statuses.upstream_status(
            self.upstream_id,
            self.held,
            sequence=self.sequence,
            running=self.running,
            slots=self.slots - len(self.loading),
            max_running=8,
        )
        return dataclasses.replace(
            status, software_version=self.software_version
        )

    def load(self, order, setup_version):
        self.fixture.ordered_loads.append(order.ref.name)
        for victim in order.evict:
            assert victim in self.held, 'evicted twice'
            self.held.remove(victim)
            self.evicted.append(victim.name)
        self.loading.add(order.ref)
        self.fixture.report_status(self)
        clock.sleep(LOAD_S)
        self.loading.remove(order.ref)
        self.held.add(order.ref)
        assert len(self.held | self.loading) <= self.slots
        self.fixture.report_status(self)
        return types.LoadResult(True, 'loaded', '')


class PlannerFixture:
    """A planner with some engines."""

    def __init__(self):
        rules = routing.RoutingRules(silence_s=math.inf, remote_cost=0.05)
        self.index = routing.UpstreamIndex('', rules)
        self.replaced = set()
        self.planner = load_planner.LoadPlanner(
            'host',
            self.index,
            COSTS,
            30.0,
            lambda: self.is_leader,
            self.replaced.__contains__,
            load_times.LoadTimes(),
        )
        self.is_leader = True
        self.ordered_loads = []
        self.engines = []

    def engine(self, *held, slots=4, running=0, version='v1'):
        made = Engine(self, f'i-{len(self.engines)}', held, slots, running)
        made.software_version = version
        self.engines.append(made)
        self.report_status(made)
        return made

    def report_status(self, engine):
        view = self.index.apply_status(engine.status(), engine, clock.now())
        self.planner.on_status(view)

    def report_demand(self, *demands, host='host'):
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
def test_loads_run_on_several_engines_in_parallel():
    """Guards against requests that wait for the loads of other requests."""
    fixture = PlannerFixture()
    for _ in range(4):
        fixture.engine()
    fixture.report_demand(*(demand(f'a{number}') for number in range(8)))
    clock.sleep(LOAD_S + 0.05)
    assert sorted(fixture.ordered_loads) == [
        f'a{number}' for number in range(8)
    ]
    assert [len(engine.held) for engine in fixture.engines] == [2, 2, 2, 2]


@clocks.on_virtual_clock
def test_requests_that_can_be_timely_come_before_late_ones():
    """Guards against a backlog in which every answer is late."""
    fixture = PlannerFixture()
    fixture.engine(slots=1)
    fixture.report_demand(
        demand(
            'late', timely_value=0.0, late_value=9.0, target_start_within_s=-1.0
        ),
        demand('low', timely_value=0.5),
        demand('high', timely_value=2.0),
    )
    clock.sleep(LOAD_S / 2)
    assert fixture.ordered_loads == ['high']


@clocks.on_virtual_clock
def test_adapter_is_loaded_at_the_software_version_that_a_stream_needs():
    """Guards against a resumed stream that waits for a copy elsewhere."""
    fixture = PlannerFixture()
    fixture.engine('a1', version='v2')
    old = fixture.engine(running=6)
    fixture.engine(version='v2')
    fixture.report_demand(demand('a1', software_versions=('v1',)))
    clock.sleep(LOAD_S + 0.05)
    assert old.held == {ref('a1')}
    assert fixture.ordered_loads == ['a1']


@clocks.on_virtual_clock
def test_stream_of_a_version_that_has_gone_holds_up_no_load():
    """Guards against requests that wait because a stream cannot go on."""
    fixture = PlannerFixture()
    engine = fixture.engine(version='v2')
    fixture.report_demand(demand('a1', software_versions=('v1',)))
    clock.sleep(LOAD_S + 0.05)
    assert engine.held == {ref('a1')}


@clocks.on_virtual_clock
def test_adapter_in_use_by_another_host_is_not_evicted():
    """Guards against an eviction that waits for another host's requests."""
    fixture = PlannerFixture()
    engine = fixture.engine('used', 'idle', slots=2)
    fixture.report_demand(demand('used', waiting=0, running=3), host='other')
    fixture.report_demand(demand('new'))
    clock.sleep(LOAD_S + 0.05)
    assert engine.evicted == ['idle']


@clocks.on_virtual_clock
def test_adapter_is_loaded_on_the_engine_whose_host_caches_it():
    """Guards against loads from the weight store that are not needed."""
    fixture = PlannerFixture()
    fixture.engine(slots=2, running=3)
    caching = fixture.engine('a1', slots=2, running=3)
    caching.held.clear()
    fixture.report_status(caching)
    fixture.engine(slots=2)
    fixture.report_demand(demand('a1'))
    clock.sleep(LOAD_S + 0.05)
    assert ref('a1') in caching.held


@clocks.on_virtual_clock
def test_new_version_is_not_loaded_where_the_old_one_is_in_use():
    """Guards against an engine that accepts no orders for seconds."""
    fixture = PlannerFixture()
    busy = fixture.engine('a1', slots=4)
    free = fixture.engine(slots=4, running=6)
    fixture.report_demand(demand('a1', waiting=0, running=1), host='other')
    fixture.report_demand(demand('a1', ref=ref('a1', 2)))
    clock.sleep(LOAD_S + 0.05)
    assert ref('a1', 2) in free.held
    assert ref('a1') in busy.held


@clocks.on_virtual_clock
def test_popular_adapter_gets_a_copy_on_an_emptier_engine():
    """Guards against an engine whose batch is filled by one adapter."""
    fixture = PlannerFixture()
    fixture.engine('hot', running=6)
    empty = fixture.engine()
    for _ in range(6):
        fixture.report_demand(demand('hot', waiting=0, arrivals=20))
        clock.sleep(0.3)
    assert ref('hot') in empty.held


@clocks.on_virtual_clock
def test_demand_of_a_silent_host_is_dropped():
    """Guards against loads for requests of a host that has stopped."""
    fixture = PlannerFixture()
    fixture.report_demand(demand('a1'), host='gone')
    clock.sleep(2)
    fixture.engine()
    clock.sleep(1)
    assert fixture.ordered_loads == []


@pytest.mark.parametrize('hosts', [1, 3])
def test_hosts_that_demand_the_same_adapter_cause_one_load(hosts):
    """Guards against a separate load for each host."""

    @clocks.on_virtual_clock
    def play():
        fixture = PlannerFixture()
        fixture.engine()
        fixture.engine()
        for number in range(hosts):
            eventlet.spawn(
                fixture.report_demand, demand('a1'), host=f'host-{number}'
            )
        clock.sleep(LOAD_S * 3)
        return fixture.ordered_loads

    assert play() == ['a1']


@clocks.on_virtual_clock
def test_sudden_demand_for_an_adapter_is_copied_within_two_seconds():
    """Guards against an engine overloaded by the requests for one adapter.

    Demand shifts: an adapter without requests suddenly gets a fifth of them.
    """
    fixture = PlannerFixture()
    first = fixture.engine('a0', 'sudden', running=2)
    for number in range(1, 5):
        fixture.engine(f'a{number}', running=2)

    def report_demand(sudden):
        others = [
            demand(f'a{number}', waiting=0, arrivals=6, timely_value=0.0)
            for number in range(5)
        ]
        moved = demand('sudden', waiting=0, arrivals=8, timely_value=0.0)
        fixture.report_demand(*others, *([moved] if sudden else []))
        clock.sleep(1)

    for _ in range(30):
        report_demand(sudden=False)
    fixture.ordered_loads.clear()
    first.running = 6
    fixture.report_status(first)
    report_demand(sudden=True)
    report_demand(sudden=True)
    assert 'sudden' in fixture.ordered_loads


@clocks.on_virtual_clock
def test_host_that_is_not_the_leader_plans_no_loads():
    """Guards against adapters that seem evicted although no order was sent."""
    fixture = PlannerFixture()
    engine = fixture.engine('a1', slots=1)
    fixture.is_leader = False
    for _ in range(10):
        fixture.report_demand(demand('a2'))
        clock.sleep(0.1)
    assert (fixture.ordered_loads, engine.evicted) == ([], [])
    fixture.is_leader = True
    fixture.report_demand(demand('a2'))
    clock.sleep(LOAD_S)
    assert fixture.ordered_loads == ['a2']


@clocks.on_virtual_clock
def test_host_that_is_not_the_leader_does_not_rank_engines(monkeypatch):
    """Guards against a late event loop on hosts that order no loads."""
    fixture = PlannerFixture()
    ranked = []
    monkeypatch.setattr(
        fixture.planner._targets, 'rank', lambda view, now: ranked.append(view)
    )
    fixture.is_leader = False
    fixture.engine('a1')
    assert not ranked
    assert fixture.planner.is_cached('i-0', demand('a1').ref)


@clocks.on_virtual_clock
def test_engine_that_refuses_a_load_gets_no_other_one_at_once():
    """Guards against hundreds of report requests to an engine that is full."""
    fixture = PlannerFixture()
    engine = fixture.engine()
    engine.load = lambda order, version: (
        fixture.ordered_loads.append(order.ref.name)
        or types.LoadResult(False, 'busy', 'No adapter slot is free.')
    )
    for _ in range(20):
        fixture.report_demand(demand('a1'))
        fixture.report_status(engine)
        clock.sleep(0.05)
    assert 1 <= len(fixture.ordered_loads) <= 6


@clocks.on_virtual_clock
def test_version_that_was_replaced_is_not_loaded_for_a_host_that_learns_late():
    """Guards against a load that removes the newest version from an engine.

    An engine holds one version of an adapter; the leader knows version 2, a
    host that has not learned of it reports demand for version 1.
    """
    fixture = PlannerFixture()
    engine = fixture.engine()
    engine.held = {ref('a', 2)}
    fixture.report_status(engine)
    fixture.replaced.add(ref('a', 1))
    fixture.report_demand(demand('a', waiting=3), host='host-2')
    clock.sleep(0.1)
    assert fixture.ordered_loads == []


@clocks.on_virtual_clock
def test_replaced_version_gets_no_further_copies():
    """Guards against copies of a version that requests no longer name."""
    fixture = PlannerFixture()
    first = fixture.engine('a')
    for _ in range(3):
        fixture.engine()
    first.running = 8
    fixture.report_status(first)
    busy = demand('a', waiting=0, arrivals=200)
    fixture.planner.count_arrivals([busy])
    fixture.replaced.add(ref('a', 1))
    chosen = fixture.planner.choose_copy(clock.now())
    assert chosen is None or chosen.wanted.ref.version == 2


@clocks.on_virtual_clock
def test_each_adapter_is_added_up_once_for_all_loads(monkeypatch):
    """Guards against a leader that is busy with planning, so that loads are
    ordered late, where many hosts wait for many adapters.
    """
    merged = []
    add_up = load_value.AggregateDemand.merged
    monkeypatch.setattr(
        load_value.AggregateDemand,
        'merged',
        classmethod(lambda cls, parts: merged.append(1) or add_up(parts)),
    )
    fixture = PlannerFixture()
    for _ in range(10):
        fixture.engine(slots=4)
    hosts, adapters = 30, 40
    for host in range(hosts):
        fixture.report_demand(
            *(demand(f'a{number}') for number in range(adapters)),
            host=f'host-{host}',
        )
    clock.sleep(0.5)
    assert len(fixture.ordered_loads) >= 8
    rounds = 1 + len(fixture.ordered_loads)
    assert len(merged) <= adapters * 2 < adapters * rounds


@pytest.mark.parametrize(('waited_s', 'is_loaded'), [(0.0, False), (0.5, True)])
@clocks.on_virtual_clock
def test_adapter_whose_holders_are_full_is_loaded_elsewhere(
    waited_s, is_loaded
):
    """Guards against requests that are refused though other engines have room,
    because the only engine with their adapter is full.
    """
    fixture = PlannerFixture()
    fixture.engine('a', running=8)
    fixture.engine('b')
    # Copies of popular adapters are loaded anyway; this one is not.
    fixture.planner.count_arrivals(
        demand(f'p{number}', waiting=0, arrivals=50)
        for number in range(load_planner.MAX_POPULAR)
    )
    fixture.report_demand(demand('a', oldest_wait_s=waited_s))
    clock.sleep(0.1)
    assert fixture.ordered_loads == (['a'] if is_loaded else [])
