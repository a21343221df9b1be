"""Tests of which upstreams exist."""

import pytest

from ivystep.gateway import membership
from ivystep.runtime import clock
from ivystep.traffic import upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes


class Changes:
    """Keeps what the membership tells."""

    def __init__(self):
        self.changed = []
        self.removed = []
        self.log = fakes.FakeLog()
        self.members = membership.Membership(
            self.log,
            lambda upstream: self.changed.append(upstream.upstream_id),
            lambda upstream: self.removed.append(upstream.upstream_id),
        )

    @property
    def ids(self):
        return sorted(self.members.upstream_by_id)


def test_removed_entry_ends_new_work_at_once():
    """Guards against requests to an upstream that has left."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1))
    seen.members.apply_row(fakes.deleted_row('i-1', 2))
    assert seen.ids == []
    assert seen.removed == ['i-1']


def test_draining_is_told():
    """Guards against requests to an upstream that is leaving."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1))
    seen.members.apply_row(fakes.entry_row('i-1', 2, state='draining'))
    state = seen.members.upstream_by_id['i-1'].entry.state
    assert state is upstreams.UpstreamState.DRAINING
    changes = [event.change for event in seen.log.named('upstream_changed')]
    assert changes == ['added', 'draining']


def test_older_row_is_ignored():
    """Guards against an upstream that seems ready after it has left."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 5, state='draining'))
    seen.members.apply_row(fakes.entry_row('i-1', 4))
    state = seen.members.upstream_by_id['i-1'].entry.state
    assert state is upstreams.UpstreamState.DRAINING


@pytest.mark.parametrize(
    'change',
    [{'born': 2}, {'address': '10.0.0.2:80'}, {'service': 'other'}],
)
def test_another_start_under_the_same_id_is_a_new_upstream(change):
    """Guards against beliefs about a start that has ended."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1, born=1))
    before = seen.members.upstream_by_id['i-1']
    seen.members.apply_row(fakes.entry_row('i-1', 2, **{'born': 1, **change}))
    assert seen.members.upstream_by_id['i-1'] is not before
    assert seen.removed == ['i-1']


def test_malformed_entry_names_no_upstream_and_harms_no_other():
    """Guards against a foreign entry that stops the feed."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1))
    seen.members.apply_row(fakes.entry_row('i-2', 2, state=7))
    seen.members.apply_row(fakes.entry_row('i-3', 3))
    assert seen.ids == ['i-1', 'i-3']
    assert [event.key for event in seen.log.named('entry_ignored')] == ['i-2']


def test_entry_that_becomes_malformed_ends_new_work():
    """Guards against requests to where an entry no longer names anything."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1))
    seen.members.apply_row(fakes.entry_row('i-1', 2, address='nowhere'))
    assert seen.ids == []


@clocks.on_virtual_clock
def test_entries_that_lapsed_in_an_outage_have_time_to_return():
    """Guards against losing all upstreams after an outage of the store."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1))
    seen.members.apply_row(fakes.entry_row('i-2', 2))
    seen.members.on_store_lost()
    seen.members.on_store_regained()
    seen.members.apply_row(fakes.deleted_row('i-1', 3))
    seen.members.apply_row(fakes.deleted_row('i-2', 4))
    assert seen.ids == ['i-1', 'i-2']
    clock.sleep(1.5)
    seen.members.apply_row(fakes.entry_row('i-1', 5))
    clock.sleep(1.5)
    assert seen.ids == ['i-1']
    assert seen.removed == ['i-2']


@clocks.on_virtual_clock
def test_entry_removed_long_after_an_outage_is_gone():
    """Guards against the grace of an outage that never ends."""
    seen = Changes()
    seen.members.apply_row(fakes.entry_row('i-1', 1))
    seen.members.on_store_lost()
    seen.members.on_store_regained()
    clock.sleep(membership.RETURN_GRACE_S + 0.1)
    seen.members.apply_row(fakes.deleted_row('i-1', 2))
    assert seen.ids == []


def test_whole_table_shows_who_has_left():
    """Guards against upstreams that left while the history was dropped."""
    seen = Changes()
    seen.members.replace_rows(
        (fakes.entry_row('i-1', 1), fakes.entry_row('i-2', 2))
    )
    seen.members.replace_rows((fakes.entry_row('i-2', 2),))
    assert seen.ids == ['i-2']
