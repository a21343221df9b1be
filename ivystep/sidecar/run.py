"""Runs one attempt: admission, the call, and the check of the answer."""

import json
import typing

from ivystep.core import errors, types, units
from ivystep.runtime import clock, logs
from ivystep.sidecar import host, upstream
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

READ_BYTES = 64 * units.KIB
MAX_ANSWER_BYTES = 16 * units.MIB
QUEUE_FACTOR = 2
SSE_PREFIX = b'data: '
SSE_END = b'data: [DONE]'

log = logs.get('sidecar')


def run_attempt(
    beside: host.UpstreamHost,
    message: ttypes.RunAttempt,
    peer: channel.Channel,
) -> None:
    """Run an attempt and send its answer or its failure.

    Args:
        beside: The upstream host.
        message: The attempt.
        peer: Connection to the entry.

    Raises:
        errors.LinkError: The entry has gone; the upstream's answer is
            abandoned and its connection closed.
    """
    ref = convert.optional_adapter_ref(message.adapter)
    try:
        _admit(beside, message, ref)
    except errors.RefusedError as error:
        peer.send(_failure(message, error))
        return
    ran = types.Ran.UNKNOWN
    engine_incarnation = beside.engine_incarnation
    try:
        with beside.residency.pinned(ref):
            peer.send(ttypes.AttemptAccepted(message.attempt_id))
            _relay(beside, message, ref, peer)
        ran = types.Ran.YES
    except errors.RequestError as error:
        ran = error.ran
        if error.engine_lost:
            beside.record_crash(engine_incarnation)
        log.warning('Attempt %s failed: %s.', message.attempt_id, error)
        peer.send(_failure(message, error))
    finally:
        beside.attempts.end(message.attempt_id, ran)
        beside.notify()


def _admit(
    beside: host.UpstreamHost,
    message: ttypes.RunAttempt,
    ref: types.AdapterRef | None,
) -> None:
    beside.setup_version = max(beside.setup_version, message.setup_version)
    if message.sidecar_incarnation != beside.incarnation:
        raise _refusal('wrong_incarnation', 'The sidecar was restarted.')
    if beside.is_draining:
        raise _refusal('draining', 'The upstream is leaving.')
    if not beside.is_healthy:
        raise _refusal('upstream_unavailable', 'The upstream is unhealthy.')
    if message.budget_ms <= 0:
        raise _refusal('deadline_exceeded', 'The deadline has passed.')
    if ref is not None and not beside.residency.holds(ref):
        raise _refusal('adapter_not_resident', 'The adapter is not loaded.')
    if beside.attempts.running >= beside.max_running * QUEUE_FACTOR:
        raise _refusal('overloaded', 'The upstream has too many requests.')
    if not beside.attempts.start(message.attempt_id, message.fingerprint):
        raise _refusal('attempt_revoked', 'The attempt was revoked.')


def _refusal(code: str, reason: str) -> errors.RefusedError:
    return errors.RefusedError(
        code, reason, status=503, retry_after_s=1.0, step='admit'
    )


def _relay(
    beside: host.UpstreamHost,
    message: ttypes.RunAttempt,
    ref: types.AdapterRef | None,
    peer: channel.Channel,
) -> None:
    deadline = clock.now() + message.budget_ms / units.MS_PER_S
    response = beside.http.run(
        message.path,
        message.body,
        idempotent=message.idempotent,
        budget_s=message.budget_ms / units.MS_PER_S,
    )
    is_complete = False
    try:
        _check_status(response, beside)
        chunks = _chunks(response, deadline, beside)
        if ref is not None:
            chunks = _checked(chunks, ref, message.stream, beside)
        peer.send(
            ttypes.AnswerHead(
                message.attempt_id,
                response.status,
                response.headers.get('Content-Type', 'application/json'),
            ),
        )
        for chunk in chunks:
            peer.send(ttypes.AnswerChunk(chunk))
        is_complete = True
    finally:
        # A connection with an abandoned answer must not serve another call.
        if is_complete:
            response.release_conn()
        else:
            response.close()
    peer.send(
        ttypes.AnswerEnd(
            message.attempt_id, message.adapter, beside.engine_incarnation
        ),
    )


def _check_status(
    response: upstream.Response, beside: host.UpstreamHost
) -> None:
    if response.status == 404 and beside.refresh():
        raise errors.RequestError(
            'adapter_not_resident',
            'The engine does not hold the adapter.',
            status=503,
            ran=types.Ran.NO,
            retry_after_s=1.0,
            step='run',
            peer=beside.upstream_id,
        )
    if response.status >= 500:
        raise errors.RequestError(
            'upstream_error',
            f'The upstream answered with status {response.status}.',
            status=502,
            ran=types.Ran.UNKNOWN,
            step='run',
            peer=beside.upstream_id,
        )


def _chunks(
    response: upstream.Response,
    deadline: float,
    beside: host.UpstreamHost,
) -> typing.Iterator[bytes]:
    total = 0
    try:
        for chunk in response.stream(READ_BYTES):
            total += len(chunk)
            if total > MAX_ANSWER_BYTES:
                raise _broken('The answer is too long.', beside)
            if clock.now() > deadline:
                raise errors.RequestError(
                    'deadline_exceeded',
                    'The deadline passed during the answer.',
                    status=504,
                    ran=types.Ran.YES,
                    step='relay',
                    peer=beside.upstream_id,
                )
            yield chunk
    except (upstream.TransportError, OSError) as error:
        raise errors.RequestError(
            'upstream_lost',
            'The upstream failed during the answer.',
            status=502,
            ran=types.Ran.UNKNOWN,
            engine_lost=True,
            step='relay',
            peer=beside.upstream_id,
        ) from error


def _checked(
    chunks: typing.Iterator[bytes],
    ref: types.AdapterRef,
    stream: bool,
    beside: host.UpstreamHost,
) -> typing.Iterator[bytes]:
    """Withhold an answer until the engine has named the right adapter."""
    head = b''
    for chunk in chunks:
        head += chunk
        if stream and b'\n\n' in head:
            break
    _check_model(head, ref, stream, beside)
    tail = head[-len(SSE_END) - 4 :]
    yield head
    for chunk in chunks:
        tail = (tail + chunk)[-len(SSE_END) - 4 :]
        yield chunk
    if stream and SSE_END not in tail:
        raise _broken('The stream ended without its end marker.', beside)


def _check_model(
    head: bytes,
    ref: types.AdapterRef,
    stream: bool,
    beside: host.UpstreamHost,
) -> None:
    event = head.partition(b'\n\n')[0].removeprefix(SSE_PREFIX)
    try:
        model = json.loads(event if stream else head)['model']
    except (ValueError, KeyError, TypeError) as error:
        raise _broken('The answer is malformed.', beside) from error
    if model != ref.lora_name:
        log.error(
            'Invariant violated: asked %s, answered %s.', ref.lora_name, model
        )
        raise _broken('The answer came from another adapter.', beside)


def _broken(reason: str, beside: host.UpstreamHost) -> errors.RequestError:
    return errors.RequestError(
        'invalid_answer',
        reason,
        status=502,
        ran=types.Ran.YES,
        step='relay',
        peer=beside.upstream_id,
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
    )
