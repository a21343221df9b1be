"""Tests of the background tasks of a daemon."""

import eventlet
import pytest

from ivystep.runtime import background, clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes


@clocks.on_virtual_clock
def test_task_that_ends_by_an_error_starts_again():
    """Guards against a daemon that goes on without one of its tasks."""
    log = fakes.FakeLog()
    started = []

    def task(name, *, ends_at):
        started.append(clock.now())
        if len(started) < ends_at:
            raise OverflowError(name)

    tasks = background.BackgroundTasks(log.write)
    tasks.spawn(task, 'odd', ends_at=3)
    clock.sleep(10)
    assert len(started) == 3
    assert started[1] - started[0] >= background.RESTART_PAUSE_S
    failed = log.named('task_failed')
    assert [event.error for event in failed] == ['OverflowError: odd'] * 2
    assert failed[0].place.startswith('test_background.py:')


@clocks.on_virtual_clock
def test_tasks_end_when_the_daemon_stops():
    """Guards against tasks of a stopped daemon that go on."""
    ticks = []

    def task():
        while True:
            ticks.append(clock.now())
            clock.sleep(1)

    tasks = background.BackgroundTasks(fakes.FakeLog().write)
    tasks.spawn(task)
    clock.sleep(2.5)
    tasks.kill()
    clock.sleep(5)
    assert len(ticks) == 3


@pytest.mark.parametrize('raised', [eventlet.Timeout(None), SystemExit(1)])
@clocks.on_virtual_clock
def test_task_that_a_time_out_or_an_exit_ends_starts_again(raised):
    """Guards against errors outside ``Exception`` that end a task for good."""
    log = fakes.FakeLog()
    started = []

    def task():
        started.append(clock.now())
        if len(started) == 1:
            raise raised

    background.BackgroundTasks(log.write).spawn(task)
    clock.sleep(5)
    assert len(started) == 2
    assert len(log.named('task_failed')) == 1
