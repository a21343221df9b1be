"""Tests of submissions with lost answers and concurrent operators."""

import pytest

from ivystep.core import errors
from ivystep.runtime import virtual_hub
from ivystep.setup import history, records, submission
from tests.setup import fakes

FIRST = fakes.make_document(fakes.account('authority'))
SECOND = fakes.make_document(fakes.account('authority', active=2))
OTHER = fakes.make_document(fakes.account('authority', weight=2))


@pytest.fixture
def platform():
    return fakes.Platform()


@pytest.fixture
def submitter(platform):
    return submission.Submitter(platform.rows, platform.store)


@pytest.fixture
def audit_trail(platform):
    return history.History(platform.rows, platform.store)


def submit(submitter, *arguments):
    """Submit on the virtual clock, so that pauses take no real time."""
    return virtual_hub.run(lambda: submitter.submit(*arguments))


def test_accepted_change_has_an_audit_record(submitter, audit_trail):
    """Guards against changes without operator or differences on record."""
    assert submit(submitter, FIRST, 0, 'ama').version == 1
    assert submit(submitter, SECOND, 1, 'kofi').version == 2
    newest, oldest = audit_trail.recent(10)
    assert (newest.operator, newest.base_version, newest.outcome) == (
        'kofi',
        1,
        'accepted',
    )
    place = 'account authority: adapter letters'
    assert newest.changes == (
        f'{place}: active_version changed from 1 to 2',
        f'{place}: version 2: added with source letters-2',
    )
    assert oldest.operator == 'ama'
    assert audit_trail.read_version(1).read_document() == FIRST
    assert [record.version for record in audit_trail.recent(1)] == [2]


def test_only_changed_objects_are_stored(submitter, platform):
    """Guards against a small change that uploads the whole setup."""
    many = [fakes.account(f'account-{number}') for number in range(300)]
    submit(submitter, fakes.make_document(*many), 0, 'ama')
    platform.store.puts = platform.store.gets = 0
    many[7] = fakes.account('account-7', weight=3)
    submit(submitter, fakes.make_document(*many), 1, 'ama')
    assert platform.store.puts == 3


def test_concurrent_operators_get_the_difference(submitter, audit_trail):
    """Guards against a change that silently overwrites a concurrent one."""
    submit(submitter, FIRST, 0, 'ama')
    submit(submitter, SECOND, 1, 'ama')
    with pytest.raises(submission.StaleBaseError) as caught:
        submit(submitter, OTHER, 1, 'kofi')
    assert caught.value.version == 2
    assert 'active_version changed from 1 to 2' in str(caught.value.changes[0])
    refused = audit_trail.recent(10)[0]
    assert (refused.outcome, refused.operator) == ('refused', 'kofi')


def test_only_one_of_two_racing_writes_is_accepted(
    submitter, platform, audit_trail
):
    """Guards against overwriting a change accepted after the first check."""
    submit(submitter, FIRST, 0, 'ama')
    other_submitter = submission.Submitter(platform.rows, platform.store)
    platform.rows.before_write = lambda: other_submitter.submit(
        SECOND, 1, 'ama'
    )
    with pytest.raises(submission.StaleBaseError):
        submit(submitter, OTHER, 1, 'kofi')
    assert audit_trail.read_version(2).read_document() == SECOND


@pytest.mark.parametrize('failing_reads', [0, 1, 3])
def test_outcome_is_read_back_after_a_lost_answer(
    submitter, platform, failing_reads
):
    """Guards against not reporting that a change is in force."""
    platform.rows.lost_answers = 1

    def fail_reads():
        platform.rows.reads_that_fail = failing_reads

    platform.rows.before_write = fail_reads
    outcome = submit(submitter, FIRST, 0, 'ama')
    assert (outcome.version, outcome.is_resolved) == (1, True)


def test_unknown_outcome_can_be_queried_later(submitter, platform, audit_trail):
    """Guards against applying a change twice when it is submitted again."""
    platform.rows.lost_answers = 1

    def fail_reads():
        platform.rows.reads_that_fail = 100

    platform.rows.before_write = fail_reads
    with pytest.raises(errors.UncertainWriteError, match='--submission sub-1'):
        submit(submitter, FIRST, 0, 'ama', 'sub-1')
    platform.rows.reads_that_fail = 0
    assert audit_trail.outcome('sub-1').version == 1
    outcome = submit(submitter, FIRST, 0, 'ama', 'sub-1')
    assert (outcome.version, outcome.is_repeated) == (1, True)
    assert audit_trail.newest_version() == 1
    with pytest.raises(errors.SetupError, match='another document'):
        submit(submitter, SECOND, 1, 'ama', 'sub-1')


def test_cancelled_write_cannot_take_effect_later(
    submitter, platform, audit_trail
):
    """Guards against a delayed write after "nothing was changed"."""
    platform.rows.lost_writes = 1
    with pytest.raises(errors.UnavailableError, match='nothing was changed'):
        submit(submitter, FIRST, 0, 'ama', 'sub-1')
    with pytest.raises(errors.ConflictError):
        platform.rows.apply(platform.rows.delayed_writes[0])
    assert audit_trail.newest_version() == 0
    assert audit_trail.outcome('sub-1').outcome == 'not_applied'
    assert submit(submitter, FIRST, 0, 'ama', 'sub-1').version == 1
    with pytest.raises(errors.ConflictError):
        platform.rows.apply(platform.rows.delayed_writes[0])


def test_failed_step_leaves_the_earlier_setup_in_force(
    submitter, platform, audit_trail
):
    """Guards against a change that is applied in part."""
    submit(submitter, FIRST, 0, 'ama')
    platform.store.refuses_puts = True
    with pytest.raises(errors.UnavailableError, match='nothing was changed'):
        submit(submitter, SECOND, 1, 'ama')
    platform.store.refuses_puts = False

    def fail():
        raise errors.UnavailableError('down')

    platform.rows.before_write = fail
    with pytest.raises(errors.UnavailableError):
        submit(submitter, SECOND, 1, 'ama')
    assert audit_trail.newest_version() == 1
    assert records.audit_key(2) not in platform.rows.row_by_key
    assert submit(submitter, SECOND, 1, 'ama').version == 2
