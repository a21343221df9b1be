"""Tests processes whose addresses are taken or missing as they start."""

import signal
import time

import eventlet
import pytest

from ivystep.platform import readiness
from tests.processes import daemons

# Target of the time from a free address to a process that is ready.
READY_AFTER_S = 1.0
# An address for documentation, which no host has.
FOREIGN_ADDRESS = '192.0.2.1'


@pytest.mark.parametrize(('kind', 'purpose'), daemons.CASES)
def test_process_waits_for_an_address_that_is_taken(deployment, kind, purpose):
    """Guards against a process that ends as another holds one of its ports."""
    started = daemons.Started(deployment, kind, taken=purpose)
    try:
        daemons.wait_until(
            lambda: f'{purpose}' in unavailable(started), started
        )
        # The test's own socket takes connections to the other port.
        daemons.wait_until(started.is_connected_everywhere, started)
        eventlet.sleep(0.7)
        # A line for each try would fill the log.
        assert started.log().count('address_unavailable') == 1
        started.holder.close()
        daemons.wait_until(started.is_ready, started, READY_AFTER_S)
        assert started.node.stop() == 0
    finally:
        started.stop()


@pytest.mark.parametrize('kind', daemons.PORTS_BY_KIND)
def test_process_that_waits_for_an_address_can_be_stopped(deployment, kind):
    """Guards against a process that must be killed while its port is taken."""
    started = daemons.Started(
        deployment, kind, taken=daemons.PORTS_BY_KIND[kind][0]
    )
    try:
        daemons.wait_until(lambda: unavailable(started), started)
        assert started.node.stop() == 0
    finally:
        started.stop()


@pytest.mark.parametrize('kind', ['gateway', 'entry', 'sidecar'])
def test_metrics_name_the_address_that_a_process_waits_for(deployment, kind):
    """Guards against a process without a port that no alert can tell."""
    purpose = daemons.PORTS_BY_KIND[kind][0]
    started = daemons.Started(deployment, kind, taken=purpose)
    try:
        daemons.wait_until(lambda: unavailable(started), started)
        url = f'{started.node.operators_url}/metrics'
        body = deployment.http.request('GET', url).data.decode()
        sample = f'ivystep_address_unavailable{{purpose="{purpose}"}}'
        assert f'{sample} 1' in body
        started.holder.close()
        daemons.wait_until(started.is_ready, started)
        body = deployment.http.request('GET', url).data.decode()
        assert f'{sample} 0' in body
    finally:
        started.stop()


def test_gateway_serves_callers_while_its_metrics_port_is_taken(deployment):
    """Guards against metrics that keep a host from serving."""
    started = daemons.Started(deployment, 'gateway', taken='operators')
    try:
        path = readiness.READINESS_PATH
        daemons.wait_until(
            lambda: started.status('readiness', path) == 200, started
        )
        assert started.status('callers', '/none') == 404
    finally:
        started.stop()


def test_gateway_is_not_ready_while_its_port_for_callers_is_taken(deployment):
    """Guards against callers that are routed to another program."""
    started = daemons.Started(deployment, 'gateway', taken='callers')
    try:
        daemons.wait_until(lambda: 'config_adopted' in started.log(), started)
        daemons.wait_until(lambda: unavailable(started), started)
        assert started.status('readiness', readiness.READINESS_PATH) == 503
    finally:
        started.stop()


def test_process_waits_for_an_address_that_the_host_lacks(deployment):
    """Guards against a process that ends if it starts before its network."""
    node = deployment.start_console('console-early')
    assert node.stop() == 0
    path = deployment.folder / 'console-early.ini'
    settings = path.read_text()
    path.write_text(settings.replace(deployment.address, FOREIGN_ADDRESS))
    node = deployment.restart('console-early')
    log = deployment.folder / 'console-early.log'
    try:
        deadline = time.monotonic() + daemons.START_TIMEOUT_S
        while 'address_unavailable' not in log.read_text():
            assert node.process.poll() is None, log.read_text()
            assert time.monotonic() < deadline
            eventlet.sleep(0.02)
        assert node.stop() == 0
    finally:
        node.stop(signal.SIGKILL)


def unavailable(started):
    lines = started.log().splitlines()
    return ' '.join(line for line in lines if 'address_unavailable' in line)
