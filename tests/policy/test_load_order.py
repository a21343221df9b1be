"""Tests of the order of loads."""

import hypothesis
from hypothesis import strategies

from ivystep.core import types
from ivystep.policy import load_order


def wanted(name, *, start_by, account='soil', waiting=1, oldest_at=0.0):
    return load_order.WantedLoad(
        ref=types.AdapterRef(account, name, 1),
        source='weights',
        setup_version=1,
        weight=1.0,
        waiting=waiting,
        oldest_at=oldest_at,
        start_by=start_by,
    )


def backlog(loads, now=0.0, load_s=1.0):
    return load_order.Backlog.from_loads(
        [(0, load) for load in loads], now, load_s=load_s, busy_s=0.0
    )


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(1, 20),
            strategies.integers(1, 50),
            strategies.floats(-30, 0),
        ),
        max_size=15,
    )
)
def test_admitted_loads_are_all_done_in_time(items):
    """Guards against an admitted load that becomes late through the score."""
    admitted = backlog([])
    for number, (start_by, waiting, oldest_at) in enumerate(items):
        load = wanted(
            f'a{number}',
            start_by=start_by,
            waiting=waiting,
            oldest_at=oldest_at,
        )
        if admitted.admission(load, 0, share_above=0.0) <= start_by:
            admitted.add(load, 0)
    left = list(admitted.loads)
    now = 0.0
    while left:
        chosen = backlog(left, now).first(
            lambda load: load_order.urgency(load, now, 0.0)  # ruff: ignore[function-uses-loop-variable]
        )
        now += 1.0
        assert now <= chosen.start_by + 1e-6
        left.remove(chosen)


def test_older_request_goes_first_unless_many_wait_for_another_adapter():
    """Guards against rare adapters that are starved by popular ones."""
    old = wanted('rare', start_by=99, oldest_at=0)
    pair = wanted('pair', start_by=99, waiting=2, oldest_at=2)
    popular = wanted('crowd', start_by=99, waiting=20, oldest_at=2)

    def first(*loads):
        return backlog(loads, now=4.0).first(
            lambda load: load_order.urgency(load, 4.0, 0.0)
        )

    assert first(pair, old) == old
    assert first(popular, old) == popular
