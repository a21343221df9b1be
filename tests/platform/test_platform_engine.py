"""Tests of the stand-in of a platform engine, by which others are tested."""

import io
import json

import eventlet

from standins import platform_engine

LAG_S = platform_engine.REPORT_LAG_S


def call(engine, path, document=None):
    """Send a call to the engine and return the decoded answer."""
    body = json.dumps(document or {}).encode()
    reply = engine.handle(
        {
            'PATH_INFO': path,
            'CONTENT_LENGTH': str(len(body)),
            'wsgi.input': io.BytesIO(body),
        }
    )
    return json.loads(reply.body)


def build_engine():
    """Return an engine that has had no call."""
    return platform_engine.PlatformEngine(
        'i-1', '127.0.0.1:1', 'http://127.0.0.1:1', load_s=0.01
    )


def order_load(engine):
    """Order the load of an adapter."""
    order = {'operation': 'load', 'model': 'base', 'adapter': 'a1'}
    call(engine, '/ivystep/order', {**order, 'holder': 'h', 'fencing_token': 1})


def test_report_just_after_the_first_order_shows_the_state_before():
    """Guards against tests that pass since reports of the stand-in are new."""
    engine = build_engine()
    order_load(engine)
    assert call(engine, '/ivystep/report')['sequence'] == 0


def test_first_order_after_a_pause_is_reported_with_the_lag():
    """Guards against a state from before the pause that was forgotten."""
    engine = build_engine()
    call(engine, '/ivystep/report')
    engine._past_states = [
        (at - 60, state) for at, state in engine._past_states
    ]
    order_load(engine)
    assert call(engine, '/ivystep/report')['sequence'] == 0


def test_report_lags_no_longer_when_nothing_is_read_meanwhile():
    """Guards against reports that show an order only when polled."""
    engine = build_engine()
    order_load(engine)
    eventlet.sleep(LAG_S + 0.1)
    report = call(engine, '/ivystep/report')
    assert report['sequence'] == 1
    assert report['models'][0]['adapters'] == ['a1@1']
