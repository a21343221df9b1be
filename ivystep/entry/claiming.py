"""Claims of non-idempotent requests at the entry: taken, settled, looked up."""

import typing
from collections.abc import Callable

import eventlet

from ivystep.coordination import claims
from ivystep.core import errors, types
from ivystep.entry import answers, progress
from ivystep.runtime import clock, logs

REPEAT_AFTER_S = 1.0
# A caller that is told "ran: no" may repeat at once, which only succeeds once
# the claim is released; the answer waits this long for it at most.
RELEASE_WAIT_S = 0.5
SETTLE_FIRST_PAUSE_S = 0.1
SETTLE_MAX_PAUSE_S = 5.0
SETTLE_GIVE_UP_S = 600.0
MAX_SETTLING = 4096

log = logs.get('claims')


class Claims:
    """Claims of the requests of one entry.

    Args:
        claim_log: The durable claims.
        in_progress: Where the recording of outcomes is registered, so that
            the drain waits for it.
    """

    def __init__(
        self, claim_log: claims.ClaimLog, in_progress: progress.RequestRegistry
    ) -> None:
        self._log = claim_log
        self._in_progress = in_progress
        self._settling = 0

    def run(
        self,
        request: types.Request,
        start: Callable[[types.Request], types.Answer],
    ) -> types.Answer:
        """Run a request under its claim and have its outcome recorded.

        Args:
            request: A request with a claim.
            start: Runs the request until its answer starts.

        Returns:
            The answer; the end of its chunks settles the claim.

        Raises:
            errors.RequestError: The request failed, or its key was used.
        """
        self._take(request)
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
        """Return what is known of a key, as the body of an answer.

        Args:
            account: Client account of the caller.
            key: Idempotency key.

        Raises:
            errors.RequestError: Nothing is recorded, or it cannot be read.
                Neither says that a request with this key was not run.
        """
        try:
            claim = self._log.read(account, key)
        except errors.PlatformError as error:
            raise _unavailable(types.ExecutionStatus.UNKNOWN) from error
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

    def _take(self, request: types.Request) -> None:
        key = request.claim
        left_s = max(request.deadline - clock.now(), 0)
        try:
            with eventlet.Timeout(left_s, TimeoutError):
                claim = self._log.acquire(
                    request.account,
                    key.key,
                    request.request_id,
                    key.fingerprint,
                )
        except (errors.UncertainWriteError, TimeoutError) as error:
            # The claim may have been taken. The request will not run, so it
            # is released as soon as the table service answers.
            self._spawn_record(request, types.ExecutionStatus.NO, None)
            raise _unavailable(types.ExecutionStatus.NO) from error
        except errors.PlatformError as error:
            raise _unavailable(types.ExecutionStatus.NO) from error
        if not claim.granted:
            raise _repeated(claim)

    def _settle(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> None:
        if ran is types.ExecutionStatus.NO:
            recording = self._spawn_record(request, ran, None)
            if recording is not None:
                with eventlet.Timeout(RELEASE_WAIT_S, exception=False):
                    recording.wait()
        else:
            self._spawn_record(request, ran, status)

    def _spawn_record(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> typing.Any:
        if self._settling >= MAX_SETTLING:
            log.error('Outcome of %s is not recorded.', request.request_id)
            return None
        self._settling += 1
        return self._in_progress.spawn(self._record, request, ran, status)

    def _record(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> None:
        """Record an outcome, again and again while the platform fails."""
        give_up = clock.now() + SETTLE_GIVE_UP_S
        pause_s = SETTLE_FIRST_PAUSE_S
        try:
            while not self._try_record(request, ran, status):
                if clock.now() >= give_up:
                    log.error('Outcome of %s is lost.', request.request_id)
                    return
                clock.sleep(pause_s)
                pause_s = min(pause_s * 2, SETTLE_MAX_PAUSE_S)
        finally:
            self._settling -= 1

    def _try_record(
        self,
        request: types.Request,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> bool:
        try:
            self._log.settle(
                request.account,
                request.claim.key,
                request.request_id,
                ran,
                status,
            )
        except errors.InvariantError:
            log.exception('Outcome of %s is refused.', request.request_id)
        except errors.PlatformError as error:
            log.info('Outcome of %s waits: %s.', request.request_id, error)
            return False
        return True


def _unavailable(ran: types.ExecutionStatus) -> errors.RequestError:
    return errors.RequestError(
        'platform_unavailable',
        'The record of non-idempotent requests cannot be reached.',
        status=503,
        ran=ran,
        retry_after_s=REPEAT_AFTER_S,
        step='claim',
    )


def _repeated(claim: claims.Claim) -> errors.RequestError:
    if not claim.matches:
        return answers.refusal(
            'idempotency_key_reused',
            'This idempotency key belongs to a request with another content.',
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
