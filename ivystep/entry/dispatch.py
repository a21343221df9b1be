"""Places requests on upstreams, runs their attempts and retries failures."""

import dataclasses
import typing
from collections.abc import Callable, Collection, Mapping

from ivystep.coordination import retry_budget
from ivystep.core import errors, ids, types
from ivystep.entry import answers, isolation, links, progress, relay
from ivystep.metrics import registry
from ivystep.runtime import clock, logs

MAX_ATTEMPTS = 3
# Statuses of failures that a retry on another upstream may avoid.
RETRIED_STATUSES = frozenset((502, 503))
# Retry-After of a failed request that the caller may safely repeat.
REPEAT_AFTER_S = 1.0

Renew = Callable[[types.Request], types.Request]

log = logs.get('entry')


def keep(request: types.Request) -> types.Request:
    """Return a request unchanged; a ``Renew`` for a constant setup."""
    return request


class RequestPool(typing.Protocol):
    """The methods of ``pool.Pool`` that the dispatcher uses."""

    def place(
        self, request: types.Request, avoid: Collection[str] = ()
    ) -> types.Placement:
        """Wait until the request has an upstream; see ``pool.Pool.place``."""

    def link(self, upstream_id: str) -> links.UpstreamLink:
        """Return the link to an upstream; see ``pool.Pool.link``."""

    def finish(self, placement: types.Placement) -> None:
        """Release the capacity of a placement; see ``pool.Pool.finish``."""


class _AttemptHistory:
    """The failed attempts of one request.

    Attributes:
        attempts: Number of failed attempts.
        ran: Whether one of them was run: yes if any was, else unknown if any
            may have been, else no.
        tried_upstreams: Ids of the upstreams of these attempts.
    """

    def __init__(self) -> None:
        self.attempts = 0
        self.ran = types.ExecutionStatus.NO
        self.tried_upstreams: frozenset[str] = frozenset()

    def on_failure(
        self, placement: types.Placement, error: errors.RequestError
    ) -> None:
        """Record a failed attempt."""
        self.attempts += 1
        self.tried_upstreams = self.tried_upstreams.union(
            (placement.upstream_id,)
        )
        self.ran = self.outcome_after(error.ran)

    def outcome_after(
        self, ran: types.ExecutionStatus
    ) -> types.ExecutionStatus:
        """Return ``ran`` as it is after one more attempt.

        Args:
            ran: Whether that attempt was run.
        """
        if types.ExecutionStatus.YES in {ran, self.ran}:
            return types.ExecutionStatus.YES
        return self.ran if ran is types.ExecutionStatus.NO else ran


class Dispatcher:
    """Runs requests on the pools of an entry.

    Args:
        pool_by_name: The pools; a live mapping that may grow.
        budgets: Retry budgets by account and pool.
        quarantines: Quarantines of the pools.
        metrics: Counts the retries.
    """

    def __init__(
        self,
        pool_by_name: Mapping[str, RequestPool],
        budgets: retry_budget.RetryBudgets,
        quarantines: isolation.Isolation,
        metrics: registry.Metrics,
    ) -> None:
        self._pool_by_name = pool_by_name
        self._budgets = budgets
        self._quarantines = quarantines
        self._metrics = metrics

    def run(
        self,
        request: types.Request,
        task: progress.RequestTask,
        renew: Renew = keep,
    ) -> types.Answer:
        """Run a request until it has an answer or its last attempt has failed.

        Args:
            request: The request.
            task: The task that the request runs on.
            renew: Returns the request as it is under the setup now in force;
                called before each wait for an upstream and after it.

        Returns:
            The answer. Its chunks are a ``relay.Relay`` whose first chunk, or
            for a request that is not streamed the whole body, has arrived.

        Raises:
            errors.RequestError: The request failed. ``ran`` is ``NO`` only if
                none of its attempts was run.
        """
        budget = self._budgets.budget((request.account, request.pool))
        budget.on_request()
        history = _AttemptHistory()
        while True:
            request = _renewed(request, renew, history)
            pool = self._pool(request, history)
            permit = self._acquire_permit(request, history)
            placement = _place(request, pool, task, history, permit)
            if not self._is_current(placement, pool, permit, renew, history):
                continue
            try:
                return _run_attempt(placement, pool, task, permit)
            except errors.RequestError as error:
                permit.on_failure(placement.upstream_id, error)
                history.on_failure(placement, error)
                if task.is_aborted or not _may_retry(request, error, history):
                    raise _final_error(request, error, history.ran) from error
                _spend_retry(budget, request, error, history)
                self._metrics.record_retry(request.account)
                log.info('Retrying request %s: %s', request.request_id, error)

    def _pool(
        self, request: types.Request, history: _AttemptHistory
    ) -> RequestPool:
        pool = self._pool_by_name.get(request.pool)
        if pool is None:
            refusal = answers.refusal(
                'upstream_unavailable',
                'No upstream of the pool is known.',
                status=503,
                retry_after_s=REPEAT_AFTER_S,
            )
            raise _final_error(request, refusal, history.ran)
        return pool

    def _is_current(
        self,
        placement: types.Placement,
        pool: RequestPool,
        permit: isolation.AttemptPermit,
        renew: Renew,
        history: _AttemptHistory,
    ) -> bool:
        """Return whether a request may be sent as it was placed.

        While it waited, crash evidence against it may have arrived, or
        another setup come into force. If it may not be sent, its placement
        and its permit are released.
        """
        request = placement.request
        is_current = False
        try:
            renewed = _renewed(request, renew, history)
            is_current = permit.is_current and _is_same(request, renewed)
        finally:
            if not is_current:
                pool.finish(placement)
                permit.close()
        return is_current

    def _acquire_permit(
        self, request: types.Request, history: _AttemptHistory
    ) -> isolation.AttemptPermit:
        try:
            return self._quarantines.acquire_permit(request)
        except errors.RequestError as error:
            raise _final_error(request, error, history.ran) from error


def _renewed(
    request: types.Request, renew: Renew, history: _AttemptHistory
) -> types.Request:
    """Return a request as it is now; raise the final error if refused."""
    try:
        return renew(request)
    except errors.RequestError as error:
        raise _final_error(request, error, history.ran) from error


def _is_same(request: types.Request, renewed: types.Request) -> bool:
    """Return whether two setups give a request in the same form."""
    return request == dataclasses.replace(
        renewed, setup_version=request.setup_version
    )


def _place(
    request: types.Request,
    pool: RequestPool,
    task: progress.RequestTask,
    history: _AttemptHistory,
    permit: isolation.AttemptPermit,
) -> types.Placement:
    """Wait for a placement; close the permit if there is none."""
    placement = None
    try:
        with task.in_phase(progress.Phase.WAITING):
            placement = pool.place(
                request, history.tried_upstreams | permit.avoid
            )
            return dataclasses.replace(
                placement, is_isolated=permit.is_isolated
            )
    except progress.AbortedError as aborted:
        raise aborted.with_outcome(history.ran) from aborted
    except errors.RequestError as error:
        raise _final_error(
            request, error, history.outcome_after(error.ran)
        ) from error
    finally:
        if placement is None:
            permit.close()


def _run_attempt(
    placement: types.Placement,
    pool: RequestPool,
    task: progress.RequestTask,
    permit: isolation.AttemptPermit,
) -> types.Answer:
    attempt = types.Attempt(ids.new_id('att'), placement)
    request = placement.request
    log.info(
        'Attempt %s of request %s starts.',
        attempt.attempt_id,
        request.request_id,
    )
    try:
        answer = _start_attempt(attempt, pool.link(placement.upstream_id), task)
    except BaseException:
        # ``run`` reports the failure to the permit next. A closed permit still
        # records a lost engine, but has no other effect.
        pool.finish(placement)
        permit.close()
        raise
    chunks = relay.Relay(answer.chunks, lambda _: pool.finish(placement))
    chunks.on_end(lambda _: permit.close(is_completed=chunks.is_complete))
    try:
        with task.in_phase(progress.running_phase(request)):
            chunks.prime(whole=not request.stream)
    except progress.AbortedError as aborted:
        chunks.close()
        raise aborted.with_outcome(types.ExecutionStatus.UNKNOWN) from aborted
    return types.Answer(answer.head, chunks)


def _start_attempt(
    attempt: types.Attempt,
    link: links.UpstreamLink,
    task: progress.RequestTask,
) -> types.Answer:
    try:
        with task.in_phase(progress.running_phase(attempt.request)):
            return link.run(attempt)
    except progress.AbortedError as aborted:
        raise aborted.with_outcome(link.revoke(attempt)) from aborted


def _spend_retry(
    budget: retry_budget.RetryBudget,
    request: types.Request,
    error: errors.RequestError,
    history: _AttemptHistory,
) -> None:
    """Spend one retry; raise the final error if the budget is used up."""
    if not budget.try_spend():
        raise _final_error(request, error, history.ran) from error


def _may_retry(
    request: types.Request, error: errors.RequestError, history: _AttemptHistory
) -> bool:
    """Return whether a retry is useful and cannot run the request twice."""
    if history.attempts >= MAX_ATTEMPTS or clock.now() >= request.deadline:
        return False
    if error.status not in RETRIED_STATUSES:
        return False
    return history.ran is types.ExecutionStatus.NO or request.idempotent


def _final_error(
    request: types.Request,
    error: errors.RequestError,
    ran: types.ExecutionStatus,
) -> errors.RequestError:
    """Return the error for the caller, with ``ran`` over all attempts."""
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
