"""Tests tasks that take turns."""

import eventlet
import pytest

from ivystep.runtime import clock, turn_queue, turns, virtual_hub

TASKS = 50
ROUNDS = 3


class Work:
    """Tasks of a queue that each use up a turn, beside an ordinary task."""

    def __init__(self):
        self.queue = turn_queue.TurnQueue()
        self.done = []
        self.ordinary_at = []

    def use_turns(self, number):
        for _ in range(ROUNDS):
            self.queue.wait()
            self.done.append(number)
            turns.count(2 * turns.TURN_BYTES)

    def ordinary(self):
        while len(self.done) < TASKS * ROUNDS:
            self.ordinary_at.append(len(self.done))
            eventlet.sleep(0)

    def run(self):
        tasks = [eventlet.spawn(self.use_turns, n) for n in range(TASKS)]
        ordinary = eventlet.spawn(self.ordinary)
        for task in (*tasks, ordinary):
            task.wait()


@pytest.fixture
def work():
    made = Work()
    virtual_hub.run(made.run)
    return made


def test_other_tasks_run_between_those_of_the_queue(work):
    """Guards against callers who wait for the bodies of a thousand others."""
    gaps = [
        later - earlier
        for earlier, later in zip(
            work.ordinary_at, work.ordinary_at[1:], strict=False
        )
    ]
    assert max(gaps) <= 2


def test_each_task_gets_its_turn(work):
    """Guards against a body that is not read on beside many others."""
    assert len(work.done) == TASKS * ROUNDS
    for number in range(TASKS):
        turns_of_others = [
            work.done[: work.done.index(number) + 1].count(other)
            for other in range(TASKS)
        ]
        # The first task of an empty queue need not wait.
        assert max(turns_of_others) <= 2


def test_task_that_ends_while_it_waits_is_not_resumed():
    """Guards against a refused request whose task is woken up again."""

    def scenario():
        queue = turn_queue.TurnQueue()
        turns.count(2 * turns.TURN_BYTES)
        ended = eventlet.spawn(queue.wait)
        other = eventlet.spawn(queue.wait)
        eventlet.sleep(0)
        ended.kill()
        clock.sleep(1)
        return other.dead and ended.dead

    assert virtual_hub.run(scenario)
