"""Runs the background tasks of a gateway."""

import os
import traceback
import typing
from collections.abc import Callable

import eventlet

from ivystep.gateway import process_events
from ivystep.runtime import event_log


class BackgroundTasks:
    """The tasks of one gateway, which run until it stops.

    Args:
        log: Event log of the errors by which they end.
    """

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log
        self._tasks: list[typing.Any] = []

    def spawn(
        self,
        task: Callable[..., typing.Any],
        *arguments: typing.Any,
        **named: typing.Any,
    ) -> None:
        """Start a task."""
        self._tasks.append(eventlet.spawn(self._run, task, arguments, named))

    def kill(self) -> None:
        """End all tasks."""
        while self._tasks:
            self._tasks.pop().kill()

    def _run(
        self,
        task: Callable[..., typing.Any],
        arguments: tuple[typing.Any, ...],
        named: dict[str, typing.Any],
    ) -> None:
        try:
            task(*arguments, **named)
        except Exception as error:
            self._log.write(
                process_events.TaskFailed(
                    getattr(task, '__qualname__', repr(task)),
                    f'{type(error).__name__}: {error}',
                    _place(error),
                )
            )
            raise


def _place(error: Exception) -> str:
    """Return the file and line at which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ''
    return f'{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}'
