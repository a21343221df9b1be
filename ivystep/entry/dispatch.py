"""Runs a request: placement, attempts and retries."""

import dataclasses
import typing
from collections.abc import Collection, Mapping

from ivystep.coordination import retry_budget
from ivystep.core import errors, ids, types
from ivystep.entry import answers, isolation, links, progress, relay
from ivystep.metrics import registry
from ivystep.runtime import clock, logs

MAX_ATTEMPTS = 3
# Statuses of failures that another upstream may not have.
RETRIED_STATUSES = frozenset((502, 503))
# Suggested wait before a caller repeats an idempotent request that failed.
REPEAT_AFTER_S = 1.0

log = logs.get('entry')


class Target(typing.Protocol):
    """What dispatch needs of a pool."""

    def place(
        self, request: types.Request, avoid: Collection[str] = ()
    ) -> types.Placement:
        """Wait until the request has an upstream; see ``pool.Pool.place``."""

    def link(self, upstream_id: str) -> links.UpstreamLink:
        """Return the link to an upstream; see ``pool.Pool.link``."""

    def finish(self, placement: types.Placement) -> None:
        """Give back the room of a placement; see ``pool.Pool.finish``."""


class _Course:
    """What has happened to a request so far.

    Attributes:
        ran: Whether one of its attempts was run. An attempt that certainly
            did not run adds nothing, so the outcome is that of the attempt
            which got furthest.
    """

    def __init__(self) -> None:
        self.attempts = 0
        self.ran = types.ExecutionStatus.NO
        self.tried: frozenset[str] = frozenset()

    def on_failure(
        self, placement: types.Placement, error: errors.RequestError
    ) -> None:
        """Take over how an attempt ended."""
        self.attempts += 1
        self.tried = self.tried.union((placement.upstream_id,))
        self.ran = self.outcome(error.ran)

    def outcome(self, ran: types.ExecutionStatus) -> types.ExecutionStatus:
        """Return the outcome after another attempt."""
        if types.ExecutionStatus.YES in {ran, self.ran}:
            return types.ExecutionStatus.YES
        return self.ran if ran is types.ExecutionStatus.NO else ran


class Dispatcher:
    """Runs requests on the pools of an entry.

    Args:
        pool_by_name: The pools; more may be added later.
        budgets: Retry budgets by account and pool.
        suspects: Quarantines of the pools.
        metrics: Where retries are counted.
    """

    def __init__(
        self,
        pool_by_name: Mapping[str, Target],
        budgets: retry_budget.RetryBudgets,
        suspects: isolation.Isolation,
        metrics: registry.Metrics,
    ) -> None:
        self._pool_by_name = pool_by_name
        self._budgets = budgets
        self._suspects = suspects
        self._metrics = metrics

    def run(
        self, request: types.Request, task: progress.RequestTask
    ) -> types.Answer:
        """Run a request until it has an answer or has failed for good.

        Args:
            request: The request.
            task: The task it runs on.

        Returns:
            The answer. Its chunks are a ``relay.Relay`` whose first chunk, or
            for a request that is not streamed the whole body, has arrived.

        Raises:
            errors.RequestError: The request failed; ``ran`` is never ``NO``
                unless the request was not run.
        """
        target = self._pool_by_name.get(request.pool)
        if target is None:
            raise answers.refusal(
                'upstream_unavailable',
                'No upstream of the pool is known.',
                status=503,
                retry_after_s=REPEAT_AFTER_S,
            )
        budget = self._budgets.budget((request.account, request.pool))
        budget.on_request()
        course = _Course()
        while True:
            permit = self._enter(request, course)
            placement = _place(request, target, task, course, permit)
            if not permit.is_current:
                # Evidence against the request arrived while it waited.
                target.finish(placement)
                permit.close()
                continue
            try:
                return _run_once(placement, target, task, permit)
            except errors.RequestError as error:
                permit.on_failure(placement.upstream_id, error)
                course.on_failure(placement, error)
                if task.is_aborted or not _may_retry(request, error, course):
                    raise _final(request, error, course.ran) from error
                _spend(budget, request, error, course)
                self._metrics.record_retry(request.account)
                log.info('Request %s is retried: %s', request.request_id, error)

    def _enter(
        self, request: types.Request, course: _Course
    ) -> isolation.Permit:
        try:
            return self._suspects.enter(request)
        except errors.RequestError as error:
            raise _final(request, error, course.ran) from error


def _place(
    request: types.Request,
    target: Target,
    task: progress.RequestTask,
    course: _Course,
    permit: isolation.Permit,
) -> types.Placement:
    """Wait for a placement; the permit is given back if there is none."""
    placement = None
    try:
        with task.in_phase(progress.Phase.WAITING):
            placement = target.place(request, course.tried | permit.avoid)
            return dataclasses.replace(
                placement, is_isolated=permit.is_isolated
            )
    except progress.AbortedError as aborted:
        raise aborted.with_outcome(course.ran) from aborted
    except errors.RequestError as error:
        raise _final(request, error, course.outcome(error.ran)) from error
    finally:
        if placement is None:
            permit.close()


def _run_once(
    placement: types.Placement,
    target: Target,
    task: progress.RequestTask,
    permit: isolation.Permit,
) -> types.Answer:
    attempt = types.Attempt(ids.new_id('att'), placement)
    request = placement.request
    log.info('Attempt %s runs %s.', attempt.attempt_id, request.request_id)
    try:
        answer = _start(attempt, target.link(placement.upstream_id), task)
    except BaseException:
        # A permit that was given back already takes no further effect but
        # still records a failed engine.
        target.finish(placement)
        permit.close()
        raise
    chunks = relay.Relay(answer.chunks, lambda _: target.finish(placement))
    chunks.on_end(lambda _: permit.close(is_completed=chunks.is_complete))
    try:
        with task.in_phase(progress.running_phase(request)):
            chunks.prime(whole=not request.stream)
    except progress.AbortedError as aborted:
        chunks.close()
        raise aborted.with_outcome(types.ExecutionStatus.UNKNOWN) from aborted
    return types.Answer(answer.head, chunks)


def _start(
    attempt: types.Attempt,
    link: links.UpstreamLink,
    task: progress.RequestTask,
) -> types.Answer:
    try:
        with task.in_phase(progress.running_phase(attempt.request)):
            return link.run(attempt)
    except progress.AbortedError as aborted:
        raise aborted.with_outcome(link.revoke(attempt)) from aborted


def _spend(
    budget: retry_budget.RetryBudget,
    request: types.Request,
    error: errors.RequestError,
    course: _Course,
) -> None:
    """Take a retry from the budget, or fail for good."""
    if not budget.try_spend():
        raise _final(request, error, course.ran) from error


def _may_retry(
    request: types.Request, error: errors.RequestError, course: _Course
) -> bool:
    """Return whether another attempt cannot run the request twice."""
    if course.attempts >= MAX_ATTEMPTS or clock.now() >= request.deadline:
        return False
    if error.status not in RETRIED_STATUSES:
        return False
    return course.ran is types.ExecutionStatus.NO or request.idempotent


def _final(
    request: types.Request,
    error: errors.RequestError,
    ran: types.ExecutionStatus,
) -> errors.RequestError:
    """Return the caller's error with the outcome of all attempts."""
    retry_after_s = error.retry_after_s
    can_repeat = request.idempotent or ran is types.ExecutionStatus.NO
    if (
        retry_after_s is None
        and can_repeat
        and error.status in RETRIED_STATUSES
    ):
        retry_after_s = REPEAT_AFTER_S
    return errors.RequestError(
        error.code,
        error.reason,
        status=error.status,
        ran=ran,
        retry_after_s=retry_after_s,
        engine_lost=error.engine_lost,
        step=error.step,
        peer=error.peer,
    )
