"""Tests of leases with lost answers, outages and paused holders."""

import eventlet
import pytest
from eventlet import event
from hypothesis import stateful
from hypothesis import strategies as st

from ivystep.coordination import lease, lease_row
from ivystep.core import errors
from ivystep.platform import table
from ivystep.runtime import clock
from tests.coordination import fakes

KEY = 'engine/up-1'
DURATION_S = 10.0
PROCESSES = st.integers(0, 2)


class Receiver:
    """Receives commands with fencing tokens.

    Unlike an engine that checks tokens, it rejects nothing, but records
    commands that a correct holder never sends.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.violations: list[str] = []

    def command(self, token: int) -> None:
        if token < self.highest:
            self.violations.append(f'{token} after {self.highest}')
        self.highest = max(self.highest, token)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three processes compete for one lease."""

    lease_type = lease.Lease

    def __init__(self) -> None:
        super().__init__()
        self.time = fakes.VirtualTime()
        self.receiver = Receiver()
        self.tokens: list[int] = []
        self.shared = fakes.FakeTable()
        self.views = [fakes.TableView(self.shared) for _ in range(3)]
        self.leases = [
            self.lease_type(view, KEY, f'side-{number}', DURATION_S)
            for number, view in enumerate(self.views)
        ]
        self.tasks = [eventlet.spawn(self._hold, number) for number in range(3)]

    @stateful.rule(process=PROCESSES, fault=fakes.FAULTS)
    def plan_fault(self, process, fault):
        self.views[process].planned.append(fault)

    @stateful.rule(seconds=fakes.PAUSES)
    def advance(self, seconds):
        clock.sleep(seconds)

    @stateful.rule(process=PROCESSES)
    def release(self, process):
        if self.leases[process].is_held():
            self.leases[process].release()

    @stateful.invariant()
    def one_holder_with_growing_tokens(self):
        self._check()

    def teardown(self):
        try:
            clock.sleep(100)
            self._check()
        finally:
            for task in self.tasks:
                task.kill()
            self.time.stop()

    def _hold(self, number: int) -> None:
        """Acquire the lease repeatedly, and send commands while it is held."""
        held = self.leases[number]
        while True:
            self.tokens.append(held.acquire())
            keeper = eventlet.spawn(held.keep)
            while held.is_held():
                self._check()
                self.receiver.command(held.token)
                clock.sleep(0.5)
            keeper.kill()

    def _check(self) -> None:
        holders = [one.token for one in self.leases if one.is_held()]
        if len(holders) > 1:
            self.receiver.violations.append(f'holders {holders} at one time')
        if sorted(set(self.tokens)) != self.tokens:
            self.receiver.violations.append(f'tokens {self.tokens}')
        if self.receiver.violations:
            raise fakes.ViolationError(self.receiver.violations[0])


class CountFromAnswer(lease.Lease):
    """Counts its duration from the answer instead of the request."""

    def _record_write(self, record, version):
        self._sent_at_by_write_id[record.write_id] = clock.now()
        super()._record_write(record, version)


class NoWatch(lease.Lease):
    """Acquires the lease without waiting for the earlier one to expire."""

    def _wait_for_expiry(self, row):
        return row


class AssumeApplied(lease.Lease):
    """Treats a lost answer as success, without reading back."""

    def _read_back(self):
        write_id = list(self._sent_at_by_write_id)[-1]
        record = lease_row.Record(
            self._holder_id, self._row_token + 1, DURATION_S, write_id, False
        )
        self._record_write(record, self._version + 1)
        return write_id


class TokenFromMemory(lease.Lease):
    """Increments its own last token instead of that of the row."""

    def _write(self, token, *, is_released=False):
        return super()._write(self.token + 1, is_released=is_released)


def _machine(kind: type[lease.Lease]):
    name = f'{kind.__name__}Machine'
    return type(name, (LeaseMachine,), {'lease_type': kind})


def test_one_holder_with_growing_tokens():
    """Guards against two holders of one lease, and against reused tokens."""
    stateful.run_state_machine_as_test(
        _machine(lease.Lease), settings=fakes.SEARCH
    )


@pytest.mark.parametrize(
    'broken', [CountFromAnswer, NoWatch, AssumeApplied, TokenFromMemory]
)
def test_oracle_sees_each_missing_mechanism(broken):
    """Guards against an oracle that misses the faults it is meant to find."""
    with pytest.raises(fakes.ViolationError):
        stateful.run_state_machine_as_test(
            _machine(broken), settings=fakes.VIOLATION_SEARCH
        )


def _lease(shared: fakes.FakeTable, holder_id: str):
    view = fakes.TableView(shared)
    return view, lease.Lease(view, KEY, holder_id, DURATION_S)


@fakes.on_virtual_clock
def test_released_lease_can_be_acquired_at_once():
    """Guards against a planned restart that waits for the lease to expire."""
    shared = fakes.FakeTable()
    _, first = _lease(shared, 'side-1')
    view, second = _lease(shared, 'side-1 again')
    assert first.acquire() == 1
    view.planned.append(fakes.Fault(fakes.Kind.LOST_AFTER))
    first.release()
    assert not first.is_held()
    started = clock.now()
    assert second.acquire() == 2
    assert clock.now() - started < DURATION_S / 2


@fakes.on_virtual_clock
def test_paused_holder_finds_its_lease_expired():
    """Guards against commands from a holder paused beyond its lease."""
    shared = fakes.FakeTable()
    _, holder = _lease(shared, 'side-1')
    holder.acquire()
    # No renewal runs during the pause, as in a stopped process.
    clock.sleep(DURATION_S)
    assert not holder.is_held()


@fakes.on_virtual_clock
def test_release_never_lowers_the_token():
    """Guards against tokens that start again at 1 after a release."""
    shared = fakes.FakeTable()
    _, first = _lease(shared, 'side-1')
    assert first.acquire() == 1
    first.release()
    view, second = _lease(shared, 'side-2')
    view.planned.extend(
        (fakes.NO_FAULT, fakes.Fault(fakes.Kind.LOST_BEFORE, before_s=60))
    )
    with eventlet.Timeout(30, exception=False):
        second.acquire()
    second.release()
    _, third = _lease(shared, 'side-3')
    assert third.acquire() == 2


@fakes.on_virtual_clock
def test_lease_survives_an_outage_shorter_than_its_duration():
    """Guards against losing the lease in each short outage of the table."""
    shared = fakes.FakeTable()
    view, holder = _lease(shared, 'side-1')
    holder.acquire()
    eventlet.spawn(holder.keep)
    view.planned.extend([fakes.Fault(fakes.Kind.DOWN)] * 3)
    clock.sleep(30)
    assert holder.is_held()
    assert holder.token == 1


@fakes.on_virtual_clock
def test_row_of_another_holder_ends_the_lease():
    """Guards against a renewal that overwrites another holder's row."""
    shared = fakes.FakeTable()
    _, holder = _lease(shared, 'side-1')
    holder.acquire()
    value = {**shared.row_by_key[KEY].value, 'write_id': 'foreign'}
    shared.apply((table.Put(KEY, value, 1),))
    with pytest.raises(errors.ConflictError):
        holder._renew()
    assert not holder.is_held()


@pytest.mark.parametrize('has_row', [True, False])
def test_restored_store_neither_repeats_a_token_nor_ends_a_lease_early(
    has_row,
):
    """Guards against two holders of one token after a restored copy."""

    @fakes.on_virtual_clock
    def scenario():
        shared = fakes.FakeTable()
        first, second = (
            lease.Lease(fakes.TableView(shared), KEY, name, DURATION_S)
            for name in ('first', 'second')
        )
        first.acquire()
        first.release()
        copied = dict(shared.row_by_key) if has_row else {}
        second.acquire()
        task = eventlet.spawn(first.observe)
        clock.sleep(0.1)
        task.kill()
        held_until = clock.uptime() + DURATION_S
        shared.row_by_key = copied
        assert first.acquire() > second.token
        assert clock.uptime() >= held_until
        assert not second.is_held()
        assert first.previous_holder_id == 'second'

    scenario()


@pytest.mark.parametrize('has_row', [True, False])
def test_process_that_starts_after_a_restoration_waits_for_the_holder(has_row):
    """Guards against a copy that is taken for the newest state."""

    @fakes.on_virtual_clock
    def scenario():
        shared = fakes.FakeTable()
        first, second, started = (
            lease.Lease(fakes.TableView(shared), KEY, name, DURATION_S)
            for name in ('first', 'second', 'started')
        )
        first.acquire()
        first.release()
        copied = dict(shared.row_by_key) if has_row else {}
        second.acquire()
        shared.restore(copied)
        started.acquire()
        assert not second.is_held()
        assert started.token > second.token

    scenario()


@fakes.on_virtual_clock
def test_forgotten_holder_keeps_its_lease_for_its_own_duration():
    """Guards against two holders while a new duration is rolled out."""
    shared = fakes.FakeTable()
    _, held = _lease(shared, 'side-1')
    waiting = lease.Lease(
        fakes.TableView(shared), KEY, 'side-2', DURATION_S / 10
    )
    held.acquire()
    observer = eventlet.spawn(waiting.observe)
    clock.sleep(0.1)
    observer.kill()
    shared.row_by_key.clear()
    assert waiting.acquire() == 2
    assert not held.is_held()


class Told:
    """A lease that is kept, and a process that is told of its renewals."""

    def __init__(self):
        shared = fakes.FakeTable()
        self.holder_view = fakes.TableView(shared)
        self.holder = lease.Lease(self.holder_view, KEY, 'holder', DURATION_S)
        self.holder.acquire()
        self.keeper = eventlet.spawn(self.holder.keep)
        self.told = None
        self.is_told = True
        self.view = fakes.TableView(shared)
        self.waiting = lease.Lease(
            self.view, KEY, 'waiting', DURATION_S, told_renewal=self._renewal
        )
        self.acquired_at = None
        eventlet.spawn(self._acquire)

    def _renewal(self):
        if self.is_told and self.holder.is_held():
            self.told = self.holder.renewal()
        return self.told

    def _acquire(self):
        self.waiting.acquire()
        self.acquired_at = clock.now()


@fakes.on_virtual_clock
def test_row_of_a_holder_that_tells_of_its_renewals_is_not_read():
    """Guards against store calls in proportion to the waiting processes."""
    bench = Told()
    clock.sleep(DURATION_S)
    calls = bench.view.calls
    clock.sleep(5 * DURATION_S)
    assert bench.view.calls == calls
    assert bench.acquired_at is None


@pytest.mark.parametrize('is_told', [True, False])
def test_lease_is_taken_over_as_soon_as_it_has_expired(is_told):
    """Guards against a time without a holder after one that lost the store.

    Such a holder goes on to tell, but of no further renewal.
    """

    @fakes.on_virtual_clock
    def scenario():
        bench = Told()
        clock.sleep(3 * DURATION_S)
        bench.told = bench.holder.renewal()
        bench.is_told = is_told
        bench.holder_view.planned.extend([fakes.Fault(fakes.Kind.DOWN)] * 500)
        renewed_at = bench.holder.renewal().sent_at
        while bench.holder.is_held():
            clock.sleep(0.01)
        clock.sleep(DURATION_S)
        assert bench.waiting.token > bench.holder.token
        waited_s = bench.acquired_at - renewed_at
        assert DURATION_S <= waited_s <= DURATION_S + 0.5

    scenario()


@fakes.on_virtual_clock
def test_renewal_that_was_not_told_is_waited_for():
    """Guards against two holders when the last renewal is not told."""
    bench = Told()
    clock.sleep(3 * DURATION_S)
    bench.is_told = False
    bench.told = bench.holder.renewal()
    while bench.holder.renewal().sent_at == bench.told.sent_at:
        clock.sleep(0.01)
    renewed_at = bench.holder.renewal().sent_at
    bench.keeper.kill()
    while bench.acquired_at is None:
        clock.sleep(0.01)
    assert bench.acquired_at >= renewed_at + DURATION_S


@pytest.mark.parametrize(
    'odd',
    [
        {'token': 10**300},
        {'token': -1},
        {'token': '7'},
        {'duration_s': 1e300},
        {'duration_s': 'long'},
        {'holder_id': None, 'token': None},
    ],
)
def test_odd_row_neither_ends_a_process_nor_gives_the_lease(odd):
    """Guards against a row of another program that ends the election."""

    @fakes.on_virtual_clock
    def scenario():
        shared = fakes.FakeTable()
        _, holder = _lease(shared, 'side-1')
        _, waiting = _lease(shared, 'side-2')
        holder.acquire()
        value = shared.row_by_key[KEY].value
        shared.apply((table.Put(KEY, value | odd, 1),))
        task = eventlet.spawn(waiting.acquire)
        clock.sleep(100)
        assert not waiting.is_held()
        assert not task.dead
        shared.apply((table.Put(KEY, value, 2),))
        assert task.wait() > holder.token

    scenario()


def test_row_of_later_software_can_be_read():
    """Guards against hosts that end while a new field is rolled out."""

    @fakes.on_virtual_clock
    def scenario():
        shared = fakes.FakeTable()
        _, holder = _lease(shared, 'side-1')
        _, waiting = _lease(shared, 'side-2')
        holder.acquire()
        value = shared.row_by_key[KEY].value
        shared.apply((table.Put(KEY, {**value, 'new_field': 1}, 1),))
        assert waiting.acquire() > holder.token

    scenario()


class ToldBySuccessor:
    """A process that waits for one holder while another becomes the next."""

    def __init__(self, duration_s):
        shared = fakes.FakeTable()
        first = lease.Lease(
            fakes.TableView(shared), KEY, 'first', DURATION_S / 2
        )
        first.acquire()
        self.view = fakes.TableView(shared)
        self.waiting = lease.Lease(
            self.view,
            KEY,
            'waiting',
            DURATION_S / 2,
            told_renewal=lambda: self.told,
        )
        self.told = None
        self.task = eventlet.spawn(self.waiting.acquire)
        clock.sleep(0.1)
        first.release()
        self.next = lease.Lease(
            fakes.TableView(shared), KEY, 'next', duration_s
        )
        self.next.acquire()
        self.told = self.next.renewal()


@pytest.mark.parametrize('duration_s', [DURATION_S / 2, 4 * DURATION_S])
@fakes.on_virtual_clock
def test_holder_that_is_told_of_in_a_wait_keeps_its_own_duration(duration_s):
    """Guards against the duration of one holder's row applied to another's."""
    bench = ToldBySuccessor(duration_s)
    while bench.next.is_held():
        assert not bench.waiting.is_held()
        clock.sleep(0.1)
    bench.task.wait()
    assert bench.waiting.token > bench.next.token


@fakes.on_virtual_clock
def test_holder_that_is_told_of_in_a_wait_is_the_previous_one():
    """Guards against an acquisition that names the row before the last."""
    bench = ToldBySuccessor(DURATION_S / 2)
    bench.task.wait()
    assert bench.waiting.previous_holder_id == 'next'
    assert bench.waiting.acquisition.row_holder_id == 'next'
    assert bench.waiting.acquisition.row_token == bench.next.token


@fakes.on_virtual_clock
def test_release_after_a_told_holder_does_not_lower_its_token():
    """Guards against a release with the token of the row before the last."""
    bench = ToldBySuccessor(DURATION_S / 2)
    write = bench.view.transact
    is_lost = event.Event()

    def lose(puts):
        is_lost.send()
        clock.sleep(DURATION_S)

    bench.view.transact = lose
    is_lost.wait()
    bench.task.kill()
    bench.view.transact = write
    assert bench.waiting.release()
    row = bench.view.get(KEY)
    assert row.value['is_released']
    assert row.value['token'] >= bench.next.token
