"""Tests of the relation between a store's clock and this host's uptime."""

import pytest

from ivystep.policy import store_clock


def test_answer_that_arrived_late_does_not_shift_the_clock():
    """Guards against a version that seems newer after a pause of the host."""
    relation = store_clock.StoreClock()
    assert relation.uptime_of(100.0, 6.99, 7.0) == pytest.approx(7.0)
    assert relation.uptime_of(101.0, 7.0, 15.0) == pytest.approx(8.0)


def test_quicker_answer_corrects_the_clock():
    """Guards against a late first answer that spoils all later times."""
    relation = store_clock.StoreClock()
    relation.uptime_of(100.0, 5.0, 9.0)
    assert relation.uptime_of(101.0, 7.9, 8.0) == pytest.approx(8.0)
    assert relation.uptime_of(101.5, 8.0, 20.0) == pytest.approx(8.5)


def test_answer_is_not_older_than_its_call():
    """Guards against a first answer whose latency counts twice."""
    relation = store_clock.StoreClock()
    relation.uptime_of(100.0, 6.9, 7.0)
    assert relation.uptime_of(100.0, 7.5, 7.6) == pytest.approx(7.5)
