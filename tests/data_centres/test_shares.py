"""Tests of a host's draw from the leader's shares."""

import collections
import random

import pytest

from ivystep.data_centres import demand, exchange, share_metrics, shares
from ivystep.metrics import registry

SHARES = {'llm': {'a': 0.72, 'b': 0.2, 'c': 0.08}}


def drawn(draw_random=lambda: 0.5):
    made = shares.DrawnShares(draw_random)
    made.replace(SHARES, 0.0)
    return made


def draw(made, count, now=0.0):
    places = []
    for _ in range(count):
        place = made.choose('llm', now)
        made.record('llm', place, now)
        places.append(place)
    return places


@pytest.mark.parametrize('count', [5, 25, 100, 1000])
def test_draw_follows_the_shares_closely(count):
    """Guards against bursts of crossings by chance."""
    found = collections.Counter(draw(drawn(), count))
    for name, share in SHARES['llm'].items():
        assert abs(found[name] - share * count) <= 1.5


def test_hosts_do_not_draw_in_step():
    """Guards against 43 hosts that all cross with the same request."""
    first_crossing = {
        next(
            number
            for number, place in enumerate(
                draw(drawn(random.Random(host).random), 50)
            )
            if place != 'a'
        )
        for host in range(10)
    }
    assert len(first_crossing) > 2


def test_requests_that_are_sent_elsewhere_count():
    """Guards against more crossings than the leader has decided."""
    made = drawn()
    for _ in range(20):
        made.record('llm', 'b', 0.0)
    assert draw(made, 1) != ['b']


def test_unusable_data_centre_gets_no_burst_when_it_returns():
    """Guards against an upstream that is flooded as soon as it is back."""
    made = drawn()
    for _ in range(200):
        made.record('llm', 'a', 0.0)
    assert draw(made, 20).count('b') <= 0.2 * 20 + 2


def test_shares_expire_without_a_leader():
    """Guards against shares of a leader that is lost."""
    made = drawn()
    assert made.choose('llm', 1.7)
    assert not made.choose('llm', 1.9)
    made.replace({}, 2.0)
    assert not made.choose('llm', 2.0)


def test_service_without_shares_keeps_its_rule():
    """Guards against a service for which nothing was decided."""
    made = drawn()
    assert not made.choose('other', 0.0)
    made.record('other', 'a', 0.0)
    made.clear()
    assert not made.choose('llm', 0.0)


def test_requests_are_counted_by_destination_and_rule():
    """Guards against crossings that no metric shows."""
    metrics = registry.Metrics()
    drawn_shares = drawn()
    arrivals = demand.ArrivalCounts()
    shown = share_metrics.ShareMetrics(metrics)
    destinations = exchange.ServiceDestinations(
        'llm', drawn_shares, arrivals, shown
    )
    for destination, name, has_drawn in (
        ('b', 'b', True),
        ('a', 'b', True),
        ('b', 'a', False),
        ('a', '', False),
    ):
        destinations.record(destination, 0.0, drawn=name, has_drawn=has_drawn)
    arrivals.record('llm')
    assert arrivals.take() == [demand.Arrivals('llm', 1, 1)]
    shown.show(SHARES)
    shown.show({})
    page = metrics.render()[0].decode()
    for line in (
        'requests_total{destination="b",rule="share",service="llm"} 1',
        'requests_total{destination="a",rule="unmet",service="llm"} 1',
        'requests_total{destination="b",rule="host",service="llm"} 1',
        'share{destination="a",service="llm"} 0',
    ):
        assert f'ivystep_data_centre_{line}' in page
