"""Errors that end a request: after its last attempt, in time, or in a stop.

Each states whether the request may have run, from all of its attempts.
"""

from ivystep.accounts import authentication
from ivystep.core import errors, types
from ivystep.gateway.requests import request_state


def final_error(
    error: errors.RequestError,
    state: request_state.RequestState,
    wait_s: float = 0.0,
) -> errors.RequestError:
    """Return the error that ends a request after its last attempt.

    Args:
        error: The error of the attempt.
        state: The request.
        wait_s: Time until the service takes a request again.
    """
    if state.may_have_run and error.ran is types.ExecutionStatus.NO:
        # The last attempt did not run, but an earlier one may have.
        return errors.RequestError(
            error.code,
            error.reason,
            status=502,
            ran=types.ExecutionStatus.UNKNOWN,
            step=error.step,
            peer=error.peer,
        )
    is_retryable = error.status != authentication.UNAUTHORIZED_STATUS
    if (
        error.ran is types.ExecutionStatus.NO
        and error.retry_after_s is None
        and is_retryable
    ):
        error.retry_after_s = max(wait_s, request_state.MIN_RETRY_AFTER_S)
    return error


def deadline_error(state: request_state.RequestState) -> errors.RequestError:
    """Return the error of a request whose deadline has passed."""
    has_run = bool(state.may_have_run)
    return errors.RequestError(
        request_state.DEADLINE_EXCEEDED,
        'The deadline of the request has passed.',
        status=504 if has_run else 503,
        ran=types.ExecutionStatus.UNKNOWN
        if has_run
        else types.ExecutionStatus.NO,
        retry_after_s=None if has_run else request_state.MIN_RETRY_AFTER_S,
        step='wait',
        peer=state.upstream_id,
    )


def stopped_error(
    state: request_state.RequestState, retry_after_s: float
) -> errors.RequestError:
    """Return the error of a request that this host has no time left for.

    Args:
        state: The request.
        retry_after_s: Time after which another host can take it.
    """
    has_run = bool(state.may_have_run)
    return errors.RequestError(
        request_state.HOST_STOPPING,
        'This host stops before the answer would be complete.',
        status=502 if has_run else 503,
        ran=types.ExecutionStatus.UNKNOWN
        if has_run
        else types.ExecutionStatus.NO,
        retry_after_s=None if has_run else retry_after_s,
        step=state.step,
        peer=state.upstream_id,
    )
