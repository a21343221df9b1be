"""Translates between HTTP messages and the gateway's own records.

All headers are decoded and encoded here; the rest of the gateway uses
``calls.Call`` and ``calls.AnswerHead``.
"""

import dataclasses
import re
import string

from ivystep.core import ids, units
from ivystep.platform import header_names
from ivystep.traffic import calls, http1

UNAVAILABLE_STATUS = 503
DIGITS = frozenset(string.digits.encode())
MAX_NUMBER_DIGITS = 12
DECIMAL = re.compile(rb'\d{1,9}(\.\d{1,9})?')
# A longer body is not copied behind its head for the sake of one write.
JOINED_BYTES = 16 * units.KIB


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHeaders:
    """Values of the headers that are added to a request for one upstream.

    Attributes:
        upstream_id: Id of the upstream; an upstream with another id refuses
            the request.
        time_left_s: Time after which the upstream may abort the request.
        version: Required version of the adapter or model; None if any may
            answer.
        urgency: From 0, the most urgent, to 9; None for the default.
        resumes_after: Id of the event after which the stream is resumed;
            empty to start it.
        account: Name of the account that sent the request; empty if none did.
    """

    upstream_id: str
    time_left_s: float
    version: int | None = None
    urgency: int | None = None
    resumes_after: str = ''
    account: str = ''


def decode_call(
    raw: http1.RawRequest, arrived: float, caller: str
) -> calls.Call:
    """Decode a caller's request.

    Args:
        raw: The parsed request. Its API key is removed from its headers, and
            its body becomes that of the call without a copy.
        arrived: Time at which it arrived.
        caller: IP address of the caller.
    """
    key_digest = _pop_key_digest(raw.headers)
    value_by_name = {name.lower(): value for name, value in raw.headers}
    budget_ms = _number(value_by_name.get(header_names.TIME_BUDGET, b''))
    return calls.Call(
        request_id=_text(value_by_name.get(header_names.REQUEST_ID, b'')),
        method=raw.method,
        target=raw.target,
        host=_text(value_by_name.get(b'host', b'')),
        headers=_forwarded(raw.headers, header_names.RESERVED),
        body=raw.take_body(),
        arrived=arrived,
        time_budget_s=None if budget_ms is None else budget_ms / units.MS_PER_S,
        generation=_generation(value_by_name),
        resumes_after=_text(value_by_name.get(header_names.RESUME_AFTER, b'')),
        resumed_request_id=_text(
            value_by_name.get(header_names.RESUMED_REQUEST, b'')
        ),
        caller=caller,
        key_digest=key_digest,
        token_count=_token_count(
            value_by_name.get(header_names.TOKEN_COUNT, b'')
        ),
    )


def encode_call(
    call: calls.Call, attempt: AttemptHeaders
) -> tuple[calls.Body, ...]:
    """Encode a request for one upstream.

    Args:
        call: The caller's request.
        attempt: The headers to add for this upstream.

    Returns:
        The pieces to write one after the other. A long body is a piece of its
        own, so that it is not held twice.
    """
    lines = [f'{call.method} {call.target} HTTP/1.1'.encode('latin-1')]
    replaced = {header_names.TIME_BUDGET}
    if attempt.resumes_after:
        replaced.add(header_names.RESUME_AFTER)
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
    if attempt.account:
        lines.append(b'Tenant: %b' % attempt.account.encode())
    if attempt.urgency is not None:
        lines.append(b'Request-Urgency: %d' % attempt.urgency)
    if attempt.resumes_after:
        resumed = attempt.resumes_after.encode('latin-1')
        lines.append(b'Last-Event-Id: %b' % resumed)
    if call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(b'Content-Length: %d' % len(call.body))
    head = b'\r\n'.join((*lines, b'', b''))
    if len(call.body) <= JOINED_BYTES:
        return (head + call.body,)
    return (head, call.body)


def decode_answer(raw: http1.RawHead) -> calls.AnswerHead:
    """Decode the head of an upstream's answer."""
    value_by_name = {name.lower(): value for name, value in raw.headers}
    return calls.AnswerHead(
        status=raw.status,
        reason=raw.reason,
        headers=_forwarded(raw.headers, frozenset()),
        request_id=_text(value_by_name.get(header_names.REQUEST_ID, b'')),
        upstream_id=_text(value_by_name.get(header_names.UPSTREAM_ID, b'')),
        # The header ``Not-Executed`` or a 421 (Misdirected Request) states that
        # the request was not run.
        is_not_run=header_names.NOT_RUN in value_by_name or raw.status == 421,
        keep_alive_s=_keep_alive_s(value_by_name.get(b'keep-alive', b'')),
        limit_per_s=_decimal(value_by_name.get(header_names.RATE_LIMIT, b'')),
        rest_s=_rest_s(raw, value_by_name),
        is_leaving=value_by_name.get(header_names.LEAVING, b'').strip() == b'1',
    )


def _rest_s(
    raw: http1.RawHead, value_by_name: dict[bytes, bytes]
) -> float | None:
    if raw.status != UNAVAILABLE_STATUS:
        return None
    return _decimal(value_by_name.get(header_names.RETRY_AFTER, b''))


def _forwarded(
    headers: list[calls.Header] | tuple[calls.Header, ...],
    excluded: frozenset[bytes],
) -> tuple[calls.Header, ...]:
    dropped = header_names.HOP_BY_HOP | excluded | _named_in_connection(headers)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def _named_in_connection(
    headers: list[calls.Header] | tuple[calls.Header, ...],
) -> frozenset[bytes]:
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    }
    return frozenset(named) - header_names.END_TO_END


def _generation(value_by_name: dict[bytes, bytes]) -> calls.Generation | None:
    model, _, adapter = _text(
        value_by_name.get(header_names.MODEL, b'')
    ).partition('/')
    if not model:
        return None
    prompt, _, output = value_by_name.get(
        header_names.TOKEN_COUNT, b''
    ).partition(b',')
    estimate = value_by_name.get(header_names.OUTPUT_ESTIMATE, b'')
    return calls.Generation(
        model=model,
        adapter=adapter,
        prompt_tokens=_number(prompt) or 0,
        max_output_tokens=_number(output) or 0,
        expected_output_tokens=_number(estimate) or 0,
        prompt_parts=_prompt_parts(
            value_by_name.get(header_names.PROMPT_PARTS, b'')
        ),
    )


def _pop_key_digest(headers: list[calls.Header]) -> bytes:
    """Remove the API key from headers and return its digest.

    Several different keys are joined like the values of any other header, and
    thereby match no account.
    """
    keys = []
    others = []
    for name, value in headers:
        if name.lower() == header_names.API_KEY:
            keys.append(value.strip())
        else:
            others.append((name, value))
    headers.clear()
    headers.extend(others)
    joined = b', '.join(dict.fromkeys(keys))
    return ids.digest(joined) if joined else b''


def _token_count(value: bytes) -> int | None:
    """Return the sum of both token counts; None if one is missing."""
    prompt, _, output = value.partition(b',')
    counts = (_number(prompt), _number(output))
    return None if None in counts else sum(filter(None, counts))


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


def _decimal(value: bytes) -> float | None:
    stripped = value.strip()
    return float(stripped) if DECIMAL.fullmatch(stripped) else None


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout':
            return _number(seconds)
    return None


def _text(value: bytes) -> str:
    return value.decode('latin-1').strip()
