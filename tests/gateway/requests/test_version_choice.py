"""Tests of the adapter version with which a request is sent."""

import types as builtin_types

import pytest

from ivystep.core import errors, types
from ivystep.gateway.requests import version_choice
from ivystep.gateway.store import feeds
from ivystep.platform import rows
from ivystep.runtime import clock
from ivystep.traffic import calls
from tests.coordination import fakes as clocks
from tests.gateway.store import test_configuration, test_feeds

VERSION_S = 5.0
CALL = builtin_types.SimpleNamespace(
    generation=calls.Generation('m', 'a3', 1000, 100)
)


class FakePool:
    """Pool in which only one version of the adapter is resident."""

    def __init__(self, version):
        self.held = types.AdapterRef('m', 'a3', version)

    def is_held(self, ref):
        return ref == self.held


class FollowedConfiguration:
    """A configuration that follows a scripted store."""

    def __init__(self, *answers):
        self.store = test_feeds.FakeStore(*answers)
        self.config = test_configuration.RecordedConfiguration().config
        self.feed = feeds.TableFeed(
            self.store,
            'op',
            self.config,
            test_feeds.fakes.FakeLog(),
            feeds.FeedTimings(1.2),
        )
        self.versions = version_choice.VersionChoice(self.config, VERSION_S)

    def follow(self):
        """Make the next call to the store, which may fail."""
        try:
            self.feed.step()
        except errors.PlatformError:
            return

    def choose(self, resident):
        return self.versions.choose(CALL, FakePool(resident)).version


def answer(store_version, *versions):
    """Return the store's answer with versions named for the adapter."""
    return rows.RowSet(
        tuple(
            test_configuration.version_row(version, store_version)
            for version in versions
        ),
        store_version,
    )


@clocks.on_virtual_clock
def test_new_host_does_not_use_a_version_that_was_replaced_before_its_start():
    """Guards against answers of a version replaced long ago."""
    host = FollowedConfiguration(answer(7, 2))
    host.follow()
    assert host.choose(resident=1) == 2


@clocks.on_virtual_clock
def test_new_host_does_not_take_the_first_version_for_the_previous_one():
    """Guards against a version that was replaced several times."""
    host = FollowedConfiguration(answer(7, 5))
    host.follow()
    assert host.choose(resident=1) == 5


@clocks.on_virtual_clock
def test_restarted_host_uses_no_version_that_a_late_load_brought_back():
    """Guards against an engine with a replaced version after a restart.

    An order to load the version may be carried out seconds after the host that
    sent it has ended. Its successor finds that version resident.
    """
    before = FollowedConfiguration(answer(4), answer(9, 2))
    before.follow()
    before.follow()
    assert before.choose(resident=1) == 1
    restarted = FollowedConfiguration(answer(9, 2))
    restarted.follow()
    replaced = types.AdapterRef('m', 'a3', 1)
    assert restarted.choose(resident=1) == 2
    assert not restarted.versions.is_allowed(replaced)


@clocks.on_virtual_clock
def test_adapter_that_is_named_again_uses_only_its_last_two_versions():
    """Guards against the first version after the second replacement."""
    host = FollowedConfiguration(answer(4), answer(9, 2), answer(17, 3))
    host.follow()
    host.follow()
    clock.sleep(13.0)
    assert host.choose(resident=1) == 2
    host.follow()
    first, second = (types.AdapterRef('m', 'a3', n) for n in (1, 2))
    assert host.choose(resident=1) == 3
    assert not host.versions.is_allowed(first)
    assert host.versions.is_allowed(second) == (host.choose(resident=2) == 2)
    clock.sleep(VERSION_S)
    assert host.choose(resident=2) == 3
    assert not host.versions.is_allowed(second)


@clocks.on_virtual_clock
@pytest.mark.parametrize(
    'interruption',
    [
        rows.HistoryGoneError('the history was dropped'),
        errors.UnavailableError('the connection fell silent'),
    ],
)
def test_time_of_a_replaced_version_counts_while_the_host_hears_nothing(
    interruption,
):
    """Guards against a host that learns late and starts to count then."""
    host = FollowedConfiguration(
        answer(4), interruption, answer(9, 2), answer(9)
    )
    host.follow()
    clock.sleep(4.0)
    host.follow()
    host.follow()
    assert host.choose(resident=1) == 2


@clocks.on_virtual_clock
def test_time_of_a_replaced_version_counts_while_the_host_is_suspended(
    monkeypatch,
):
    """Guards against a clock that stands still with the host."""
    host = FollowedConfiguration(answer(4), answer(9, 2))
    host.follow()
    host.follow()
    assert host.choose(resident=1) == 1
    resumed_at = clock.uptime() + 4.0
    monkeypatch.setattr(clock, 'uptime', lambda: resumed_at)
    assert host.choose(resident=1) == 2


@clocks.on_virtual_clock
def test_version_that_was_just_replaced_is_used_while_the_new_one_loads():
    """Guards against requests that wait for a load without need."""
    host = FollowedConfiguration(answer(4), answer(9, 2))
    host.follow()
    clock.sleep(0.5)
    host.follow()
    assert host.choose(resident=1) == 1
    assert host.choose(resident=2) == 2


@clocks.on_virtual_clock
@pytest.mark.parametrize('era', [0, 4])
def test_time_of_a_replaced_version_does_not_start_with_a_late_first_answer(
    era,
):
    """Guards against a first read that is slow, has pages or is received late.

    The store gives its answer as the read begins and names version 2 0.2 s
    later; the host has the whole answer after 4 s.
    """
    slow = rows.RowSet((), 4, era=era, store_time_s=100.0)
    named = rows.RowSet(
        (test_configuration.version_row(2, 9),),
        9,
        era=era,
        store_time_s=104.01,
    )
    before = rows.RowSet((), 4, era=0, store_time_s=7.0)
    host = FollowedConfiguration()
    if era:
        host.store.answers = [before, rows.HistoryGoneError('restored')]
        host.follow()
    host.store.latency_s = 4.0
    # With a restoration, the answer that tells of it takes 4 s as well.
    read_at = clock.uptime() + (4.0 if era else 0.0)
    host.store.answers.append(slow)
    host.follow()
    host.store.latency_s = 0.01
    host.store.answers = [named]
    host.follow()
    clock.sleep(1.5)
    assert clock.uptime() > read_at + 0.2 + VERSION_S
    ref_1 = types.AdapterRef('m', 'a3', 1)
    assert host.config.replaced_after(ref_1) <= read_at + 0.2
    assert host.choose(resident=1) == 2
