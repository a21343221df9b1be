"""Tests of the configuration, readiness and drain of a gateway."""

import contextlib
import dataclasses
import socket

import eventlet
import pytest

from ivystep.gateway import process_events
from ivystep.platform import header_names
from ivystep.runtime import clock
from ivystep.traffic import contracts
from tests.gateway import fakes, harness


def test_host_without_a_configuration_answers_503_with_retry_after(build):
    """Guards against a 404 before the routes are known."""
    gateway, _ = build(config=False)
    answer = gateway.send('/once/2f')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


def test_new_configuration_replaces_the_previous_one(build):
    """Guards against requests that are routed by an older version."""
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))
    gateway.configure(
        {'version': 2, 'routes': [harness.route('new', 'idempotent')]}
    )
    with eventlet.Timeout(2):
        while gateway.daemon.status().setup_version != 2:
            eventlet.sleep(0.01)
    assert gateway.send('/new/2f').status == 200
    assert gateway.send('/once/2f').status == 404


def test_gateway_follows_a_store_that_was_restored(build):
    """Guards against a host that waits for versions that are given out again.

    It would follow neither the configuration nor its upstreams meanwhile.
    """
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))
    copied = gateway.store.copy()
    for number in range(20):
        gateway.store.write('other', f'key-{number}', 'YQ==')
    gateway.configure({'version': 2})
    with eventlet.Timeout(2):
        while gateway.daemon.status().setup_version != 2:
            eventlet.sleep(0.01)
    gateway.store.restore(copied)
    gateway.configure({'version': 3})
    with eventlet.Timeout(3):
        while gateway.daemon.status().setup_version != 3:
            eventlet.sleep(0.01)
    assert gateway.send('/read/2f').status == 200


def test_stop_cuts_off_no_request_and_closes_idle_connections(build):
    """Guards against answers that are lost in a planned shutdown."""

    def slow(connection, headers):
        eventlet.sleep(0.6)
        return harness.ok_answer(headers)

    gateway, _ = build(slow)
    idle = gateway.connect()
    running = eventlet.spawn(gateway.send, '/once/2f')
    eventlet.sleep(0.1)
    gateway.daemon.drain(gateway.listener)
    assert running.wait().status == 200
    with contextlib.closing(idle):
        assert harness.read_to_end(idle).received == b''


def test_readiness_follows_configuration_and_drain(build):
    """Guards against callers that are routed to a host that cannot serve."""
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))

    def readiness():
        address = ('127.0.0.1', gateway.readiness_port)
        with contextlib.closing(socket.create_connection(address)) as probe:
            probe.sendall(
                b'GET /ivystep/readiness HTTP/1.1\r\nHost: x\r\n'
                b'Connection: close\r\n\r\n'
            )
            return harness.read_to_end(probe).status

    assert readiness() == 200
    gateway.daemon.is_ready = False
    assert readiness() == 503


ENGINE_SERVICE = {
    'name': 'app',
    'max_connections': 9,
    'engine': {
        'slots': 4,
        'weights_mb': 1000.0,
        'max_adapters': 4,
        'models': [{'name': 'm', 'weights_mb': 100.0, 'adapter_mb': 1.0}],
    },
}


def test_request_leaves_an_engine_when_its_version_has_been_replaced(stack):
    """Guards against a version that the operator names without effect."""
    engine = harness.ScriptedUpstream(lambda *_: None)
    stack.callback(engine.close)
    slow = harness.route(
        'slow', 'stream', timeout_ms=12000, target_latency_ms=2500
    )
    gateway = harness.GatewayHarness(
        stack, config={'routes': [slow], 'services': [ENGINE_SERVICE]}
    )
    held = [{'name': 'm', 'version': 1, 'adapters': ['a3@1']}]
    gateway.add(engine, models=held)
    gateway.wait_for(1)
    eventlet.sleep(0.3)
    caller = gateway.connect()
    caller.sendall(
        harness.request(
            '/slow/2f',
            headers=[
                f'{header_names.MODEL.decode()}: m/a3',
                f'{header_names.TOKEN_COUNT.decode()}: 10,10',
            ],
        ).replace(b'Deadline-Ms: 1500', b'Deadline-Ms: 9000')
    )
    with eventlet.Timeout(3):
        while not engine.requests:
            eventlet.sleep(0.01)
    gateway.store.write(
        'op',
        'version/m.a3',
        fakes.encoded({'model': 'm', 'adapter': 'a3', 'version': 2}),
    )
    started = clock.now()
    with eventlet.Timeout(6):
        while not engine.ended:
            eventlet.sleep(0.01)

    assert 2 < clock.now() - started < 5


@pytest.mark.parametrize(
    ('max_body_bytes', 'is_told'), [(2**20, False), (2**30, True)]
)
def test_bodies_that_the_memory_cannot_hold_are_told(
    stack, max_body_bytes, is_told
):
    """Guards against callers whose bodies are refused for no known reason."""
    gateway = harness.GatewayHarness(stack)
    with eventlet.Timeout(5):
        while gateway.daemon._config.current is None:
            eventlet.sleep(0.01)
    gateway.daemon._log = fakes.FakeLog()
    limits = contracts.ClientLimits(max_body_bytes=max_body_bytes)
    gateway.daemon._on_config(
        dataclasses.replace(gateway.daemon._config.current, limits=limits)
    )
    told = [
        event
        for event in gateway.daemon._log.events
        if isinstance(event, process_events.LongBodiesRefused)
    ]
    assert bool(told) == is_told
