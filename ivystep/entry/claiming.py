"""Acquires, settles and looks up the claims of non-idempotent requests."""

import typing
from collections.abc import Callable

import eventlet

from ivystep.coordination import claims
from ivystep.core import errors, types
from ivystep.entry import answers, progress
from ivystep.runtime import clock, logs

REPEAT_AFTER_S = 1.0
# Longest time that an error answer with "ran: no" is held back until the claim
# is released. A repeat that arrives before the release would be refused.
RELEASE_WAIT_S = 0.5
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
RECORDING_TIMEOUT_S = 600.0
MAX_PENDING_OUTCOMES = 4096

log = logs.get('claims')


class Claims:
    """Runs the non-idempotent requests of one entry under their claims.

    Args:
        claim_log: The durable claims.
        in_progress: Work in progress at this entry. Outcomes that are being
            recorded are registered there, so that a drain waits for them.
    """

    def __init__(
        self, claim_log: claims.ClaimLog, in_progress: progress.RequestRegistry
    ) -> None:
        self._claim_log = claim_log
        self._in_progress = in_progress
        self._pending_outcomes = 0

    def run(
        self,
        request: types.Request,
        start: Callable[[types.Request], types.Answer],
    ) -> types.Answer:
        """Acquire the claim of a request, run it and record its outcome.

        Args:
            request: A request with a claim.
            start: Runs the request and returns once its answer has begun.

        Returns:
            The answer. The claim is settled when its chunks end.

        Raises:
            errors.RequestError: The request failed, or its idempotency key
                was used before.
        """
        self._acquire(request)
        try:
            answer = start(request)
        except errors.RequestError as error:
            self._settle(request, error.ran, error.status)
            raise
        except BaseException:
            self._settle(request, types.ExecutionStatus.UNKNOWN, None)
            raise
        status = answer.head.status
        answer.chunks.on_end(lambda ran: self._settle(request, ran, status))
        return answer

    def outcome(self, account: str, key: str) -> dict[str, typing.Any]:
        """Return the body of the answer about an idempotency key.

        Args:
            account: Client account of the caller.
            key: Idempotency key.

        Raises:
            errors.RequestError: No claim is recorded, or the table service
                does not answer. Neither proves that no request with this key
                was run.
        """
        try:
            claim = self._claim_log.read(account, key)
        except errors.PlatformError as error:
            raise _unavailable_error(types.ExecutionStatus.UNKNOWN) from error
        if claim is None:
            raise errors.RequestError(
                'request_not_found',
                'Nothing is recorded for this idempotency key.',
                status=404,
                ran=types.ExecutionStatus.UNKNOWN,
            )
        return {
            'idempotency_key': key,
            'ran': claim.ran.value,
            'state': claim.state.value,
            'status': claim.status,
        }

    def _acquire(self, request: types.Request) -> None:
        key = request.claim
        remaining_s = max(request.deadline - clock.now(), 0)
        try:
            with eventlet.Timeout(remaining_s, TimeoutError):
                claim = self._claim_log.acquire(
                    request.account,
                    key.key,
                    request.request_id,
                    key.fingerprint,
                )
        except (errors.UncertainWriteError, TimeoutError) as error:
            # The claim may have been acquired. The request will not run, so
            # the claim is released once the table service answers again.
            self._spawn_recording(request, types.ExecutionStatus.NO, None)
            raise _unavailable_error(types.ExecutionStatus.NO) from error
        except errors.PlatformError as error:
            raise _unavailable_error(types.ExecutionStatus.NO) from error
        if not claim.granted:
            raise _repeated_error(claim)

    def _settle(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> None:
        if ran is types.ExecutionStatus.NO:
            recording = self._spawn_recording(request, ran, None)
            if recording is not None:
                with eventlet.Timeout(RELEASE_WAIT_S, exception=False):
                    recording.wait()
        else:
            self._spawn_recording(request, ran, status)

    def _spawn_recording(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> typing.Any:
        if self._pending_outcomes >= MAX_PENDING_OUTCOMES:
            log.error(
                'Outcome of %s is not recorded: too many outcomes are pending.',
                request.request_id,
            )
            return None
        self._pending_outcomes += 1
        return self._in_progress.spawn(
            self._record_outcome, request, ran, status
        )

    def _record_outcome(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> None:
        """Record an outcome; retry with back-off while the platform fails."""
        give_up_at = clock.now() + RECORDING_TIMEOUT_S
        pause_s = FIRST_BACKOFF_S
        try:
            while not self._try_record_outcome(request, ran, status):
                if clock.now() >= give_up_at:
                    log.error(
                        'Outcome of %s is not recorded: retries timed out.',
                        request.request_id,
                    )
                    return
                clock.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_BACKOFF_S)
        finally:
            self._pending_outcomes -= 1

    def _try_record_outcome(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> bool:
        try:
            self._claim_log.settle(
                request.account,
                request.claim.key,
                request.request_id,
                ran,
                status,
            )
        except errors.InvariantError:
            log.exception(
                'Outcome of %s conflicts with its claim.', request.request_id
            )
        except errors.PlatformError as error:
            log.info(
                'Outcome of %s is not recorded yet: %s.',
                request.request_id,
                error,
            )
            return False
        return True


def _unavailable_error(ran: types.ExecutionStatus) -> errors.RequestError:
    return errors.RequestError(
        'platform_unavailable',
        'The record of non-idempotent requests cannot be reached.',
        status=503,
        ran=ran,
        retry_after_s=REPEAT_AFTER_S,
        step='claim',
    )


def _repeated_error(claim: claims.Claim) -> errors.RequestError:
    if not claim.matches:
        return answers.refusal(
            'idempotency_key_reused',
            'This idempotency key was used for a request with other content.',
            status=422,
        )
    retry_after_s = None
    if claim.state is claims.ClaimState.TAKEN:
        retry_after_s = REPEAT_AFTER_S
    return errors.RequestError(
        'request_repeated',
        'A request with this idempotency key has been received before.',
        status=409,
        ran=claim.ran,
        retry_after_s=retry_after_s,
        step='claim',
    )
