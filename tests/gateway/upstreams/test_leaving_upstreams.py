"""Tests of upstreams that leave, from the store's answers to the membership."""

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.store import feeds, store_contact
from ivystep.gateway.upstreams import membership
from ivystep.platform import rows
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes

# The platform's limit on requests after an upstream has left.
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
# Pause between two polls of the table of upstreams.
POLL_PAUSE_S = 0.4
# Time after which a waiting call notices a change or an outage.
TICK_S = 0.02
TABLE = 'servers'
READY = fakes.entry_row('i-1', 1)
GONE = fakes.deleted_row('i-1', 2)


class ScheduledStore:
    """A store whose rows change, and which is away, at set times.

    Args:
        changes: Rows by the time from which a feed returns them.
        away: Start and end of the time during which it answers no call.
        contact: Records its answers.
    """

    def __init__(self, changes, away, contact):
        self._contact = contact
        self._changes = changes
        self._away = away
        self._starts = clock.now()

    @property
    def now_s(self):
        return clock.now() - self._starts

    def read_all(self, table):
        self._answer()
        return rows.RowSet((READY,), 1)

    def changes(self, table, after, wait_s):
        ends = self.now_s + wait_s
        while True:
            self._answer()
            changed = [
                row
                for at, row in self._changes.items()
                if at <= self.now_s and row.version > after
            ]
            if changed or self.now_s >= ends:
                break
            clock.sleep(TICK_S)
        newest = max((row.version for row in changed), default=after)
        return rows.RowSet(tuple(changed), newest)

    def _answer(self):
        starts, ends = self._away
        if starts <= self.now_s < ends:
            raise errors.UnavailableError('down', step='read', peer='store')
        self._contact.on_call('GET', '200')


class FollowedStore:
    """A membership that follows a scheduled store."""

    def __init__(self, changes, away):
        self.log = fakes.FakeLog()
        contact = store_contact.StoreContact(2 * HEARTBEAT_S, lambda *_: None)
        self.members = membership.Membership(
            self.log,
            lambda upstream: None,
            lambda upstream: None,
            contact,
            HEARTBEAT_S,
        )
        self.feed = feeds.TableFeed(
            ScheduledStore(changes, away, contact),
            TABLE,
            self.members,
            self.log,
            feeds.FeedTimings(1.2, POLL_PAUSE_S),
        )

    def ids_at(self, seconds):
        """Return the upstreams in use after some seconds."""
        task = eventlet.spawn(self.feed.run)
        clock.sleep(seconds)
        task.kill()
        return sorted(self.members.upstream_by_id)


@pytest.mark.parametrize(
    ('away', 'left_at'), [((1.0, 1.2), 2.0), ((1.0, 5.0), 7.0)]
)
def test_upstream_that_leaves_after_an_interruption_is_removed_in_time(
    away, left_at
):
    """Guards against requests to an upstream whose entry was removed.

    Its removal was taken for an entry that expired while the store was away.
    """

    @clocks.on_virtual_clock
    def scenario():
        followed = FollowedStore({left_at: GONE}, away)
        assert not followed.ids_at(left_at + DRAIN_S - POLL_PAUSE_S)

    scenario()


@clocks.on_virtual_clock
def test_upstream_that_leaves_during_a_short_interruption_is_removed_in_time():
    """Guards against removals delayed though no entry can have expired."""
    followed = FollowedStore({1.1: GONE}, (1.0, 1.3))
    assert not followed.ids_at(1.1 + DRAIN_S - POLL_PAUSE_S)


@clocks.on_virtual_clock
def test_upstreams_whose_entries_expire_during_an_outage_are_kept():
    """Guards against refusals for want of upstreams after an outage."""
    back = fakes.entry_row('i-1', 3)
    followed = FollowedStore({4.0: GONE, 6.9: back}, (1.0, 5.0))
    assert followed.ids_at(6.8) == ['i-1']


@clocks.on_virtual_clock
def test_return_of_the_store_is_noticed_without_a_change():
    """Guards against an outage that lasts until the next change of a row."""
    followed = FollowedStore({}, (1.0, 5.0))
    followed.ids_at(6.3)
    assert followed.log.named('dependency_regained')
