"""Tests of the order of loads by value, and of the number of copies."""

import math

import pytest

from ivystep.core import types
from ivystep.policy import load_value


def demand(name, **more):
    values = {
        'ref': types.AdapterRef('m', name, 1),
        'waiting': 1,
        'timely_value': 1.0,
        'late_value': 0.0,
        'target_start_by': 1.0,
        'start_by': 4.0,
    }
    return load_value.AggregateDemand(**{**values, **more})


def names(demands, now=0.0):
    return [
        one.ref.name for one in load_value.in_order(demands, now, load_s=0.3)
    ]


def test_load_that_ends_after_the_target_counts_as_late():
    """Guards against a load that comes too late for its own request and delays
    one that could still be in time.
    """
    demands = [
        demand('tight', target_start_by=0.2, timely_value=9.0),
        demand('easy'),
    ]
    assert names(demands) == ['easy', 'tight']


def test_many_late_requests_wait_for_one_that_is_in_time():
    """Guards against new requests that become late behind a late backlog."""
    late_backlog = demand(
        'crowd', timely_value=0.0, late_value=50.0, target_start_by=math.inf
    )
    assert names([late_backlog, demand('new')]) == ['new', 'crowd']


def test_timely_loads_are_ordered_by_value():
    """Guards against loads of little value that delay more valuable ones."""
    assert names([demand('a', timely_value=0.4), demand('b')]) == ['b', 'a']


def test_demands_of_several_hosts_add_up():
    """Guards against underrating an adapter that many hosts need a little."""
    merged = load_value.AggregateDemand.merged(
        (
            demand('a', target_start_by=2.0, start_by=3.0),
            demand('a', target_start_by=1.0),
        )
    )
    assert merged.waiting == 2
    assert merged.timely_value == pytest.approx(2.0)
    assert merged.target_start_by == pytest.approx(1.0)
    assert merged.start_by == pytest.approx(4.0)


@pytest.mark.parametrize(
    ('share', 'engines', 'expected'),
    [(0.0, 5, 1), (0.05, 5, 1), (0.21, 5, 4), (0.9, 5, 5), (0.2, 1, 1)],
)
def test_copies_follow_the_share_of_requests(share, engines, expected):
    """Guards against an engine filled by the requests for one adapter."""
    assert load_value.target_copies(share, 1.0, engines) == expected


def test_one_copy_is_enough_without_requests():
    """Guards against a division by zero while there are no requests."""
    assert load_value.target_copies(0.0, 0.0, 5) == 1
