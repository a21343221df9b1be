"""Tests of the upstreams that have an entry in the store."""

import pytest

from ivystep.gateway.store import store_contact
from ivystep.gateway.upstreams import membership
from ivystep.runtime import clock
from ivystep.traffic import upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes

HEARTBEAT_S = 1.2


class RecordedMembership:
    """A membership that records its callbacks and events."""

    def __init__(self):
        self.changed = []
        self.removed = []
        self.log = fakes.FakeLog()
        self.contact = store_contact.StoreContact(HEARTBEAT_S, lambda *_: None)
        self.members = membership.Membership(
            self.log,
            lambda upstream: self.changed.append(upstream.upstream_id),
            lambda upstream: self.removed.append(upstream.upstream_id),
            self.contact,
            HEARTBEAT_S,
        )

    def regain_store(self):
        """Let the store return from an outage in which entries expire."""
        self.contact.returned_at = clock.now()
        self.members.on_store_regained()

    @property
    def ids(self):
        return sorted(self.members.upstream_by_id)


def test_upstream_is_removed_with_its_entry():
    """Guards against requests to an upstream that has stopped."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.deleted_row('i-1', 2))
    assert recorded.ids == []
    assert recorded.removed == ['i-1']


def test_draining_is_applied_and_logged():
    """Guards against new requests to an upstream that shuts down."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.entry_row('i-1', 2, state='draining'))
    state = recorded.members.upstream_by_id['i-1'].entry.state
    assert state is upstreams.UpstreamState.DRAINING
    changes = [event.change for event in recorded.log.named('upstream_changed')]
    assert changes == ['added', 'draining']


def test_older_row_is_ignored():
    """Guards against a late row that makes a draining upstream ready."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 5, state='draining'))
    recorded.members.apply_row(fakes.entry_row('i-1', 4))
    state = recorded.members.upstream_by_id['i-1'].entry.state
    assert state is upstreams.UpstreamState.DRAINING


@pytest.mark.parametrize('is_removed', [False, True])
def test_draining_upstream_is_not_revived_by_a_late_heartbeat(is_removed):
    """Guards against requests to an upstream that has said that it leaves.

    The platform may carry out a write of the upstream seconds late.
    """
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.entry_row('i-1', 2, state='draining'))
    if is_removed:
        recorded.members.apply_row(fakes.deleted_row('i-1', 3))
    recorded.members.apply_row(fakes.entry_row('i-1', 4))
    known = recorded.members.upstream_by_id.get('i-1')
    assert known is None or known.is_draining


def test_drained_upstream_that_starts_again_is_used():
    """Guards against an upstream that is lost after its restart."""
    recorded = RecordedMembership()
    recorded.members.apply_row(
        fakes.entry_row('i-1', 1, state='draining', born=1)
    )
    recorded.members.apply_row(fakes.deleted_row('i-1', 2))
    recorded.members.apply_row(fakes.entry_row('i-1', 3, born=2))
    assert not recorded.members.upstream_by_id['i-1'].is_draining


@pytest.mark.parametrize(
    'change',
    [{'born': 2}, {'address': '10.0.0.2:80'}, {'service': 'other'}],
)
def test_restart_under_the_same_id_is_a_new_upstream(change):
    """Guards against state kept from the incarnation before a restart."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1, born=1))
    before = recorded.members.upstream_by_id['i-1']
    recorded.members.apply_row(
        fakes.entry_row('i-1', 2, **{'born': 1, **change})
    )
    assert recorded.members.upstream_by_id['i-1'] is not before
    assert recorded.removed == ['i-1']


def test_malformed_entry_is_ignored():
    """Guards against one malformed entry that stops the feed."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.entry_row('i-2', 2, state=7))
    recorded.members.apply_row(fakes.entry_row('i-3', 3))
    assert recorded.ids == ['i-1', 'i-3']
    assert [event.key for event in recorded.log.named('entry_ignored')] == [
        'i-2'
    ]


def test_upstream_with_a_newly_malformed_entry_is_removed():
    """Guards against requests to an address that is no longer valid."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.entry_row('i-1', 2, address='nowhere'))
    assert recorded.ids == []


@clocks.on_virtual_clock
def test_entries_that_expired_in_an_outage_have_time_to_return():
    """Guards against the loss of all upstreams after an outage of the store."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.entry_row('i-2', 2))
    recorded.members.on_store_lost()
    recorded.members.apply_row(fakes.deleted_row('i-1', 3))
    recorded.members.apply_row(fakes.deleted_row('i-2', 4))
    recorded.regain_store()
    assert recorded.ids == ['i-1', 'i-2']
    clock.sleep(1.5)
    recorded.members.apply_row(fakes.entry_row('i-1', 5))
    clock.sleep(1.5)
    assert recorded.ids == ['i-1']
    assert recorded.removed == ['i-2']


@clocks.on_virtual_clock
def test_entry_that_expires_just_after_an_outage_has_time_to_return():
    """Guards against the loss of upstreams that write again a moment later."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.on_store_lost()
    recorded.regain_store()
    recorded.members.apply_row(fakes.deleted_row('i-1', 2))
    clock.sleep(HEARTBEAT_S - 0.1)
    recorded.members.apply_row(fakes.entry_row('i-1', 3))
    clock.sleep(HEARTBEAT_S)
    assert (recorded.ids, recorded.removed) == (['i-1'], [])


@clocks.on_virtual_clock
def test_entry_that_is_missing_twice_gets_the_whole_time_again():
    """Guards against a removal by the timer of an earlier absence."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.on_store_lost()
    recorded.regain_store()
    recorded.members.apply_row(fakes.deleted_row('i-1', 2))
    clock.sleep(0.5)
    recorded.members.apply_row(fakes.entry_row('i-1', 3))
    recorded.members.apply_row(fakes.deleted_row('i-1', 4))
    clock.sleep(HEARTBEAT_S - 0.4)
    assert recorded.ids == ['i-1']
    clock.sleep(0.5)
    assert recorded.ids == []


@clocks.on_virtual_clock
def test_grace_period_after_an_outage_ends():
    """Guards against upstreams that stay although their entries are gone."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.on_store_lost()
    recorded.regain_store()
    clock.sleep(membership.RETURN_GRACE_S + 0.1)
    recorded.members.apply_row(fakes.deleted_row('i-1', 2))
    assert recorded.ids == []


def restore(recorded, *found):
    """Let the store return from a copy with some rows."""
    recorded.members.on_store_lost()
    recorded.members.on_store_restored()
    recorded.members.replace_rows(found)
    recorded.members.on_store_regained()


@clocks.on_virtual_clock
def test_rows_of_a_restored_store_replace_newer_ones():
    """Guards against an upstream that drains unnoticed after a restoration."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 9))
    restore(recorded, fakes.entry_row('i-1', 4))
    recorded.members.apply_row(fakes.entry_row('i-1', 5, state='draining'))
    assert recorded.members.upstream_by_id['i-1'].is_draining


@pytest.mark.parametrize('state', ['ready', 'draining'])
def test_upstream_that_left_is_not_used_again_from_a_copy(state):
    """Guards against requests to an upstream whose leaving was forgotten."""

    @clocks.on_virtual_clock
    def scenario():
        recorded = RecordedMembership()
        recorded.members.apply_row(fakes.entry_row('i-1', 1))
        recorded.members.apply_row(fakes.entry_row('i-1', 2, state=state))
        recorded.members.apply_row(fakes.deleted_row('i-1', 3))
        restore(recorded, fakes.entry_row('i-1', 1))
        assert recorded.ids == []

    scenario()


@clocks.on_virtual_clock
def test_upstream_that_writes_after_a_restoration_is_used():
    """Guards against an upstream that came back and stays unused."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.deleted_row('i-1', 3))
    restore(recorded, fakes.entry_row('i-1', 1))
    recorded.members.apply_row(fakes.entry_row('i-1', 2))
    assert recorded.ids == ['i-1']


@clocks.on_virtual_clock
def test_upstream_that_a_copy_lacks_has_time_to_write_again():
    """Guards against the loss of upstreams that started since the copy."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 9))
    restore(recorded)
    clock.sleep(membership.RETURN_GRACE_S - 0.1)
    assert recorded.ids == ['i-1']
    clock.sleep(0.2)
    assert recorded.ids == []


def test_upstreams_missing_from_the_whole_table_are_removed():
    """Guards against upstreams kept because their deletion was dropped."""
    recorded = RecordedMembership()
    recorded.members.replace_rows(
        (fakes.entry_row('i-1', 1), fakes.entry_row('i-2', 2))
    )
    recorded.members.replace_rows((fakes.entry_row('i-2', 2),))
    assert recorded.ids == ['i-2']


@clocks.on_virtual_clock
def test_grace_period_does_not_end_during_a_further_outage():
    """Guards against the loss of upstreams whose entries cannot return."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1))
    recorded.members.on_store_lost()
    recorded.regain_store()
    recorded.members.apply_row(fakes.deleted_row('i-1', 2))
    recorded.members.on_store_lost()
    clock.sleep(5)
    assert recorded.ids == ['i-1']
    recorded.regain_store()
    clock.sleep(membership.RETURN_GRACE_S + 0.1)
    assert recorded.ids == []


def held(*adapters):
    return [{'name': fakes.MODEL, 'version': 1, 'adapters': list(adapters)}]


def test_only_changes_that_all_hosts_need_are_told():
    """Guards against store calls of every host for each adapter loaded."""
    members = RecordedMembership().members
    members.apply_row(fakes.entry_row('i-1', 1, models=held('a1@1')))
    assert members.needed_version == 1
    members.apply_row(fakes.entry_row('i-1', 2, models=held('a1@1', 'a2@1')))
    assert members.needed_version == 1
    members.apply_row(fakes.entry_row('i-1', 3, state='draining'))
    assert members.needed_version == 3
    members.apply_row(fakes.deleted_row('i-1', 4))
    assert members.needed_version == 4


def test_return_of_an_entry_that_a_whole_read_lacked_is_told():
    """Guards against hosts that do not learn of an upstream's return."""
    members = RecordedMembership().members
    members.apply_row(fakes.entry_row('i-1', 1))
    members.replace_rows([])
    members.apply_row(fakes.entry_row('i-1', 5))
    assert members.needed_version == 5


def test_needed_version_starts_again_with_a_restored_store():
    """Guards against versions of two eras that are compared."""
    members = RecordedMembership().members
    members.apply_row(fakes.entry_row('i-1', 9))
    members.on_store_restored()
    members.apply_row(fakes.entry_row('i-1', 4, state='draining'))
    assert members.needed_version == 4


ADDRESS = '10.0.0.7:80'


def is_available(recorded, upstream_id):
    """Return whether an upstream gets requests."""
    return recorded.members.upstream_by_id[upstream_id].is_available(0.0)


def reuse_address(recorded):
    """Let another upstream write an entry with the address of the first."""
    recorded.members.apply_row(fakes.entry_row('i-1', 1, address=ADDRESS))
    recorded.members.apply_row(fakes.entry_row('i-2', 2, address=ADDRESS))


def test_upstream_whose_address_a_newer_entry_names_gets_nothing():
    """Guards against calls and requests to an address that is another's."""
    recorded = RecordedMembership()
    reuse_address(recorded)
    assert not is_available(recorded, 'i-1')
    assert not recorded.members.upstream_by_id['i-1'].takes_orders(0.0)
    assert is_available(recorded, 'i-2')
    assert recorded.changed == ['i-1', 'i-1', 'i-2']
    (change,) = [
        event
        for event in recorded.log.named('upstream_changed')
        if event.change == 'misdirected'
    ]
    assert (change.upstream, change.reason) == (
        'i-1',
        'i-2 has its address since store version 2',
    )


def test_request_in_progress_outlives_the_reuse_of_its_address():
    """Guards against cutting a request that its upstream still answers."""
    recorded = RecordedMembership()
    reuse_address(recorded)
    assert recorded.ids == ['i-1', 'i-2']
    assert recorded.removed == []


def test_only_a_newer_entry_of_the_older_upstream_counts():
    """Guards against an entry that is read again and gives the address back."""
    recorded = RecordedMembership()
    reuse_address(recorded)
    recorded.members.apply_row(fakes.entry_row('i-1', 1, address=ADDRESS))
    assert not is_available(recorded, 'i-1')
    assert is_available(recorded, 'i-2')
    recorded.members.apply_row(fakes.entry_row('i-1', 3, address=ADDRESS))
    assert is_available(recorded, 'i-1')


def test_late_heartbeat_of_the_older_upstream_takes_no_address():
    """Guards against a living upstream that gets nothing by a late write."""
    recorded = RecordedMembership()
    reuse_address(recorded)
    recorded.members.apply_row(fakes.entry_row('i-1', 3, address=ADDRESS))
    assert is_available(recorded, 'i-2')


@pytest.mark.parametrize('is_newer_first', [False, True])
def test_address_belongs_to_the_newer_entry_in_any_order_of_rows(
    is_newer_first,
):
    """Guards against an address that goes to whose row is read last."""
    recorded = RecordedMembership()
    found = [
        fakes.entry_row('i-1', 1, address=ADDRESS),
        fakes.entry_row('i-2', 2, address=ADDRESS),
    ]
    if is_newer_first:
        found.reverse()
    recorded.members.replace_rows(found)
    assert not is_available(recorded, 'i-1')
    assert is_available(recorded, 'i-2')


def test_copy_of_the_store_does_not_give_an_address_back():
    """Guards against calls to the older upstream by a copy from before."""
    recorded = RecordedMembership()
    recorded.members.apply_row(fakes.entry_row('i-1', 1, address=ADDRESS))
    recorded.members.apply_row(fakes.entry_row('i-1', 4, address=ADDRESS))
    recorded.members.apply_row(fakes.entry_row('i-2', 5, address=ADDRESS))
    recorded.members.on_store_restored()
    recorded.members.replace_rows([fakes.entry_row('i-1', 1, address=ADDRESS)])
    assert not is_available(recorded, 'i-1')


def test_older_upstream_stays_out_after_the_newer_one_has_left():
    """Guards against calls to an address that has had another owner."""
    recorded = RecordedMembership()
    reuse_address(recorded)
    recorded.members.apply_row(fakes.deleted_row('i-2', 3))
    assert not is_available(recorded, 'i-1')


def test_upstream_that_moves_to_another_address_gets_requests():
    """Guards against an upstream that is lost for its earlier address."""
    recorded = RecordedMembership()
    reuse_address(recorded)
    recorded.members.apply_row(fakes.entry_row('i-1', 3, address='10.0.0.8:80'))
    assert is_available(recorded, 'i-1')
    assert is_available(recorded, 'i-2')
