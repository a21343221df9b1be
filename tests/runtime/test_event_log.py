"""Tests of structured log lines."""

import dataclasses
import json
import logging
import os
import typing

import pytest
from pythonjsonlogger import orjson

from ivystep.runtime import clock, event_log, log_output
from tests.coordination import fakes as clocks


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(event_log.Event):
    """A rate-limited event."""

    name: typing.ClassVar[str] = 'tick'

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failure(event_log.Event):
    """An event without a rate limit."""

    name: typing.ClassVar[str] = 'failure'
    is_rate_limited: typing.ClassVar[bool] = False

    number: int


@pytest.fixture
def pipe():
    """Yield a log that writes to a pipe, the read end and the handler."""
    reading, writing = os.pipe()
    handler = log_output.NonBlockingHandler(writing)
    handler.setFormatter(orjson.OrjsonFormatter('%(levelname)s %(message)s'))
    logger = logging.getLogger('test-events')
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    yield event_log.EventLog('test-events', 'host-1'), reading, handler
    logger.removeHandler(handler)
    os.close(reading)
    os.close(writing)


def lines(reading):
    return [
        json.loads(line)
        for line in log_output.UNPATCHED_OS.read(reading, 1 << 20).splitlines()
    ]


def test_line_has_the_fields_of_the_event(pipe):
    """Guards against lines from which a program cannot read the event."""
    log, reading, _ = pipe
    log.write(Tick(7))
    (line,) = lines(reading)
    assert (line['message'], line['number']) == ('tick', 7)
    assert line['host'] == 'host-1'


@clocks.on_virtual_clock
def test_rate_limit_leaves_out_and_counts_events_of_one_kind(pipe):
    """Guards against log volume that grows with the request rate."""
    log, reading, _ = pipe
    for number in range(300):
        log.write(Tick(number))
    clock.sleep(1)
    log.write(Tick(301))
    written = lines(reading)
    assert len(written) == event_log.DEFAULT_BURST + 1
    assert written[-1]['left_out'] == 300 - event_log.DEFAULT_BURST


@clocks.on_virtual_clock
def test_event_without_rate_limit_is_never_left_out(pipe):
    """Guards against a failed request that has no log line."""
    log, reading, _ = pipe
    for number in range(300):
        log.write(Failure(number))
    assert len(lines(reading)) == 300


def test_full_pipe_does_not_block_the_writer(pipe):
    """Guards against a process that hangs when its log is not read."""
    log, _, handler = pipe
    for number in range(5000):
        log.write(Failure(number))
    assert handler.dropped > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Named(event_log.Event):
    """An event with text that another program has written."""

    name: typing.ClassVar[str] = 'named'

    text: str


@pytest.mark.parametrize(
    'event', [Named('\ud800'), Failure(2**70), Named('x' * 100_000)]
)
def test_odd_content_does_not_end_the_task_that_logs_it(pipe, event):
    """Guards against a host that stops to follow a table because of a row that
    it cannot log.
    """
    log, reading, _ = pipe
    log.write(event)
    log.write(Failure(1))
    assert [line['message'] for line in lines(reading)] == [
        event.name,
        'failure',
    ]
