"""Tests of how an entry learns of setup versions and loads them."""

import random

import eventlet
import pytest

from ivystep.core import errors
from ivystep.runtime import clock, virtual_hub
from ivystep.setup import compiled, poller, store, submission
from tests.setup import fakes


@pytest.fixture
def platform():
    return fakes.Platform()


@pytest.fixture
def submitter(platform):
    return submission.Submitter(platform.rows, platform.store)


def make_entry(platform):
    return store.SetupStore(platform.rows, platform.store)


def weighted_document(weight, count=1):
    return fakes.make_document(
        *(
            fakes.account(f'account-{number}', weight=weight)
            for number in range(count)
        )
    )


def test_older_platform_data_is_never_loaded(platform, submitter):
    """Guards against a return to an older version.

    The table service may restart with older data.
    """
    submitter.submit(weighted_document(1), 0, 'ama')
    old_rows = dict(platform.rows.row_by_key)
    submitter.submit(weighted_document(2), 1, 'ama')
    entry, peer = make_entry(platform), make_entry(platform)
    entry.refresh()
    platform.rows.row_by_key = old_rows
    assert entry.refresh().version == 2
    assert 'older than version 2' in entry.problems(2)[0]
    # A restarted entry that learns of version 2 must not serve version 1.
    assert peer.refresh().version == 1
    assert peer.announce_version(2)
    peer.refresh()
    with pytest.raises(errors.RefusedError) as caught:
        virtual_hub.run(peer.current_for_request)
    assert caught.value.code == 'configuration_behind'
    assert peer.import_version(*entry.export())
    assert peer.current_for_request().version == 2
    assert not peer.import_version(1, {})


def test_no_request_is_served_with_an_outdated_version(platform, submitter):
    """Guards against serving a version after a newer one is known."""
    submitter.submit(weighted_document(1), 0, 'ama')
    entry = make_entry(platform)
    entry.refresh()
    submitter.submit(weighted_document(2), 1, 'ama')
    platform.store.is_down = True
    with pytest.raises(errors.UnavailableError):
        entry.refresh()
    with pytest.raises(errors.RefusedError):
        _ = entry.current
    platform.store.is_down = False

    def request_during_the_refresh():
        eventlet.spawn_after(0.2, entry.refresh)
        return entry.current_for_request().version

    assert virtual_hub.run(request_during_the_refresh) == 2


def test_entry_can_restart_during_a_platform_outage(platform, submitter):
    """Guards against an entry that needs the platform to start.

    It loads the setup from a peer, and must not load damaged objects.
    """
    submitter.submit(weighted_document(1, count=20), 0, 'ama')
    peer = make_entry(platform)
    peer.refresh()
    version, sections = peer.export()
    restarted = store.SetupStore(fakes.FakeTable(), fakes.FakeObjects())
    damaged = dict(sections)
    damaged.popitem()
    with pytest.raises(errors.SetupError, match='missing or damaged'):
        restarted.import_version(version, damaged)
    assert restarted.latest is None
    assert restarted.import_version(version, sections)
    assert restarted.latest.account_by_name.get('account-7').weight == 1
    assert restarted.export() == (version, sections)


def test_reported_version_is_read_immediately(platform, submitter):
    """Guards against waiting for the next poll once a version is known."""

    def scenario():
        entry = make_entry(platform)
        setup_poller = poller.SetupPoller(entry, 1000, random.Random(1))
        eventlet.spawn(setup_poller.run)
        clock.sleep(1)
        submitter.submit(weighted_document(1), 0, 'ama')
        assert entry.latest is None
        entry.announce_version(1)
        clock.sleep(0.01)
        return entry.latest.version

    assert virtual_hub.run(scenario) == 1


def test_reads_are_spread_after_an_outage(platform):
    """Guards against a stampede of all entries on the recovered platform."""

    def scenario():
        platform.rows.is_down = True
        for seed in range(200):
            setup_poller = poller.SetupPoller(
                make_entry(platform), 2, random.Random(seed)
            )
            eventlet.spawn(setup_poller.run)
        clock.sleep(300)
        platform.rows.is_down = False
        counts = []
        for _ in range(20):
            platform.rows.reads = 0
            clock.sleep(0.5)
            counts.append(platform.rows.reads)
        return counts

    counts = virtual_hub.run(scenario)
    # 200 entries that poll every 2 s read 50 times in half a second. Every
    # entry must read in time for the target of 15 s after the recovery.
    assert max(counts) <= 100
    assert sum(counts) >= 200


def test_change_shares_the_unchanged_accounts(platform, submitter):
    """Guards against a change whose cost grows with the number of accounts."""
    accounts = [fakes.account(f'account-{number}') for number in range(500)]
    submitter.submit(fakes.make_document(*accounts), 0, 'ama')
    entry = make_entry(platform)
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
    compiled_anew = compiled.CompiledSetup.from_document(
        fakes.make_document(*accounts), 2
    )
    for name in compiled_anew.account_by_name:
        assert compiled_anew.account_by_name.get(
            name
        ) == after.account_by_name.get(name)


def test_age_counts_from_the_time_at_which_the_version_was_read(
    platform, submitter, monkeypatch
):
    """Guards against an old setup that is reported as just confirmed."""
    submitter.submit(weighted_document(1), 0, 'ama')
    read = platform.rows.get

    def read_and_pause(key):
        row = read(key)
        clock.sleep(30)
        return row

    def scenario():
        entry = make_entry(platform)
        entry.refresh()
        platform.rows.get = read_and_pause
        entry.refresh()
        ages = [entry.age_s]
        # The hub's clock stands still while the machine is suspended.
        monkeypatch.setattr(clock, 'uptime', lambda: clock.now() + 3600)
        return [*ages, entry.age_s]

    assert virtual_hub.run(scenario) == [30, 3630]


def test_entry_that_was_suspended_reads_the_setup_before_it_serves(
    platform, submitter, monkeypatch
):
    """Guards against requests under the setup from before a suspension."""
    submitter.submit(weighted_document(1), 0, 'ama')

    def scenario():
        entry = make_entry(platform)
        eventlet.spawn(poller.SetupPoller(entry, 2.0).run)
        clock.sleep(10)
        submitter.submit(weighted_document(2), 1, 'ama')
        # The hub's clock, and with it the poller, stands still meanwhile.
        monkeypatch.setattr(clock, 'uptime', lambda: clock.now() + 3600)
        return entry.current_for_request().version

    assert virtual_hub.run(scenario) == 2


def test_requests_do_not_wait_for_reads_during_an_outage(platform, submitter):
    """Guards against an outage of the platform that delays each request."""
    submitter.submit(weighted_document(1), 0, 'ama')

    def scenario():
        entry = make_entry(platform)
        eventlet.spawn(poller.SetupPoller(entry, 2.0).run)
        clock.sleep(10)
        platform.rows.get = time_out
        waits = []
        for _ in range(600):
            started = clock.now()
            entry.current_for_request()
            waits.append(clock.now() - started)
            clock.sleep(0.1)
        return max(waits)

    def time_out(key):
        clock.sleep(2)
        raise errors.UnavailableError('timed out')

    assert virtual_hub.run(scenario) == 0
