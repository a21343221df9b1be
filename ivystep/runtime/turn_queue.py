"""Lets tasks with much to do take turns, so that together they keep to one.

A turn bounds a task, but a thousand tasks that are ready at once would each
use one before the event loop comes back to the tasks of everybody else. The
tasks of a queue go on one after the other, until the turn is spent; the others
wait for the next round of the loop.
"""

import collections
import contextlib
import typing

import greenlet
from eventlet import hubs

from ivystep.runtime import turns


class TurnQueue:
    """Tasks that wait for their part of a turn, in order."""

    def __init__(self) -> None:
        self._waiting: collections.deque[typing.Any] = collections.deque()
        self._is_scheduled = False

    def wait(self) -> None:
        """Wait until the tasks before have gone on, and the turn has room."""
        if not (self._waiting or turns.is_spent()):
            return
        task = greenlet.getcurrent()
        self._waiting.append(task)
        self._schedule()
        try:
            hubs.get_hub().switch()
        finally:
            # The task was ended while it waited.
            with contextlib.suppress(ValueError):
                self._waiting.remove(task)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            hubs.get_hub().schedule_call_global(0, self._run)

    def _run(self) -> None:
        """Let at least one task go on; runs on the hub."""
        self._is_scheduled = False
        # The turn starts here, also if the tasks neither read nor write.
        turns.count(0)
        has_room = True
        while self._waiting and has_room:
            self._waiting.popleft().switch()
            has_room = not turns.is_spent()
        if self._waiting:
            self._schedule()
