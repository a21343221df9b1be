"""Tests of the client of the upstream beside a sidecar."""

import contextlib

import eventlet

from ivystep.sidecar import upstream
from tests import serving


def test_abandoned_call_is_not_delivered_after_it_was_given_up():
    """Guards against calls that an upstream starts after its caller left."""
    with contextlib.closing(eventlet.listen(('127.0.0.1', 0))) as listener:
        end = eventlet.spawn(serving.read_silently, listener)
        port = listener.getsockname()[1]
        client = upstream.UpstreamHttp(f'http://127.0.0.1:{port}', 1)
        with eventlet.Timeout(0.1, exception=False):
            client.run('/v1/completions', b'{}', idempotent=True)
        assert end.wait() == 'reset'
