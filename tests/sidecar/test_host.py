"""Tests of snapshots of the upstream that arrive late, on the virtual clock."""

import eventlet

from ivystep.core import errors
from ivystep.runtime import clock, virtual_hub
from ivystep.settings import models
from ivystep.sidecar import host, upstream


class DelayedSnapshots:
    """Returns snapshots planned as (delay, incarnation)."""

    def __init__(self, *planned):
        self.planned = list(planned)

    def read(self):
        delay_s, incarnation = self.planned.pop(0)
        clock.sleep(delay_s)
        return upstream.UpstreamSnapshot(incarnation, running=0)

    def process(self):
        raise errors.UnavailableError('refused')


def host_with_snapshots(*planned):
    upstream_host = host.UpstreamHost(
        'up-1', models.Upstream(url='http://127.0.0.1:1')
    )
    upstream_host.http = DelayedSnapshots(*planned)
    return upstream_host


def test_late_snapshot_does_not_restore_an_ended_incarnation():
    """Guards against an older snapshot that replaces a newer one."""

    def scenario():
        upstream_host = host_with_snapshots((0, '1'), (2, '1'), (0, '2'))
        upstream_host.refresh()
        eventlet.spawn(upstream_host.refresh)
        clock.sleep(0.1)
        eventlet.spawn(upstream_host.refresh)
        clock.sleep(5)
        return (
            upstream_host.engine_incarnation,
            upstream_host.crashes.is_recorded('2'),
        )

    assert virtual_hub.run(scenario) == ('2', False)


def test_snapshot_from_before_a_crash_is_dropped():
    """Guards against reporting an engine that just crashed as healthy."""

    def scenario():
        upstream_host = host_with_snapshots((0, '1'), (2, '1'))
        upstream_host.refresh()
        eventlet.spawn(upstream_host.refresh)
        clock.sleep(0.1)
        is_lost = upstream_host.confirm_failure('1')
        clock.sleep(5)
        return (
            is_lost,
            upstream_host.is_healthy,
            upstream_host.engine_incarnation,
        )

    assert virtual_hub.run(scenario) == (True, False, '')


class OddMetrics(upstream.EngineHttp):
    """An engine that publishes no usable number of running requests."""

    def _get(self, path, accepted=(200,)):
        return b'process_start_time_seconds 1\nvllm:num_requests_running NaN\n'


def test_odd_metrics_after_a_lost_answer_do_not_end_its_attempt_silently():
    """Guards against attempts that end without a message to their entry."""

    def scenario():
        upstream_host = host_with_snapshots((0, '1'))
        upstream_host.refresh()
        upstream_host.http = OddMetrics('http://127.0.0.1:1')
        return upstream_host.confirm_failure('1')

    assert virtual_hub.run(scenario) is False
