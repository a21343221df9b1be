"""Fixtures of the tests of the gateway."""

import contextlib

import pytest

from tests.gateway import harness


@pytest.fixture
def stack():
    """Return what closes gateways and upstreams after the test."""
    with contextlib.ExitStack() as opened:
        yield opened


@pytest.fixture
def build(stack):
    """Return a function that builds a gateway with scripted upstreams."""

    def make(*scripts, versions=(), **more):
        upstreams = []
        for number, script in enumerate(scripts, 1):
            version = versions[number - 1] if versions else 'v1'
            made = harness.ScriptedUpstream(script, f'i-{number}', version)
            stack.callback(made.close)
            upstreams.append(made)
        return harness.GatewayHarness(stack, *upstreams, **more), upstreams

    return make


@pytest.fixture
def build_peer(stack):
    """Return a function that builds a gateway at the store of another one."""

    def make(first, host):
        gateway = harness.GatewayHarness(stack, host=host, peer=first)
        gateway.wait_for(first.daemon.status().details['upstreams'])
        return gateway

    return make
