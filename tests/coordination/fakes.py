"""An in-memory table service with injected faults, on the virtual clock."""

import collections
import contextlib
import dataclasses
import enum
import functools
import os

import eventlet
from eventlet import hubs
from hypothesis import Phase, settings, strategies

from ivystep.core import errors
from ivystep.platform import table
from ivystep.runtime import clock, virtual_hub

MAX_PAUSE_S = 30.0
# ``IVYSTEP_EXAMPLES`` allows longer searches than CI has time for.
EXAMPLES = int(os.environ.get('IVYSTEP_EXAMPLES', '150'))
SEARCH = settings(
    max_examples=EXAMPLES,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
)
# For searches that must find a violation, which need not be shrunk.
VIOLATION_SEARCH = settings(
    SEARCH,
    max_examples=1000,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)


class ViolationError(AssertionError):
    """The oracle detected a violated invariant."""


class Kind(enum.Enum):
    """Outcome of one call."""

    OK = 'ok'
    DOWN = 'down'
    LOST_BEFORE = 'lost before the effect'
    LOST_AFTER = 'lost after the effect'
    LATE = 'takes effect after the caller gave up'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """The fault injected into one call.

    ``before_s`` and ``after_s`` model a slow service as well as a caller that
    is paused before or after the effect; ``late_s`` is the delay of a late
    effect.
    """

    kind: Kind = Kind.OK
    before_s: float = 0.0
    after_s: float = 0.0
    late_s: float = 1.0


NO_FAULT = Fault(before_s=0.001, after_s=0.001)
PAUSES = strategies.sampled_from((0.0, 0.003, 0.5, 4.0, 11.0, MAX_PAUSE_S))
FAULTS = strategies.builds(
    Fault, strategies.sampled_from(Kind), PAUSES, PAUSES, PAUSES
)


class FakeTable:
    """The shared rows; each process has its own ``TableView`` of them.

    Attributes:
        era: Number of times that the rows were restored from a copy.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[str, table.Row] = {}
        self.transactions = 0
        self.era = 0

    def restore(self, copied) -> None:
        """Return to a copy of the rows; what was written since is gone."""
        self.row_by_key = dict(copied)
        self.era += 1

    def apply(self, puts) -> None:
        """Apply all puts or none.

        Like the platform, it checks all puts against the rows as they were
        before the transaction.
        """
        self.transactions += 1
        for put in puts:
            row = self.row_by_key.get(put.key)
            if (row.version if row else 0) != put.expected_version:
                raise errors.ConflictError(put.key, step='transact')
        for put in puts:
            version = put.expected_version + 1
            self.row_by_key[put.key] = table.Row(put.key, put.value, version)


class TableView:
    """The table as one process sees it.

    Attributes:
        planned: Faults of the next calls; ``NO_FAULT`` follows them.
        calls: Number of calls.
        era: Highest era that an answer has named.
    """

    def __init__(self, shared: FakeTable) -> None:
        self.planned: collections.deque[Fault] = collections.deque()
        self.calls = 0
        self.era = 0
        self._shared = shared

    def get(self, key: str) -> table.Row | None:
        fault = self._next_fault()
        clock.sleep(fault.before_s)
        if fault.kind is Kind.DOWN:
            raise errors.UnavailableError('down', step='get')
        row = self._shared.row_by_key.get(key)
        era = self._shared.era
        clock.sleep(fault.after_s)
        if fault.kind is not Kind.OK:
            raise errors.UnavailableError('no answer', step='get')
        self._receive(era)
        return row

    def transact(self, puts) -> None:
        fault = self._next_fault()
        clock.sleep(fault.before_s)
        if fault.kind is Kind.DOWN:
            raise errors.UnavailableError('down', step='transact')
        era = self._shared.era
        if fault.kind is Kind.LATE:
            eventlet.spawn_after(fault.late_s, self._apply_late, tuple(puts))
        elif fault.kind is not Kind.LOST_BEFORE:
            try:
                self._shared.apply(puts)
            except errors.ConflictError:
                # Without an answer, the caller does not learn of the conflict.
                if fault.kind is Kind.OK:
                    clock.sleep(fault.after_s)
                    self._receive(era)
                    raise
        clock.sleep(fault.after_s)
        if fault.kind is not Kind.OK:
            raise errors.UncertainWriteError('no answer', step='transact')
        self._receive(era)

    def scan(self, prefix: str):
        rows = self._shared.row_by_key
        return iter([rows[key] for key in sorted(rows) if key > prefix])

    def _receive(self, era: int) -> None:
        """Learn the era that an answer names, or refuse a late answer."""
        if era < self.era:
            raise errors.UncertainWriteError('an earlier era', step='answer')
        self.era = era

    def _next_fault(self) -> Fault:
        self.calls += 1
        return self.planned.popleft() if self.planned else NO_FAULT

    def _apply_late(self, puts) -> None:
        with contextlib.suppress(errors.ConflictError):
            self._shared.apply(puts)


class VirtualTime:
    """Runs the rules of a state machine on the virtual hub."""

    def __init__(self) -> None:
        self._previous = type(hubs.get_hub())
        hubs.use_hub(virtual_hub.VirtualHub)

    def stop(self) -> None:
        """Restore the previous hub."""
        hubs.use_hub(self._previous)


def on_virtual_clock(function):
    """Run a test as a task on the virtual clock."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        return virtual_hub.run(lambda: function(*args, **kwargs))

    return run
