"""Tests of streams while upstreams of several software versions serve."""

import collections
import contextlib

import eventlet
import pytest

from ivystep.core import errors
from ivystep.platform import version_rows
from tests.gateway import harness

EVENTS = harness.EVENTS
BEGUN = 2
STREAMS = 8
AT_ONCE_S = 0.6
BOTH_S = 5.0


class Recorder:
    """Records which upstreams sent events of which stream.

    Attributes:
        versions_by_stream: Software versions that sent its events, by the
            request that began the stream.
    """

    def __init__(self):
        self.versions_by_stream = collections.defaultdict(list)

    def script(self, version):
        """Return a script that breaks new streams off and ends resumed ones."""

        def answer(connection, headers):
            first_id = headers.get('resumes', headers['request-id'])
            self.versions_by_stream[first_id].append(version)
            after = int(headers.get('last-event-id', 0))
            if after:
                rest = harness.chunk(b''.join(EVENTS[after:]))
                return harness.stream_head(headers) + rest + b'0\r\n\r\n'
            connection.sendall(
                harness.stream_head(headers)
                + harness.chunk(b''.join(EVENTS[:BEGUN]))
            )
            eventlet.sleep(0.05)
            harness.reset(connection)
            return None

        return answer

    def assert_one_version_each(self, streams):
        assert len(self.versions_by_stream) == streams
        for versions in self.versions_by_stream.values():
            assert len(versions) > 1
            assert len(set(versions)) == 1


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def build_versions(build, recorder):
    """Return a function that builds a gateway and upstreams of versions."""

    def make(*versions, **more):
        scripts = [recorder.script(version) for version in versions]
        return build(*scripts, versions=versions, **more)

    return make


def take_up(gateway, stream, attempt='2', after=BEGUN):
    """Take a stream up as its caller does, with a new request."""
    return gateway.send(
        '/resume/2f',
        f'{stream}-{attempt}',
        headers=[f'Last-Event-Id: {after}', f'Resumes: {stream}'],
    )


def begin(gateway, stream):
    """Begin a stream whose caller disconnects after its first events."""
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(harness.request('/resume/2f', stream))
        harness.receive_until(connection, EVENTS[BEGUN - 1])


def begin_at_both(recorder, *gateways):
    """Begin streams until both versions have begun some; return their number.

    Each gateway draws among upstreams that are equally full, so that a fixed
    number of streams may all begin at one version.
    """
    number = 0
    seen = set()
    with eventlet.Timeout(BOTH_S):
        while number < STREAMS or seen != {'v1', 'v2'}:
            begin(gateways[number % len(gateways)], f'r-{number}')
            seen.update(recorder.versions_by_stream[f'r-{number}'])
            number += 1
    return number


def test_stream_is_resumed_at_the_version_that_began_it(
    build_versions, recorder
):
    """Guards against one answer with events of two software versions."""
    gateway, _ = build_versions('v1', 'v1', 'v2', 'v2')
    for number in range(STREAMS):
        answer = gateway.send('/resume/2f', f'r-{number}')
        assert answer.body == b''.join(EVENTS)
        assert answer.is_complete
    recorder.assert_one_version_each(STREAMS)


@pytest.mark.parametrize('has_ended', [False, True])
def test_stream_is_taken_up_at_the_version_that_began_it(
    build_versions, build_peer, recorder, has_ended
):
    """Guards against a caller's stream of two versions over two gateways."""
    first, _ = build_versions('v1', 'v2', 'v1', 'v2')
    second = build_peer(first, 'host-2')
    for number in range(STREAMS):
        begin(first, f'r-{number}')
    if has_ended:
        eventlet.sleep(0.1)
        first.daemon.stop()
    for number in range(STREAMS):
        answer = take_up(second, f'r-{number}')
        assert answer.body == b''.join(EVENTS[BEGUN:])
    recorder.assert_one_version_each(STREAMS)


def test_stream_that_began_before_a_second_version_is_taken_up_at_its_own(
    build_versions, build_peer, recorder, stack
):
    """Guards against streams in progress when an upgrade begins."""
    first, _ = build_versions('v1', 'v1')
    second = build_peer(first, 'host-2')
    for number in range(STREAMS):
        begin(first, f'r-{number}')
    for number in (8, 9):
        newer = harness.ScriptedUpstream(
            recorder.script('v2'), f'i-{number}', 'v2'
        )
        stack.callback(newer.close)
        first.add(newer)
    first.wait_for(4)
    second.wait_for(4)
    eventlet.sleep(0.1)
    for number in range(STREAMS):
        assert take_up(second, f'r-{number}').status == 200
    recorder.assert_one_version_each(STREAMS)


@pytest.mark.parametrize('has_rows', [True, False])
def test_no_stream_joins_two_versions_after_all_gateways_were_killed(
    build_versions, build_peer, recorder, stack, has_rows
):
    """Guards against a guess by gateways that know nothing of the past.

    Rows of streams are missing if they were lost with their writers' queues.
    """
    first, (old, _) = build_versions('v1', 'v2')
    second = build_peer(first, 'host-2')
    streams = begin_at_both(recorder, first, second)
    eventlet.sleep(0.2)
    began = {
        stream: versions[0]
        for stream, versions in recorder.versions_by_stream.items()
    }
    for gateway in (first, second):
        gateway.end()
    first.store.write('servers', old.upstream_id, None)
    for table, _, key in tuple(first.store.row_by_key):
        if table == 'ivystep-streams' and not has_rows:
            first.store.write(table, key, None)
    restarted = [
        harness.GatewayHarness(stack, host=host, peer=first)
        for host in ('host-1', 'host-2')
    ]
    for gateway in restarted:
        gateway.wait_for(1)
    for number in range(streams):
        stream = f'r-{number}'
        answer = take_up(restarted[number // 2 % 2], stream)
        is_known = has_rows and began[stream] == 'v2'
        assert answer.status == (200 if is_known else 503)
        assert set(recorder.versions_by_stream[stream]) == {began[stream]}


def test_stream_whose_version_has_gone_is_refused_at_once(
    build_versions, recorder
):
    """Guards against another version, and a wait that cannot help."""
    gateway, (old, _) = build_versions('v1', 'v2')
    begun = 0
    while 'v1' not in recorder.versions_by_stream['r-1']:
        recorder.versions_by_stream.clear()
        begin(gateway, 'r-1')
        begun += 1
        assert begun < 50
    gateway.store.write('servers', old.upstream_id, None)
    gateway.wait_for(1)
    with eventlet.Timeout(AT_ONCE_S):
        answer = take_up(gateway, 'r-1')
    assert answer.status == 503
    assert answer.document['ran'] == 'no'
    assert answer.document['code'] == 'software_version_gone'
    assert recorder.versions_by_stream['r-1'] == ['v1']


def test_stream_of_an_unknown_version_is_refused_at_once(
    build_versions, recorder
):
    """Guards against a guess among two versions."""
    gateway, _ = build_versions('v1', 'v2')
    with eventlet.Timeout(AT_ONCE_S):
        answer = take_up(gateway, 'r-unknown')
    assert answer.status == 503
    assert answer.document['ran'] == 'no'
    assert not recorder.versions_by_stream


def test_stream_of_unknown_origin_goes_on_at_the_only_version_there_was(
    build_versions, recorder
):
    """Guards against refusals where there is nothing to mix."""
    gateway, _ = build_versions('v1', 'v1')
    assert take_up(gateway, 'r-unknown').status == 200
    assert recorder.versions_by_stream == {'r-unknown': ['v1']}


@pytest.mark.parametrize('is_restored', [True, False])
def test_stream_of_unknown_origin_is_refused_if_others_may_have_served(
    build_versions, recorder, is_restored
):
    """Guards against a guess from the versions that are listed now."""
    gateway, _ = build_versions('v1', 'v1')
    if is_restored:
        gateway.store.restore(gateway.store.copy())
    else:
        gateway.store.faults = {'mode': 'down'}
    with eventlet.Timeout(AT_ONCE_S):
        answer = take_up(gateway, 'r-unknown')
    assert answer.status == 503
    assert answer.headers['retry-after'] == '0.500'
    assert answer.document['ran'] == 'no'
    assert not recorder.versions_by_stream


def test_version_gets_no_requests_before_it_is_in_the_store(
    build_versions, recorder, stack, monkeypatch
):
    """Guards against streams of a version that no row tells of."""
    gateway, _ = build_versions('v1')
    refusing = gateway.daemon._rows
    transact = refusing.transact

    def refuse(writes):
        if any(write.table == version_rows.TABLE for write in writes):
            raise errors.UnavailableError('refused', step='transact')
        return transact(writes)

    monkeypatch.setattr(refusing, 'transact', refuse)
    newer = harness.ScriptedUpstream(recorder.script('v2'), 'i-9', 'v2')
    stack.callback(newer.close)
    gateway.add(newer)
    gateway.wait_for(2)
    for number in range(STREAMS):
        begin(gateway, f'r-{number}')
    assert not newer.requests
    monkeypatch.setattr(refusing, 'transact', transact)
    number = STREAMS
    with eventlet.Timeout(5):
        while not newer.requests:
            begin(gateway, f'r-{number}')
            number += 1


def test_new_streams_use_all_versions(build_versions, recorder):
    """Guards against a version that gets no new streams."""
    gateway, _ = build_versions('v1', 'v2')
    for number in range(3 * STREAMS):
        begin(gateway, f'r-{number}')
    began = {found[0] for found in recorder.versions_by_stream.values()}
    assert began == {'v1', 'v2'}
