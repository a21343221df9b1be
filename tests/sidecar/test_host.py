"""Readings of the upstream that arrive late, on the virtual clock."""

import eventlet

from ivystep.core import errors
from ivystep.runtime import clock, virtual_hub
from ivystep.settings import models
from ivystep.sidecar import host, upstream


class Readings:
    """Answers each reading after a delay, as (delay, incarnation)."""

    def __init__(self, *planned):
        self.planned = list(planned)

    def read(self):
        delay_s, incarnation = self.planned.pop(0)
        clock.sleep(delay_s)
        return upstream.UpstreamSnapshot(incarnation, running=0)

    def process(self):
        raise errors.UnavailableError('refused')


def beside_with(*planned):
    made = host.UpstreamHost('up-1', models.Upstream(url='http://127.0.0.1:1'))
    made.http = Readings(*planned)
    return made


def test_late_reading_does_not_bring_an_ended_engine_back():
    """Guards against two readings that overtake each other."""

    def main():
        upstream_host = beside_with((0, '1'), (2, '1'), (0, '2'))
        upstream_host.refresh()
        eventlet.spawn(upstream_host.refresh)
        clock.sleep(0.1)
        eventlet.spawn(upstream_host.refresh)
        clock.sleep(5)
        return (
            upstream_host.engine_incarnation,
            upstream_host.crashes.is_recorded('2'),
        )

    assert virtual_hub.run(main) == ('2', False)


def test_reading_from_before_a_crash_is_dropped():
    """Guards against reporting an engine as healthy that has just failed."""

    def main():
        upstream_host = beside_with((0, '1'), (2, '1'))
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

    assert virtual_hub.run(main) == (True, False, '')
