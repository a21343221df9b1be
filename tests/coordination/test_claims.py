"""Tests of claims with lost answers, outages and paused claimants."""

import dataclasses

import eventlet
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from ivystep.coordination import claims, group_commit
from ivystep.core import errors, types
from ivystep.platform import table
from ivystep.runtime import clock
from tests.coordination import fakes

ACCOUNT = 'depot'
KEYS = st.sampled_from(('return-1', 'return-2'))
RUNS = st.sampled_from(types.ExecutionStatus)
PROCESSES = st.integers(0, 2)
SETTLING_S = 300.0


class Oracle:
    """Checks what ran against what the claim log reported."""

    def __init__(self) -> None:
        self.runs_by_key: dict[str, list[str]] = {}
        self.open_by_key: dict[str, set[str]] = {}
        self.denied: set[tuple[str, str]] = set()
        self.violations: list[str] = []

    def start(self, key: str, claimant: str) -> None:
        holders = self.open_by_key.setdefault(key, set())
        if holders or self.runs_by_key.get(key):
            self.violations.append(
                f'{claimant} may run {key} beside {sorted(holders)} '
                f'after {self.runs_by_key.get(key)}'
            )
        holders.add(claimant)

    def run(self, key: str, claimant: str) -> None:
        self.runs_by_key.setdefault(key, []).append(claimant)

    def end(self, key: str, claimant: str) -> None:
        self.open_by_key[key].discard(claimant)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Claimants in three processes compete for two keys."""

    log_type = claims.ClaimLog

    def __init__(self) -> None:
        super().__init__()
        self.time = fakes.VirtualTime()
        self.oracle = Oracle()
        self.shared = fakes.FakeTable()
        self.views = [fakes.TableView(self.shared) for _ in range(3)]
        self.logs = [
            self.log_type(view, f'entry-{number}')
            for number, view in enumerate(self.views)
        ]
        self.tasks = []

    @stateful.rule(process=PROCESSES, key=KEYS, ran=RUNS, run_s=fakes.PAUSES)
    def claim(self, process, key, ran, run_s):
        claimant = f'req-{len(self.tasks)}'
        self.tasks.append(
            eventlet.spawn(
                self._request, self.logs[process], key, claimant, ran, run_s
            )
        )

    @stateful.rule(process=PROCESSES, fault=fakes.FAULTS)
    def plan_fault(self, process, fault):
        self.views[process].planned.append(fault)

    @stateful.rule(seconds=fakes.PAUSES)
    def advance(self, seconds):
        clock.sleep(seconds)

    @stateful.rule(process=PROCESSES, key=KEYS)
    def read(self, process, key):
        # An answer may predate a run that started during the read.
        had_run = bool(self.oracle.runs_by_key.get(key))
        try:
            claim = self.logs[process].read(ACCOUNT, key)
        except errors.UnavailableError:
            return
        if claim is None or claim.ran is types.ExecutionStatus.UNKNOWN:
            return
        did_run = bool(self.oracle.runs_by_key.get(key))
        if had_run and claim.ran is types.ExecutionStatus.NO:
            raise fakes.ViolationError(f'{key} ran, but the log says no')
        if not did_run and claim.ran is types.ExecutionStatus.YES:
            raise fakes.ViolationError(
                f'{key} did not run, but the log says yes'
            )

    @stateful.invariant()
    def no_violation(self):
        if self.oracle.violations:
            raise fakes.ViolationError(self.oracle.violations[0])

    def teardown(self):
        try:
            for task in self.tasks:
                task.wait()
            clock.sleep(SETTLING_S)
            self.no_violation()
            self._check_denials()
        finally:
            self.time.stop()

    def _request(self, log, key, claimant, ran, run_s) -> None:
        try:
            claim = log.acquire(ACCOUNT, key, claimant, b'same')
        except errors.UnavailableError:
            self.oracle.denied.add((key, claimant))
            return
        except errors.UncertainWriteError:
            self._settle(log, key, claimant, types.ExecutionStatus.NO)
            return
        if not claim.granted:
            return
        self.oracle.start(key, claimant)
        clock.sleep(run_s)
        if ran is not types.ExecutionStatus.NO:
            self.oracle.run(key, claimant)
        self.oracle.end(key, claimant)
        self._settle(log, key, claimant, ran)

    def _settle(self, log, key, claimant, ran) -> None:
        try:
            log.settle(ACCOUNT, key, claimant, ran, None)
        except errors.PlatformError:
            return
        except errors.InvariantError as error:
            self.oracle.violations.append(str(error))

    def _check_denials(self) -> None:
        """Check that ``UnavailableError`` means that no claim was acquired."""
        for row in self.shared.row_by_key.values():
            for key, claimant in self.oracle.denied:
                if (
                    row.value['claimant_id'] == claimant
                    and row.value['state'] == claims.ClaimState.TAKEN.value
                ):
                    raise fakes.ViolationError(
                        f'{claimant} was told that {key} was not claimed'
                    )


class AssumeApplied(claims.ClaimLog):
    """Treats a lost answer as success, without reading back."""

    def acquire(self, account, key, claimant_id, fingerprint):
        try:
            return super().acquire(account, key, claimant_id, fingerprint)
        except errors.UncertainWriteError:
            return claims.Claim(
                granted=True,
                state=claims.ClaimState.TAKEN,
                status=None,
                claimant_id=claimant_id,
                matches=True,
            )


class AssumeNotApplied(claims.ClaimLog):
    """Treats an absent row after a lost answer as a failed write."""

    def _decide(self, found, wanted, fingerprint):
        if found is None:
            raise errors.UnavailableError('not applied')
        return super()._decide(found, wanted, fingerprint)


class ReleaseUnknown(claims.ClaimLog):
    """Lets the next claimant acquire a claim of unknown outcome."""

    def _decide(self, found, wanted, fingerprint):
        if found and found.value['state'] == 'unknown':
            return None
        return super()._decide(found, wanted, fingerprint)


class NoFence(claims.ClaimLog):
    """Does not keep a cancelled acquisition from taking effect."""

    def _fence(self, record, claimant_id, state, status):
        return None


def _machine(log: type[claims.ClaimLog]):
    name = f'{log.__name__}Machine'
    return type(name, (ClaimsMachine,), {'log_type': log})


def test_at_most_one_run_for_each_key():
    """Guards against a request that runs twice, and a false outcome."""
    stateful.run_state_machine_as_test(
        _machine(claims.ClaimLog), settings=fakes.SEARCH
    )


@pytest.mark.parametrize('broken', [AssumeApplied, ReleaseUnknown])
def test_oracle_sees_each_missing_mechanism(broken):
    """Guards against an oracle that misses the faults it is meant to find."""
    with pytest.raises(fakes.ViolationError):
        stateful.run_state_machine_as_test(
            _machine(broken), settings=fakes.VIOLATION_SEARCH
        )


class OneRowPerTransaction(group_commit.GroupCommit):
    """Puts two writes to one row into one transaction."""

    def put(self, put):
        pending = group_commit._Pending(put, eventlet.event.Event())
        alias = f'{put.key} {len(self._batch.pending_by_key)}'
        self._batch.pending_by_key[alias] = pending
        if len(self._batch.pending_by_key) == 1:
            eventlet.spawn_after(0.005, self._commit, self._batch)
        pending.outcome.wait()


def _granted_of_two_at_once(commit_type) -> int:
    log = claims.ClaimLog(fakes.TableView(fakes.FakeTable()), 'entry-1')
    log._commits = commit_type(log._rows)
    tasks = [
        eventlet.spawn(log.acquire, ACCOUNT, 'return-1', f'req-{number}', b'f')
        for number in range(2)
    ]
    return sum(task.wait().granted for task in tasks)


@fakes.on_virtual_clock
def test_repeats_that_arrive_together_get_one_claim():
    """Guards against two puts to one row in a transaction, which the table
    service would both accept.
    """
    assert _granted_of_two_at_once(group_commit.GroupCommit) == 1
    assert _granted_of_two_at_once(OneRowPerTransaction) == 2


@fakes.on_virtual_clock
def test_claims_share_transactions():
    """Guards against one transaction for each claim, at full load."""
    shared = fakes.FakeTable()
    log = claims.ClaimLog(fakes.TableView(shared), 'entry-1')
    tasks = [
        eventlet.spawn(log.acquire, ACCOUNT, f'key-{number}', 'req', b'f')
        for number in range(250)
    ]
    assert all(task.wait().granted for task in tasks)
    assert shared.transactions == 3


@fakes.on_virtual_clock
def test_conflict_does_not_fail_the_rest_of_the_batch():
    """Guards against a conflict of one account that fails others' claims."""
    shared = fakes.FakeTable()
    log = claims.ClaimLog(fakes.TableView(shared), 'entry-1')
    assert log.acquire(ACCOUNT, 'old', 'req-0', b'f').granted
    tasks = [
        eventlet.spawn(log.acquire, account, key, f'req-{account}', b'f')
        for account, key in ((ACCOUNT, 'old'), ('other', 'old'), ('x', 'new'))
    ]
    assert [task.wait().granted for task in tasks] == [False, True, True]


@fakes.on_virtual_clock
def test_cancelled_acquisition_cannot_take_effect_later():
    """Guards against a put that takes effect after its request has given up,
    which would block the key for good.
    """
    for log_type, is_granted in ((claims.ClaimLog, True), (NoFence, False)):
        shared = fakes.FakeTable()
        view = fakes.TableView(shared)
        late = fakes.Fault(fakes.Kind.LATE, late_s=10.0)
        view.planned.extend((late, fakes.Fault(fakes.Kind.DOWN)))
        log = log_type(view, 'entry-1')
        with pytest.raises(errors.UncertainWriteError):
            log.acquire(ACCOUNT, 'return-1', 'req-1', b'f')
        log.settle(ACCOUNT, 'return-1', 'req-1', types.ExecutionStatus.NO, None)
        clock.sleep(20)
        claim = log.acquire(ACCOUNT, 'return-1', 'req-2', b'f')
        assert claim.granted == is_granted


@fakes.on_virtual_clock
def test_absent_row_does_not_prove_that_a_put_failed():
    """Guards against reporting a claim as not acquired while its put may still
    take effect.
    """
    late = fakes.Fault(fakes.Kind.LATE, late_s=10.0)
    shared = fakes.FakeTable()
    view = fakes.TableView(shared)
    view.planned.append(late)
    log = claims.ClaimLog(view, 'entry-1')
    assert log.acquire(ACCOUNT, 'return-1', 'req-1', b'f').granted
    view.planned.append(late)
    with pytest.raises(errors.UnavailableError):
        AssumeNotApplied(view, 'entry-1').acquire(ACCOUNT, 'x', 'req-2', b'f')
    clock.sleep(20)
    assert log.read(ACCOUNT, 'x').claimant_id == 'req-2'


@fakes.on_virtual_clock
def test_repeat_gets_outcome_and_mismatch():
    """Guards against a repeat that gets less than what is recorded."""
    log = claims.ClaimLog(fakes.TableView(fakes.FakeTable()), 'entry-1')
    log.acquire(ACCOUNT, 'return-1', 'req-1', b'f')
    log.settle(ACCOUNT, 'return-1', 'req-1', types.ExecutionStatus.YES, 201)
    repeat = log.acquire(ACCOUNT, 'return-1', 'req-2', b'other')
    assert dataclasses.astuple(repeat) == (
        False,
        claims.ClaimState.RAN,
        201,
        'req-1',
        False,
    )
    with pytest.raises(errors.InvariantError):
        log.settle(ACCOUNT, 'return-1', 'req-1', types.ExecutionStatus.NO, None)


@fakes.on_virtual_clock
def test_key_is_not_stored():
    """Guards against storing callers' keys in the table service."""
    shared = fakes.FakeTable()
    log = claims.ClaimLog(fakes.TableView(shared), 'entry-1')
    log.acquire(ACCOUNT, 'secret-key', 'req-1', b'f')
    assert 'secret-key' not in repr(shared.row_by_key)
    assert isinstance(next(iter(shared.row_by_key.values())), table.Row)


@fakes.on_virtual_clock
def test_claim_that_a_copy_lacks_is_not_granted_again():
    """Guards against a second run of a request after the table was restored."""
    shared = fakes.FakeTable()
    log = claims.ClaimLog(fakes.TableView(shared), 'entry-1')
    copied = dict(shared.row_by_key)
    assert log.acquire(ACCOUNT, 'return-1', 'req-1', b'f').granted
    log.settle(ACCOUNT, 'return-1', 'req-1', types.ExecutionStatus.YES, 201)
    shared.restore(copied)
    assert not log.acquire(ACCOUNT, 'return-1', 'req-2', b'f').granted
