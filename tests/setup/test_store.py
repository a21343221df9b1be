"""Tests of how an entry learns of versions and serves with them."""

import random

import eventlet
import pytest

from ivystep.core import errors
from ivystep.runtime import clock, virtual_hub
from ivystep.setup import compiled, follow, store, submission
from tests.setup import fakes


@pytest.fixture
def platform():
    return fakes.Platform()


@pytest.fixture
def submitter(platform):
    return submission.Submitter(platform.rows, platform.store)


def entry_of(platform):
    return store.SetupStore(platform.rows, platform.store)


def document_of(weight, count=1):
    return fakes.make_document(
        *(
            fakes.account(f'account-{number}', weight=weight)
            for number in range(count)
        )
    )


def test_older_platform_data_is_never_adopted(platform, submitter):
    """Guards against a platform service that restarts with older data."""
    submitter.submit(document_of(1), 0, 'ama')
    old_rows = dict(platform.rows.row_by_key)
    submitter.submit(document_of(2), 1, 'ama')
    entry, peer = entry_of(platform), entry_of(platform)
    entry.refresh()
    platform.rows.row_by_key = old_rows
    assert entry.refresh().version == 2
    assert 'older than version 2' in entry.problems(2)[0]
    # A restarted entry learns of version 2 and must not serve version 1.
    assert peer.refresh().version == 1
    assert peer.offer(2)
    peer.refresh()
    with pytest.raises(errors.RefusedError) as caught:
        virtual_hub.run(peer.current_for_request)
    assert caught.value.code == 'configuration_behind'
    assert peer.adopt(*entry.export())
    assert peer.current_for_request().version == 2
    assert not peer.adopt(1, {})


def test_no_request_is_served_with_an_old_version(platform, submitter):
    """Guards against serving an old version after a newer one is known."""
    submitter.submit(document_of(1), 0, 'ama')
    entry = entry_of(platform)
    entry.refresh()
    submitter.submit(document_of(2), 1, 'ama')
    platform.store.is_down = True
    with pytest.raises(errors.UnavailableError):
        entry.refresh()
    with pytest.raises(errors.RefusedError):
        _ = entry.current
    platform.store.is_down = False

    def request_during_the_read():
        eventlet.spawn_after(0.2, entry.refresh)
        return entry.current_for_request().version

    assert virtual_hub.run(request_during_the_read) == 2


def test_an_entry_restarts_during_an_outage(platform, submitter):
    """Guards against an entry that cannot start while the platform is out."""
    submitter.submit(document_of(1, count=20), 0, 'ama')
    peer = entry_of(platform)
    peer.refresh()
    version, sections = peer.export()
    restarted = store.SetupStore(fakes.FakeTable(), fakes.FakeObjects())
    damaged = dict(sections)
    damaged.popitem()
    with pytest.raises(errors.SetupError, match='missing or damaged'):
        restarted.adopt(version, damaged)
    assert restarted.latest is None
    assert restarted.adopt(version, sections)
    assert restarted.latest.account_by_name.get('account-7').weight == 1
    assert restarted.export() == (version, sections)


def test_an_offer_refreshes_at_once(platform, submitter):
    """Guards against a wait for the next poll after news of a version."""

    def main():
        entry = entry_of(platform)
        follower = follow.SetupFollower(entry, 1000, random.Random(1))
        eventlet.spawn(follower.run)
        clock.sleep(1)
        submitter.submit(document_of(1), 0, 'ama')
        assert entry.latest is None
        entry.offer(1)
        clock.sleep(0.01)
        return entry.latest.version

    assert virtual_hub.run(main) == 1


def test_recovery_causes_no_stampede(platform):
    """Guards against all entries reading at the same moment."""

    def main():
        platform.rows.is_down = True
        for seed in range(200):
            follower = follow.SetupFollower(
                entry_of(platform), 2, random.Random(seed)
            )
            eventlet.spawn(follower.run)
        clock.sleep(300)
        platform.rows.is_down = False
        counts = []
        for _ in range(20):
            platform.rows.reads = 0
            clock.sleep(0.5)
            counts.append(platform.rows.reads)
        return counts

    counts = virtual_hub.run(main)
    # 200 entries that poll every 2 s read 50 times in half a second; every
    # entry must have read within the 15 s of the target.
    assert max(counts) <= 100
    assert sum(counts) >= 200


def test_a_change_shares_the_other_accounts(platform, submitter):
    """Guards against a cost of one account's change that grows with all."""
    accounts = [fakes.account(f'account-{number}') for number in range(500)]
    submitter.submit(fakes.make_document(*accounts), 0, 'ama')
    entry = entry_of(platform)
    before = entry.refresh()
    accounts[3] = fakes.account('account-3', weight=9)
    del accounts[4]
    submitter.submit(fakes.make_document(*accounts), 1, 'ama')
    platform.store.gets = 0
    after = entry.refresh()
    assert platform.store.gets <= 4
    for name in ('account-1', 'account-499'):
        kept = after.account_by_name.get(name)
        assert kept is before.account_by_name.get(name)
    assert after.grant('account-4') is None
    assert after.grant('account-3').account.weight == 9
    assert before.grant('account-3').account.weight == 1
    whole = compiled.CompiledSetup.from_document(
        fakes.make_document(*accounts), 2
    )
    for name in whole.account_by_name:
        assert whole.account_by_name.get(name) == after.account_by_name.get(
            name
        )
