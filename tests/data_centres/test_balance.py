"""Tests of the distribution of demand over data centres, without I/O."""

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.data_centres import balance

NAMES = ('a', 'b', 'c', 'd')
amounts = strategies.one_of(strategies.just(0.0), strategies.floats(5, 500))


def load(demand, capacity, crossing_s=0.004, run_s=1.0, **more):
    """Return the load of data centres that are equally far apart."""
    return balance.ServiceLoad(
        run_s,
        {
            name: balance.CentreLoad(capacity[name], demand[name])
            for name in demand
        },
        {
            (source, destination): crossing_s
            for source in demand
            for destination in demand
        },
        **more,
    )


def away(found, source):
    """Return the part of a data centre's demand that leaves it."""
    flow = found[source]
    return 1 - flow.get(source, 0.0) / sum(flow.values())


def test_nothing_leaves_where_demand_and_capacity_are_even():
    """Guards against crossings that gain nothing."""
    for demand in (1.0, 40.0, 80.0, 200.0):
        found = balance.distribute(
            load(dict.fromkeys('abc', demand), dict.fromkeys('abc', 80.0))
        )
        assert found == {name: {name: demand} for name in 'abc'}


def test_data_centre_without_upstreams_sends_everything():
    """Guards against requests that wait where nothing can serve them."""
    found = balance.distribute(
        load({'a': 50.0, 'b': 10.0}, {'a': 0.0, 'b': 80.0}, 9.0)
    )
    assert found['a'] == {'b': 50.0}


def test_no_decision_without_any_upstream():
    """Guards against a division by the capacity of nothing."""
    assert not balance.distribute(load({'a': 5.0}, {'a': 0.0}))


def test_twice_the_load_is_evened_out_over_all_data_centres():
    """Guards against one neighbour that takes all that leaves."""
    demand = {'a': 160.0, 'b': 80.0, 'c': 80.0}
    found = balance.distribute(
        load(demand, dict.fromkeys('abc', 160.0), crossing_s=0)
    )
    assert away(found, 'a') == pytest.approx(1 / 3, abs=0.03)
    assert found['a']['b'] == pytest.approx(found['a']['c'], rel=0.02)


def test_less_leaves_over_a_link_with_ten_times_the_delay():
    """Guards against a decision that ignores the link."""
    demand = {'a': 120.0, 'b': 40.0}
    shares = [
        away(
            balance.distribute(
                load(demand, dict.fromkeys('ab', 160.0), crossing_s)
            ),
            'a',
        )
        for crossing_s in (0.02, 0.2, 2.0)
    ]
    assert shares[0] > shares[1] > shares[2] == 0


def test_crossing_that_takes_the_target_latency_gains_nothing():
    """Guards against answers that are late because of the crossing alone."""
    uneven = load(
        {'a': 300.0, 'b': 0.0},
        {'a': 80.0, 'b': 80.0},
        crossing_s=0.3,
        target_latency_s=0.25,
    )
    assert balance.distribute(uneven) == {'a': {'a': 300.0}}


def test_slow_engine_of_eight_moves_no_more_than_it_lacks():
    """Guards against a data centre that is left because of one upstream."""
    found = balance.distribute(
        load(
            dict.fromkeys('abc', 64.0),
            {'a': 70.0 + 10.0 * 0.4, 'b': 80.0, 'c': 80.0},
            crossing_s=0,
        )
    )
    assert 0 < away(found, 'a') < 0.6 / 8


@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
@hypothesis.given(
    demand=strategies.fixed_dictionaries(dict.fromkeys(NAMES, amounts)),
    capacity=strategies.fixed_dictionaries(dict.fromkeys(NAMES, amounts)),
    crossing_s=strategies.floats(0, 0.5),
)
def test_no_request_gains_by_going_elsewhere(demand, capacity, crossing_s):
    """Guards against a distribution that is not the best for the callers."""
    given = load(demand, capacity, crossing_s)
    found = balance.distribute(given)
    if not any(capacity.values()):
        assert not found
        return
    total = dict.fromkeys(NAMES, 0.0)
    for source, flow in found.items():
        assert sum(flow.values()) == pytest.approx(demand[source])
        for name, amount in flow.items():
            total[name] += amount
    for source, flow in found.items():
        cost_s = {
            name: given.delay_s(name, total[name])
            + given.crossing_of(source, name)
            for name in flow
        }
        # Parts of a thousandth of the demand are left out by design.
        part = 2 * balance.LEAST_AMOUNT * demand[source]
        least_s = min(
            given.delay_s(name, total[name] + part)
            + given.crossing_of(source, name)
            for name in NAMES
            if capacity[name]
        )
        assert max(cost_s.values()) <= least_s + 0.01 + 0.02 * least_s
