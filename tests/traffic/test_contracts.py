"""Tests of routes and of the capacity of engines."""

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.traffic import contracts


def route(prefix, host='ficu.example', **more):
    values = {
        'name': f'{host}{prefix}',
        'host': host,
        'prefix': prefix,
        'kind': contracts.Repeatability.IDEMPOTENT,
        'timeout_s': 1.0,
        'target_latency_s': 0.3,
        'priority': 0,
        'shares': (contracts.ServiceShare('app', 1.0),),
        'max_attempts': 1,
    }
    return contracts.Route(**{**values, **more})


def config(*routes, version=1, services=()):
    return contracts.RouteConfig.from_routes(
        version, routes, services, contracts.ClientLimits()
    )


SEGMENTS = strategies.lists(
    strategies.sampled_from(('a', 'b', 'ab', '')), max_size=4
)


@hypothesis.given(strategies.lists(SEGMENTS, max_size=6), SEGMENTS)
def test_longest_prefix_wins(prefixes, path):
    """Guards against a request sent to the service of a shorter prefix."""
    known = {'/' + ''.join(f'{part}/' for part in one) for one in prefixes}
    target = '/' + '/'.join(path)
    found = config(*map(route, known)).match('ficu.example', target)
    fitting = [prefix for prefix in known if target.startswith(prefix)]
    expected = max(fitting, key=len, default=None)
    assert (found.prefix if found else None) == expected


@pytest.mark.parametrize('host', ['ficu.example', 'FICU.example:8080'])
def test_host_is_compared_without_port_and_case(host):
    """Guards against a 404 because of the spelling of the host."""
    assert config(route('/a/')).match(host, '/a/b') is not None


def test_other_host_has_no_route():
    """Guards against answers from the service of another host."""
    assert config(route('/a/')).match('other.example', '/a/b') is None


def test_service_without_weight_is_never_chosen():
    """Guards against requests sent to a service with a weight of zero."""
    shares = (
        contracts.ServiceShare('new', 1.0),
        contracts.ServiceShare('old', 0.0),
    )
    split = route('/a/', shares=shares)
    assert {split.choose_service() for _ in range(50)} == {'new'}


def test_callers_abandon_a_stream_after_the_longest_of_three_pauses():
    """Guards against streams ended before callers abandon them."""
    stream = route('/a/', target_latency_s=1.0, max_gap_s=0.3)
    assert stream.abandon_after_s == pytest.approx(4.0)
    assert route(
        '/a/', target_latency_s=0.1, max_gap_s=0.1
    ).abandon_after_s == pytest.approx(2.0)


def engine(**more):
    values = {
        'batch_size': 4,
        'kv_tokens': 1000,
        'weights_mb': 1000.0,
        'max_adapters': 20,
        'loads_per_s': 2.0,
        'model_by_name': {'m': contracts.Model('m', 900.0, 6.0, 10.0)},
    }
    return contracts.EngineClass(**{**values, **more})


def test_adapter_capacity_is_limited_by_memory_and_number():
    """Guards against load orders that exceed an engine's memory."""
    assert engine().adapter_capacity(('m',)) == 10
    assert engine(weights_mb=5000.0).adapter_capacity(('m',)) == 20
    assert engine(weights_mb=850.0).adapter_capacity(('m',)) == 0
