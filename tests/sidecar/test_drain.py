"""Tests of the drain of a sidecar process that is serving requests."""

import signal

import eventlet
import pytest
import urllib3

from demo import cluster
from ivystep.core import errors, ids, types
from ivystep.entry import links
from ivystep.runtime import clock
from ivystep.wire import handshake, tls
from tests.sidecar import bench

TIMEOUT_S = 20


class Sidecar:
    """One sidecar process, its engine, and an entry's link to it."""

    def __init__(self, processes, folder):
        processes.start_platform()
        processes.start_upstream('up-1', 'pool', 'dc', '--step-s', '0.02')
        self.node = processes.node_by_name['up-1']
        entry = processes.host_entries[0]
        pem = str(folder / f'{tls.ENTRY_NAME}.pem')
        files = tls.TlsFiles(str(folder / 'ca.pem'), pem, pem)
        self.link = links.ThriftLink(
            'entry-1',
            handshake.Addressee(
                entry['host'], (entry['address'], entry['port'])
            ),
            tls.TlsContexts(files),
        )
        self.statuses = []
        eventlet.spawn(
            self.link.watch, self.statuses.append, self.statuses.clear
        )
        bench.wait_until(lambda: self.status and self.status.healthy, TIMEOUT_S)
        bench.wait_until(self._loads, TIMEOUT_S)

    @property
    def status(self):
        return self.statuses[-1] if self.statuses else None

    def ready(self):
        url = f'{self.node.operators_url}/readyz'
        return urllib3.request('GET', url, retries=False).status

    def run(self, max_tokens):
        """Start a streamed attempt and return its answer."""
        sent = bench.message(self, stream=True, max_tokens=max_tokens)
        request = types.Request(
            request_id='req-1',
            account='acme',
            application='app',
            pool='pool',
            adapter=bench.REF,
            adapter_source='weights/plans',
            path=sent.path,
            body=sent.body,
            stream=True,
            idempotent=True,
            arrived=clock.now(),
            deadline=clock.now() + TIMEOUT_S,
            fingerprint=b'fingerprint',
            setup_version=1,
        )
        placement = types.Placement(request, 'up-1', self.incarnation)
        return self.link.run(types.Attempt(ids.new_id('att'), placement))

    @property
    def incarnation(self):
        return self.status.sidecar_incarnation

    def exit_code(self):
        with eventlet.Timeout(TIMEOUT_S):
            while self.node.process.poll() is None:
                clock.sleep(0.02)
        return self.node.process.returncode

    def _loads(self):
        return self.link.load(bench.order(bench.REF), 1).ok


@pytest.fixture
def sidecar(tmp_path):
    processes = cluster.Cluster(tmp_path)
    try:
        running_sidecar = Sidecar(processes, tmp_path)
        yield running_sidecar
        running_sidecar.link.close()
    finally:
        processes.stop()


def test_drain_finishes_attempts_and_refuses_new_ones(sidecar):
    """Guards against a planned stop that interrupts or loses a request."""
    assert sidecar.ready() == 200
    abandoned = sidecar.run(max_tokens=100_000)
    next(abandoned.chunks)
    abandoned.chunks.close()
    bench.wait_until(lambda: sidecar.status.running == 0)
    answer = sidecar.run(max_tokens=60)
    next(answer.chunks)
    sidecar.node.process.send_signal(signal.SIGTERM)
    bench.wait_until(lambda: sidecar.status.draining)
    assert sidecar.ready() == 503
    with pytest.raises(errors.RequestError) as refused:
        sidecar.run(max_tokens=1)
    assert (refused.value.code, refused.value.ran) == (
        'draining',
        types.ExecutionStatus.NO,
    )
    assert b'plans#59' in b''.join(answer.chunks)
    assert sidecar.exit_code() == 0


def test_second_signal_ends_attempts_with_their_outcome(sidecar):
    """Guards against interrupted attempts without a reported outcome."""
    answer = sidecar.run(max_tokens=100_000)
    next(answer.chunks)
    sidecar.node.process.send_signal(signal.SIGTERM)
    bench.wait_until(lambda: sidecar.status.draining)
    sidecar.node.process.send_signal(signal.SIGTERM)
    with pytest.raises(errors.RequestError) as cut:
        list(answer.chunks)
    assert (cut.value.code, cut.value.ran) == (
        'upstream_stopped',
        types.ExecutionStatus.UNKNOWN,
    )
    assert sidecar.exit_code() == 0
