"""Requests in progress, and how one is told to give up.

A request runs on the task of its caller's connection. When the caller
disconnects or the drain deadline passes, an ``AbortedError`` is raised in that
task at the point where it waits.
"""

import contextlib
import enum
import typing
from collections.abc import Callable, Generator

import eventlet
from eventlet import hubs
from greenlet import getcurrent

from ivystep.core import errors, types
from ivystep.entry import answers


class Phase(enum.Enum):
    """What a request is doing, which decides whether it can be aborted.

    Attributes:
        PROTECTED: Reading, claiming or recording; is never interrupted.
        WAITING: In a queue; nothing has been sent to an upstream.
        RUNNING: On an upstream.
        FINISHING: On an upstream; the caller's end does not matter any more,
            because the outcome must be recorded.
    """

    PROTECTED = 'protected'
    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHING = 'finishing'


CALLER_GONE_PHASES = frozenset((Phase.WAITING, Phase.RUNNING))


def running_phase(request: types.Request) -> Phase:
    """Return the phase of a request on an upstream.

    A non-idempotent request that may have started is not given up when its
    caller disconnects, so that its outcome can be recorded.
    """
    return Phase.RUNNING if request.claim is None else Phase.FINISHING


class AbortedError(errors.IvystepError):
    """The request's task was told to give up.

    Attributes:
        code: Stable code of the answer.
        status: HTTP status of the answer.
        retry_after_s: When a repeat can help, in seconds, or None.
    """

    def __init__(
        self,
        code: str,
        reason: str,
        *,
        status: int,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason, step='abort')
        self.code = code
        self.status = status
        self.retry_after_s = retry_after_s

    def with_outcome(self, ran: types.ExecutionStatus) -> errors.RequestError:
        """Return the caller's error once it is known how far the request got.

        Args:
            ran: Whether the request was run.
        """
        return errors.RequestError(
            self.code,
            self.reason,
            status=self.status,
            ran=ran,
            retry_after_s=self.retry_after_s,
            step=self.step,
        )


class RequestTask:
    """The task that a request runs on.

    Attributes:
        is_aborted: Whether the request was told to give up.
    """

    def __init__(self) -> None:
        self.is_aborted = False
        self._phase = Phase.PROTECTED
        self._task = getcurrent()
        self._pending: AbortedError | None = None

    @contextlib.contextmanager
    def in_phase(self, phase: Phase) -> Generator[None, None, None]:
        """Let the request be aborted as the phase allows, inside a block.

        Args:
            phase: The phase of the block.

        Raises:
            AbortedError: The request was told to give up, in the block or
                earlier in a phase that could not be interrupted.
        """
        self.enter(phase)
        try:
            yield
        finally:
            self._phase = Phase.PROTECTED

    def enter(self, phase: Phase) -> None:
        """Change the phase.

        Args:
            phase: The new phase.

        Raises:
            AbortedError: The request was told to give up earlier.
        """
        self._phase = phase
        pending = self._take_pending()
        if pending is not None:
            raise pending

    def on_caller_gone(self) -> None:
        """Give up because the caller has closed its connection."""
        if self._phase in CALLER_GONE_PHASES:
            self._abort(
                AbortedError(
                    'caller_disconnected',
                    'The caller closed its side of the connection.',
                    status=answers.CLIENT_CLOSED_STATUS,
                ),
            )

    def on_drain_deadline(self) -> None:
        """Give up because this entry stops."""
        self._abort(
            AbortedError(
                'entry_draining',
                'This entry stops and the request did not end in time.',
                status=503,
                retry_after_s=1.0,
            ),
        )

    def _abort(self, error: AbortedError) -> None:
        if not self.is_aborted and self._pending is None:
            self._pending = error
            hubs.get_hub().schedule_call_global(0, self._fire)

    def _fire(self) -> None:
        """Raise the pending error in the task; runs on the hub."""
        pending = self._take_pending()
        if pending is not None:
            self._task.throw(pending)

    def _take_pending(self) -> AbortedError | None:
        if self._phase is Phase.PROTECTED or self._pending is None:
            return None
        pending = self._pending
        self._pending = None
        # What follows cleans up and must not be interrupted again.
        self._phase = Phase.PROTECTED
        self.is_aborted = True
        return pending


class Progress:
    """All requests in progress of one entry."""

    def __init__(self) -> None:
        self._tasks: set[RequestTask] = set()
        self._background = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request and no record of an outcome is in progress."""
        return not self._tasks and not self._background

    def start(self) -> RequestTask:
        """Register the current task as a request in progress."""
        task = RequestTask()
        self._tasks.add(task)
        return task

    def end(self, task: RequestTask) -> None:
        """Remove a request; safe to call twice."""
        task.enter(Phase.PROTECTED)
        self._tasks.discard(task)

    def spawn(
        self, function: Callable[..., object], *arguments: object
    ) -> typing.Any:
        """Run a function in the background; the drain waits for it.

        Args:
            function: What to run.
            arguments: Its arguments.

        Returns:
            The green thread.
        """
        self._background += 1
        thread = eventlet.spawn(function, *arguments)
        thread.link(self._on_background_end)
        return thread

    def on_drain_deadline(self) -> None:
        """Tell every request to give up."""
        for task in tuple(self._tasks):
            task.on_drain_deadline()

    def _on_background_end(self, thread: object) -> None:
        self._background -= 1
