"""Fixtures of the tests of the gateway."""

import contextlib

import pytest

from tests.gateway import harness


@pytest.fixture
def build():
    """Return a function that builds a gateway with scripted upstreams."""
    with contextlib.ExitStack() as stack:

        def make(*scripts, **more):
            upstreams = []
            for number, script in enumerate(scripts, 1):
                made = harness.ScriptedUpstream(script, f'i-{number}')
                stack.callback(made.close)
                upstreams.append(made)
            return harness.GatewayHarness(stack, *upstreams, **more), upstreams

        yield make
