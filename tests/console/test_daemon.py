"""Tests of a console process that is stopped."""

import contextlib
import signal
import socket

import eventlet
import pytest
import urllib3

from demo import cluster

FORM = b'name=demo&key=key-of-demo'
HEAD = (
    b'POST /sign-in HTTP/1.1\r\nHost: console\r\n'
    b'Content-Type: application/x-www-form-urlencoded\r\n'
    b'Content-Length: %d\r\n\r\n' % len(FORM)
)


@pytest.fixture
def console(tmp_path):
    """Start a console with its platform."""
    system = cluster.Cluster(tmp_path)
    try:
        system.start_platform()
        yield system.start_console('console')
    finally:
        system.stop()


def connect(node):
    address = urllib3.util.parse_url(node.url)
    return socket.create_connection((address.host, address.port))


def exit_code(node):
    with eventlet.Timeout(5):
        while node.process.poll() is None:
            eventlet.sleep(0.02)
    return node.process.returncode


def test_request_in_progress_is_answered_before_the_console_ends(console):
    """Guards against submissions whose operator does not learn the outcome."""
    with (
        contextlib.closing(connect(console)) as idle,
        contextlib.closing(connect(console)) as connection,
    ):
        connection.sendall(HEAD + FORM[:5])
        eventlet.sleep(0.3)
        console.process.send_signal(signal.SIGTERM)
        assert idle.recv(1) == b''
        connection.sendall(FORM[5:])
        with eventlet.Timeout(5):
            received = connection.recv(65536)
            while part := connection.recv(65536):
                received += part
    assert received.startswith(b'HTTP/1.1 303')
    assert exit_code(console) == 0


def test_second_signal_ends_the_wait_for_requests(console):
    """Guards against a console that a silent operator keeps from ending."""
    with contextlib.closing(connect(console)) as connection:
        connection.sendall(HEAD + FORM[:5])
        eventlet.sleep(0.3)
        console.process.send_signal(signal.SIGTERM)
        eventlet.sleep(0.2)
        assert console.process.poll() is None
        console.process.send_signal(signal.SIGTERM)
        assert exit_code(console) == 0
