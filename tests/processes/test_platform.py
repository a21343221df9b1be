"""Tests gateways with the platform's store and engines as processes."""

import signal
import socket
import time

import eventlet
import pytest
import urllib3

from demo import platform
from standins import platform_engine


@pytest.fixture
def system(tmp_path):
    """Start a store, three engines and two gateways."""
    made = platform.Platform(tmp_path)
    try:
        made.start()
        yield made
    finally:
        made.stop()


def statuses(system, numbers, gateway):
    pool = eventlet.GreenPool(6)
    answers = pool.imap(lambda number: system.call(number, gateway), numbers)
    return [answer.status for answer in answers]


def test_demo_runs(tmp_path):
    """Guards against components that work alone but not together."""
    platform.run(tmp_path)


def test_another_gateway_gives_orders_after_the_leader_was_killed(system):
    """Guards against two leaders, and against none after a leader is killed.

    Without a leader, no adapter is loaded. The second gateway must wait until
    the lease of the killed one has expired.
    """
    first, second = system.gateways
    assert statuses(system, range(4), first) == [200] * 4
    leaders = {
        order[1] for one in system.observations() for order in one['holders']
    }
    (leader,) = leaders
    killed = {'gateway-0': first, 'gateway-1': second}[leader]
    other = second if killed is first else first
    killed.stop(signal.SIGKILL)
    deadline = time.monotonic() + 15
    while statuses(system, (4, 5), other) != [200, 200]:
        assert time.monotonic() < deadline
    for one in system.observations():
        assert not one['overfilled']
        tokens = [order[2] for order in one['holders']]
        assert tokens == sorted(tokens)
        times = {}
        for at, name, _ in one['holders']:
            times.setdefault(name, []).append(at)
        if len(times) == 2:
            after = min(times[other_name(times, leader)])
            assert after - max(times[leader]) >= 1.0


def other_name(times, leader):
    (name,) = set(times) - {leader}
    return name


def test_stopped_gateway_cuts_off_no_stream(system):
    """Guards against streams cut off by a planned stop."""
    gateway = system.gateways[0]
    assert system.call(0, gateway).status == 200
    running = eventlet.spawn(system.call, 0, gateway, 100)
    eventlet.sleep(0.3)
    gateway.process.send_signal(signal.SIGTERM)
    answer = running.wait()
    assert answer.status == 200
    assert answer.data.count(b'id: ') == 100
    assert gateway.process.wait(10) == 0


def test_stop_is_not_hurried_by_further_signals(system):
    """Guards against streams cut off by a second signal during a stop."""
    gateway = system.gateways[0]
    assert system.call(0, gateway).status == 200
    running = eventlet.spawn(system.call, 0, gateway, 100)
    eventlet.sleep(0.3)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        gateway.process.send_signal(number)
        eventlet.sleep(0.1)
    answer = running.wait()
    assert answer.data.count(b'id: ') == 100
    assert gateway.process.wait(10) == 0


def test_stream_completed_late_in_a_stop_is_refused_instead_of_cut(system):
    """Guards against streams that are sent on and cut as their host ends."""
    gateway = system.gateways[0]
    assert statuses(system, range(4), gateway) == [200] * 4
    whole = stream_request('late', 0, events=400, body=b'{}')
    with connect(gateway) as connection:
        connection.sendall(whole[:-1])
        eventlet.sleep(0.2)
        gateway.process.send_signal(signal.SIGTERM)
        eventlet.sleep(3.6)
        connection.sendall(whole[-1:])
        with eventlet.Timeout(1):
            received = connection.recv(65536)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'"ran": "no"' in received
    assert gateway.process.wait(10) == 0
    runs = {run for one in system.observations() for run in one['runs']}
    assert 'late' not in runs


def test_paused_gateway_runs_nothing_for_callers_that_left(system):
    """Guards against work for callers that left while a gateway was paused."""
    for gateway in system.gateways:
        assert statuses(system, range(4), gateway) == [200] * 4
        gateway.process.send_signal(signal.SIGSTOP)
        for number in range(20):
            leave_at_once(gateway, f'left-{number}', number % 4)
        gateway.process.send_signal(signal.SIGCONT)
        assert statuses(system, range(4), gateway) == [200] * 4
    runs = {run for one in system.observations() for run in one['runs']}
    assert not {run for run in runs if run.startswith('left-')}


def leave_at_once(gateway, request_id, adapter):
    """Send a request and close the connection without reading an answer."""
    with connect(gateway) as connection:
        connection.sendall(stream_request(request_id, adapter))


def connect(gateway):
    """Open a connection to a gateway."""
    address = urllib3.util.parse_url(gateway.url)
    return socket.create_connection((address.host, address.port))


def stream_request(request_id, adapter, events=5, body=b''):
    """Return the bytes of a request for a stream of events."""
    lines = (
        'POST /plans/raw HTTP/1.1',
        f'Host: {platform.HOST}',
        f'Request-Id: {request_id}',
        f'Model: {platform_engine.MODEL}/a{adapter}',
        'Token-Count: 400,80',
        'Deadline-Ms: 9000',
        f'X-Events: {events}',
        f'Content-Length: {len(body)}',
    )
    return '\r\n'.join((*lines, '', '')).encode() + body
