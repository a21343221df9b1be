"""Tests of popularity, of the index of victims and of routing."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.core import types
from ivystep.policy import batching, eviction, routing
from tests.core import statuses

NAMES = strategies.sampled_from('abcdef')


def ref(name):
    return types.AdapterRef('soil', name, 1)


def status(upstream_id, *, running=0, held=(), room=4):
    return statuses.upstream_status(
        upstream_id, held, running=running, slots=8, max_running=room
    )


@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            NAMES, strategies.integers(1, 9), strategies.floats(0, 1e6)
        ),
        min_size=1,
    )
)
def test_popularity_is_the_aged_request_count(arrivals):
    """Guards against a logarithmic count that drifts or overflows."""
    popularity = eviction.Popularity(ageing_s=100.0)
    ordered = sorted(arrivals, key=lambda arrival: arrival[2])
    for name, count, at in ordered:
        popularity.add(ref(name), count, at)
    now = ordered[-1][2]
    for name in 'abcdef':
        expected = sum(
            count * math.exp((at - now) / 100)
            for other, count, at in ordered
            if other == name
        )
        rate = popularity.rate(ref(name), now)
        assert rate == pytest.approx(expected / 100, rel=1e-6, abs=1e-12)


def test_scan_does_not_displace_a_popular_adapter():
    """Guards against eviction by recency: one scan displaces every adapter."""
    popularity = eviction.Popularity()
    for second in range(60):
        popularity.add(ref('popular'), 1, second)
    for second in range(60, 90):
        popularity.add(ref(f'scanned-{second}'), 1, second)
    scanned = [ref(f'scanned-{second}') for second in range(60, 90)]
    assert popularity.score(ref('popular')) > max(
        map(popularity.score, scanned)
    )


@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(NAMES, strategies.none() | strategies.integers(0, 9)),
        max_size=300,
    )
)
def test_victim_index_agrees_with_sorting(changes):
    """Guards against outdated heap items that are returned."""
    index = batching.VictimIndex()
    expected = {}
    for name, score in changes:
        if score is None:
            index.discard(name)
            expected.pop(name, None)
        else:
            index.set(name, score)
            expected[name] = score
        ranked = sorted(expected, key=lambda key: (expected[key], key))
        assert index.smallest(3) == ranked[:3]


def test_entries_with_the_same_report_do_not_herd():
    """Guards against entries that all choose the same emptiest upstream."""
    chosen = set()
    for _ in range(64):
        index = routing.UpstreamIndex()
        for number in range(4):
            index.apply_status(
                status(f'up-{number}', held=[ref('a')]), None, 0.0
            )
        chosen.add(index.route(ref('a'), 0.0).status.upstream_id)
    assert len(chosen) == 4


def test_requests_sent_since_the_report_count_as_running():
    """Guards against an overfilled batch while its report is delayed."""
    index = routing.UpstreamIndex()
    view = index.apply_status(
        status('up-1', running=2, held=[ref('a')]), None, 0.0
    )
    view.reserve('soil', 0.0)
    assert index.route(ref('a'), 0.0) is view
    view.reserve('soil', 0.0)
    assert index.route(ref('a'), 0.0) is None


def test_own_data_centre_comes_first():
    """Guards against needless traffic between data centres."""
    index = routing.UpstreamIndex('lier-a')
    for upstream_id, data_centre in (('up-1', 'lier-b'), ('up-2', 'lier-a')):
        index.record_data_centre(upstream_id, data_centre)
        index.apply_status(status(upstream_id, held=[ref('a')]), None, 0.0)
    near = index.view_by_id['up-2']
    near.reserve('soil', 0.0)
    assert index.route(ref('a'), 0.0) is near
