"""Tracks the requests in progress and aborts them.

A request runs on the task of its caller's connection. When the caller
disconnects or the drain deadline passes, an ``AbortedError`` is raised in that
task at the point where it waits.
"""

import contextlib
import enum
import math
import typing
from collections.abc import Callable, Generator

import eventlet
from eventlet import hubs
from greenlet import getcurrent

from ivystep.core import errors, types
from ivystep.entry import answers

# Time in which a caller connects to another entry.
ABORTED_RETRY_S = 1.0


class Phase(enum.Enum):
    """Phase of a request, which decides whether it can be aborted.

    Attributes:
        PROTECTED: Reading, claiming or recording; is never interrupted.
        WAITING: In a queue; nothing has been sent to an upstream.
        RUNNING: Sent to an upstream.
        FINISHING: Sent to an upstream; continues if the caller disconnects,
            because the outcome must be recorded.
    """

    PROTECTED = 'protected'
    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHING = 'finishing'


ABORT_ON_DISCONNECT_PHASES = frozenset((Phase.WAITING, Phase.RUNNING))


def running_phase(request: types.Request) -> Phase:
    """Return the phase of a request on an upstream.

    A non-idempotent request that may have started is not aborted when its
    caller disconnects, so that its outcome can be recorded.
    """
    return Phase.RUNNING if request.claim is None else Phase.FINISHING


class AbortedError(errors.IvystepError):
    """The request was aborted.

    Attributes:
        code: Stable code of the answer.
        status: HTTP status of the answer.
        retry_after_s: Time until a repeat can succeed, in seconds, or None.
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
        """Return the error for the caller, with the outcome of the request.

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


def _do_nothing() -> None:
    """Do nothing."""


class RequestTask:
    """The task that a request runs on.

    Attributes:
        is_aborted: Whether the request was aborted.
        poll_caller: Called at the start of each phase that a disconnect
            aborts; calls ``on_caller_gone`` if the caller has disconnected. A
            late event loop may start a phase before it reads the disconnect.
    """

    def __init__(self) -> None:
        self.is_aborted = False
        self.poll_caller: Callable[[], None] = _do_nothing
        self._phase = Phase.PROTECTED
        self._task = getcurrent()
        self._pending: AbortedError | None = None

    @contextlib.contextmanager
    def in_phase(self, phase: Phase) -> Generator[None, None, None]:
        """Set the phase within a block, and with it when to abort.

        Args:
            phase: The phase of the block.

        Raises:
            AbortedError: The request was aborted, in the block or earlier in
                a phase that could not be interrupted.
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
            AbortedError: The request was aborted earlier, in a phase that
                could not be interrupted.
        """
        self._phase = phase
        if phase in ABORT_ON_DISCONNECT_PHASES:
            self.poll_caller()
        pending = self._pop_pending()
        if pending is not None:
            raise pending

    def on_caller_gone(self) -> None:
        """Abort because the caller has disconnected."""
        if self._phase in ABORT_ON_DISCONNECT_PHASES:
            self._abort(
                AbortedError(
                    'caller_disconnected',
                    'The caller closed its side of the connection.',
                    status=answers.CLIENT_CLOSED_STATUS,
                ),
            )

    def on_drain_deadline(self) -> None:
        """Abort because the drain deadline has passed."""
        self._abort(
            AbortedError(
                'entry_draining',
                'The entry is stopping and the request did not end in time.',
                status=503,
                retry_after_s=ABORTED_RETRY_S,
            ),
        )

    def _abort(self, error: AbortedError) -> None:
        if not self.is_aborted and self._pending is None:
            self._pending = error
            hubs.get_hub().schedule_call_global(0, self._throw_pending)

    def _throw_pending(self) -> None:
        """Raise the pending error in the task; runs on the hub."""
        pending = self._pop_pending()
        if pending is not None:
            self._task.throw(pending)

    def _pop_pending(self) -> AbortedError | None:
        if self._phase is Phase.PROTECTED or self._pending is None:
            return None
        pending = self._pending
        self._pending = None
        # The clean-up that follows must not be interrupted again.
        self._phase = Phase.PROTECTED
        self.is_aborted = True
        return pending


class RequestRegistry:
    """The requests in progress at one entry."""

    def __init__(self) -> None:
        self._tasks: set[RequestTask] = set()
        self._background_count = 0
        self._is_past_deadline = False
        self._must_end_by = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether no request and no background task is in progress."""
        return not self._tasks and not self._background_count

    def start(self) -> RequestTask:
        """Register the current task as a request in progress.

        After the drain deadline it is aborted before anything is sent.
        """
        task = RequestTask()
        self._tasks.add(task)
        if self._is_past_deadline:
            task.on_drain_deadline()
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
        self._background_count += 1
        thread = eventlet.spawn(function, *arguments)
        thread.link(self._on_background_end)
        return thread

    def require_end_by(self, deadline: float) -> None:
        """Take only requests from now on that end by the drain deadline.

        Args:
            deadline: The drain deadline.
        """
        self._must_end_by = deadline

    def raise_if_too_late(self, deadline: float) -> None:
        """Raise an error if a request might be aborted by the drain deadline.

        Callers are routed to other entries by then, and how long earlier
        answers took is no bound.

        Args:
            deadline: Deadline of a request that has been read.

        Raises:
            errors.RefusedError: The request might be aborted.
        """
        if deadline > self._must_end_by:
            raise answers.refusal(
                'entry_draining',
                'The entry stops before the deadline of the request.',
                status=503,
                retry_after_s=ABORTED_RETRY_S,
            )

    def on_drain_deadline(self) -> None:
        """Abort all requests, and those that are still to come."""
        self._is_past_deadline = True
        for task in tuple(self._tasks):
            task.on_drain_deadline()

    def _on_background_end(self, thread: object) -> None:
        self._background_count -= 1
