"""Tests of requests at a host that may lack a newer configuration."""

import contextlib
import types as builtin_types

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.store import configuration_age, feeds, table_progress
from ivystep.platform import rows
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.gateway.store import test_configuration

LIMIT_S = 2.7
STORE_AHEAD_S = 1000.0


class Store:
    """A store whose calls fail while it is away for this host."""

    def __init__(self):
        self.is_away = False
        self.version = 1
        self.hang_s = 0.0

    def read_all(self, table):
        return self._answer(0.0)

    def changes(self, table, after, wait_s):
        return self._answer(wait_s, is_changed=self.version > after)

    def _answer(self, wait_s, *, is_changed=True):
        clock.sleep(0.01)
        if self.is_away:
            raise errors.UnavailableError('away')
        if not is_changed:
            clock.sleep(wait_s)
        row = test_configuration.config_row(self.version, self.version)
        return rows.RowSet(
            (row,) if is_changed else (),
            self.version,
            era=0,
            store_time_s=clock.now() + STORE_AHEAD_S,
        )


class Host:
    """A host that follows the configuration, and what its leader tells."""

    def __init__(self):
        self.store = Store()
        self.recorded = test_configuration.RecordedConfiguration()
        self.shared = table_progress.SharedProgress(
            1.2, lambda: False, lambda: None
        )
        self.feed = feeds.TableFeed(
            self.store,
            'op',
            self.recorded.config,
            fakes.FakeLog(),
            feeds.FeedTimings(1.2),
        )
        self.age = configuration_age.ConfigurationAge(
            self.recorded.config, self.feed, self.shared, LIMIT_S
        )
        self.task = None
        self.refusal = None
        self.resume()
        clock.sleep(1.0)

    def freeze(self, seconds):
        """Let nothing of this host run for some time."""
        self.task.kill()
        clock.sleep(seconds)
        self.resume()

    def resume(self):
        self.task = eventlet.spawn(self.feed.run)

    def tell(self, version, age_s=0.1, era=0):
        """Receive the leader's progress in a heartbeat."""
        complete_at_s = clock.now() + STORE_AHEAD_S - age_s
        self.shared.record(
            [
                table_progress.TableProgress(
                    configuration_age.PROGRESS_NAME, era, version, complete_at_s
                )
            ]
        )

    def waited_s(self):
        """Return for how long a request waits; None if it is refused."""
        started = clock.now()
        try:
            self.age.wait_until_current()
        except errors.RefusedError as error:
            self.refusal = error
            return None
        return clock.now() - started


@contextlib.contextmanager
def a_host():
    """Build a host and end its task within the virtual clock."""
    built = Host()
    try:
        yield built
    finally:
        built.task.kill()


@clocks.on_virtual_clock
def test_requests_do_not_wait_while_the_store_answers():
    """Guards against waits in a deployment that is well."""
    with a_host() as running:
        for _ in range(40):
            clock.sleep(0.11)
            assert running.waited_s() == 0


@clocks.on_virtual_clock
def test_host_that_wakes_reads_the_store_before_it_decides():
    """Guards against a removed key that a frozen host accepts as it wakes."""
    with a_host() as running:
        running.store.version = 2
        running.freeze(10.0)
        assert 0 < running.waited_s() < 0.2
        assert running.recorded.config.version == 2


@clocks.on_virtual_clock
def test_outage_of_the_store_does_not_stop_requests():
    """Guards against an outage of the store that becomes one of all hosts."""
    with a_host() as running:
        running.store.is_away = True
        for _ in range(100):
            clock.sleep(0.2)
            assert running.waited_s() == 0


@clocks.on_virtual_clock
def test_host_that_wakes_during_an_outage_serves():
    """Guards against a host that waits for a store that nobody reaches."""
    with a_host() as running:
        running.store.is_away = True
        running.freeze(10.0)
        assert running.waited_s() <= configuration_age.MAX_WAIT_S


@clocks.on_virtual_clock
def test_host_that_is_cut_off_refuses_once_the_leader_knows_more():
    """Guards against a removed key at the one host without the store."""
    with a_host() as running:
        running.store.is_away = True
        clock.sleep(2.0)
        running.store.version = 2
        for _ in range(20):
            clock.sleep(0.2)
            running.tell(version=1)
            assert running.waited_s() == 0
        running.tell(version=2)
        assert running.waited_s() == 0
        clock.sleep(LIMIT_S)
        assert running.waited_s() is None
        assert running.refusal.status == 503
        assert running.refusal.retry_after_s > 0
        running.store.is_away = False
        clock.sleep(1.0)
        assert running.waited_s() == 0


@clocks.on_virtual_clock
@pytest.mark.parametrize(('era', 'is_refused'), [(0, False), (1, True)])
def test_leader_confirms_the_version_in_the_same_era_only(era, is_refused):
    """Guards against times of a store whose clock has started again."""
    with a_host() as running:
        running.task.kill()
        clock.sleep(10.0)
        running.tell(version=1, era=era)
        assert (running.waited_s() is None) is is_refused


@clocks.on_virtual_clock
def test_leader_tells_the_configuration_version():
    """Guards against hosts that count an adapter's version as a change."""
    with a_host() as running:
        told = running.age.progress()
        assert (told.table, told.version) == (
            configuration_age.PROGRESS_NAME,
            1,
        )
        running.store.is_away = True
        clock.sleep(3.0)
        assert running.age.progress() is None


def test_age_is_not_asked_of_a_host_without_a_read():
    """Guards against an error at a host that has just started."""
    feed = builtin_types.SimpleNamespace(progress=lambda: None)
    age = configuration_age.ConfigurationAge(None, feed, None, LIMIT_S)
    assert age.progress() is None
