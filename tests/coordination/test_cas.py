"""Tests of compare-and-set with lost answers and concurrent writers."""

import eventlet
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from ivystep.coordination import cas
from ivystep.core import errors
from ivystep.runtime import clock
from tests.coordination import fakes

KEY = 'counter'


class CasMachine(stateful.RuleBasedStateMachine):
    """Concurrent writers append their names to one list."""

    update = staticmethod(cas.update)

    def __init__(self) -> None:
        super().__init__()
        self.time = fakes.VirtualTime()
        self.shared = fakes.FakeTable()
        self.views = [fakes.TableView(self.shared) for _ in range(3)]
        self.tasks = []
        self.outcome_by_writer: dict[str, type[Exception] | None] = {}

    @stateful.rule(process=st.integers(0, 2))
    def write(self, process):
        writer = f'writer-{len(self.tasks)}'
        self.tasks.append(
            eventlet.spawn(self._write, self.views[process], writer)
        )

    @stateful.rule(process=st.integers(0, 2), fault=fakes.FAULTS)
    def plan_fault(self, process, fault):
        self.views[process].planned.append(fault)

    @stateful.rule(seconds=fakes.PAUSES)
    def advance(self, seconds):
        clock.sleep(seconds)

    def teardown(self):
        try:
            for task in self.tasks:
                task.wait()
            clock.sleep(fakes.MAX_PAUSE_S)
            self._check()
        finally:
            self.time.stop()

    def _write(self, view, writer) -> None:
        try:
            self.update(view, KEY, lambda names: [*(names or []), writer])
        except errors.PlatformError as error:
            self.outcome_by_writer[writer] = type(error)
        else:
            self.outcome_by_writer[writer] = None

    def _check(self) -> None:
        names = cas.read(fakes.TableView(self.shared), KEY) or []
        for writer, problem in self.outcome_by_writer.items():
            count = names.count(writer)
            allowed = (1,) if problem is None else (0,)
            if problem is errors.UncertainWriteError:
                allowed = (0, 1)
            if count not in allowed:
                raise fakes.ViolationError(
                    f'{writer} was written {count} times and got {problem}'
                )


class NoReadBack(cas._Update):
    """Treats a lost answer as a failed write."""

    def _resolve(self, row):
        return None


class NewestIdOnly(cas._Update):
    """Recognizes only the newest write of the row as its own."""

    def _resolve(self, row):
        if row is not None:
            value = {**row.value, 'write_ids': row.value['write_ids'][-1:]}
            row = type(row)(row.key, value, row.version)
        return super()._resolve(row)


def _machine(kind: type[cas._Update]):
    update = staticmethod(lambda *args: kind(*args).run())
    return type(f'{kind.__name__}Machine', (CasMachine,), {'update': update})


def test_each_update_is_applied_once_and_reported_truly():
    """Guards against updates that are lost, applied twice or misreported."""
    stateful.run_state_machine_as_test(CasMachine, settings=fakes.SEARCH)


@pytest.mark.parametrize('broken', [NoReadBack, NewestIdOnly])
def test_oracle_sees_each_missing_mechanism(broken):
    """Guards against an oracle that misses the faults it is meant to find."""
    with pytest.raises(fakes.ViolationError):
        stateful.run_state_machine_as_test(
            _machine(broken), settings=fakes.VIOLATION_SEARCH
        )


@fakes.on_virtual_clock
def test_write_whose_id_was_dropped_is_reported_as_uncertain():
    """Guards against repeating a write whose id is no longer in the row."""
    shared = fakes.FakeTable()
    view = fakes.TableView(shared)
    view.planned.extend(
        (
            fakes.NO_FAULT,
            fakes.Fault(fakes.Kind.LOST_AFTER, after_s=5.0),
        )
    )
    slow = eventlet.spawn(cas.update, view, KEY, lambda old: (old or 0) + 1)
    clock.sleep(1)
    for _ in range(cas.KEPT_WRITE_IDS):
        cas.update(fakes.TableView(shared), KEY, lambda old: old + 1)
    with pytest.raises(errors.UncertainWriteError):
        slow.wait()
    assert cas.read(view, KEY) == cas.KEPT_WRITE_IDS + 1
