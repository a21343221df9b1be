"""Tests of the rates of arrivals and of the round trips."""

import math

import pytest

from ivystep.data_centres import demand, round_trips

STEP_S = 0.15


def rates_after(per_s, seconds=10):
    """Return rates after arrivals whose rate is a function of time."""
    rates = demand.DemandRates()
    due = 0.0
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        due += per_s(now) * STEP_S
        rates.add('a', [demand.Arrivals('llm', int(due))], now)
        due -= int(due)
        rates.advance(STEP_S, now)
    return rates


def test_steady_rate_is_estimated():
    """Guards against a demand that is off by a factor."""
    rates = rates_after(lambda now: 200.0)
    assert rates.per_s('llm') == {'a': pytest.approx(200, rel=0.02)}


def test_rise_is_followed_without_a_lag():
    """Guards against a front of a wave that is known too late."""
    rates = rates_after(lambda now: 100 + 30 * now)
    expected = 400 + 30 * demand.LEAD_S
    assert rates.per_s('llm')['a'] == pytest.approx(expected, rel=0.03)


def test_service_without_arrivals_is_dropped():
    """Guards against rates that are kept for services that are gone."""
    rates = rates_after(lambda now: 100.0 if now < 1 else 0.0, 40)
    assert not rates.per_s('llm')


def test_age_of_the_reports():
    """Guards against a data centre that is cut off and seems idle."""
    rates = demand.DemandRates()
    rates.add('a', [], 3.0)
    assert rates.age_s('a', 4.5) == pytest.approx(1.5)
    assert rates.age_s('never heard', 4.5) == 0


def test_counts_are_taken_once():
    """Guards against arrivals that are reported twice."""
    counts = demand.ArrivalCounts()
    for _ in range(3):
        counts.record('llm')
    counts.record_unmet('llm')
    assert counts.take() == [demand.Arrivals('llm', 3, 1)]
    assert not counts.take()
    # A request may be sent long after it has arrived.
    counts.record_unmet('llm')
    assert counts.take() == [demand.Arrivals('llm', 0, 1)]


def test_smallest_time_follows_a_link_that_becomes_slower():
    """Guards against a link that counts as fast for ever."""
    time = round_trips.SmallestTime()
    assert math.isinf(time.seconds)
    for now in range(100):
        time.record(0.02 if now < 10 else 0.2, now)
    assert time.seconds == pytest.approx(0.2)


def test_round_trip_is_that_of_the_fastest_host():
    """Guards against a busy host that makes a link look slow."""
    trips = round_trips.RoundTrips()

    def added_s(source, destination):
        return round_trips.added_s(trips.smallest(), source, destination)

    assert added_s('a', 'b') == 0
    trips.record('h-1', round_trips.HostTrips('a', {'a': 0.001, 'b': 0.03}))
    trips.record('h-2', round_trips.HostTrips('a', {'a': 0.002, 'b': 0.005}))
    assert added_s('a', 'b') == pytest.approx(0.004)
    # The way back is as long; an unknown way counts as the longest known.
    assert added_s('b', 'a') == pytest.approx(0.005)
    assert added_s('a', 'c') == pytest.approx(0.005)
    trips.forget('h-2')
    assert added_s('a', 'b') == pytest.approx(0.029)


def test_data_centre_that_is_cut_off_for_long_stays_unknown():
    """Guards against requests for a data centre that seems idle, because its
    reports are so old that they were dropped.
    """
    rates = demand.DemandRates()
    rates.add('a', [demand.Arrivals('llm', 10)], 0.0)
    rates.advance(STEP_S, demand.DROP_S + 1)
    assert rates.age_s('a', demand.DROP_S + 1) > demand.DROP_S
