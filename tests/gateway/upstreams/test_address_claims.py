"""Tests of upstreams whose entries claim one address.

The order in which the store has written entries does not tell whose the
address is: the entry of an upstream that has ended may be written late.
"""

import random

import eventlet
import pytest

from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.gateway.upstreams import test_membership

ADDRESS = '10.0.0.7:80'
HEARTBEAT_S = test_membership.HEARTBEAT_S
# An upstream gets requests again this long after the last wrong evidence.
BOUND_S = 3 * HEARTBEAT_S


class Host(test_membership.RecordedMembership):
    """One host's view of the upstreams at one address."""

    def __init__(self):
        super().__init__()
        self.version = 0
        eventlet.spawn(self.members.maintain)

    def write(self, upstream_id, **more):
        """Apply an entry that the store has written now."""
        self.version += 1
        self.members.apply_row(
            fakes.entry_row(upstream_id, self.version, address=ADDRESS, **more)
        )

    def delete(self, upstream_id):
        """Apply that an entry is gone."""
        self.version += 1
        self.members.apply_row(fakes.deleted_row(upstream_id, self.version))

    def restore(self):
        """Let the store return to a copy that is three writes older."""
        self.members.on_store_restored()
        self.members.on_store_regained()
        self.version = max(self.version - 3, 0)

    def is_used(self, upstream_id):
        """Return whether an upstream gets requests."""
        known = self.members.upstream_by_id.get(upstream_id)
        return known is not None and known.is_available(clock.now())

    def refuse(self, upstream_id):
        """Let a request find out that the address is another upstream's."""
        self.members.on_other_upstream(self.members.upstream_by_id[upstream_id])


@clocks.on_virtual_clock
def test_live_upstream_outlives_a_late_entry_of_the_one_before():
    """Guards against an upstream that gets nothing by a mark without an end."""
    host = Host()
    host.write('i-1')
    host.delete('i-1')
    host.write('i-2')
    host.write('i-1')
    host.delete('i-1')
    clock.sleep(BOUND_S)
    assert host.is_used('i-2')


@clocks.on_virtual_clock
def test_refusal_at_an_address_gives_it_to_its_other_claimant_at_once():
    """Guards against requests that wait although it is known who is there."""
    host = Host()
    host.write('i-2')
    host.write('i-1')
    assert not host.is_used('i-2')
    host.refuse('i-1')
    assert host.is_used('i-2')
    assert not host.is_used('i-1')


@clocks.on_virtual_clock
def test_refusals_of_all_claimants_are_not_tried_at_once():
    """Guards against a request that goes round between two wrong upstreams."""
    host = Host()
    host.write('i-2')
    host.write('i-1')
    host.refuse('i-1')
    host.refuse('i-2')
    assert not host.is_used('i-1')
    assert not host.is_used('i-2')


@clocks.on_virtual_clock
def test_upstream_in_doubt_gets_one_request_at_a_time():
    """Guards against many requests to an address that is another's."""
    host = Host()
    host.write('i-1')
    host.write('i-2')
    clock.sleep(BOUND_S)
    doubted = host.members.upstream_by_id['i-1']
    service = fakes.service()
    status = doubted.status(service, '', clock.now())
    assert (status.healthy, status.max_running) == (True, 1)
    assert doubted.on_answer()
    assert not doubted.on_answer()
    assert doubted.status(service, '', clock.now()).max_running > 1


@clocks.on_virtual_clock
def test_entry_of_one_that_left_displaces_no_upstream_that_came_since():
    """Guards against requests that wait for the end of a doubt."""
    host = Host()
    host.write('i-1')
    host.delete('i-1')
    host.write('i-2')
    host.write('i-1')
    assert host.is_used('i-2')
    assert not host.is_used('i-1')


IDS = ('i-1', 'i-2', 'i-3')


@pytest.mark.parametrize('seed', range(40))
@clocks.on_virtual_clock
def test_live_upstream_gets_requests_after_any_history(seed):
    """Guards against marks that outlive their evidence.

    The entry of the live upstream is not written again while it is there, and
    a wrong one gets few requests.
    """
    chance = random.Random(seed)
    host = Host()
    live = chance.choice(IDS)
    for _ in range(chance.randrange(3, 30)):
        act = chance.choice((host.write, host.write, host.delete))
        act(chance.choice(IDS))
        clock.sleep(chance.choice((0.0, 0.1, 1.0, 4.0)))
        find_out(host, live)
        if chance.random() < 0.1:
            host.restore()
    if live not in host.ids:
        host.write(live)
    for _ in range(chance.randrange(1, 5)):
        act = chance.choice((host.write, host.delete))
        act(chance.choice([each for each in IDS if each != live]))
        find_out(host, live)
    refused = 0
    for _ in range(round(BOUND_S / 0.1)):
        refused += find_out(host, live)
        clock.sleep(0.1)
    assert host.is_used(live)
    assert refused <= 4


def find_out(host, live):
    """Send requests to each wrong upstream that gets some; count refusals."""
    wrong = [
        upstream_id
        for upstream_id in host.ids
        if upstream_id != live and host.is_used(upstream_id)
    ]
    for upstream_id in wrong:
        host.refuse(upstream_id)
    return len(wrong)
