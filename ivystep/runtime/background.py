"""Runs the background tasks of a daemon.

An error that a task does not handle is logged, and the task starts again. A
gateway that lacks one of its tasks would go on with what it knew then: it would
send requests to upstreams that have gone, or never lead.
"""

import os
import traceback
import typing
from collections.abc import Callable

import eventlet
import greenlet

from ivystep.runtime import clock, event_log, process_events

RESTART_PAUSE_S = 1.0


class BackgroundTasks:
    """The tasks of one daemon, which run until it stops.

    Args:
        write: Writes the events of errors that they do not handle.
    """

    def __init__(self, write: Callable[[event_log.Event], None]) -> None:
        self._write = write
        self._tasks: list[typing.Any] = []

    def spawn(
        self,
        task: Callable[..., typing.Any],
        *arguments: typing.Any,
        **named: typing.Any,
    ) -> None:
        """Start a task, and start it again if it ends by an error."""
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
        is_ended = False
        while not is_ended:
            try:
                task(*arguments, **named)
            except greenlet.GreenletExit:
                raise
            except BaseException as error:
                # Time-outs of eventlet are no ``Exception``, and an exit would
                # end the event loop.
                self._write(
                    process_events.TaskFailed(
                        getattr(task, '__qualname__', repr(task)),
                        describe(error),
                        place(error),
                    )
                )
                clock.sleep(RESTART_PAUSE_S)
            else:
                is_ended = True


def describe(error: BaseException) -> str:
    """Return an error with its kind."""
    return f'{type(error).__name__}: {error}'


def place(error: BaseException) -> str:
    """Return the file and line at which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ''
    return f'{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}'
