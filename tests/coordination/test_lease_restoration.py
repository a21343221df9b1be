"""Tests of leases in a table that is restored from older copies."""

import eventlet
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from ivystep.coordination import lease
from ivystep.runtime import clock
from tests.coordination import fakes, test_lease

KEY = test_lease.KEY
DURATION_S = test_lease.DURATION_S


class RestoredLeaseMachine(test_lease.LeaseMachine):
    """Processes that restart, and a table that returns to older copies."""

    def __init__(self) -> None:
        super().__init__()
        self.copied = {}

    @stateful.rule()
    def copy(self):
        self.copied = dict(self.shared.row_by_key)

    @stateful.rule()
    def restore(self):
        self.shared.restore(self.copied)

    @stateful.rule(process=test_lease.PROCESSES)
    def restart(self, process):
        """End a process and start it again without its memory."""
        self.tasks[process].kill()
        # A lease of a process that has ended is used no more.
        self.leases[process]._valid_until = 0.0
        self.views[process] = fakes.TableView(self.shared)
        self.leases[process] = self.lease_type(
            self.views[process],
            KEY,
            f'side-{process}',
            DURATION_S,
            is_sole=True,
        )
        self.tasks[process] = eventlet.spawn(self._hold, process)

    @stateful.rule(
        process=test_lease.PROCESSES, seconds=st.sampled_from((1, 4))
    )
    def restart_after_a_drill(self, process, seconds):
        """Restart a process and restore the copy meanwhile."""
        self.leases[process].release()
        clock.sleep(seconds)
        self.shared.restore(self.copied)
        self.restart(process)


class IgnoresTheEra(lease.Lease):
    """Takes a row of a copy for the newest one."""

    def _is_from_copy(self, row_token):
        return False


class AlwaysGoesOn(lease.Lease):
    """Takes its former lease again, however long it has lapsed."""

    def _find_basis(self, record, row_token):
        self._excludes_until = float('inf')
        return super()._find_basis(record, row_token)


class ExtendsEarlierEras(lease.Lease):
    """Goes on with a lease of an earlier era that it writes again."""

    def _record_write(self, record, version):
        super()._record_write(record, version)
        self._valid_until = self._sent_at_by_write_id[record.write_id] + 9


def _machine(kind):
    name = f'{kind.__name__}RestoredMachine'
    return type(name, (RestoredLeaseMachine,), {'lease_type': kind})


def test_one_holder_with_growing_tokens_over_restorations():
    """Guards against a token of two holders after the store has returned to a
    copy, and against two holders at one time.
    """
    stateful.run_state_machine_as_test(
        _machine(lease.Lease), settings=fakes.SEARCH
    )


@pytest.mark.parametrize(
    'broken', [IgnoresTheEra, AlwaysGoesOn, ExtendsEarlierEras]
)
def test_oracle_sees_each_missing_mechanism(broken):
    """Guards against an oracle that misses the faults it is meant to find."""
    with pytest.raises(fakes.ViolationError):
        stateful.run_state_machine_as_test(
            _machine(broken), settings=fakes.VIOLATION_SEARCH
        )


@fakes.on_virtual_clock
def test_restarted_process_gives_no_token_that_the_copy_lacks():
    """Guards against a host that takes its own former lease from a copy."""
    shared = fakes.FakeTable()
    first, second, again = (
        lease.Lease(
            fakes.TableView(shared), KEY, name, DURATION_S, is_sole=True
        )
        for name in ('host-1', 'host-2', 'host-1')
    )
    first.acquire()
    copied = dict(shared.row_by_key)
    first.release()
    second.acquire()
    keeper = eventlet.spawn(second.keep)
    clock.sleep(1)
    shared.restore(copied)
    again.acquire()
    assert again.token > second.token
    assert not second.is_held()
    keeper.wait()


@fakes.on_virtual_clock
def test_holder_goes_on_at_once_after_a_restoration():
    """Guards against seconds without loads after each drill of the store."""
    shared = fakes.FakeTable()
    holder = lease.Lease(fakes.TableView(shared), KEY, 'host-1', DURATION_S)
    holder.acquire()
    copied = dict(shared.row_by_key)
    keeper = eventlet.spawn(holder.keep)
    clock.sleep(DURATION_S)
    token = holder.token
    shared.restore(copied)
    keeper.wait()
    noticed = clock.now()
    assert holder.acquire() > token
    assert clock.now() - noticed < 1
    assert holder.previous_holder_id in {'', 'host-1'}


@fakes.on_virtual_clock
def test_holder_whose_lease_lapsed_does_not_go_on_at_once():
    """Guards against a holder that was cut off over a restoration and takes
    its former lease from the copy, while another one relies on its own.
    """
    shared = fakes.FakeTable()
    view = fakes.TableView(shared)
    holder = lease.Lease(view, KEY, 'host-1', DURATION_S)
    other = lease.Lease(fakes.TableView(shared), KEY, 'host-2', DURATION_S)
    holder.acquire()
    copied = dict(shared.row_by_key)
    other.acquire()
    shared.restore(copied)
    holder.acquire()
    assert not other.is_held()
    assert holder.token > other.token
    assert holder.previous_holder_id != 'host-1'


@fakes.on_virtual_clock
def test_row_that_is_written_late_in_the_next_era_is_no_lease():
    """Guards against a write from before a restoration that takes effect after
    it and hides who held the lease meanwhile.
    """
    shared = fakes.FakeTable()
    view = fakes.TableView(shared)
    first = lease.Lease(view, KEY, 'host-1', DURATION_S)
    second, third = (
        lease.Lease(fakes.TableView(shared), KEY, name, DURATION_S)
        for name in ('host-2', 'host-3')
    )
    first.acquire()
    copied = dict(shared.row_by_key)
    # The release is carried out only after the restoration.
    view.planned.append(fakes.Fault(fakes.Kind.LATE, late_s=DURATION_S + 2))
    view.planned.extend([fakes.Fault(fakes.Kind.DOWN)] * 9)
    first.release()
    second.acquire()
    keeper = eventlet.spawn(second.keep)
    clock.sleep(0.1)
    shared.restore(copied)
    while not shared.row_by_key[KEY].value['is_released']:
        clock.sleep(0.01)
    third.acquire()
    assert not second.is_held()
    assert third.token > second.token
    keeper.wait()
