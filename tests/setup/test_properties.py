"""Properties of differences, compiled versions and submissions."""

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
    """A document with a few accounts, adapters, grants and versions."""
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
    return fakes.make_document(*sorted(accounts, key=lambda one: one['name']))


@SETTINGS
@hypothesis.given(documents(), documents())
def test_a_difference_is_empty_only_for_equal_documents(old, new):
    """Guards against a change that an operator is not shown."""
    changes = difference.compare_documents(old, new)
    assert bool(changes) == (old != new)
    before = snapshot.build(old.common, old.accounts)
    after = snapshot.build(new.common, new.accounts, before)
    assert difference.compare_snapshots(before, after) == changes
    assert after.read_document() == new


@SETTINGS
@hypothesis.given(strategies.lists(documents(), min_size=1, max_size=4))
def test_changes_give_what_a_full_compilation_gives(versions):
    """Guards against grants or accounts left over from earlier versions."""
    platform = fakes.Platform()
    submitter = submission.Submitter(platform.rows, platform.store)
    entry = store.SetupStore(platform.rows, platform.store)
    for number, document in enumerate(versions):
        submitter.submit(document, number, 'ama')
        setup = entry.refresh()
        whole = compiled.CompiledSetup.from_document(document, number + 1)
        assert _content(setup) == _content(whole)


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
    ('none', 'down', 'lost_answer', 'lost_write', 'blind', 'objects', 'late')
)


def _set_fault(platform, fault):
    rows = platform.rows
    rows.is_down = fault == 'down'
    rows.lost_answers = int(fault in {'lost_answer', 'blind'})
    rows.lost_writes = int(fault == 'lost_write')
    platform.store.refuses_puts = fault == 'objects'
    rows.reads_that_fail = 0
    if fault == 'blind':
        # The write takes effect, and nothing can be read after it.
        rows.before_write = lambda: setattr(rows, 'reads_that_fail', 50)
    if fault == 'late':
        for puts in rows.late:
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
def test_every_operator_is_told_the_truth(steps):
    """Guards against lost, doubled and falsely reported changes."""
    platform = fakes.Platform()
    submitter = submission.Submitter(platform.rows, platform.store)
    trail = history.History(platform.rows, platform.store)
    root_by_version = {}
    lost, seen = [], 0

    def submit(document, base, submission_id):
        return virtual_hub.run(
            lambda: submitter.submit(document, base, 'ama', submission_id)
        )

    for number, (document, fault, is_stale) in enumerate(steps):
        _set_fault(platform, 'none')
        base = max(0, trail.newest_version() - int(is_stale))
        _set_fault(platform, fault)
        try:
            outcome = submit(document, base, f'sub-{number}')
            assert outcome.version == base + 1
            root_by_version[outcome.version] = document
        except errors.UncertainWriteError:
            lost.append((number, document, base))
        except errors.PlatformError:
            platform.rows.before_write = None
            _set_fault(platform, 'none')
            record = trail.outcome(f'sub-{number}')
            assert record is None or record.outcome != 'accepted'
    _set_fault(platform, 'late')
    for number, document, base in lost:
        outcome = submit(document, base, f'sub-{number}')
        assert (outcome.is_repeated, outcome.version) == (True, base + 1)
        root_by_version[outcome.version] = document
    seen = trail.newest_version()
    assert sorted(root_by_version) == list(range(1, seen + 1))
    for version, document in root_by_version.items():
        assert trail.read_version(version).read_document() == document
