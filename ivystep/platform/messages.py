"""Translates callers' requests and upstreams' answers.

Each header is decoded once, here; the gateway sees ``calls.Call`` and
``calls.AnswerHead`` only.
"""

import dataclasses
import string

from ivystep.core import units
from ivystep.platform import names
from ivystep.traffic import calls, http1

DIGITS = frozenset(string.digits.encode())
MAX_NUMBER_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What ivystep adds to a request for one upstream.

    Attributes:
        upstream_id: Upstream that must answer; another one refuses.
        time_left_s: Time after which the upstream may stop.
        version: Version of the adapter or model that must answer; None if
            any may.
        urgency: From 0, the most urgent, to 9; None leaves the default.
        resumes_after: Id of the event after which a stream goes on.
    """

    upstream_id: str
    time_left_s: float
    version: int | None = None
    urgency: int | None = None
    resumes_after: str = ''


def decode_call(raw: http1.RawRequest, arrived: float) -> calls.Call:
    """Decode a caller's request.

    Args:
        raw: The request as read.
        arrived: Time at which it had been read.
    """
    value_by_name = {name.lower(): value for name, value in raw.headers}
    budget_ms = _number(value_by_name.get(names.TIME_BUDGET, b''))
    return calls.Call(
        request_id=_text(value_by_name.get(names.REQUEST_ID, b'')),
        method=raw.method,
        target=raw.target,
        host=_text(value_by_name.get(b'host', b'')),
        headers=_forwarded(raw.headers, names.SYSTEM_ONLY),
        body=bytes(raw.body),
        arrived=arrived,
        time_budget_s=None if budget_ms is None else budget_ms / units.MS_PER_S,
        generation=_generation(value_by_name),
        resumes_after=_text(value_by_name.get(names.RESUME_AFTER, b'')),
    )


def encode_call(call: calls.Call, attempt: Attempt) -> bytes:
    """Return the bytes of a request for one upstream.

    Args:
        call: The caller's request.
        attempt: What is added for this upstream.
    """
    lines = [f'{call.method} {call.target} HTTP/1.1'.encode('latin-1')]
    replaced = {names.TIME_BUDGET}
    if attempt.resumes_after:
        replaced.add(names.RESUME_AFTER)
    lines.extend(
        b'%b: %b' % (name, value)
        for name, value in call.headers
        if name.lower() not in replaced
    )
    left_ms = max(int(attempt.time_left_s * units.MS_PER_S), 1)
    lines.extend(
        (
            b'Deadline-Ms: %d' % left_ms,
            b'Expect-Instance: %b' % attempt.upstream_id.encode('latin-1'),
        )
    )
    if attempt.version is not None:
        lines.append(b'Expect-Version: %d' % attempt.version)
    if attempt.urgency is not None:
        lines.append(b'Request-Urgency: %d' % attempt.urgency)
    if attempt.resumes_after:
        resumed = attempt.resumes_after.encode('latin-1')
        lines.append(b'Last-Event-Id: %b' % resumed)
    if call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(b'Content-Length: %d' % len(call.body))
    return b'\r\n'.join((*lines, b'', call.body))


def decode_answer(raw: http1.RawHead) -> calls.AnswerHead:
    """Decode the head of an upstream's answer."""
    value_by_name = {name.lower(): value for name, value in raw.headers}
    return calls.AnswerHead(
        status=raw.status,
        reason=raw.reason,
        headers=_forwarded(raw.headers, frozenset()),
        request_id=_text(value_by_name.get(names.REQUEST_ID, b'')),
        upstream_id=_text(value_by_name.get(names.UPSTREAM_ID, b'')),
        # The platform names a request that has not run ``Not-Executed``; a
        # 421 means the same by itself.
        is_not_run=names.NOT_RUN in value_by_name or raw.status == 421,
        keep_alive_s=_keep_alive_s(value_by_name.get(b'keep-alive', b'')),
    )


def _forwarded(
    headers: list[calls.Header] | tuple[calls.Header, ...],
    excluded: frozenset[bytes],
) -> tuple[calls.Header, ...]:
    dropped = names.CONNECTION_ONLY | excluded | _named_by_connection(headers)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def _named_by_connection(
    headers: list[calls.Header] | tuple[calls.Header, ...],
) -> frozenset[bytes]:
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    }
    return frozenset(named) - names.END_TO_END


def _generation(value_by_name: dict[bytes, bytes]) -> calls.Generation | None:
    model, _, adapter = _text(value_by_name.get(names.MODEL, b'')).partition(
        '/'
    )
    if not model:
        return None
    prompt, _, output = value_by_name.get(names.TOKEN_COUNT, b'').partition(
        b','
    )
    estimate = value_by_name.get(names.OUTPUT_ESTIMATE, b'')
    return calls.Generation(
        model=model,
        adapter=adapter,
        prompt_tokens=_number(prompt) or 0,
        max_output_tokens=_number(output) or 0,
        expected_output_tokens=_number(estimate) or 0,
        prompt_parts=_prompt_parts(value_by_name.get(names.PROMPT_PARTS, b'')),
    )


def _prompt_parts(value: bytes) -> tuple[calls.PromptPart, ...]:
    parts = []
    for item in _text(value).split(','):
        part_id, _, tokens = item.strip().partition(':')
        count = _number(tokens.encode('latin-1'))
        if part_id and count is not None:
            parts.append(calls.PromptPart(part_id, count))
    return tuple(parts)


def _number(value: bytes) -> int | None:
    stripped = value.strip()
    if not stripped or len(stripped) > MAX_NUMBER_DIGITS:
        return None
    return int(stripped) if DIGITS.issuperset(stripped) else None


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout':
            return _number(seconds)
    return None


def _text(value: bytes) -> str:
    return value.decode('latin-1').strip()
