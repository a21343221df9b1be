"""Tests of what the gateway gives to the decision on data centres."""

import dataclasses

from ivystep.data_centres import planner
from ivystep.gateway.upstreams import centre_choice, upstream_state
from ivystep.metrics import registry
from ivystep.runtime import clock
from ivystep.settings import gateway as settings_models
from ivystep.traffic import contracts, upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes

ADDRESSES = {
    'callers': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'host': '127.0.0.1',
    'ports': '3,3',
}


def choice(known, **section):
    """Return the choice of a host in accra-a."""
    settings = settings_models.GatewaySettings.model_validate(
        {
            'process': {'id': 'host-1', 'data_centre': 'accra-a'},
            'addresses': ADDRESSES,
            'store': {'address': '127.0.0.1:4'},
            'data_centres': section,
        }
    )
    return centre_choice.CentreChoice(
        settings, fakes.FakeLog(), registry.Metrics(), lambda: known
    )


def upstream(upstream_id, data_centre):
    entry = dataclasses.replace(
        fakes.entry(upstream_id), data_centre=data_centre
    )
    return upstream_state.Upstream(entry)


@clocks.on_virtual_clock
def test_data_centre_without_capacity_sends_its_requests_elsewhere():
    """Guards against requests that wait for upstreams that take none."""
    near = upstream('i-1', 'accra-a')
    far = upstream('i-2', 'accra-b')
    made = choice([near, far])
    destinations = made.destinations('llm')
    near.entry = dataclasses.replace(
        near.entry, state=upstreams.UpstreamState.DRAINING
    )
    for _ in range(30):
        clock.sleep(0.15)
        for _ in range(3):
            made.exchange.arrivals.record('llm')
        far.in_progress = 4
        made.plan(None, lambda one: one.capacity(1.0))
    assert destinations.choose(clock.now()) == 'accra-b'
    # The shares of a leader that has stopped are not used for long.
    clock.sleep(2)
    assert not destinations.choose(clock.now())


@clocks.on_virtual_clock
def test_nothing_is_decided_while_a_host_tells_no_arrivals():
    """Guards against a data centre that seems idle during a new release."""
    made = choice([upstream('i-2', 'accra-b')])
    made.exchange.on_report('old', None)
    steps = 0
    while not made.exchange.shares_for('accra-a'):
        clock.sleep(0.15)
        made.exchange.arrivals.record('llm')
        made.plan(None, lambda one: one.capacity(1.0))
        steps += 1
        if steps == 40:
            made.exchange.on_disconnected('old')
        assert steps < 80
    assert steps > 40


def test_rules_follow_the_settings():
    """Guards against a setting that changes nothing."""
    assert not choice([], leaving='fixed').destinations('llm')
    assert not choice([], leaving='fixed').rules.is_local_only
    assert choice([], leaving='never').rules.is_local_only
    assert choice([]).destinations('llm')


@clocks.on_virtual_clock
def test_only_a_host_that_decides_reads_the_upstreams():
    """Guards against work of the leader where the rule is fixed."""
    made = choice(None, leaving='fixed')
    made.plan(None, lambda one: 1.0)


def test_capacity_of_an_upstream():
    """Guards against crossings to upstreams that take nothing."""
    one = upstream('i-1', 'accra-a')
    assert one.capacity(0.5) == 4
    # What this host has found alone says nothing about other hosts.
    one.suspend(clock.now())
    assert one.capacity(1.0) == 8
    one.rest(5, clock.now())
    assert one.capacity(1.0) == 0


def test_target_latency_is_that_of_the_strictest_route(monkeypatch):
    """Guards against crossings that make the answers of a route late."""
    routes = [
        contracts.Route(
            f'r-{target_s}',
            'h',
            f'/{target_s}/',
            contracts.Repeatability.IDEMPOTENT,
            2.0,
            target_s,
            1,
            (contracts.ServiceShare('llm', 1.0),),
            1,
        )
        for target_s in (0.5, 0.3, 0.9)
    ]
    config = contracts.RouteConfig.from_routes(
        1, routes, [fakes.service()], contracts.ClientLimits()
    )
    found = []
    monkeypatch.setattr(
        planner.SharePlanner,
        'plan',
        lambda self, observed, now: found.append(observed),
    )
    choice([]).plan(config, lambda one: 1.0)
    assert found[0].target_latency_by_service == {'llm': 0.3}
