"""Tests of a host that is out of step while a new software version joins.

Streams that began at the new version through another host are taken up at the
host, which has not heard of any upstream of that version.
"""

import eventlet
import pytest

from ivystep.stream_origins import lookup
from tests.gateway import harness
from tests.gateway.upstreams import test_software_versions

EVENTS = harness.EVENTS
NEWER = (8, 9)


def is_all_blocked(path, query):
    """Block all calls, as if the host were cut off from the store."""
    return True


def is_list_blocked(path, query):
    """Block what tells of upstreams, as if the host had stood still."""
    return 'table=servers' in query


def is_feed_blocked(path, query):
    """Block all feeds, as if their connections had gone silent."""
    return 'rows-feed' in path


BLOCKS = (is_all_blocked, is_list_blocked, is_feed_blocked)


class Deployment:
    """Two hosts with upstreams of one version, of which one leads."""

    def __init__(self, stack, build_versions, build_peer, recorder):
        self.recorder = recorder
        self._stack = stack
        self.leader, _ = build_versions('v1', 'v1')
        self.follower = build_peer(self.leader, 'host-2')

    def join(self, host):
        """Add upstreams of a newer version and wait until a host uses them."""
        for number in NEWER:
            newer = harness.ScriptedUpstream(
                self.recorder.script('v2'), f'i-{number}', 'v2'
            )
            self._stack.callback(newer.close)
            host.add(newer)
        host.wait_for(4)
        eventlet.sleep(0.1)

    def begin(self, host):
        """Begin streams until both versions have begun some."""
        return test_software_versions.begin_at_both(self.recorder, host)


@pytest.fixture
def deployed(stack, build_versions, build_peer, recorder):
    return Deployment(stack, build_versions, build_peer, recorder)


# The fixtures of the tests of versions.
recorder = test_software_versions.recorder
build_versions = test_software_versions.build_versions


def take_up_all(host, streams, attempt):
    """Take all streams up; return the numbers of those that were refused."""
    refused = []
    for number in range(streams):
        answer = test_software_versions.take_up(
            host, f'r-{number}', f'{attempt}'
        )
        if answer.status == 503:
            refused.append(number)
            assert float(answer.headers['retry-after']) > 0
        else:
            assert answer.body == b''.join(
                EVENTS[test_software_versions.BEGUN :]
            )
    return refused


@pytest.mark.parametrize('is_blocked', BLOCKS)
@pytest.mark.parametrize('is_leader', [False, True])
@pytest.mark.parametrize('has_ended', [False, True])
def test_host_out_of_step_goes_on_with_no_stream_at_another_version(
    deployed, is_blocked, is_leader, has_ended
):
    """Guards against a stream of two software versions: it began at a version
    of which the host that takes it up has not heard.
    """
    blind, other = deployed.follower, deployed.leader
    if is_leader:
        blind, other = other, blind
    blind.gate.is_blocked = is_blocked
    deployed.join(other)
    streams = deployed.begin(other)
    if has_ended:
        other.daemon.stop()
    take_up_all(blind, streams, 'blind')
    blind.gate.is_blocked = lambda path, query: False
    blind.wait_for(4)
    with eventlet.Timeout(5):
        while take_up_all(blind, streams, 'again'):
            eventlet.sleep(0.2)
    deployed.recorder.assert_one_version_each(streams)


def test_oracle_sees_a_host_that_guesses(deployed, monkeypatch):
    """Guards against a test that cannot see the fault."""

    def guess(_, state, key):
        return state.route.shares[0].service, 'v1', 'guess'

    monkeypatch.setattr(lookup.OriginLookup, 'find', guess)
    deployed.follower.gate.is_blocked = is_list_blocked
    deployed.join(deployed.leader)
    streams = deployed.begin(deployed.leader)
    take_up_all(deployed.follower, streams, 'blind')
    with pytest.raises(AssertionError):
        deployed.recorder.assert_one_version_each(streams)
