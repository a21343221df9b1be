"""Tests that log lines never wait and never end their writer."""

import contextlib
import logging
import os
import sys

import eventlet
import pytest
from eventlet import hubs

from ivystep.runtime import log_output


@contextlib.contextmanager
def output():
    """Install the output on a pipe; yield the read end and the handler.

    Pytest sets ``sys.stderr`` before each test, so this is no fixture.
    """
    root = logging.getLogger()
    reading, writing = os.pipe2(os.O_NONBLOCK)
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(root, 'handlers', [])
        patches.setattr(root, 'level', root.level)
        patches.setattr(sys, 'stderr', sys.stderr)
        handler = log_output.install(writing, logging.Formatter(), 'INFO')
        yield reading, handler
    os.close(writing)


def fail_in_a_callback():
    """Let a timer of the event loop raise an error, and go on."""
    hubs.get_hub().schedule_call_global(0, int, 'no number')
    eventlet.sleep(0.01)


def test_error_of_a_callback_becomes_log_lines():
    """Guards against reports of eventlet outside the log."""
    with output() as (reading, _):
        fail_in_a_callback()
        text = log_output.UNPATCHED_OS.read(reading, 1 << 16).decode()
        assert "invalid literal for int() with base 10: 'no number'" in text
        os.close(reading)


def test_error_of_a_callback_without_a_log_reader_is_counted():
    """Guards against an event loop that ends by a report that fails."""
    with output() as (reading, handler):
        os.close(reading)
        fail_in_a_callback()
        assert handler.dropped > 0
        assert log_output.dropped_lines() == handler.dropped


def test_error_of_a_callback_with_a_full_log_is_counted():
    """Guards against an event loop that waits for the reader of its log."""
    with output() as (reading, handler):
        while not handler.dropped:
            logging.getLogger('test').info('x' * 4000)
        before = handler.dropped
        with eventlet.Timeout(5):
            fail_in_a_callback()
        assert handler.dropped > before
        os.close(reading)


def test_line_that_cannot_be_formatted_is_counted():
    """Guards against a task that ends by its own log line."""
    with output() as (reading, handler):
        logging.getLogger('test').info('%(missing)s', {'other': 1})
        assert handler.dropped == 1
        os.close(reading)
