"""Runs an attempt: admission, upstream call and relay of the answer."""

import contextlib
import itertools
import json
from collections.abc import Generator, Iterator

import eventlet
import urllib3

from ivystep.core import errors, types, units
from ivystep.platform import decoding
from ivystep.runtime import clock, logs
from ivystep.sidecar import answers, attempts, host, interrupts, upstream
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

READ_BYTES = 64 * units.KIB
QUEUE_FACTOR = 2
UNAVAILABLE_STATUS = 503
ENGINE_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))
# The connection of an entry that has not read a frame this long after the
# deadline is closed.
SEND_GRACE_S = 2.0

log = logs.get('sidecar')


def run_attempt(
    upstream_host: host.UpstreamHost,
    message: ttypes.RunAttempt,
    peer: channel.Channel,
) -> None:
    """Run an attempt and send its answer or its failure.

    Args:
        upstream_host: The upstream host.
        message: The attempt.
        peer: Connection to the entry.

    Raises:
        errors.LinkError: The entry has disconnected; the connection to the
            upstream was closed without reading the rest of its answer.
    """
    upstream_host.setup_version = max(
        upstream_host.setup_version, message.setup_version
    )
    if peer.is_stale():
        # The message may have arrived long ago, while this process was paused.
        if upstream_host.attempts.execution_status(message.attempt_id) is None:
            upstream_host.attempts.end(
                message.attempt_id, types.ExecutionStatus.NO
            )
        raise errors.LinkError(
            'the entry has disconnected', step='run', peer=peer.peer
        )
    try:
        _admit(upstream_host, message)
    except errors.RequestError as error:
        peer.send(_failure(message, error))
        return
    AttemptRun(upstream_host, message, peer).run()


class AttemptRun:
    """One admitted attempt.

    Attributes:
        ran: Whether the upstream has run it, as known so far.
    """

    def __init__(
        self,
        upstream_host: host.UpstreamHost,
        message: ttypes.RunAttempt,
        peer: channel.Channel,
    ) -> None:
        self.ran = types.ExecutionStatus.NO
        self._sent_bytes = 0
        self._upstream_host = upstream_host
        self._message = message
        self._peer = peer
        self._ref = convert.optional_adapter_ref(message.adapter)
        self._incarnation = upstream_host.engine_incarnation
        self._deadline = clock.now() + message.budget_ms / units.MS_PER_S
        upstream_host.attempts.start(
            message.attempt_id,
            attempts.RunningAttempt(
                message.fingerprint,
                is_isolated=bool(message.isolated),
            ),
        )

    def run(self) -> None:
        """Run the attempt and send its answer or its failure.

        Raises:
            errors.LinkError: The entry has disconnected.
        """
        try:
            with (
                self._upstream_host.residency.pinned(self._ref),
                interrupts.on_disconnect(
                    self._peer, self._upstream_host.interrupts
                ),
            ):
                self._send(ttypes.AttemptAccepted(self._message.attempt_id))
                self._call_upstream()
        except errors.InvariantError as error:
            self._upstream_host.count_violation(error)
            self._fail(
                self._error(
                    'invalid_answer', 'The answer violates an invariant.'
                )
            )
        except errors.RequestError as error:
            self._fail(error)
        finally:
            self._upstream_host.attempts.end(self._message.attempt_id, self.ran)
            self._upstream_host.notify()

    def _call_upstream(self) -> None:
        self._check_before_call()
        self._upstream_host.attempts.record_sent(
            self._message.attempt_id, self._incarnation
        )
        self.ran = types.ExecutionStatus.UNKNOWN
        with self._before_deadline():
            response = self._upstream_host.http.run(
                self._message.path, self._message.body
            )
        with _released(response):
            self._relay(response)
        self.ran = types.ExecutionStatus.YES
        self._send(
            ttypes.AnswerEnd(
                self._message.attempt_id,
                self._message.adapter,
                self._incarnation,
                self._sent_bytes,
            ),
        )

    def _check_before_call(self) -> None:
        """Check again what may have changed while the acceptance was sent."""
        upstream_host = self._upstream_host
        if clock.now() >= self._deadline:
            raise _refusal('deadline_exceeded', 'The deadline has passed.')
        if upstream_host.engine_incarnation != self._incarnation:
            raise _refusal('adapter_not_resident', 'The engine was restarted.')
        if self._ref is not None and not upstream_host.residency.holds(
            self._ref
        ):
            # No order evicts a pinned adapter; the engine dropped it itself.
            raise _refusal(
                'adapter_not_resident', 'The engine dropped the adapter.'
            )

    def _relay(self, response: upstream.Response) -> None:
        self._check_status(response)
        chunks = self._chunks(response)
        if self._ref is None or response.status != 200:
            # Error answers of an engine are not produced by an adapter.
            chunks = answers.limit_size(chunks)
        elif self._message.stream:
            chunks = answers.check_stream(chunks, self._ref)
        else:
            chunks = answers.check_document(chunks, self._ref)
        # The entry may retry until it has received the head, so the head is
        # sent only when the first bytes of the body have been checked.
        first = next(chunks, b'')
        self._send(
            ttypes.AnswerHead(
                self._message.attempt_id,
                response.status,
                response.headers.get('Content-Type', 'application/json'),
            ),
        )
        for chunk in itertools.chain((first,), chunks):
            self._send(
                ttypes.AnswerChunk(
                    chunk, self._message.attempt_id, self._sent_bytes
                ),
            )
            self._sent_bytes += len(chunk)

    def _check_status(self, response: upstream.Response) -> None:
        """Raise an error unless an answer with this status is relayed."""
        status = response.status
        if status == 404 and self._ref is not None:
            self._upstream_host.refresh()
            raise _refusal(
                'adapter_not_resident', 'The engine does not hold the adapter.'
            )
        if status == 429:
            refusal = _refusal('overloaded', 'The upstream is overloaded.')
            refusal.retry_after_s = (
                answers.retry_after_s(response.headers) or refusal.retry_after_s
            )
            raise refusal
        if status >= 500:
            if status == UNAVAILABLE_STATUS:
                self._upstream_host.rest(
                    answers.retry_after_s(response.headers) or 0.0
                )
            raise self._error(
                'upstream_error',
                f'The upstream answered with status {status}.',
            )
        if not _is_answer(status, is_engine=self._ref is not None):
            raise answers.invalid_answer(f'Status {status} is not relayed.')
        if not answers.is_framed(status, response.headers):
            raise answers.invalid_answer(
                'The answer has neither a length nor chunks.'
            )

    def _chunks(self, response: upstream.Response) -> Iterator[bytes]:
        chunks = iter(response.stream(READ_BYTES))
        while True:
            try:
                with self._before_deadline():
                    chunk = next(chunks, None)
            except (urllib3.exceptions.HTTPError, OSError) as error:
                raise upstream.call_error(
                    error, self._upstream_host.upstream_id
                ) from error
            if chunk is None:
                return
            yield chunk

    @contextlib.contextmanager
    def _before_deadline(self) -> Generator[None, None, None]:
        timer = eventlet.Timeout(max(self._deadline - clock.now(), 0))
        try:
            yield
        except eventlet.Timeout as expired:
            if expired is not timer:
                raise
            raise self._error(
                'deadline_exceeded',
                'The upstream did not answer before the deadline.',
                status=504,
            ) from expired
        finally:
            timer.cancel()

    def _send(self, message: object) -> None:
        """Send to the entry; raise an error if it does not read in time."""
        limit_s = max(self._deadline - clock.now(), 0) + SEND_GRACE_S
        with eventlet.Timeout(limit_s, TimeoutError):
            self._peer.send(message)

    def _fail(self, error: errors.RequestError) -> None:
        if self.ran is types.ExecutionStatus.NO:
            # Nothing was sent, so the upstream cannot have run the attempt.
            error.ran = types.ExecutionStatus.NO
        self.ran = error.ran
        if error.engine_lost:
            error.engine_lost = self._upstream_host.confirm_failure(
                self._incarnation
            )
        if error.engine_lost:
            error.engine_incarnation = self._incarnation
        if error.code == 'upstream_unavailable':
            self._upstream_host.mark_unreachable()
        log.warning('Attempt %s failed: %s.', self._message.attempt_id, error)
        self._send(_failure(self._message, error))

    def _error(
        self, code: str, reason: str, status: int = 502
    ) -> errors.RequestError:
        return errors.RequestError(
            code,
            reason,
            status=status,
            ran=self.ran,
            step='run',
            peer=self._upstream_host.upstream_id,
        )


def _admit(
    upstream_host: host.UpstreamHost, message: ttypes.RunAttempt
) -> None:
    """Refuse an attempt that must not run; a refused one never runs later."""
    if message.sidecar_incarnation != upstream_host.incarnation:
        raise _refusal('wrong_incarnation', 'The sidecar was restarted.')
    ran = upstream_host.attempts.execution_status(message.attempt_id)
    if ran is not None:
        raise errors.RequestError(
            'attempt_repeated',
            'The attempt was revoked, or was sent before.',
            status=503,
            ran=ran,
            step='admit',
            peer=upstream_host.upstream_id,
        )
    try:
        _check_upstream(upstream_host, message)
        _check_request(upstream_host, message)
    except errors.RefusedError as error:
        upstream_host.attempts.end(message.attempt_id, error.ran)
        raise


def _check_upstream(
    upstream_host: host.UpstreamHost, message: ttypes.RunAttempt
) -> None:
    if upstream_host.is_draining:
        raise _refusal('draining', 'The upstream is draining.')
    if not upstream_host.is_healthy:
        raise _refusal('upstream_unavailable', 'The upstream is unhealthy.')
    if upstream_host.rest_s:
        raise _refusal(
            'overloaded',
            'The upstream has asked for rest.',
            retry_after_s=upstream_host.rest_s,
        )
    if (
        upstream_host.attempts.running
        >= upstream_host.max_running * QUEUE_FACTOR
    ):
        raise _refusal('overloaded', 'The upstream has too many requests.')
    if upstream_host.crashes.is_quarantined(message.fingerprint):
        # Not a 5xx status, so that the entry does not try another upstream.
        raise _refusal(
            'request_quarantined',
            'The request was running in two crashes of the upstream.',
            status=422,
        )
    if message.isolated and upstream_host.attempts.has_isolated:
        raise _refusal(
            'suspect_running', 'Another suspected request is running.'
        )


def _check_request(
    upstream_host: host.UpstreamHost, message: ttypes.RunAttempt
) -> None:
    ref = convert.optional_adapter_ref(message.adapter)
    if message.budget_ms <= 0:
        raise _refusal('deadline_exceeded', 'The deadline has passed.')
    if upstream_host.is_engine is (ref is None):
        raise _refusal('wrong_upstream', 'The upstream is of the wrong kind.')
    if ref is None:
        return
    if message.path not in ENGINE_PATHS:
        raise _refusal(
            'invalid_request', 'The path is not allowed for attempts.'
        )
    if not upstream_host.residency.holds(ref):
        raise _refusal('adapter_not_resident', 'The adapter is not loaded.')
    if _model_of(message.body) != ref.lora_name:
        upstream_host.count_violation(
            errors.InvariantError(
                f'the body of {message.attempt_id} names another adapter',
                step='admit',
            )
        )
        raise _refusal('invalid_request', 'The body names another adapter.')


def _is_answer(status: int, *, is_engine: bool) -> bool:
    if is_engine:
        # Only answers with status 200 are checked for their adapter.
        return status == 200 or 400 <= status < 500
    return 200 <= status < 300 or 400 <= status < 500


def _model_of(body: bytes) -> str | None:
    try:
        return json.loads(body)['model']
    except decoding.DECODE_ERRORS:
        return None


@contextlib.contextmanager
def _released(response: upstream.Response) -> Generator[None, None, None]:
    """Release the connection after a complete answer, otherwise close it."""
    try:
        yield
    except BaseException:
        # The rest of this answer must not reach another call.
        response.close()
        raise
    response.release_conn()


def _refusal(
    code: str, reason: str, status: int = 503, retry_after_s: float = 1.0
) -> errors.RefusedError:
    return errors.RefusedError(
        code, reason, status=status, retry_after_s=retry_after_s, step='run'
    )


def _failure(
    message: ttypes.RunAttempt, error: errors.RequestError
) -> ttypes.AttemptFailed:
    retry_after_ms = None
    if error.retry_after_s is not None:
        retry_after_ms = int(error.retry_after_s * units.MS_PER_S)
    return ttypes.AttemptFailed(
        attempt_id=message.attempt_id,
        code=error.code,
        reason=error.reason,
        ran=error.ran.value,
        status=error.status,
        retry_after_ms=retry_after_ms,
        engine_lost=error.engine_lost,
        engine_incarnation=error.engine_incarnation or None,
    )
