"""Tests of invariants under random failures, on the virtual clock."""

import random

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.runtime import clock, virtual_hub
from ivystep.settings import models
from ivystep.sidecar import host, run
from ivystep.wire.gen import ttypes
from tests.sidecar import bench, simulated

REFS = [types.AdapterRef('acme', f'adapter-{one}', 1) for one in range(5)]
RUN_S = 400
SLOTS = 2
# Seeds with which unloads took effect after they had been assumed finished.
SEEDS_WITH_LATE_UNLOADS = (108, 126, 136, 149, 174, 215)


class Simulation:
    """One sidecar with callers, a planner and random engine restarts."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.engine = simulated.Engine(self.source, SLOTS)
        self.upstream_host = host.UpstreamHost(
            'up-1', models.Upstream(url='http://127.0.0.1:1', slots=SLOTS)
        )
        self.upstream_host.http = self.engine
        self.record = self.upstream_host.crashes.record
        self.upstream_host.crashes.record = self.check_record
        self.false_evidence = []
        self.peer_by_id = {}
        self.ref_by_id = {}
        self.revoked = {}
        self.loaded = 0

    def run(self):
        tasks = [eventlet.spawn(self.upstream_host.monitor)]
        tasks += [eventlet.spawn(self.plan), eventlet.spawn(self.fail)]
        tasks += [eventlet.spawn(self.call, number) for number in range(4)]
        clock.sleep(RUN_S)
        for task in tasks[1:]:
            task.kill()
        clock.sleep(100)
        tasks[0].kill()

    def check_record(self, incarnation, fingerprints):
        if int(incarnation) >= self.engine.incarnation:
            self.false_evidence.append(incarnation)
        return self.record(incarnation, fingerprints)

    def plan(self):
        """Order loads based on a status that is up to a second old."""
        while True:
            resident = list(self.upstream_host.status().resident_by_ref)
            clock.sleep(self.source.uniform(0, 1))
            evict = self.source.sample(resident, min(len(resident), 1))
            order = bench.order(self.source.choice(REFS), *evict)
            self.loaded += self.upstream_host.load(order).ok

    def fail(self):
        while True:
            clock.sleep(self.source.expovariate(1 / 30))
            self.engine.restart()

    def call(self, number):
        count = 0
        while True:
            count += 1
            clock.sleep(self.source.uniform(0, 0.5))
            attempt_id = f'att-{number}-{count}'
            resident = list(self.upstream_host.status().resident_by_ref) or REFS
            self.ref_by_id[attempt_id] = self.source.choice(resident)
            peer = simulated.Peer(self.source)
            self.peer_by_id[attempt_id] = peer
            if self.source.random() < 0.1:
                eventlet.spawn_after(self.source.uniform(0, 2), peer.disconnect)
            if self.source.random() < 0.1:
                delay_s = self.source.uniform(0, 2)
                eventlet.spawn_after(delay_s, self.revoke, attempt_id)
            self.attempt(attempt_id, peer)

    def attempt(self, attempt_id, peer):
        sent = bench.message(
            self.upstream_host,
            attempt_id,
            self.ref_by_id[attempt_id],
            prompt=attempt_id,
            stream=True,
        )
        try:
            run.run_attempt(self.upstream_host, sent, peer)
        except errors.LinkError:
            peer.disconnect()

    def revoke(self, attempt_id):
        self.revoked[attempt_id] = self.upstream_host.attempts.revoke(
            attempt_id
        )


@pytest.mark.parametrize('seed', [*range(12), *SEEDS_WITH_LATE_UNLOADS])
def test_invariants_hold_under_failures(seed):
    """Guards against wrong, repeated or misreported runs and evictions."""

    def scenario():
        simulation = Simulation(seed)
        simulation.run()
        return simulation

    simulation = virtual_hub.run(scenario)
    executed = simulation.engine.executed
    assert simulation.engine.evicted_in_use == []
    assert len(executed) == len(set(executed))
    assert simulation.upstream_host.violations == 0
    assert simulation.false_evidence == []
    assert simulation.upstream_host.attempts.running == 0
    for attempt_id, peer in simulation.peer_by_id.items():
        if peer.is_answered:
            assert attempt_id in executed
        if isinstance(peer.last, ttypes.AttemptFailed):
            assert peer.last.ran != 'no' or attempt_id not in executed
            assert peer.last.ran != 'yes' or attempt_id in executed
    for attempt_id, ran in simulation.revoked.items():
        assert ran is not types.ExecutionStatus.NO or attempt_id not in executed
        assert ran is not types.ExecutionStatus.YES or attempt_id in executed
    # The run must have exercised answers and loads.
    answered = sum(peer.is_answered for peer in simulation.peer_by_id.values())
    assert answered > 10
    assert simulation.loaded > 10
