"""Tests that bearer keys stay out of logs, errors and metrics."""

import logging

from tests.entry import harness


def test_keys_never_reach_logs_errors_or_metrics(caplog):
    """Guards against credentials in logs, errors and metrics."""
    caplog.set_level(logging.DEBUG)
    entry = harness.Entry(lambda _: 1 / 0)
    secret = 'key-that-must-stay-secret'
    received = b''
    for key in (harness.KEY, secret):
        received += entry.raw(harness.head_and_body(key=key))
        received += entry.raw(harness.head_and_body(key=key, path='/no\x00'))
        received += entry.raw(harness.head_and_body(b'{', key=key))
        received += entry.raw(
            b'GET / HTTP/1.1\r\nAuthorization Bearer ' + key.encode() + b'\r\n'
        )
        received += entry.raw(f'Bearer {key}\r\n\r\n'.encode())
    seen = caplog.text + received.decode() + entry.metrics.render()[0].decode()
    assert 'internal_error' in seen
    assert harness.KEY not in seen
    assert secret not in seen
