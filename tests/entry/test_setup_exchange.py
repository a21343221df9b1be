"""Tests of entries that fetch the setup from one another."""

import pytest

from ivystep.core import errors
from ivystep.entry import peer_server, setup_exchange
from ivystep.runtime import virtual_hub
from ivystep.setup import store, submission
from ivystep.wire.gen import ttypes
from tests.setup import fakes


class EntrySetup:
    """An entry's setup store, with its own view of the platform."""

    def __init__(self, platform):
        self.store = store.SetupStore(platform.rows, platform.store)
        self.exchange = setup_exchange.SetupExchange(self.store)
        self.server = peer_server.PeerServer(
            'peer', lambda _: None, self.exchange
        )
        self.addressee = 'peer'
        self.lost_sections = 0

    def ask(self, message):
        """Answer a message as a peer does over a connection."""
        is_section = isinstance(message, peer_server.ttypes.GetSection)
        if is_section and self.lost_sections:
            self.lost_sections -= 1
            raise errors.LinkError('cut')
        return peer_server._answer(message, self.server)


def submit(platform, version):
    submission.Submitter(platform.rows, platform.store).submit(
        fakes.make_document(fakes.account('authority', active=version)),
        version - 1,
        'ama',
    )


def make_entries():
    """Return a platform, an up-to-date peer and a new, cut-off entry."""
    platform = fakes.Platform()
    submit(platform, 1)
    peer = EntrySetup(platform)
    peer.store.refresh()
    cut_off = fakes.Platform()
    cut_off.rows.is_down = cut_off.store.is_down = True
    return platform, peer, EntrySetup(cut_off)


def test_entry_that_starts_in_an_outage_reads_the_setup_from_a_peer():
    """Guards against an entry that serves nothing until the outage ends."""

    def scenario():
        _, peer, started = make_entries()
        with pytest.raises(errors.UnavailableError):
            started.store.refresh()
        assert started.exchange.fetch_from([peer])
        return started.store.current.version

    assert virtual_hub.run(scenario) == 1


def test_known_newer_version_is_read_from_a_peer_and_never_reverts():
    """Guards against an old version in force once a newer one is known."""

    def scenario():
        platform, peer, behind = make_entries()
        behind.exchange.fetch_from([peer])
        submit(platform, 2)
        behind.exchange.announce_version(2)
        with pytest.raises(errors.RefusedError) as refused:
            behind.store.current  # ruff: ignore[useless-expression]
        assert refused.value.code == 'configuration_behind'
        assert not behind.exchange.fetch_from([peer])
        peer.store.refresh()
        assert behind.exchange.fetch_from([peer])
        old = EntrySetup(fakes.Platform())
        assert not behind.exchange.fetch_from([old])
        return behind.store.current.version

    assert virtual_hub.run(scenario) == 2


def test_interrupted_exchange_changes_nothing_and_can_be_repeated():
    """Guards against a setup that is adopted in part."""

    def scenario():
        _, peer, started = make_entries()
        peer.lost_sections = 1
        assert not started.exchange.fetch_from([peer])
        assert started.store.latest is None
        assert started.exchange.fetch_from([peer])
        return started.store.current.version

    assert virtual_hub.run(scenario) == 1


class OddPeer:
    """A peer that answers each message alike."""

    addressee = 'odd'

    def __init__(self, reply):
        self._reply = reply

    def ask(self, _):
        return self._reply


@pytest.mark.parametrize(
    'reply',
    [ttypes.SetupNotice(3), ttypes.Manifest(), ttypes.Manifest(3)],
    ids=['other', 'empty', 'without_sections'],
)
def test_odd_answer_of_a_peer_does_not_end_the_reading_from_peers(reply):
    """Guards against an entry that never reads the setup from peers again."""

    def scenario():
        _, peer, started = make_entries()
        assert started.exchange.fetch_from([OddPeer(reply), peer])
        return started.store.current.version

    assert virtual_hub.run(scenario) == 1
