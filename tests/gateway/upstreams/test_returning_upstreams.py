"""Tests of upstreams whose entries were gone for a while."""

import functools
import types

import eventlet
import pytest

from tests.gateway import harness, test_daemon


def answer(_, headers):
    return harness.ok_answer(headers)


def leave(_, headers):
    return harness.ok_answer(headers, **{'Server-Leaving': '1'})


ENGINE_ROUTE = harness.route('plan', 'stream', timeout_ms=2000)
ENGINE_CONFIG = {
    'routes': [ENGINE_ROUTE],
    'services': [test_daemon.ENGINE_SERVICE],
}
HELD = {'models': [{'name': 'm', 'adapters': ['a1@1']}], 'stage': 'unified'}
PROMPT = ('Model: m/a1', 'Token-Count: 100,10')


def remove(gateway, upstream):
    """Remove an entry, as after three heartbeats of silence."""
    gateway.store.write('servers', upstream.upstream_id, None)
    gateway.wait_for(0)


def test_upstream_that_is_back_is_used_again(build):
    """Guards against an upstream without requests for as long as it had been
    known before it could not reach the store.
    """
    gateway, (upstream,) = build(answer)
    for number in range(20):
        # The entry is written with each heartbeat.
        gateway.add(upstream, sequence=number)
        eventlet.sleep(0.03)
    assert gateway.send('/read/2f').status == 200
    remove(gateway, upstream)
    assert gateway.send('/read/2f', 'r-gone').status == 503
    gateway.add(upstream)
    gateway.wait_for(1)
    assert gateway.send('/read/2f', 'r-back').status == 200


@pytest.mark.parametrize('name', ['leading', 'following'])
def test_engine_that_is_back_is_used_again(stack, name):
    """Guards against the same of engines, whose prompts need permits."""
    engine = harness.ScriptedUpstream(answer)
    stack.callback(engine.close)
    gateway = harness.GatewayHarness(stack, config=ENGINE_CONFIG)
    gateway.add(engine, **HELD)
    gateway.wait_for(1)
    host = gateway
    if name == 'following':
        host = harness.GatewayHarness(stack, host='host-2', peer=gateway)
        host.wait_for(1)
    for number in range(5):
        sent = host.send('/plan/2f', f'r-{number}', headers=PROMPT)
        assert sent.status == 200
    remove(gateway, engine)
    host.wait_for(0)
    gateway.add(engine, **HELD)
    gateway.wait_for(1)
    host.wait_for(1)
    with eventlet.Timeout(3):
        while host.send('/plan/2f', 'r-back', headers=PROMPT).status != 200:
            eventlet.sleep(0.1)


def test_upstream_that_has_said_that_it_leaves_is_not_used_again(build):
    """Guards against requests to an upstream that drains, after its entry was
    gone and came back.
    """
    gateway, (upstream,) = build(leave)
    assert gateway.send('/read/2f', 'r-0').status == 200
    remove(gateway, upstream)
    gateway.add(upstream)
    eventlet.sleep(0.2)
    assert gateway.send('/read/2f', 'r-1').status == 503
    assert len(upstream.requests) == 1


def answer_if_meant(refusal, _, headers):
    """Answer only requests for the upstream that is there: ``i-2``."""
    if headers['expect-instance'] == 'i-2':
        return harness.ok_answer(headers)
    return refusal


@pytest.mark.parametrize(
    'refusal',
    [
        harness.not_run_answer(421),
        harness.not_run_answer(421).replace(
            b'\r\n', b'\r\nInstance-Id: i-2\r\n', 1
        ),
    ],
    ids=['nameless', 'named'],
)
@pytest.mark.parametrize('is_known_before', [False, True])
def test_live_upstream_is_used_beside_a_late_entry_of_the_one_before(
    stack, is_known_before, refusal
):
    """Guards against a service without requests by a mark without an end.

    The upstream that was at the address before has ended; its last heartbeat
    is written after the entry of the one that is there now.
    """
    live = harness.ScriptedUpstream(
        functools.partial(answer_if_meant, refusal), 'i-2'
    )
    stack.callback(live.close)
    ended = types.SimpleNamespace(
        upstream_id='i-1', port=live.port, software_version='v1'
    )
    gateway = harness.GatewayHarness(stack)
    if is_known_before:
        gateway.add(ended)
        gateway.wait_for(1)
        remove(gateway, ended)
    gateway.add(live)
    gateway.wait_for(1)
    gateway.add(ended, sequence=9)
    gateway.wait_for(2)
    answers = [gateway.send('/read/2f', f'r-{n}').status for n in range(5)]
    assert answers == [200] * 5
    gateway.store.write('servers', 'i-1', None)
    gateway.wait_for(1)
    answers = [gateway.send('/once/2f', f'o-{n}').status for n in range(5)]
    assert answers == [200] * 5


def test_upstream_takes_many_requests_again_after_its_trial(stack):
    """Guards against a trial that the pool still sees after its answer."""
    live = harness.ScriptedUpstream(answer)
    stack.callback(live.close)
    gateway = harness.GatewayHarness(stack, live)
    members = gateway.daemon._membership
    (known,) = members.upstream_by_id.values()
    known.begin_trial()
    members._on_change(known)
    assert gateway.send('/read/2f', 'r-trial').status == 200
    view = gateway.daemon._pools.find('app', '')._index.view('i-1')
    assert view.status.max_running > 1
