"""Tests of decoding and encoding of requests and answers."""

import pytest

from ivystep.core import ids
from ivystep.platform import header_names, messages
from ivystep.traffic import http1

HEADERS = [
    (b'Host', b'ficu.example'),
    (b'Request-Id', b'9c41'),
    (b'Model', b'daka/a3'),
    (b'Token-Count', b'1460,80'),
    (b'Prompt-Prefix', b'5c1e:800,91bd:410,bad,e440:250'),
    (b'Length-Hint', b'40'),
    (b'Deadline-Ms', b'15000'),
    (b'X-Own', b'kept'),
]


def call(*more, method='POST', body=b'{}'):
    raw = http1.RawRequest(method, '/lohu/2f?q=1')
    raw.headers = [*HEADERS, *more]
    raw.body = bytearray(body)
    return messages.decode_call(raw, 10.0, '10.9.0.7')


def attempt(**more):
    return messages.AttemptHeaders(
        **{'upstream_id': 'i-7f', 'time_left_s': 12.0, **more}
    )


def header_lines(pieces):
    head, _, body = b''.join(pieces).partition(b'\r\n\r\n')
    return head.split(b'\r\n'), body


def test_headers_of_a_generation_request_are_decoded():
    """Guards against a request that runs on the wrong adapter."""
    decoded = call()
    assert decoded.request_id == '9c41'
    assert decoded.time_budget_s == pytest.approx(15.0)
    generation = decoded.generation
    assert (generation.model, generation.adapter) == ('daka', 'a3')
    assert generation.prompt_tokens == 1460
    assert generation.max_output_tokens == 80
    assert generation.expected_output_tokens == 40
    assert [part.tokens for part in generation.prompt_parts] == [800, 410, 250]


def test_request_is_forwarded_with_only_ivysteps_headers_changed():
    """Guards against a changed method, path, body or model."""
    lines, body = header_lines(messages.encode_call(call(), attempt(version=2)))
    assert lines[0] == b'POST /lohu/2f?q=1 HTTP/1.1'
    assert body == b'{}'
    assert lines.count(b'Deadline-Ms: 12000') == 1
    assert b'Deadline-Ms: 15000' not in lines
    assert {
        b'Model: daka/a3',
        b'Token-Count: 1460,80',
        b'X-Own: kept',
        b'Expect-Instance: i-7f',
        b'Expect-Version: 2',
        b'Content-Length: 2',
    } <= set(lines)


@pytest.mark.parametrize('name', sorted(header_names.RESERVED))
def test_reserved_headers_of_callers_are_not_forwarded(name):
    """Guards against callers that reserve memory or choose an upstream."""
    encoded = messages.encode_call(call((name, b'x')), attempt())
    lines, _ = header_lines(encoded)
    assert name + b': x' not in [line.lower() for line in lines]


def test_connection_header_cannot_remove_end_to_end_headers():
    """Guards against a caller that lists ``Model`` in ``Connection``."""
    decoded = call((b'Connection', b'close, Model, X-Own'))
    lines, _ = header_lines(messages.encode_call(decoded, attempt()))
    assert b'Model: daka/a3' in lines
    assert b'X-Own: kept' not in lines
    assert not any(line.lower().startswith(b'connection') for line in lines)


def test_resumed_stream_sends_only_its_own_last_event_id():
    """Guards against a stream resumed after the id that the caller sent."""
    encoded = messages.encode_call(
        call((b'Last-Event-Id', b'3')), attempt(resumes_after='9')
    )
    lines, _ = header_lines(encoded)
    assert [line for line in lines if line.startswith(b'Last-Event')] == [
        b'Last-Event-Id: 9'
    ]


def test_resumed_stream_names_the_upstream_that_is_meant():
    """Guards against a stream that another upstream goes on with."""
    encoded = messages.encode_call(call(), attempt(resumes_after='9'))
    assert b'Expect-Instance: i-7f' in header_lines(encoded)[0]


def answer(status, *headers):
    return messages.decode_answer(
        http1.RawHead(status, 'Reason', headers, http1.Framing.LENGTH, 0, True)
    )


@pytest.mark.parametrize(
    ('status', 'headers', 'is_not_run'),
    [
        (503, ((b'Not-Executed', b'1'),), True),
        (503, (), False),
        (421, (), True),
        (500, (), False),
        (504, (), False),
    ],
)
def test_not_run_needs_a_421_or_the_not_executed_header(
    status, headers, is_not_run
):
    """Guards against a request that runs twice after a bare 503."""
    assert answer(status, *headers).is_not_run is is_not_run


def test_answer_keeps_response_seal_and_loses_framing():
    """Guards against a successful answer without the upstream's seal."""
    decoded = answer(
        200,
        (b'Response-Seal', b'3e1b.07'),
        (b'Content-Length', b'3'),
        (b'Keep-Alive', b'timeout=5, max=9'),
        (b'Request-Id', b'9c41'),
    )
    assert dict(decoded.headers) == {
        b'Response-Seal': b'3e1b.07',
        b'Request-Id': b'9c41',
    }
    assert decoded.keep_alive_s == pytest.approx(5)
    assert decoded.request_id == '9c41'


@pytest.mark.parametrize('value', [b'', b'-5', b'abc', b'9' * 40, b'1e3'])
def test_invalid_time_budget_is_ignored(value):
    """Guards against a request that fails because of an invalid budget."""
    raw = http1.RawRequest('GET', '/')
    raw.headers = [(b'Deadline-Ms', value)]
    assert messages.decode_call(raw, 0.0, '').time_budget_s is None


@pytest.mark.parametrize(
    ('value', 'limit'), [(b'1.3', 1.3), (b'0', 0.0), (b' 20 ', 20.0)]
)
def test_limit_of_an_upstream_is_decoded(value, limit):
    """Guards against requests beyond what an upstream takes."""
    decoded = answer(200, (b'Server-Limit', value))
    assert decoded.limit_per_s == pytest.approx(limit)


@pytest.mark.parametrize(
    'value', [b'', b'-1', b'nan', b'inf', b'1e9', b'1,5', b'9' * 40, b'1_0']
)
def test_malformed_limit_is_ignored(value):
    """Guards against an upstream that is never used again."""
    assert answer(200, (b'Server-Limit', value)).limit_per_s is None


def test_rest_that_an_upstream_asks_for_is_decoded():
    """Guards against requests to an upstream that wants none."""
    assert answer(503, (b'Retry-After', b' 2.5 ')).rest_s == pytest.approx(2.5)
    assert answer(429, (b'Retry-After', b'3')).rest_s is None


@pytest.mark.parametrize('value', [b'', b'-1', b'nan', b'1e9', b'9' * 40])
def test_malformed_rest_is_ignored(value):
    """Guards against an upstream that is never used again."""
    assert answer(503, (b'Retry-After', value)).rest_s is None


KEY = b'sk-0f3a91'


def test_key_is_hashed_and_kept_nowhere():
    """Guards against an API key in a log line, an error or a dump."""
    raw = http1.RawRequest('POST', '/lohu/2f')
    raw.headers = [*HEADERS, (b'CREDENTIAL', b' %b ' % KEY)]
    shown_before = repr(raw)
    decoded = messages.decode_call(raw, 10.0, '10.9.0.7')
    assert decoded.key_digest == ids.digest(KEY)
    encoded = messages.encode_call(decoded, attempt(account='acme'))
    for shown in (
        shown_before,
        repr(raw),
        repr(decoded),
        str(raw.headers),
        str(decoded.headers),
        repr(encoded),
    ):
        assert KEY.decode() not in shown
        assert 'redential' not in shown
    assert decoded.key_digest.hex() not in repr(decoded)


@pytest.mark.parametrize(
    'named', [[], [(b'Credential', b' ')], [(b'Tenant', b'acme')]]
)
def test_request_without_a_key_has_no_digest(named):
    """Guards against an empty key that is looked up."""
    assert not call(*named).key_digest


def test_two_different_keys_match_no_account():
    """Guards against an account that depends on the order of headers."""
    both = call((b'Credential', KEY), (b'credential', b'sk-2'))
    assert both.key_digest not in {ids.digest(KEY), ids.digest(b'sk-2'), b''}
    same = call((b'Credential', KEY), (b'credential', KEY))
    assert same.key_digest == ids.digest(KEY)


@pytest.mark.parametrize('account', ['acme', ''])
def test_upstream_gets_the_account_that_ivystep_names(account):
    """Guards against a caller that claims to be another account."""
    decoded = call((b'Tenant', b'forged'), (b'Connection', b'tenant'))
    encoded = messages.encode_call(decoded, attempt(account=account))
    lines, _ = header_lines(encoded)
    named = [line for line in lines if line.lower().startswith(b'tenant')]
    assert named == ([b'Tenant: acme'] if account else [])


@pytest.mark.parametrize(
    ('value', 'tokens'),
    [(b'1460,80', 1540), (b'0,0', 0), (b'1460', None), (b'x,80', None)],
)
def test_tokens_are_counted_without_a_model(value, tokens):
    """Guards against requests to plain services that cost nothing."""
    raw = http1.RawRequest('POST', '/lohu/2f')
    raw.headers = [(b'Token-Count', value)]
    assert messages.decode_call(raw, 10.0, '').token_count == tokens
