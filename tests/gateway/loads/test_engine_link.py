"""Tests of orders to an engine, on the virtual clock."""

import contextlib
import dataclasses
import functools

import eventlet
import hypothesis
import pytest
from hypothesis import strategies

from ivystep.core import errors, types
from ivystep.gateway.loads import engine_link, order_sender, residency_updates
from ivystep.gateway.upstreams import upstream_state
from ivystep.policy import load_correction, load_times
from ivystep.runtime import clock
from ivystep.traffic import orders
from tests.coordination import fakes as clocks
from tests.gateway import fakes

SLOTS = 4


class Bench:
    """One engine with its link and the residency updates that it publishes."""

    def __init__(self, engine=None, *held):
        self.engine = engine or fakes.FakeEngine(SLOTS)
        self.upstream = upstream_state.Upstream(fakes.entry('i-1', *held))
        for adapter in held:
            self.engine.held[adapter] = 1
        self.published = []
        self.times = load_times.LoadTimes()
        self.token = 7
        self.log = fakes.FakeLog()
        updates = residency_updates.ResidencyUpdates(
            'host',
            self.on_update,
            dict,
            lambda running: None,
            lambda hosts: None,
            lambda: True,
            fakes.heartbeat_contents(),
        )
        self._context = engine_link.LinkContext(
            api=self.engine,
            authority=self.authority,
            on_change=lambda upstream: None,
            adapter_slots=self.adapter_slots,
            is_cached=lambda upstream, ref: False,
            updates=updates,
            times=self.times,
            log=self.log,
        )
        self.renew_link()

    def adapter_slots(self, upstream, models):
        """Return the slots as the gateway does."""
        engine_class = self.engine.engine_class
        return engine_class.adapter_capacity(models) if engine_class else SLOTS

    def renew_link(self):
        """Replace the link, as when the entry went and came back."""
        self.link = engine_link.EngineLink(self.upstream, self._context)

    def authority(self):
        return (
            order_sender.Authority('host', self.token) if self.token else None
        )

    def on_update(self, published):
        self.published.append((published.ref.name, published.is_held))
        record = functools.partial(
            self.upstream.set_resident, published.ref, is_held=published.is_held
        )
        if published.ready_in_s:
            eventlet.spawn_after(
                published.ready_in_s, lambda: record(now=clock.now())
            )
        else:
            record(now=clock.now())

    def load(self, name, *evict, version=1):
        order = types.LoadOrder(
            ref(name, version), '', tuple(map(ref, evict)), 'host'
        )
        return self.link.load(order, 0)


def ref(name, version=1):
    return types.AdapterRef(fakes.MODEL, name, version)


@clocks.on_virtual_clock
def test_load_is_published_before_reports_show_it():
    """Guards against requests that wait for a report of the engine."""
    bench = Bench()
    assert bench.load('a1').ok
    assert clock.now() < 0.4
    assert 'a1' in bench.engine.held or bench.engine.loading
    assert bench.published == [('a1', True)]


@clocks.on_virtual_clock
def test_evicted_adapter_gets_no_requests_before_its_unload_is_ordered():
    """Guards against requests to an adapter that is being unloaded."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    seen_at_order = []
    order = bench.engine.send_order

    def watch(*arguments):
        seen_at_order.append(ref('a1') in bench.upstream.held())
        return order(*arguments)

    bench.engine.send_order = watch
    assert bench.load('a5', 'a1').ok
    assert seen_at_order == [False, False]
    assert sorted(bench.engine.held | bench.engine.loading) == [
        'a2',
        'a3',
        'a4',
        'a5',
    ]


@clocks.on_virtual_clock
def test_unanswered_order_is_repeated_with_the_same_order_count():
    """Guards against an order that is carried out twice, or never."""
    bench = Bench()
    bench.engine.deliveries = [fakes.Delivery(is_answered=False, delay_s=3.0)]
    assert bench.load('a1').ok
    clock.sleep(5)
    assert bench.engine.sequence == 1
    assert [
        order.expected_orders for order in bench.engine.received_orders
    ] == [0]


@clocks.on_virtual_clock
def test_host_that_is_not_the_leader_sends_no_order():
    """Guards against orders of two hosts to one engine."""
    bench = Bench()
    bench.token = 0
    outcome = bench.load('a1')
    assert (outcome.ok, outcome.code) == (False, 'not_owner')
    assert not bench.engine.received_orders


@clocks.on_virtual_clock
def test_load_that_never_completes_is_retracted():
    """Guards against endless requests to an engine without the adapter."""
    bench = Bench(fakes.FakeEngine(SLOTS, load_s=60.0))
    assert bench.load('a1').ok
    clock.sleep(10)
    assert bench.published == [('a1', True), ('a1', False)]


@clocks.on_virtual_clock
def test_full_engine_gets_no_order():
    """Guards against an engine that fails for want of adapter slots."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    outcome = bench.load('a5')
    assert (outcome.ok, outcome.code) == (False, 'busy')
    assert not bench.engine.received_orders


DELIVERIES = strategies.sampled_from(
    (
        fakes.Delivery(),
        fakes.Delivery(),
        fakes.Delivery(is_answered=False),
        fakes.Delivery(is_answered=False, delay_s=0.05),
        fakes.Delivery(is_answered=False, delay_s=2.0),
        fakes.Delivery(is_answered=False, delay_s=8.0),
    )
)


@dataclasses.dataclass(frozen=True)
class Load:
    """A load by this leader, after the eviction of a victim."""

    name: int
    victim: int | None
    pause_s: float
    version: int = 1

    def play(self, bench):
        evict = () if self.victim is None else (f'a{self.victim}',)
        eventlet.spawn(
            bench.load, f'a{self.name}', *evict, version=self.version
        )


@dataclasses.dataclass(frozen=True)
class LateOrder:
    """An order of another leader that is carried out after a time."""

    name: int
    is_load: bool
    ahead: int | None
    delay_s: float
    pause_s: float

    def play(self, bench):
        expected = None
        if self.ahead is not None:
            expected = bench.engine.sequence + self.ahead
        bench.engine.order_by_others(
            f'a{self.name}',
            expected,
            self.delay_s,
            is_load=self.is_load,
        )


@dataclasses.dataclass(frozen=True)
class LateModel:
    """An order of a base model by another leader."""

    model: str
    delay_s: float
    pause_s: float

    def play(self, bench):
        bench.engine.order_by_others('', None, self.delay_s, model=self.model)


@dataclasses.dataclass(frozen=True)
class LoadModel:
    """An order of a base model by this leader, if the engine is empty."""

    model: str
    pause_s: float

    def play(self, bench):
        eventlet.spawn(self._order, bench.link)

    def _order(self, link):
        with contextlib.suppress(errors.LinkError):
            link.load_model(self.model)


@dataclasses.dataclass(frozen=True)
class OldEntry:
    """An entry of the store that is older than the last report."""

    held: tuple[int, ...]
    pause_s: float

    def play(self, bench):
        names = [f'a{name}' for name in self.held]
        bench.upstream.replace_entry(fakes.entry('i-1', *names), clock.now())


@dataclasses.dataclass(frozen=True)
class NewLink:
    """A new link, of the same leader or after its restart."""

    is_restart: bool
    pause_s: float

    def play(self, bench):
        bench.token += self.is_restart
        bench.renew_link()


@dataclasses.dataclass(frozen=True)
class Use:
    """The begin or end of requests that use an adapter."""

    name: int
    is_begin: bool
    pause_s: float

    def play(self, bench):
        if self.is_begin:
            bench.engine.in_use.add(f'a{self.name}')
        else:
            bench.engine.end_use(f'a{self.name}')


@dataclasses.dataclass(frozen=True)
class FailedReads:
    """A time in which no report is received."""

    duration_s: float
    pause_s: float

    def play(self, bench):
        bench.engine.reads_fail_until = clock.now() + self.duration_s


NAMES = strategies.integers(0, 9)
PAUSES = strategies.sampled_from((0.0, 0.1, 0.4, 2.0))
LATENESS = strategies.one_of(
    strategies.floats(0.0, 12.0),
    strategies.floats(0.0, 1.0),
    strategies.sampled_from((0.0, 0.05, 0.2, 0.4, 0.6, 1.0, 2.0)),
)
LOADS = strategies.builds(
    Load,
    NAMES,
    strategies.none() | NAMES,
    PAUSES,
    strategies.sampled_from((1, 1, 1, 2)),
)
LATE_LOADS = strategies.builds(
    LateOrder,
    NAMES,
    strategies.sampled_from((True, True, True, False)),
    strategies.sampled_from((None, None, None, 0, 1)),
    LATENESS,
    PAUSES,
)
MOVES = strategies.one_of(
    LOADS,
    LATE_LOADS,
    strategies.builds(
        Load, NAMES, strategies.none() | NAMES, strategies.just(0.0)
    ),
    LOADS,
    LATE_LOADS,
    strategies.builds(NewLink, strategies.booleans(), PAUSES),
    strategies.builds(Use, NAMES, strategies.booleans(), PAUSES),
    strategies.builds(
        FailedReads, strategies.sampled_from((0.1, 0.5, 2.0)), PAUSES
    ),
    strategies.builds(
        OldEntry, strategies.lists(NAMES, max_size=4).map(tuple), PAUSES
    ),
)
MODEL_NAMES = strategies.sampled_from((fakes.MODEL, 'other', 'third'))
MODEL_MOVES = strategies.one_of(
    MOVES,
    strategies.builds(LateModel, MODEL_NAMES, LATENESS, PAUSES),
    strategies.builds(LoadModel, MODEL_NAMES, PAUSES),
)
# Most faults need one free slot, and an order of another leader that takes it.
HELD = strategies.sampled_from((0, 1, 2, 3, 3, 3, 4))
LAGS = strategies.sampled_from((0.0, 0.05, 0.2, 0.35, 3.0))
LOAD_TIMES = strategies.sampled_from((0.05, 0.25, 1.0))
CALL_TIMES = strategies.sampled_from((0.0, 0.05, 0.3, 0.3))
SEARCH = hypothesis.settings(
    max_examples=clocks.EXAMPLES,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


@clocks.on_virtual_clock
def play(engine, held, moves, deliveries):
    """Return whether an engine is overfilled by moves and lost orders."""
    bench = Bench(engine, *(f'a{number}' for number in range(held)))
    engine.deliveries = list(deliveries)
    for move in moves:
        move.play(bench)
        clock.sleep(move.pause_s)
    clock.sleep(30)
    return engine.overfilled


@SEARCH
@hypothesis.given(
    HELD,
    strategies.lists(MOVES, max_size=14),
    strategies.lists(DELIVERIES, max_size=20),
    LAGS,
    LOAD_TIMES,
    CALL_TIMES,
)
@hypothesis.example(
    # Reports do not show a load yet when the fourth load after it is ordered.
    held=0,
    moves=[
        Load(0, None, 0.5),
        Load(3, None, 0.4),
        Load(4, None, 0.0),
        Load(1, None, 0.1),
        Load(2, None, 0.0),
    ],
    deliveries=[
        fakes.Delivery(is_answered=False),
        fakes.Delivery(is_answered=False, delay_s=0.05),
    ],
    report_lag_s=0.2,
    load_s=0.25,
    call_s=0.0,
)
@hypothesis.example(
    # A second load of a loading adapter, which fails, and then its eviction.
    held=0,
    moves=[
        Load(0, None, 0.0),
        Load(2, None, 0.0),
        Load(3, None, 0.0),
        Load(4, None, 0.0),
        Load(0, 0, 0.0),
        Load(1, 0, 0.0),
    ],
    deliveries=[fakes.Delivery(is_answered=False, delay_s=0.05)],
    report_lag_s=0.2,
    load_s=0.25,
    call_s=0.0,
)
def test_engine_is_never_overfilled(
    held, moves, deliveries, report_lag_s, load_s, call_s
):
    """Guards against an engine that fails because it has too many adapters,
    also when orders are lost or delayed, and leaders and links change.
    """
    engine = fakes.FakeEngine(SLOTS, load_s, report_lag_s)
    engine.call_s = call_s
    assert not play(engine, held, moves, deliveries)


@SEARCH
@hypothesis.given(
    HELD,
    strategies.lists(MODEL_MOVES, max_size=14),
    strategies.lists(DELIVERIES, max_size=20),
    LAGS,
    LOAD_TIMES,
    CALL_TIMES,
    strategies.booleans(),
)
def test_engine_with_several_base_models_is_never_overfilled(
    held, moves, deliveries, report_lag_s, load_s, call_s, is_empty
):
    """Guards against a load into the room that a base model takes."""
    engine = fakes.FakeEngine(SLOTS, load_s, report_lag_s, fakes.engine_class())
    engine.call_s = call_s
    if is_empty:
        engine.models.clear()
    assert not play(engine, 0 if is_empty else held, moves, deliveries)


@clocks.on_virtual_clock
def test_order_count_is_read_again_after_a_change_of_leader():
    """Guards against a new leader whose orders are all refused."""
    bench = Bench()
    bench.load('a1')
    clock.sleep(1)
    bench.engine.sequence = 5
    bench.engine._record_state()
    bench.token = 8
    clock.sleep(1)
    assert bench.load('a2').ok


@pytest.mark.parametrize('version', [2, 3])
def test_newer_version_replaces_the_older_one(version):
    """Guards against requests for a version that is no longer resident."""
    upstream = upstream_state.Upstream(fakes.entry('i-1', 'a1', 'a2'))
    upstream.replace_version(ref('a1', version), 1.0)
    assert upstream.held() == {ref('a1', version), ref('a2')}


@clocks.on_virtual_clock
def test_host_that_is_not_the_leader_publishes_no_residency_updates():
    """Guards against hosts that take resident adapters for evicted."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    bench.token = 0
    assert bench.load('a5', 'a1').code == 'not_owner'
    assert bench.published == []
    assert ref('a1') in bench.upstream.held()


@clocks.on_virtual_clock
def test_adapter_whose_unload_is_refused_is_published_as_resident():
    """Guards against an engine that seems to have a free slot but has none."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    bench.engine.send_order = lambda *arguments: orders.Outcome.OUT_OF_SEQUENCE
    assert not bench.load('a5', 'a1').ok
    assert bench.published[-2:] == [('a1', True), ('a5', False)]
    assert ref('a1') in bench.upstream.held()


@clocks.on_virtual_clock
def test_unanswered_order_is_not_repeated_after_the_lease_is_lost():
    """Guards against orders of two hosts by turns at one engine."""
    bench = Bench()
    bench.engine.deliveries = [fakes.Delivery(is_answered=False)] * 3
    eventlet.spawn_after(0.1, setattr, bench, 'token', 0)
    assert not bench.load('a1').ok
    assert len(bench.log.named('order_given')) == 1


@clocks.on_virtual_clock
def test_engine_that_names_a_limit_gets_no_orders_and_reads():
    """Guards against orders that use up the requests an engine takes."""
    check_no_orders_and_reads(
        lambda upstream: upstream.limit.on_named(1.0, 4, clock.now())
    )


@clocks.on_virtual_clock
def test_engine_that_rests_gets_no_orders_and_reads():
    """Guards against orders to an engine that wants no requests."""
    check_no_orders_and_reads(lambda upstream: upstream.rest(9.0, clock.now()))


def check_no_orders_and_reads(slow_down):
    """Load an adapter, slow the engine down meanwhile, load another one."""
    bench = Bench()
    eventlet.spawn(bench.load, 'a1')
    clock.sleep(0.05)
    sent = len(bench.engine.received_orders)
    read = []
    bench.engine.read_report = read.append
    slow_down(bench.upstream)
    assert bench.load('a2').code == 'busy'
    clock.sleep(2)
    assert len(bench.engine.received_orders) == sent
    assert not read


def count_reports(engine):
    """Return a list that grows with each report that is read."""
    read = []
    read_report = engine.read_report

    def counted(endpoint):
        read.append(clock.now())
        return read_report(endpoint)

    engine.read_report = counted
    return read


@clocks.on_virtual_clock
def test_report_is_not_read_for_each_load():
    """Guards against a read of an engine's state before and after each load,
    which answers of requests and the orders since the last report tell.
    """
    bench = Bench()
    read = count_reports(bench.engine)
    for name in ('a1', 'a2', 'a3'):
        assert bench.load(name).ok
        bench.times.record_answer(
            load_correction.LoadAnswer(
                'i-1', ref(name).lora_name, 0.01, is_held=True
            )
        )
    clock.sleep(3)
    assert len(read) <= 2
    assert not bench.upstream.loading
    assert bench.load('a4').ok
    assert not bench.load('a5').ok
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_load_without_an_accepted_request_is_confirmed_by_a_report():
    """Guards against an adapter that counts as loading forever."""
    bench = Bench()
    read = count_reports(bench.engine)
    assert bench.load('a1').ok
    before = len(read)
    clock.sleep(3)
    assert len(read) > before
    assert not bench.upstream.loading


@clocks.on_virtual_clock
def test_order_is_logged_with_the_slots_by_which_it_was_decided():
    """Guards against an overfilled engine whose cause no log line shows."""
    bench = Bench(None, 'a1')
    assert bench.load('a2').ok
    (order,) = bench.log.named('order_given')
    assert (order.used_slots, order.slots) == (2, SLOTS)
    assert (order.counted_at, order.expected) == (0, 0)


@clocks.on_virtual_clock
def test_failed_report_is_logged_with_the_engine_that_was_meant():
    """Guards against a call to another upstream's address that no log shows."""
    bench = Bench()

    def fail(endpoint):
        raise errors.LinkError('status 404 (call-1)', step='report')

    bench.engine.read_report = fail
    assert not bench.load('a1').ok
    (failed,) = bench.log.named('report_failed')
    assert (failed.upstream, failed.reason) == (
        'i-1',
        'report: status 404 (call-1)',
    )


@clocks.on_virtual_clock
def test_upstream_at_a_reused_address_gets_no_calls_until_the_entry_changes():
    """Guards against calls to an address that is another upstream's."""
    bench = Bench()
    asked = []

    def refuse(endpoint):
        asked.append(endpoint)
        raise errors.MisdirectedError('status 421', step='report')

    bench.engine.read_report = refuse
    assert not bench.load('a1').ok
    assert bench.load('a2').code == 'busy'
    assert len(asked) == 1
    assert not bench.upstream.is_available(clock.now())
    entry = bench.upstream.entry
    bench.upstream.replace_entry(
        dataclasses.replace(entry, version=entry.version + 1), clock.now()
    )
    assert bench.upstream.is_available(clock.now())
    bench.load('a3')
    assert asked == [entry.endpoint] * 2


@clocks.on_virtual_clock
def test_age_of_a_report_counts_from_when_its_call_was_sent():
    """Guards against a slow report that undoes what was known meanwhile."""
    bench = Bench()
    read = bench.engine.read_report

    def read_slowly(endpoint):
        report = read(endpoint)
        clock.sleep(0.6)
        return report

    bench.engine.read_report = read_slowly
    eventlet.spawn(bench.link._read_report)
    clock.sleep(0.1)
    bench.upstream.set_resident(ref('a1'), clock.now(), is_held=True)
    clock.sleep(1.0)
    assert bench.upstream.held() == {ref('a1')}


@clocks.on_virtual_clock
def test_report_counts_as_of_its_own_call_while_another_is_read():
    """Guards against an earlier report that counts as read by a later call."""
    bench = Bench()
    bench.link._read_report()
    clock.sleep(0.9)

    def fail(endpoint):
        raise errors.LinkError('timed out', step='report')

    bench.engine.read_report = fail
    with pytest.raises(errors.LinkError):
        bench.link._read_report()
    clock.sleep(0.5)
    with pytest.raises(errors.LinkError):
        bench.link._recent_report()


@clocks.on_virtual_clock
def test_report_that_overtakes_an_earlier_one_is_kept():
    """Guards against an older state that counts because it came later."""
    bench = Bench()
    read = bench.engine.read_report

    def read_slowly(endpoint):
        report = read(endpoint)
        clock.sleep(0.6)
        return report

    bench.engine.read_report = read_slowly
    eventlet.spawn(bench.link._read_report)
    clock.sleep(0.3)
    bench.engine.read_report = read
    bench.engine.held['a1'] = 1
    newer = bench.link._read_report()
    clock.sleep(0.5)
    assert bench.link._recent_report() is newer
    assert bench.upstream.held() == {ref('a1')}


def read_while(bench, change):
    """Read a report and make a change while the call is under way.

    Returns:
        The upstream's known state and the report's error.
    """
    bench.engine.held['a1'] = 1
    read = bench.engine.read_report

    def read_slowly(endpoint):
        report = read(endpoint)
        clock.sleep(0.2)
        return report

    bench.engine.read_report = read_slowly
    eventlet.spawn_after(0.1, change)
    with pytest.raises(errors.MisdirectedError) as raised:
        bench.link._read_report()
    return bench.upstream.held(), str(raised.value)


@pytest.mark.parametrize(
    ('stated_by_entry', 'stated_by_report', 'is_applied'),
    [(1, 2, False), (2, 1, False), (1, 1, True), (0, 1, True), (1, 0, True)],
)
@clocks.on_virtual_clock
def test_report_of_another_incarnation_is_not_applied(
    stated_by_entry, stated_by_report, is_applied
):
    """Guards against the state of one life that counts for another."""
    bench = Bench()
    bench.upstream.entry = dataclasses.replace(
        bench.upstream.entry, started_at_ms=stated_by_entry
    )
    bench.engine.held['a1'] = 1
    report = dataclasses.replace(
        bench.engine._state(), started_at_ms=stated_by_report
    )
    bench.engine.read_report = lambda endpoint: report
    if is_applied:
        bench.link._read_report()
    else:
        with pytest.raises(errors.MisdirectedError, match='incarnation'):
            bench.link._read_report()
    assert bench.upstream.held() == ({ref('a1')} if is_applied else set())
    assert len(bench.log.named('report_failed')) == (not is_applied)


@clocks.on_virtual_clock
def test_report_is_not_applied_after_the_entry_was_removed():
    """Guards against the state of an upstream that has left meanwhile."""
    bench = Bench()
    held, error = read_while(bench, bench.upstream.remove)
    assert held == set()
    assert 'removed' in error


@clocks.on_virtual_clock
def test_report_is_not_applied_after_the_entry_names_another_incarnation():
    """Guards against the state of one life that counts for the next."""
    bench = Bench()
    restarted = dataclasses.replace(bench.upstream.entry, started_at_ms=9)
    held, _ = read_while(
        bench, lambda: bench.upstream.replace_entry(restarted, clock.now())
    )
    assert held == set()


@clocks.on_virtual_clock
def test_removed_engine_gets_no_calls():
    """Guards against calls to an address that may be another's soon."""
    bench = Bench()
    eventlet.spawn_after(0.05, bench.upstream.remove)
    read = count_reports(bench.engine)
    bench.engine.deliveries = [fakes.Delivery(is_answered=False)] * 9
    assert not bench.load('a1').ok
    orders_before = len(bench.log.named('order_given'))
    assert orders_before == 1
    assert bench.load('a2').code == 'busy'
    clock.sleep(9)
    assert len(bench.log.named('order_given')) == orders_before
    assert len(read) == 1


LATE_ORDERS = [
    (carried_out_s, load_s)
    for carried_out_s in (0.0, 0.1, 0.3, 0.6, 1.0, 2.0, 5.0, 8.0, 11.0)
    for load_s in (0.0, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.2)
]


@pytest.mark.parametrize(('carried_out_s', 'before_s'), LATE_ORDERS)
@clocks.on_virtual_clock
def test_late_order_of_an_earlier_leader_does_not_overfill_an_engine(
    carried_out_s, before_s
):
    """Guards against a load by the room of a state before that order."""
    bench = Bench(None, 'a1', 'a2', 'a3')
    bench.engine.order_by_others('a4', 0, 1.0 + carried_out_s)
    clock.sleep(max(1.0 + carried_out_s - 0.35 + before_s, 0.0))
    bench.load('a5')
    clock.sleep(5)
    assert not bench.engine.overfilled


NEW_LINKS = [
    (delay_s, pause_s)
    for delay_s in (0.35, 0.5, 1.0, 2.0, 4.0, 8.0)
    for pause_s in (0.0, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0)
]


@pytest.mark.parametrize(('delay_s', 'pause_s'), NEW_LINKS)
@clocks.on_virtual_clock
def test_order_of_an_earlier_link_does_not_overfill_an_engine(delay_s, pause_s):
    """Guards against a load by the room of a state before that order."""
    bench = Bench(None, 'a1', 'a2', 'a3')
    bench.engine.deliveries = [
        fakes.Delivery(is_answered=False, delay_s=delay_s)
    ] + [fakes.Delivery(is_answered=False)] * 2
    bench.load('a4')
    bench.renew_link()
    clock.sleep(max(delay_s - 0.9 - 0.35, 0.0) + pause_s)
    bench.load('a5')
    clock.sleep(15)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_unload_that_waits_for_requests_frees_no_slot():
    """Guards against a load into the slot of an adapter that is in use."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    bench.engine.in_use.add('a1')
    read = bench.engine.read_report
    send = bench.engine.send_order

    def fail_once(endpoint):
        bench.engine.read_report = read
        raise errors.LinkError('timed out', step='report')

    def send_before_a_failed_read(*arguments):
        bench.engine.read_report = fail_once
        return send(*arguments)

    bench.engine.send_order = send_before_a_failed_read
    assert not bench.load('a5', 'a1').ok
    bench.engine.send_order = send
    for name in ('a6', 'a7', 'a8'):
        bench.load(name)
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_adapter_that_another_leader_loads_again_uses_a_slot():
    """Guards against an unload that is believed after a later load of it."""
    engine = fakes.FakeEngine(SLOTS, load_s=0.05, report_lag_s=0.02)
    bench = Bench(engine, 'a1', 'a2', 'a3', 'a4')
    eventlet.spawn(bench.load, 'a5', 'a1')
    clock.sleep(0.1)
    engine.order_by_others('a2', engine.sequence, 0.0, is_load=False)
    engine.order_by_others('a1', engine.sequence + 1, 0.01)
    clock.sleep(0.1)
    bench.link._report = None
    bench.load('a6')
    clock.sleep(5)
    assert not engine.overfilled


def carry_out_between(bench, adapter):
    """Carry out a load of another leader right after the next unload."""
    send = bench.engine.send_order

    def watch(endpoint, order):
        outcome = send(endpoint, order)
        if not order.is_load:
            late = dataclasses.replace(order, is_load=True, adapter=adapter)
            bench.engine.execute(dataclasses.replace(late, version=1))
        return outcome

    bench.engine.send_order = watch


@clocks.on_virtual_clock
def test_unload_of_an_adapter_that_only_the_entry_names_is_not_counted():
    """Guards against a load whose number an order of another leader reaches."""
    bench = Bench(None, 'a1', 'a2')
    assert bench.load('a3').ok
    bench.upstream.replace_entry(
        fakes.entry('i-1', 'a1', 'a2', 'a3', 'a4'), clock.now()
    )
    carry_out_between(bench, 'a9')
    bench.load('a5', 'a4')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_repeated_unload_of_an_adapter_that_was_in_use_is_not_counted():
    """Guards against a load whose number an order of another leader reaches."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    bench.engine.in_use.add('a1')
    assert bench.load('a5', 'a1').code == engine_link.IN_USE
    bench.engine.end_use('a1')
    carry_out_between(bench, 'a9')
    bench.load('a6', 'a1')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_unload_that_was_carried_out_without_an_answer_is_not_counted():
    """Guards against a load whose number an order of another leader reaches."""
    bench = Bench(None, 'a1', 'a2', 'a3', 'a4')
    bench.engine.in_use.add('a1')
    bench.engine.deliveries = [fakes.Delivery(is_answered=False, delay_s=0.0)]
    bench.engine.deliveries += [fakes.Delivery(is_answered=False)] * 2
    assert not bench.load('a5', 'a1').ok
    bench.engine.end_use('a1')
    carry_out_between(bench, 'a9')
    bench.load('a6', 'a1')
    clock.sleep(5)
    assert not bench.engine.overfilled


def crowded_bench(*models):
    """Return an engine with 3 adapters and some models beside the first."""
    engine = fakes.FakeEngine(engine_class=fakes.engine_class())
    engine.models.extend(models)
    return Bench(engine, 'a1', 'a2', 'a3')


@clocks.on_virtual_clock
def test_base_model_that_only_the_report_names_uses_room():
    """Guards against a load by the base models of an older entry."""
    bench = crowded_bench('other')
    assert bench.load('a4').ok
    bench.upstream.replace_entry(
        fakes.entry('i-1', 'a1', 'a2', 'a3'), clock.now()
    )
    assert bench.load('a5').code == 'busy'
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_base_model_that_is_loading_uses_room():
    """Guards against a load into the room that a base model takes."""
    bench = crowded_bench()
    bench.engine.load_s = 3.0
    bench.engine.order_by_others('', 0, 0.0, model='other')
    clock.sleep(1)
    assert bench.load('a4').code == 'busy'
    assert bench.load('a5').code == 'busy'
    clock.sleep(5)
    assert not bench.engine.overfilled


@pytest.mark.parametrize('delay_s', [None, 0.0, 0.2, 5.0])
@clocks.on_virtual_clock
def test_ordered_base_model_uses_room_before_reports_show_it(delay_s):
    """Guards against a load that follows the order of a base model."""
    bench = crowded_bench()
    bench.engine.models.clear()
    bench.engine.held.clear()
    bench.engine.deliveries = [fakes.Delivery(delay_s is None, delay_s)]
    bench.engine.deliveries += [fakes.Delivery(is_answered=False)] * 2
    with contextlib.suppress(errors.LinkError):
        bench.link.load_model('other')
    assert bench.load('a1').code == 'busy'
    clock.sleep(9)
    bench.load('a1')
    assert not bench.engine.loading


@pytest.mark.parametrize('pause_s', [1.5, 2.1, 2.5, 2.9])
@clocks.on_virtual_clock
def test_accepted_load_uses_a_slot_until_a_report_counts_it(pause_s):
    """Guards against a load by a report that is older than the last load."""
    bench = Bench(fakes.FakeEngine(SLOTS, 0.05, 3.0), 'a1', 'a2', 'a3')
    clock.sleep(5)
    assert bench.load('a4').ok
    clock.sleep(pause_s)
    bench.load('a5')
    clock.sleep(5)
    assert not bench.engine.overfilled


@clocks.on_virtual_clock
def test_engine_that_starts_anew_under_the_same_id_gets_orders_again():
    """Guards against a link that waits for a count that the engine has lost."""
    bench = Bench()
    for name in ('a1', 'a2', 'a3'):
        assert bench.load(name).ok
    bench.renew_link()
    clock.sleep(2)
    assert bench.load('a4').ok
    bench.engine.restart()
    clock.sleep(2)
    assert bench.load('a5').ok
    assert not bench.engine.overfilled


@pytest.mark.parametrize('restart_s', [0.0, 0.1, 0.3, 0.5, 0.7])
@clocks.on_virtual_clock
def test_order_repeated_after_a_restart_does_not_overfill_an_engine(restart_s):
    """Guards against a repeated order that meets the engine's next life."""
    bench = Bench(None, 'b1', 'b2', 'b3')
    bench.engine.deliveries = [
        fakes.Delivery(is_answered=False, delay_s=2.0),
        fakes.Delivery(is_answered=False, delay_s=1.0),
    ]
    eventlet.spawn_after(restart_s, bench.engine.restart)
    bench.load('a1')
    for name in ('a2', 'a3', 'a4', 'a5', 'a6'):
        bench.load(name)
        clock.sleep(0.3)
    clock.sleep(5)
    assert not bench.engine.overfilled


@pytest.mark.parametrize('report_lag_s', [0.0, 0.2, 0.4, 1.0])
@pytest.mark.parametrize('is_carried_out', [False, True])
@pytest.mark.parametrize('pause_s', [0.0, 0.1, 0.5])
@clocks.on_virtual_clock
def test_leader_after_a_loss_of_power_does_not_overfill_an_engine(
    report_lag_s, is_carried_out, pause_s
):
    """Guards against room by a report from before the last accepted order."""
    engine = fakes.FakeEngine(SLOTS, 0.25, report_lag_s)
    bench = Bench(engine, 'a1', 'a2', 'a3')
    engine.deliveries = [fakes.Delivery(is_carried_out, 0.0)]
    earlier = eventlet.spawn(bench.load, 'a4')
    clock.sleep(0.01)
    earlier.kill()
    successor = Bench(engine, 'a1', 'a2', 'a3')
    successor.token = bench.token + 1
    clock.sleep(pause_s)
    for name in ('a5', 'a6', 'a7'):
        successor.load(name)
    clock.sleep(15)
    assert not engine.overfilled
    assert len(engine.held | engine.loading) == SLOTS


@pytest.mark.parametrize('delay_s', [0.0, 0.2, 0.35, 0.6, 1.5, 4.0])
@pytest.mark.parametrize('change_s', [0.0, 0.1, 0.35])
@clocks.on_virtual_clock
def test_order_from_before_a_change_of_authority_does_not_overfill_an_engine(
    delay_s, change_s
):
    """Guards against an order that is carried out under the next token."""
    bench = Bench(None, 'a1', 'a2', 'a3')
    bench.engine.deliveries = [
        fakes.Delivery(is_answered=False, delay_s=delay_s)
    ]
    eventlet.spawn_after(change_s, setattr, bench, 'token', 8)
    bench.load('a4')
    for name in ('a5', 'a6', 'a7', 'a8'):
        bench.load(name)
        clock.sleep(0.2)
    clock.sleep(15)
    assert not bench.engine.overfilled
