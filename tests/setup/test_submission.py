"""Tests of submitting a setup, with lost answers and concurrent operators."""

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
def trail(platform):
    return history.History(platform.rows, platform.store)


def submit(submitter, *arguments):
    """Submit on the virtual clock, so that pauses take no time."""
    return virtual_hub.run(lambda: submitter.submit(*arguments))


def test_an_accepted_change_has_its_audit_record(submitter, trail):
    """Guards against changes that nobody can trace."""
    assert submit(submitter, FIRST, 0, 'ama').version == 1
    assert submit(submitter, SECOND, 1, 'kofi').version == 2
    newest, oldest = trail.recent(10)
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
    assert trail.read_version(1).read_document() == FIRST
    assert [record.version for record in trail.recent(1)] == [2]


def test_only_changed_objects_are_stored(submitter, platform):
    """Guards against one change that transfers the whole setup."""
    many = [fakes.account(f'account-{number}') for number in range(300)]
    submit(submitter, fakes.make_document(*many), 0, 'ama')
    platform.store.puts = platform.store.gets = 0
    many[7] = fakes.account('account-7', weight=3)
    submit(submitter, fakes.make_document(*many), 1, 'ama')
    assert platform.store.puts == 3


def test_concurrent_operators_get_the_difference(submitter, trail):
    """Guards against a change that silently overwrites another."""
    submit(submitter, FIRST, 0, 'ama')
    submit(submitter, SECOND, 1, 'ama')
    with pytest.raises(submission.StaleBaseError) as caught:
        submit(submitter, OTHER, 1, 'kofi')
    assert caught.value.version == 2
    assert 'active_version changed from 1 to 2' in str(caught.value.changes[0])
    refused = trail.recent(10)[0]
    assert (refused.outcome, refused.operator) == ('refused', 'kofi')


def test_a_race_at_the_write_has_one_winner(submitter, platform, trail):
    """Guards against two operators who both pass the first check."""
    submit(submitter, FIRST, 0, 'ama')
    rival = submission.Submitter(platform.rows, platform.store)
    platform.rows.before_write = lambda: rival.submit(SECOND, 1, 'ama')
    with pytest.raises(submission.StaleBaseError):
        submit(submitter, OTHER, 1, 'kofi')
    assert trail.read_version(2).read_document() == SECOND


@pytest.mark.parametrize('failing_reads', [0, 1, 3])
def test_a_lost_answer_is_resolved(submitter, platform, failing_reads):
    """Guards against an operator who is not told that a change is in force."""
    platform.rows.lost_answers = 1

    def fail_reads():
        platform.rows.reads_that_fail = failing_reads

    platform.rows.before_write = fail_reads
    outcome = submit(submitter, FIRST, 0, 'ama')
    assert (outcome.version, outcome.is_resolved) == (1, True)


def test_an_unresolved_outcome_is_found_later(submitter, platform, trail):
    """Guards against a second application when an operator tries again."""
    platform.rows.lost_answers = 1

    def fail_reads():
        platform.rows.reads_that_fail = 100

    platform.rows.before_write = fail_reads
    with pytest.raises(errors.UncertainWriteError, match='--submission sub-1'):
        submit(submitter, FIRST, 0, 'ama', 'sub-1')
    platform.rows.reads_that_fail = 0
    assert trail.outcome('sub-1').version == 1
    outcome = submit(submitter, FIRST, 0, 'ama', 'sub-1')
    assert (outcome.version, outcome.is_repeated) == (1, True)
    assert trail.newest_version() == 1
    with pytest.raises(errors.SetupError, match='another document'):
        submit(submitter, SECOND, 1, 'ama', 'sub-1')


def test_a_cancelled_write_cannot_appear_later(submitter, platform, trail):
    """Guards against a delayed write after "nothing was changed"."""
    platform.rows.lost_writes = 1
    with pytest.raises(errors.UnavailableError, match='nothing was changed'):
        submit(submitter, FIRST, 0, 'ama', 'sub-1')
    with pytest.raises(errors.ConflictError):
        platform.rows.apply(platform.rows.late[0])
    assert trail.newest_version() == 0
    assert trail.outcome('sub-1').outcome == 'not_applied'
    assert submit(submitter, FIRST, 0, 'ama', 'sub-1').version == 1
    with pytest.raises(errors.ConflictError):
        platform.rows.apply(platform.rows.late[0])


def test_a_failed_step_leaves_the_old_setup(submitter, platform, trail):
    """Guards against a half-applied change."""
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
    assert trail.newest_version() == 1
    assert records.audit_key(2) not in platform.rows.row_by_key
    assert submit(submitter, SECOND, 1, 'ama').version == 2
