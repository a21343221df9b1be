"""Runs a request: placement, attempts and retries."""

import dataclasses
from collections.abc import Iterator

from ivystep.core import errors, ids, types
from ivystep.entry import pool
from ivystep.runtime import clock, logs

MAX_ATTEMPTS = 3

log = logs.get('entry')


def dispatch(request: types.Request, target: pool.Pool) -> types.Answer:
    """Run a request until it has an answer or has failed for good.

    Args:
        request: The request.
        target: The pool that serves it.

    Returns:
        The answer. Its upstream is released when the chunks are used up or
        closed.

    Raises:
        errors.RequestError: The request failed; ``ran`` is never ``NO``
            unless the request was not run.
    """
    tried = 0
    while True:
        placement = target.place(request)
        attempt = types.Attempt(ids.new_id('att'), placement)
        tried += 1
        log.info('Attempt %s runs %s.', attempt.attempt_id, request.request_id)
        try:
            answer = target.link(placement.upstream_id).run(attempt)
        except errors.RequestError as error:
            target.finish(placement)
            if not _may_retry(request, error, tried):
                raise
            log.info('Attempt %s is retried: %s.', attempt.attempt_id, error)
            continue
        return dataclasses.replace(
            answer, chunks=_released(answer.chunks, target, placement)
        )


def _may_retry(
    request: types.Request, error: errors.RequestError, tried: int
) -> bool:
    """Return whether another attempt cannot run the request twice."""
    if tried >= MAX_ATTEMPTS or clock.now() >= request.deadline:
        return False
    if error.ran is types.Ran.NO:
        return error.status >= 500
    return request.idempotent and error.ran is types.Ran.UNKNOWN


def _released(
    chunks: Iterator[bytes], target: pool.Pool, placement: types.Placement
) -> Iterator[bytes]:
    try:
        yield from chunks
    finally:
        target.finish(placement)
