"""Property tests of differences, compiled setups and submissions."""

import dataclasses

import hypothesis
from hypothesis import strategies

from ivystep.core import errors
from ivystep.runtime import virtual_hub
from ivystep.setup import (
    compiled,
    difference,
    history,
    snapshot,
    store,
    submission,
)
from tests.setup import fakes

NAMES = ('a', 'b', 'c')
SETTINGS = hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)


@strategies.composite
def documents(draw):
    """Draw a document with a few accounts, adapters, grants and versions."""
    accounts = []
    for name in draw(strategies.sets(strategies.sampled_from(NAMES))):
        adapters = sorted(draw(strategies.sets(strategies.sampled_from(NAMES))))
        account = fakes.account(
            name,
            adapters,
            active=draw(strategies.integers(1, 2)),
            weight=draw(strategies.sampled_from((1, 2))),
        )
        application = account['applications'][0]
        application['idempotent'] = draw(strategies.booleans())
        application['grants'] = adapters[: draw(strategies.integers(0, 3))]
        accounts.append(account)
    return fakes.make_document(
        *sorted(accounts, key=lambda raw_account: raw_account['name'])
    )


@SETTINGS
@hypothesis.given(documents(), documents())
def test_a_difference_is_empty_only_for_equal_documents(old, new):
    """Guards against changes that are not shown to operators."""
    changes = difference.compare_documents(old, new)
    assert bool(changes) == (old != new)
    before = snapshot.build(old.common, old.accounts)
    after = snapshot.build(new.common, new.accounts, before)
    assert difference.compare_snapshots(before, after) == changes
    assert after.read_document() == new


@SETTINGS
@hypothesis.given(strategies.lists(documents(), min_size=1, max_size=4))
def test_incremental_changes_equal_a_full_compilation(versions):
    """Guards against grants and accounts that stay after their removal."""
    platform = fakes.Platform()
    submitter = submission.Submitter(platform.rows, platform.store)
    entry = store.SetupStore(platform.rows, platform.store)
    for number, document in enumerate(versions):
        submitter.submit(document, number, 'ama')
        setup = entry.refresh()
        compiled_anew = compiled.CompiledSetup.from_document(
            document, number + 1
        )
        assert _content(setup) == _content(compiled_anew)


def _content(setup):
    fields = dataclasses.asdict(
        dataclasses.replace(
            setup, account_by_name=None, grant_by_key_digest=None
        )
    )
    accounts, grants = setup.account_by_name, setup.grant_by_key_digest
    return (
        fields,
        {name: accounts.get(name) for name in accounts},
        {digest: grants.get(digest) for digest in grants},
    )


FAULTS = strategies.sampled_from(
    (
        'none',
        'down',
        'lost_answer',
        'lost_write',
        'reads_fail',
        'objects',
        'late',
    )
)


def _set_fault(platform, fault):
    rows = platform.rows
    rows.is_down = fault == 'down'
    rows.lost_answers = int(fault in {'lost_answer', 'reads_fail'})
    rows.lost_writes = int(fault == 'lost_write')
    platform.store.refuses_puts = fault == 'objects'
    rows.reads_that_fail = 0
    if fault == 'reads_fail':
        # The write takes effect, but its answer is lost and all reads fail.
        rows.before_write = lambda: setattr(rows, 'reads_that_fail', 50)
    if fault == 'late':
        for puts in rows.delayed_writes:
            try:
                rows.apply(puts)
            except errors.ConflictError:
                continue


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.tuples(documents(), FAULTS, strategies.booleans()),
        max_size=12,
    )
)
def test_reported_outcomes_match_the_setup(steps):
    """Guards against lost, repeated and wrongly reported changes."""
    platform = fakes.Platform()
    submitter = submission.Submitter(platform.rows, platform.store)
    audit_trail = history.History(platform.rows, platform.store)
    root_by_version = {}
    unresolved, newest = [], 0

    def submit(document, base, submission_id):
        return virtual_hub.run(
            lambda: submitter.submit(document, base, 'ama', submission_id)
        )

    for step_number, (document, fault, is_stale) in enumerate(steps):
        _set_fault(platform, 'none')
        base = max(0, audit_trail.newest_version() - int(is_stale))
        _set_fault(platform, fault)
        try:
            outcome = submit(document, base, f'sub-{step_number}')
            assert outcome.version == base + 1
            root_by_version[outcome.version] = document
        except errors.UncertainWriteError:
            unresolved.append((step_number, document, base))
        except errors.PlatformError:
            platform.rows.before_write = None
            _set_fault(platform, 'none')
            record = audit_trail.outcome(f'sub-{step_number}')
            assert record is None or record.outcome != 'accepted'
    _set_fault(platform, 'late')
    for step_number, document, base in unresolved:
        outcome = submit(document, base, f'sub-{step_number}')
        assert (outcome.is_repeated, outcome.version) == (True, base + 1)
        root_by_version[outcome.version] = document
    newest = audit_trail.newest_version()
    assert sorted(root_by_version) == list(range(1, newest + 1))
    for version, document in root_by_version.items():
        assert audit_trail.read_version(version).read_document() == document
