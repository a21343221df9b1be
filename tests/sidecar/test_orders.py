"""Tests of load and eviction orders against the engine stand-in."""

import eventlet
import pytest

from ivystep.core import types
from ivystep.runtime import clock, virtual_hub
from ivystep.settings import models
from ivystep.sidecar import host, upstream
from ivystep.wire.gen import ttypes
from tests.sidecar import bench


@pytest.fixture
def engine_bench():
    sidecar_bench = bench.Bench()
    sidecar_bench.start(bench.REF)
    yield sidecar_bench
    sidecar_bench.stop()


def resident(sidecar_bench):
    return set(sidecar_bench.upstream_host.status().resident_by_ref)


def test_order_to_evict_a_busy_adapter_evicts_nothing(engine_bench):
    """Guards against a refused order that evicts part of its list."""
    engine_bench.start(bench.OTHER)
    engine_bench.set_faults(is_silent=True)
    engine_bench.spawn(stream=True)
    bench.wait_until(lambda: engine_bench.engine.running == 1)
    third = types.AdapterRef('acme', 'third', 1)
    outcome = engine_bench.upstream_host.load(
        bench.order(third, bench.OTHER, bench.REF)
    )
    assert outcome.code == 'adapter_in_use'
    assert resident(engine_bench) == {bench.REF, bench.OTHER}


def test_pin_outlives_a_snapshot_without_the_adapter(engine_bench):
    """Guards against eviction in use after a snapshot reset the use count."""
    engine_bench.set_faults(is_silent=True)
    engine_bench.spawn(stream=True)
    bench.wait_until(lambda: engine_bench.engine.running == 1)
    source = engine_bench.engine.source_by_name.pop(bench.REF.lora_name)
    engine_bench.upstream_host.refresh()
    engine_bench.engine.source_by_name[bench.REF.lora_name] = source
    engine_bench.upstream_host.refresh()
    outcome = engine_bench.upstream_host.load(
        bench.order(bench.OTHER, bench.REF)
    )
    assert outcome.code == 'adapter_in_use'


def test_load_into_an_engine_that_restarts_meanwhile_fails(engine_bench):
    """Guards against reporting adapters of an ended engine process."""
    engine_bench.set_faults(load_delay_s=0.05)
    load = eventlet.spawn(
        engine_bench.upstream_host.load, bench.order(bench.OTHER)
    )
    bench.wait_until(
        lambda: engine_bench.upstream_host.residency.loading is not None
    )
    engine_bench.engine.restart()
    load.wait()
    # The load reached the new process, which lacks the earlier adapter.
    assert resident(engine_bench) == {bench.OTHER}


def test_load_answered_before_a_restart_leaves_nothing_resident(engine_bench):
    """Guards against trusting a load whose answer precedes a restart."""
    original = engine_bench.upstream_host.http.load

    def load_then_restart(*arguments):
        original(*arguments)
        engine_bench.engine.restart()

    engine_bench.upstream_host.http.load = load_then_restart
    outcome = engine_bench.upstream_host.load(bench.order(bench.OTHER))
    assert not outcome.ok
    assert resident(engine_bench) == set()


def test_uncertain_load_counts_as_resident_once_reported(
    engine_bench, monkeypatch
):
    """Guards against treating an adapter as absent after a late load."""
    monkeypatch.setattr(upstream, 'LOAD_TIMEOUT_S', 0.02)
    engine_bench.set_faults(load_delay_s=0.1)
    outcome = engine_bench.upstream_host.load(bench.order(bench.OTHER))
    assert not outcome.ok
    bench.wait_until(
        lambda: bench.OTHER.lora_name in engine_bench.engine.source_by_name
    )
    assert engine_bench.upstream_host.refresh()
    assert resident(engine_bench) == {bench.REF, bench.OTHER}


def test_load_that_failed_for_certain_can_be_repeated_at_once(engine_bench):
    """Guards against treating a failed load as one of unknown outcome."""
    engine_bench.set_faults(load_status=500)
    outcome = engine_bench.upstream_host.load(bench.order(bench.OTHER))
    assert outcome.code == 'load_failed'
    engine_bench.set_faults()
    assert engine_bench.upstream_host.load(bench.order(bench.OTHER)).ok


def test_attempt_interrupted_before_the_call_is_not_run(engine_bench):
    """Guards against `unknown` where nothing was sent to the engine."""
    entry = bench.Entry()
    send = entry.sidecar_end.send

    def send_and_stop(one):
        send(one)
        engine_bench.upstream_host.interrupt_attempts()
        eventlet.sleep(0.01)

    entry.sidecar_end.send = send_and_stop
    engine_bench.serve(bench.message(engine_bench.upstream_host), entry)
    last = entry.frames()[-1]
    assert (last.code, last.ran) == ('upstream_stopped', 'no')
    assert engine_bench.engine.completions_by_prompt == {}


def test_adapter_that_the_engine_drops_is_no_violation(engine_bench):
    """Guards against counting the engine's own eviction as the sidecar's."""
    entry = bench.Entry()
    send = entry.sidecar_end.send

    def send_and_drop(one):
        send(one)
        engine_bench.engine.source_by_name.clear()
        engine_bench.upstream_host.refresh()

    entry.sidecar_end.send = send_and_drop
    engine_bench.serve(bench.message(engine_bench.upstream_host), entry)
    last = entry.frames()[-1]
    assert (last.code, last.ran) == ('adapter_not_resident', 'no')
    assert engine_bench.upstream_host.violations == 0


def test_uncertain_unload_takes_no_attempts_until_settled(
    engine_bench, monkeypatch
):
    """Guards against an attempt on an adapter that a late unload removes."""
    monkeypatch.setattr(upstream, 'LOAD_TIMEOUT_S', 0.02)
    engine_bench.set_faults(unload_delay_s=0.1)
    outcome = engine_bench.upstream_host.load(
        bench.order(bench.OTHER, bench.REF)
    )
    assert not outcome.ok
    assert bench.REF.lora_name in engine_bench.engine.source_by_name
    engine_bench.upstream_host.refresh()
    assert bench.REF not in resident(engine_bench)
    assert engine_bench.run()[-1].ran == 'no'
    bench.wait_until(lambda: not engine_bench.engine.source_by_name)
    engine_bench.set_faults()
    engine_bench.upstream_host.refresh()
    assert engine_bench.upstream_host.load(bench.order(bench.REF)).ok


def test_absence_in_a_new_process_does_not_settle_an_unload(
    engine_bench, monkeypatch
):
    """Guards against loading an adapter while its unload may still run."""
    monkeypatch.setattr(upstream, 'LOAD_TIMEOUT_S', 0.02)
    engine_bench.engine.restart()
    engine_bench.set_faults(unload_delay_s=0.1)
    engine_bench.upstream_host.load(bench.order(bench.OTHER, bench.REF))
    # The new process lacks the adapter, but the unload is still to run.
    engine_bench.upstream_host.refresh()
    assert (
        engine_bench.upstream_host.load(bench.order(bench.REF)).code
        == 'unsettled'
    )


def test_absent_adapter_is_not_unloaded(engine_bench, monkeypatch):
    """Guards against an unsettled unload that is mistaken for finished."""
    monkeypatch.setattr(upstream, 'LOAD_TIMEOUT_S', 0.02)
    engine_bench.set_faults(unload_delay_s=0.1)
    order = bench.order(bench.OTHER, types.AdapterRef('acme', 'absent', 1))
    assert engine_bench.upstream_host.load(order).ok


def test_accepted_attempt_is_checked_again_before_the_call(engine_bench):
    """Guards against a restart while the acceptance is being sent."""
    entry = bench.Entry()
    sent = bench.message(engine_bench.upstream_host)
    send = entry.sidecar_end.send

    def send_and_restart(one):
        send(one)
        if isinstance(one, ttypes.AttemptAccepted):
            engine_bench.engine.restart()
            engine_bench.upstream_host.refresh()
            engine_bench.upstream_host.load(bench.order(bench.OTHER))

    entry.sidecar_end.send = send_and_restart
    engine_bench.serve(sent, entry)
    last = entry.frames()[-1]
    assert (last.code, last.ran) == ('adapter_not_resident', 'no')
    assert engine_bench.engine.completions_by_prompt == {}
    assert engine_bench.upstream_host.status().crash_fingerprints == ()


def test_foreign_model_names_do_not_stop_the_health_check(engine_bench):
    """Guards against a monitor that fails on a name it cannot parse."""
    engine_bench.engine.source_by_name['base@latest'] = 'base'
    assert engine_bench.upstream_host.refresh()
    assert resident(engine_bench) == {bench.REF}


def test_change_during_a_report_is_reported_at_once():
    """Guards against a change that waits for the next heartbeat."""

    def scenario():
        upstream_host = host.UpstreamHost(
            'up-1', models.Upstream(url='http://127.0.0.1:1')
        )
        revision = upstream_host.revision
        upstream_host.notify()
        started = clock.now()
        upstream_host.wait_for_change(revision, 1.0)
        return clock.now() - started

    assert virtual_hub.run(scenario) == 0


@pytest.mark.parametrize('running', [0, 1])
def test_new_sidecar_evicts_nothing_that_may_be_serving(running):
    """Guards against evicting adapters in use by an earlier sidecar."""
    sidecar_bench = bench.Bench()
    sidecar_bench.engine.source_by_name[bench.REF.lora_name] = 'weights/plans'
    sidecar_bench.engine.running = running
    sidecar_bench.start()
    sidecar_bench.upstream_host.refresh()
    outcome = sidecar_bench.upstream_host.load(
        bench.order(bench.OTHER, bench.REF)
    )
    sidecar_bench.stop()
    assert outcome.ok is (running == 0)


def test_second_planner_does_not_order_a_load_into_a_full_engine(engine_bench):
    """Guards against a load by the free slot of an earlier status."""
    planned = [types.AdapterRef('acme', f'x{number}', 1) for number in range(5)]
    for ref in planned[:3]:
        assert engine_bench.upstream_host.load(bench.order(ref)).ok
    sent = []
    send = engine_bench.upstream_host.http.load
    engine_bench.upstream_host.http.load = lambda *arguments: (
        sent.append(arguments) or send(*arguments)
    )
    outcome = engine_bench.upstream_host.load(bench.order(planned[3]))
    assert (outcome.ok, outcome.code, sent) == (False, 'no_slot', [])
    replaced = bench.order(planned[3], planned[0])
    assert engine_bench.upstream_host.load(replaced).ok


def test_load_that_names_an_evicted_adapter_again_finds_no_slot(engine_bench):
    """Guards against a load that counts on a slot that was used meanwhile."""
    planned = [types.AdapterRef('acme', f'x{number}', 1) for number in range(5)]
    for ref in planned[:3]:
        assert engine_bench.upstream_host.load(bench.order(ref)).ok
    first = bench.order(planned[3], bench.REF)
    second = bench.order(planned[4], bench.REF)
    assert engine_bench.upstream_host.load(first).ok
    assert engine_bench.upstream_host.load(second).code == 'no_slot'
    assert len(engine_bench.engine.source_by_name) == 4


def test_eviction_whose_adapter_has_gone_evicts_nothing_without_a_slot(
    engine_bench,
):
    """Guards against an eviction for a load that then finds no room."""
    planned = [types.AdapterRef('acme', f'x{number}', 1) for number in range(5)]
    for ref in planned[:3]:
        assert engine_bench.upstream_host.load(bench.order(ref)).ok
    gone = types.AdapterRef('acme', 'gone', 1)
    order = bench.order(planned[3], gone)
    assert engine_bench.upstream_host.load(order).code == 'no_slot'
    assert len(resident(engine_bench)) == 4


@pytest.mark.parametrize('evict', [(), (types.AdapterRef('acme', 'gone', 1),)])
def test_full_engine_gets_no_order(engine_bench, evict):
    """Guards against loads beyond the slots, by a plan of an older status."""
    for name in ('a', 'b', 'c'):
        ref = types.AdapterRef('acme', name, 1)
        assert engine_bench.upstream_host.load(bench.order(ref)).ok
    sent = []
    engine_bench.upstream_host.http.load = lambda *order: sent.append(order)
    outcome = engine_bench.upstream_host.load(bench.order(bench.OTHER, *evict))
    assert (outcome.code, sent) == ('no_slot', [])


def test_adapter_whose_load_is_unsettled_uses_a_slot(engine_bench):
    """Guards against a load into the slot of one that may yet be loaded."""
    for name in ('a', 'b'):
        ref = types.AdapterRef('acme', name, 1)
        assert engine_bench.upstream_host.load(bench.order(ref)).ok
    engine_bench.upstream_host.residency.mark_unsettled(
        types.AdapterRef('acme', 'c', 1), is_load=True, is_same_process=True
    )
    outcome = engine_bench.upstream_host.load(bench.order(bench.OTHER))
    assert outcome.code == 'no_slot'
