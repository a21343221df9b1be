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


class Destinations:
    """Draws one data centre for all requests, and keeps what is recorded."""

    def __init__(self, drawn):
        self.drawn = drawn
        self.recorded = []

    def choose(self, now):
        return self.drawn

    def record(self, destination, now, *, drawn, has_drawn):
        self.recorded.append((destination, drawn, has_drawn))


def index_of_two_data_centres(drawn, **rules):
    """Return an index with two upstreams in each of two data centres."""
    destinations = Destinations(drawn)
    index = routing.UpstreamIndex(
        'lier-a', routing.RoutingRules(remote_cost=0.05, **rules), destinations
    )
    for number, data_centre in enumerate(('lier-a', 'lier-b') * 2):
        upstream_id = f'up-{number}'
        index.record_data_centre(upstream_id, data_centre)
        index.apply_status(status(upstream_id, running=1), None, 0.0)
    return index, destinations


@pytest.mark.parametrize('drawn', ['lier-a', 'lier-b'])
def test_request_goes_to_the_data_centre_that_is_drawn(drawn):
    """Guards against an amount of crossings that nobody has decided."""
    index, destinations = index_of_two_data_centres(drawn)
    for view in index.view_by_id.values():
        if view.data_centre != drawn:
            view.status = status(view.status.upstream_id)
    for _ in range(20):
        assert index.route(None, 0.0).data_centre == drawn
    assert set(destinations.recorded) == {(drawn, drawn, True)}


def test_request_goes_elsewhere_if_the_drawn_data_centre_is_full():
    """Guards against requests that wait although there is capacity."""
    index, destinations = index_of_two_data_centres('lier-b')
    for upstream_id in ('up-0', 'up-1', 'up-3'):
        while index.view_by_id[upstream_id].has_room(0.0):
            index.view_by_id[upstream_id].reserve('soil', 0.0)
    assert index.route(None, 0.0).status.upstream_id == 'up-2'
    assert destinations.recorded == [('lier-a', 'lier-b', True)]


def test_no_data_centre_is_drawn_for_retries_and_resumed_streams():
    """Guards against a retry that must cross to follow the shares."""
    index, destinations = index_of_two_data_centres('lier-b')
    tried = frozenset(('up-0',))
    assert index.route(None, 0.0, tried).status.upstream_id == 'up-2'
    version = index.view_by_id['up-0'].status.software_version
    resumed = index.route(None, 0.0, software_version=version)
    assert resumed.data_centre == 'lier-a'
    assert {drawn for _, drawn, _ in destinations.recorded} == {''}


def test_upstream_that_moves_is_drawn_in_its_new_data_centre():
    """Guards against a draw from a list that is out of date."""
    index, _ = index_of_two_data_centres('lier-c')
    index.record_data_centre('up-1', 'lier-c')
    assert index.route(None, 0.0).status.upstream_id == 'up-1'
    index.remove('up-1')
    assert index.route(None, 0.0).data_centre == 'lier-a'


def test_nothing_leaves_while_an_upstream_of_the_data_centre_is_usable():
    """Guards against crossings where the settings rule them out."""
    index, _ = index_of_two_data_centres('', is_local_only=True)
    near = [index.view_by_id['up-0'], index.view_by_id['up-2']]
    for view in near:
        while view.has_room(0.0):
            view.reserve('soil', 0.0)
    far = index.view_by_id['up-1']
    assert index.route(None, 0.0) is None
    assert not index.is_allowed(far, None, 0.0)
    for view in near:
        index.remove(view.status.upstream_id)
    assert index.route(None, 0.0).data_centre == 'lier-b'
    assert index.is_allowed(far, None, 0.0)
