"""Tests of the relation between a store's clock and this host's uptime."""

import math

import pytest

from ivystep.policy import store_clock


def test_wait_of_a_long_poll_does_not_count():
    """Guards against a change that looks older than it is."""
    relation = store_clock.StoreClock()
    assert relation.uptime_of(100.0, 7.0) == pytest.approx(7.0)
    assert relation.uptime_of(101.2, 7.01) == pytest.approx(8.2)


def test_first_answer_does_not_seem_newer_than_its_call_if_it_was_late():
    """Guards against a version that seems newer after a slow first read."""
    relation = store_clock.StoreClock()
    assert relation.uptime_of(100.0, 5.0) == pytest.approx(5.0)


def test_answer_that_came_soon_corrects_the_clock():
    """Guards against a slow first read that makes later changes look old."""
    relation = store_clock.StoreClock()
    relation.uptime_of(103.0, 5.0)
    assert relation.uptime_of(104.0, 8.99) == pytest.approx(8.99)
    assert relation.uptime_of(105.0, 9.0) == pytest.approx(9.99)


def test_told_time_is_converted_without_a_call():
    """Guards against a time that seems later than it was."""
    clock = store_clock.StoreClock()
    assert clock.to_uptime(100.0) == -math.inf
    clock.uptime_of(100.0, sent_at=7.0)
    assert clock.to_uptime(102.5) == pytest.approx(9.5)
