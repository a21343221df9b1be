"""Tests upstreams whose answers have no end."""

import logging

import eventlet
import pytest
from pythonjsonlogger import orjson

from ivystep.core import units
from tests.gateway import harness
from tests.gateway.requests import test_answer_ends

# A quarter of the time budget of the requests.
END_S = 0.4
ENDLESS_BYTES = 4 * units.MIB
OTHER_ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: %d\r\n\r\n'
)
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'a', 'head_bytes'),
    'header': (b'HTTP/1.1 200 OK\r\nA: ', b'a', 'head_bytes'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'Name: some value\r\n', 'headers'),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 'interim_answers'),
    'others': (b'', OTHER_ANSWER % 0, 'discarded_answers'),
    'other body': (OTHER_ANSWER % (1024 * units.MIB), b'a', 'discarded_bytes'),
    'trailers': (
        test_answer_ends.CHUNKED_HEAD + b'1\r\na\r\n0\r\n',
        b'Name: some value\r\n',
        'trailers',
    ),
    'chunk extension': (
        test_answer_ends.CHUNKED_HEAD + b'1;a=',
        b'a',
        'chunk_line_bytes',
    ),
}


def endless(name):
    start, repeated, _ = ENDLESS[name]
    return start + repeated * (ENDLESS_BYTES // len(repeated))


@pytest.mark.parametrize('name', ENDLESS)
def test_endless_answer_is_treated_like_one_that_breaks_off(
    build, name, caplog
):
    """Guards against attempts that hold memory and time up to the deadline."""
    caplog.set_level(logging.INFO)
    play = test_answer_ends.Play(build, endless(name), test_answer_ends.stall)
    began = eventlet.hubs.get_hub().clock()
    for may_repeat in play.routes():
        if may_repeat:
            play.assert_whole()
        else:
            play.assert_lost()
    assert eventlet.hubs.get_hub().clock() - began < 4 * END_S
    formatter = orjson.OrjsonFormatter('%(message)s')
    failed = [
        line
        for line in map(formatter.format, caplog.records)
        if 'attempt_failed' in line and ENDLESS[name][2] in line
    ]
    assert len(failed) == len(test_answer_ends.PATHS)
    assert all('r-1' in line and 'i-' in line for line in failed)


def test_upstream_that_exceeds_a_bound_gets_no_requests_for_a_time(build):
    """Guards against requests that are lost one after another."""

    def answer_endlessly(connection, _):
        connection.sendall(endless('headers'))

    gateway, (bad, good) = build(
        answer_endlessly, lambda _, headers: harness.ok_answer(headers)
    )
    for number in range(8):
        assert gateway.send('/read/2f', f'r-{number}').status == 200
    assert len(good.requests) == 8
    assert len(bad.requests) == 1


@pytest.mark.parametrize(('length', 'status'), [(900, 200), (1100, 502)])
def test_bounds_are_those_of_the_settings(build, length, status):
    """Guards against bounds that operators cannot change."""
    gateway, _ = build(
        lambda _, headers: harness.ok_answer(headers, A='a' * length),
        peer_bounds={'head_bytes': 1100},
    )
    assert gateway.send('/once/2f').status == status
