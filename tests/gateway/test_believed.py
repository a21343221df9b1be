"""Tests of what is believed of an upstream."""

import dataclasses

import pytest

from ivystep.core import types
from ivystep.gateway import believed
from ivystep.traffic import upstreams
from tests.gateway import fakes


def ref(name):
    return types.AdapterRef(fakes.MODEL, name, 1)


def status(upstream, now=0.0, places=4):
    return upstream.status(fakes.service(places), fakes.MODEL, now)


def test_what_was_learnt_counts_until_a_newer_entry_shows_it():
    """Guards against a load that is forgotten with the next heartbeat."""
    upstream = believed.Upstream(fakes.entry('i-1', 'a1'))
    upstream.learn(ref('a2'), 10.0, is_held=True)
    upstream.learn(ref('a1'), 10.0, is_held=False)
    upstream.replace_entry(fakes.entry('i-1', 'a1'), 10.2)
    assert upstream.held() == {ref('a2')}
    upstream.replace_entry(fakes.entry('i-1', 'a1'), 12.0)
    assert upstream.held() == {ref('a1')}


def test_adapters_on_their_way_take_places():
    """Guards against orders for more adapters than fit."""
    upstream = believed.Upstream(fakes.entry('i-1', 'a1'))
    upstream.loading[ref('a2')] = 8.0
    assert status(upstream, 10.0).slots == 3
    assert status(upstream, 21.0).slots == 4


def test_no_fifth_adapter_on_its_way_to_one_engine():
    """Guards against an order that the engine refuses."""
    upstream = believed.Upstream(fakes.entry())
    for number in range(3):
        upstream.loading[ref(f'a{number}')] = 0.0
    assert status(upstream, 0.0, 20).loading is None
    upstream.loading[ref('a9')] = 0.0
    assert status(upstream, 0.0, 20).loading is not None


def test_failures_in_a_row_suspend_for_longer():
    """Guards against a stream of requests to an upstream that is down."""
    upstream = believed.Upstream(fakes.entry())
    pauses = [upstream.suspend(0.0) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(believed.SUSPEND_MAX_S)
    assert not status(upstream, pauses[-1] - 0.01).healthy
    assert status(upstream, pauses[-1]).healthy
    upstream.trust()
    assert upstream.suspend(0.0) == pytest.approx(believed.SUSPEND_MIN_S)


def test_engine_without_its_model_gets_no_requests():
    """Guards against requests to an engine that has started empty."""
    empty = dataclasses.replace(fakes.entry(), held_model_by_name={})
    assert not status(believed.Upstream(empty)).healthy


def test_report_shows_a_model_that_came_back():
    """Guards against an engine that stays unused after its model's load."""
    empty = dataclasses.replace(fakes.entry(), held_model_by_name={})
    upstream = believed.Upstream(empty)
    report = fakes.FakeEngine()._state()
    upstream.on_report(report, 5.0)
    assert status(upstream, 5.0).healthy


def test_draining_is_passed_on():
    """Guards against new work for an upstream that is leaving."""
    leaving = dataclasses.replace(
        fakes.entry(), state=upstreams.UpstreamState.DRAINING
    )
    assert status(believed.Upstream(leaving)).draining
