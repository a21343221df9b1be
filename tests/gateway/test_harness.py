"""Tests of the ports of the gateways that the tests start."""

import contextlib
import socket

import eventlet

from tests.gateway import harness

# Longer than a gateway takes to know its upstreams.
HELD_S = 1.0


def test_port_is_not_given_twice():
    """Guards against two listeners of one gateway at the same port."""
    ports = [harness.unused_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)


def test_port_that_is_in_use_is_not_given():
    """Guards against a gateway that cannot listen."""
    first = harness.unused_port()
    with contextlib.closing(socket.socket()) as used:
        used.bind(('127.0.0.1', first + 1))
        assert harness.unused_port() != first + 1


def test_port_is_not_one_that_the_kernel_gives_to_connections():
    """Guards against a connection that takes the port before its listener."""
    lowest = int(harness.PORT_RANGE.read_text().split()[0])
    assert all(harness.unused_port() < lowest for _ in range(200))


def test_gateway_can_be_reached_once_it_is_built(build, monkeypatch):
    """Guards against connections that are refused since a port was in use."""
    ports = [harness.unused_port() for _ in range(5)]
    callers_port = ports[1]
    monkeypatch.setattr(harness, 'unused_port', lambda: ports.pop(0))
    holder = socket.socket()
    holder.bind(('127.0.0.1', callers_port))
    eventlet.spawn_after(HELD_S, holder.close)
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))
    assert gateway.port == callers_port
    assert gateway.send('/once/2f').status == 200
