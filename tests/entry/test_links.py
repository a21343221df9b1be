"""Tests of the links from an entry to a sidecar at another's address."""

import dataclasses

import eventlet
import pytest
import trustme

from ivystep.core import errors, types
from ivystep.entry import links
from ivystep.runtime import clock
from ivystep.settings import models
from ivystep.sidecar import host, server
from ivystep.wire import handshake, listener, tls
from tests.wire import certificates

REF = types.AdapterRef('authority', 'plans', 3)
ORDER = types.LoadOrder(REF, 'weights/plans', (), 'self')


class OtherSidecar:
    """A sidecar at the address of another one."""

    def __init__(self, contexts):
        self.upstream_host = host.UpstreamHost(
            'up-2', models.Upstream(url='http://127.0.0.1:1')
        )
        self.loads = []
        self.upstream_host.load = self._load
        socket = eventlet.listen(('127.0.0.1', 0))
        self.address = socket.getsockname()
        self.task = eventlet.spawn(
            listener.serve,
            socket,
            contexts,
            tls.ENTRY_NAME,
            server.SidecarServer(self.upstream_host).serve,
        )

    def _load(self, order):
        self.loads.append(order)
        return types.LoadResult(True, '', '')


@pytest.fixture(name='other')
def other_fixture(tmp_path, certificate_authority):
    (tmp_path / 'sidecar').mkdir()
    other = OtherSidecar(
        certificates.contexts(
            tmp_path / 'sidecar', certificate_authority, tls.SIDECAR_NAME
        )
    )
    yield other
    other.task.kill()


@pytest.fixture(name='certificate_authority')
def certificate_authority_fixture():
    return trustme.CA()


@pytest.fixture(name='link')
def link_fixture(tmp_path, certificate_authority, other):
    """Return a link to a sidecar whose address is the other one's."""
    (tmp_path / 'entry').mkdir()
    link = links.ThriftLink(
        'self',
        handshake.Addressee('up-1', other.address),
        certificates.contexts(
            tmp_path / 'entry', certificate_authority, tls.ENTRY_NAME
        ),
    )
    yield link
    link.close()


def test_load_is_not_ordered_at_another_sidecar(link, other):
    """Guards against loads and evictions at an engine that nobody chose, and
    an adapter that counts as loaded where it is not.
    """
    result = link.load(ORDER, 1)
    assert not result.ok
    assert not other.loads


def test_status_of_another_sidecar_is_not_believed(link):
    """Guards against a pool that takes another pool's upstream for its own."""
    statuses, losses = [], []
    eventlet.spawn(link.watch, statuses.append, lambda: losses.append(1))
    with eventlet.Timeout(3):
        while not (statuses or losses):
            eventlet.sleep(0.01)
    assert losses
    assert not statuses


def test_attempt_is_not_sent_to_another_sidecar(link):
    """Guards against an attempt whose request another host has to refuse."""
    request = types.Request(
        request_id='req-1',
        account='authority',
        application='app',
        pool='base',
        adapter=REF,
        adapter_source='weights/plans',
        path='/v1/completions',
        body=b'{}',
        stream=False,
        idempotent=True,
        arrived=clock.now(),
        deadline=clock.now() + 5,
        fingerprint=b'',
        setup_version=1,
    )
    attempt = types.Attempt(
        'att-1', types.Placement(request, 'up-1', 'incarnation')
    )
    with pytest.raises(errors.RequestError) as failed:
        link.run(attempt)
    assert failed.value.code == 'upstream_unavailable'
    assert failed.value.ran is types.ExecutionStatus.NO
    assert isinstance(failed.value.__cause__, errors.MisdirectedError)


@pytest.mark.parametrize('is_earlier', [True, False])
def test_load_planned_for_an_earlier_sidecar_process_is_refused(
    link, other, is_earlier
):
    """Guards against evictions chosen by the state before a restart."""
    incarnation = other.upstream_host.incarnation
    named = 'inc-earlier' if is_earlier else incarnation
    same_host = links.ThriftLink(
        'self', handshake.Addressee('up-2', other.address), link._contexts
    )
    result = same_host.load(
        dataclasses.replace(ORDER, sidecar_incarnation=named), 1
    )
    assert (result.ok, len(other.loads)) == (not is_earlier, not is_earlier)
    if is_earlier:
        assert result.code == 'wrong_incarnation'
