"""Tests of the client of the upstream beside a sidecar."""

import contextlib
import json

import eventlet
import pytest

from ivystep.sidecar import upstream
from tests import serving


def test_abandoned_call_is_not_delivered_after_it_was_given_up():
    """Guards against calls that an upstream starts after its caller left."""
    with contextlib.closing(eventlet.listen(('127.0.0.1', 0))) as listener:
        end = eventlet.spawn(serving.read_silently, listener)
        port = listener.getsockname()[1]
        client = upstream.UpstreamHttp(f'http://127.0.0.1:{port}')
        with eventlet.Timeout(0.1, exception=False):
            client.run('/v1/completions', b'{}')
        assert end.wait() == 'reset'


@pytest.mark.parametrize('status', [200, 400, 429, 503])
def test_answer_to_an_earlier_attempt_is_not_that_to_the_next(status):
    """Guards against an answer that reaches another account, and against a
    refusal that says "not run" of an attempt that the upstream runs.
    """
    engine = serving.RepeatingServer((status, {'of': 1}), (200, {'of': 2}))
    with engine.start() as (ip, port):
        client = upstream.UpstreamHttp(f'http://{ip}:{port}')
        answers = []
        for _ in range(2):
            response = client.run('/v1/completions', b'{}')
            answers.append((response.status, json.loads(response.read())))
            response.release_conn()
    assert answers == [(status, {'of': 1}), (200, {'of': 2})]
