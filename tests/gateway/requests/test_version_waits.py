"""Tests of requests that wait while their adapter version is replaced."""

import contextlib

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.entry import pool
from ivystep.gateway.requests import version_waits
from ivystep.gateway.upstreams import connections as upstream_connections
from ivystep.runtime import clock
from ivystep.traffic import contracts
from tests.coordination import fakes as clocks
from tests.core import statuses
from tests.gateway import harness
from tests.gateway.requests import test_dispatch
from tests.gateway.store import test_configuration

ENGINE_QUEUE_S = 9.0
TARGET_LATENCY_S = 4.0


class QueueingHarness(test_dispatch.DispatchHarness):
    """A dispatcher whose engine answers after a wait in its queue."""

    def __init__(self, monkeypatch, *held, queue_s=ENGINE_QUEUE_S):
        super().__init__(monkeypatch, *held)
        self.queues_s = [queue_s]
        self.on_queued = lambda: None

    def wait_in_queue(self):
        self.on_queued()
        if self.queues_s:
            clock.sleep(self.queues_s.pop())

    def name_version(self, version):
        self.recorded.config.apply_row(
            test_configuration.version_row(version, version)
        )

    def run_stream(self, **more):
        self.run(
            kind=contracts.Repeatability.STREAM,
            timeout_s=15.0,
            target_latency_s=TARGET_LATENCY_S,
            **more,
        )


def on_virtual_clock(scenario, monkeypatch):
    """Run a scenario and return its result with the time that it took."""

    @clocks.on_virtual_clock
    def run():
        started = clock.now()
        outcome = scenario(monkeypatch)
        return outcome, clock.now() - started

    return run()


def test_request_leaves_an_engines_queue_when_its_version_is_too_old(
    monkeypatch,
):
    """Guards against a request that begins on a version after its time."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, test_dispatch.ref(1))
        harness.on_queued = lambda: harness.name_version(2)
        with pytest.raises(errors.RequestError) as caught:
            harness.run_stream()
        return caught.value

    error, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert elapsed_s < test_dispatch.VERSION_S
    assert (error.status, error.ran) == (502, types.ExecutionStatus.UNKNOWN)


def test_resumable_request_is_sent_again_with_the_new_version(monkeypatch):
    """Guards against a failure although the request may run twice."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, test_dispatch.ref(1))
        harness.on_queued = lambda: harness.name_version(2)
        harness.run_stream(is_resumable=True, max_attempts=2)
        return harness.versions

    versions, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'1', b'2']
    assert elapsed_s < test_dispatch.VERSION_S


def test_request_that_was_sent_with_the_previous_version_leaves_in_time(
    monkeypatch,
):
    """Guards against a time that starts anew when a request is sent."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, test_dispatch.ref(1))
        harness.name_version(2)
        clock.sleep(1.0)
        with pytest.raises(errors.RequestError):
            harness.run_stream()
        return harness.versions

    versions, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'1']
    assert elapsed_s < test_dispatch.VERSION_S


def test_second_replacement_does_not_shorten_the_time_of_the_first(
    monkeypatch,
):
    """Guards against failures when versions are named in quick succession."""

    def scenario(monkeypatch):
        harness = QueueingHarness(
            monkeypatch, test_dispatch.ref(1), queue_s=3.5
        )

        def name_two_versions():
            harness.name_version(2)
            clock.sleep(0.5)
            harness.name_version(3)

        harness.on_queued = name_two_versions
        harness.run_stream()
        return harness.versions

    versions, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'1']
    assert elapsed_s == pytest.approx(4.0)


def test_request_that_has_begun_goes_on_when_its_version_is_replaced(
    monkeypatch,
):
    """Guards against answers that are cut off by a new version."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, test_dispatch.ref(1))
        harness.body = test_dispatch.BegunBody()
        harness.on_queued = lambda: harness.name_version(2)
        harness.run_stream()
        return harness.versions

    versions, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'1']
    assert elapsed_s == pytest.approx(ENGINE_QUEUE_S)


def test_request_with_the_newest_version_waits_as_long_as_its_caller(
    monkeypatch,
):
    """Guards against failures without a new version."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, test_dispatch.ref(1))
        harness.run_stream()
        return harness.versions

    versions, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'1']
    assert elapsed_s == pytest.approx(ENGINE_QUEUE_S)


def test_end_of_a_queued_attempt_reaches_the_engine():
    """Guards against an engine that begins a request nobody waits for."""
    recorded = test_configuration.RecordedConfiguration()
    waits = version_waits.VersionWaits(recorded.config)
    recorded.on_version = waits.on_version
    engine = harness.ScriptedUpstream(
        lambda *_: recorded.config.apply_row(
            test_configuration.version_row(2, 1)
        )
    )
    with contextlib.closing(engine):
        with pytest.raises(version_waits.VersionReplacedError):
            wait_for_answer(waits, engine)
        with eventlet.Timeout(2):
            while not engine.ended:
                eventlet.sleep(0.01)


def wait_for_answer(waits, engine):
    """Send a request with version 1 to an engine that does not answer."""
    upstream = upstream_connections.UpstreamConnections(
        ('127.0.0.1', engine.port), 'i-1'
    )
    with (
        waits.limit(test_dispatch.ref(1), 0.0, lambda: True),
        contextlib.closing(upstream.acquire()) as connection,
    ):
        connection.send((harness.request('/stream/2f'),))
        connection.next_event()


def test_time_of_a_queued_attempt_counts_while_the_host_is_suspended(
    monkeypatch,
):
    """Guards against a timer on a clock that stands still with the host."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, test_dispatch.ref(1))
        harness.on_queued = lambda: harness.name_version(2)
        suspended_s = []
        monkeypatch.setattr(
            clock, 'uptime', lambda: clock.now() + sum(suspended_s)
        )
        eventlet.spawn_after(1.0, suspended_s.append, 4.0)
        with pytest.raises(errors.RequestError):
            harness.run_stream()
        return clock.uptime()

    ended_at, _ = on_virtual_clock(scenario, monkeypatch)
    # The host goes on at 5 s; it may take a moment to notice.
    assert ended_at < 1.0 + 4.0 + 0.5


def test_version_that_is_named_after_an_attempt_ends_no_other_work(
    monkeypatch,
):
    """Guards against an error in a task that has moved on."""

    def scenario(monkeypatch):
        harness = QueueingHarness(
            monkeypatch, test_dispatch.ref(1), queue_s=0.5
        )
        eventlet.spawn_after(0.1, harness.name_version, 2)
        harness.run_stream()
        harness.name_version(3)
        clock.sleep(2 * test_dispatch.VERSION_S)

    _, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert elapsed_s > 2 * test_dispatch.VERSION_S


def test_answer_that_is_sent_whole_is_not_ended_while_it_is_computed(
    monkeypatch,
):
    """Guards against an answer without a stream that is cut off as it runs.

    Such an answer has no byte before its end, so it looks queued although the
    engine began it in time.
    """

    def scenario(monkeypatch):
        harness = QueueingHarness(
            monkeypatch, test_dispatch.ref(1), queue_s=6.0
        )
        harness.on_queued = lambda: harness.name_version(2)
        harness.run(kind=contracts.Repeatability.AT_MOST_ONCE, timeout_s=15.0)
        return harness.versions

    versions, _ = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'1']


def test_request_does_not_wait_for_a_version_that_was_replaced(monkeypatch):
    """Guards against a wait for a place with a version nobody may use."""

    def scenario(monkeypatch):
        harness = QueueingHarness(monkeypatch, queue_s=0.0)
        harness.pool = real = pool.Pool(
            'llm/m', 'host-1', make_planner=IdlePlanner
        )
        engine_status = statuses.upstream_status('i-1', ())
        real.on_status(engine_status, None)

        def name_and_load():
            harness.name_version(2)
            clock.sleep(0.3)
            real.on_status(
                statuses.upstream_status(
                    'i-1', {test_dispatch.ref(2)}, sequence=2
                ),
                None,
            )

        eventlet.spawn_after(0.2, name_and_load)
        harness.run_stream()
        return harness.versions

    versions, elapsed_s = on_virtual_clock(scenario, monkeypatch)
    assert versions == [b'2']
    assert elapsed_s < 4.0


class IdlePlanner:
    """A planner that orders nothing."""

    load_s = 0.3
    service_s = 1.0

    def __init__(self, *_):
        pass

    def report_demand(self, entry_id, demands):
        return ()

    def on_status(self, view):
        """Nothing is planned."""

    def wake(self):
        """Nothing is planned."""
