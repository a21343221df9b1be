"""Tests of the state of an upstream as known to this host."""

import dataclasses

import pytest

from ivystep.core import types
from ivystep.gateway.upstreams import upstream_state
from ivystep.traffic import upstreams
from tests.gateway import fakes


def ref(name):
    return types.AdapterRef(fakes.MODEL, name, 1)


def status(upstream, now=0.0, slots=4):
    return upstream.status(fakes.service(slots), fakes.MODEL, now)


def test_recorded_load_counts_until_a_newer_entry_arrives():
    """Guards against an older entry that undoes a recorded load or unload."""
    upstream = upstream_state.Upstream(fakes.entry('i-1', 'a1'))
    upstream.set_resident(ref('a2'), 10.0, is_held=True)
    upstream.set_resident(ref('a1'), 10.0, is_held=False)
    upstream.replace_entry(fakes.entry('i-1', 'a1'), 10.2)
    assert upstream.held() == {ref('a2')}
    upstream.replace_entry(fakes.entry('i-1', 'a1'), 12.0)
    assert upstream.held() == {ref('a1')}


def test_loading_adapters_use_slots():
    """Guards against orders for more adapters than the engine has slots."""
    upstream = upstream_state.Upstream(fakes.entry('i-1', 'a1'))
    upstream.loading[ref('a2')] = 8.0
    assert status(upstream, 10.0).slots == 3
    assert status(upstream, 21.0).slots == 4


def test_engine_gets_no_fifth_parallel_load():
    """Guards against a load beyond the limit, which the engine refuses."""
    upstream = upstream_state.Upstream(fakes.entry())
    for number in range(3):
        upstream.loading[ref(f'a{number}')] = 0.0
    assert status(upstream, 0.0, 20).loading is None
    upstream.loading[ref('a9')] = 0.0
    assert status(upstream, 0.0, 20).loading is not None


def test_consecutive_failures_suspend_for_longer():
    """Guards against a constant rate of requests to a failed upstream."""
    upstream = upstream_state.Upstream(fakes.entry())
    pauses = [upstream.suspend(0.0) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(upstream_state.SUSPEND_MAX_S)
    assert not status(upstream, pauses[-1] - 0.01).healthy
    assert status(upstream, pauses[-1]).healthy
    upstream.on_answer()
    assert upstream.suspend(0.0) == pytest.approx(upstream_state.SUSPEND_MIN_S)


def test_engine_without_its_base_model_is_unhealthy():
    """Guards against requests to a restarted engine without its model."""
    empty = dataclasses.replace(fakes.entry(), held_model_by_name={})
    assert not status(upstream_state.Upstream(empty)).healthy


def test_report_makes_an_engine_with_its_model_healthy():
    """Guards against an engine that stays unused after its model's load."""
    empty = dataclasses.replace(fakes.entry(), held_model_by_name={})
    upstream = upstream_state.Upstream(empty)
    report = fakes.FakeEngine()._state()
    upstream.on_report(report, 5.0)
    assert status(upstream, 5.0).healthy


def test_report_of_an_earlier_call_does_not_replace_a_newer_one():
    """Guards against a slow report by which an engine lacks its model."""
    empty = dataclasses.replace(fakes.entry(), held_model_by_name={})
    upstream = upstream_state.Upstream(empty)
    report = fakes.FakeEngine()._state()
    upstream.on_report(report, 5.0)
    upstream.on_report(dataclasses.replace(report, held_model_by_name={}), 4.9)
    assert status(upstream, 5.5).healthy


def test_status_of_a_draining_upstream_is_draining():
    """Guards against new requests to an upstream that shuts down."""
    draining = dataclasses.replace(
        fakes.entry(), state=upstreams.UpstreamState.DRAINING
    )
    assert status(upstream_state.Upstream(draining)).draining


def test_upstream_without_a_total_does_not_seem_empty():
    """Guards against prompts that a host which has just started takes for alone
    at an engine, because no leader has told the requests of the others.
    """
    upstream = upstream_state.Upstream(fakes.entry())
    assert upstream.fill_by_others == pytest.approx(1)
    upstream.apply_total(0)
    with upstream.track_request():
        assert upstream.fill_by_others == pytest.approx(0)


def test_unchanged_load_needs_no_new_evaluation():
    """Guards against work for all upstreams on each message of the leader."""
    upstream = upstream_state.Upstream(fakes.entry())
    assert upstream.apply_total(3)
    assert not upstream.apply_total(3)
    with upstream.track_request():
        assert upstream.apply_total(4)
        assert not upstream.apply_total(4)
    assert upstream.apply_total(4)


def test_limited_upstream_gets_one_request_at_a_time_and_no_orders():
    """Guards against requests and loads beyond the limit that it names."""
    upstream = upstream_state.Upstream(fakes.entry('i-1', 'a1'))
    upstream.in_progress = 3
    upstream.limit.on_named(1.0, 4, 10.0)
    turn_at = 10.0 + upstream.limit.wait_s(10.0)
    assert not status(upstream, turn_at - 0.01).healthy
    open_status = status(upstream, turn_at + 0.01)
    assert open_status.healthy
    assert open_status.max_running == open_status.running + 1
    assert open_status.slots == 0
