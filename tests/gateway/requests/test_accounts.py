"""Tests of client accounts at a complete gateway."""

import contextlib
import logging
import types as builtin_types

import eventlet
import pytest
from pythonjsonlogger import orjson

from ivystep.accounts import admission as admissions
from ivystep.cli import explain
from ivystep.core import errors, ids, types
from ivystep.gateway.requests import account_metrics, request_handler
from ivystep.metrics import registry
from ivystep.traffic import contracts, http1
from tests.accounts import test_directory
from tests.gateway import harness
from tests.traffic import test_contracts

KEY = 'sk-0f3a91'
ACME = {'name': 'acme', 'api_keys': [KEY, 'sk-second']}
PUBLIC = harness.route('public', 'idempotent', public=True)
CONFIG = {'routes': [*harness.ROUTES, PUBLIC], 'tenants': [ACME]}
REMOVED = {**CONFIG, 'tenants': [{**ACME, 'api_keys': ['sk-second']}]}


@pytest.fixture
def log_text(caplog):
    """Return a function that returns the log lines so far."""
    caplog.set_level(logging.DEBUG)
    formatter = orjson.OrjsonFormatter('%(message)s', timestamp='time')
    return lambda: '\n'.join(map(formatter.format, caplog.records))


def credential(key=KEY):
    return [f'Credential: {key}']


def answer_at_once(_, headers):
    return harness.ok_answer(headers)


def adopt(gateway, version, config):
    gateway.configure({**config, 'version': version})
    with eventlet.Timeout(2):
        while gateway.daemon.status().setup_version != version:
            eventlet.sleep(0.01)


def sent_headers(upstream):
    return [harness.parse_head(head) for head, _ in upstream.requests]


@pytest.mark.parametrize('headers', [[], credential('sk-9'), ['Tenant: acme']])
def test_request_without_a_valid_key_is_answered_401(build, headers):
    """Guards against callers that are served without an account."""
    gateway, (upstream,) = build(answer_at_once, config=CONFIG)
    answer = gateway.send('/read/2f', headers=headers)
    assert answer.status == 401
    assert 'retry-after' not in answer.headers
    assert not upstream.requests


def test_upstream_gets_the_name_of_the_account_and_no_key(build):
    """Guards against a key at an upstream and a caller that names itself."""
    gateway, (upstream,) = build(answer_at_once, config=CONFIG)
    forged = [*credential(), 'Tenant: forged', 'Connection: tenant, credential']
    assert gateway.send('/read/2f', headers=forged).status == 200
    (headers,) = sent_headers(upstream)
    assert headers['tenant'] == 'acme'
    assert 'credential' not in headers
    assert KEY.encode() not in upstream.requests[0][0]


@pytest.mark.parametrize(
    ('key', 'name'), [(KEY, 'acme'), ('sk-9', None), (None, None)]
)
def test_public_route_names_an_account_only_with_its_key(build, key, name):
    """Guards against a public route that needs a key or names an account."""
    gateway, (upstream,) = build(answer_at_once, config=CONFIG)
    headers = ['Tenant: acme', *(credential(key) if key else ())]
    assert gateway.send('/public/2f', headers=headers).status == 200
    assert sent_headers(upstream)[0].get('tenant') == name


def test_deployment_without_accounts_serves_without_keys(build):
    """Guards against a change for deployments without accounts."""
    gateway, (upstream,) = build(answer_at_once)
    headers = [*credential(), 'Tenant: forged']
    assert gateway.send('/read/2f', headers=headers).status == 200
    (sent,) = sent_headers(upstream)
    assert not {'tenant', 'credential'} & sent.keys()


def test_host_without_a_configuration_never_answers_401(build):
    """Guards against callers that give up a key which is valid."""
    gateway, _ = build(config=False)
    answer = gateway.send('/read/2f', headers=credential())
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


def test_each_request_of_a_connection_needs_a_valid_key(build):
    """Guards against a connection that outlives the key it began with."""
    gateway, _ = build(answer_at_once, config=CONFIG)
    with contextlib.closing(gateway.connect()) as connection:

        def send(key):
            connection.sendall(
                harness.request('/read/2f', headers=credential(key))
            )
            received = harness.receive_until(connection, b'\r\n\r\n')
            answer = harness.Answer(received, was_reset=False)
            while len(answer.body) < int(answer.headers['content-length']):
                received += connection.recv(65536)
                answer = harness.Answer(received, was_reset=False)
            return answer.status

        assert send(KEY) == 200
        adopt(gateway, 2, REMOVED)
        assert (send(KEY), send('sk-second')) == (401, 200)


def test_key_that_moves_is_served_as_its_new_account(build):
    """Guards against requests that are charged to the earlier account."""
    gateway, (upstream,) = build(answer_at_once, config=CONFIG)
    adopt(
        gateway, 2, {**CONFIG, 'tenants': [{'name': 'beta', 'api_keys': [KEY]}]}
    )
    assert gateway.send('/read/2f', headers=credential()).status == 200
    assert sent_headers(upstream)[0]['tenant'] == 'beta'


def test_configuration_with_one_key_of_two_accounts_is_ignored(build, log_text):
    """Guards against a configuration in which a key names two accounts."""
    gateway, (upstream,) = build(answer_at_once, config=CONFIG)
    twice = [ACME, {'name': 'beta', 'api_keys': [KEY]}]
    gateway.configure({**CONFIG, 'version': 2, 'tenants': twice})
    with eventlet.Timeout(2):
        while 'entry_ignored' not in log_text():
            eventlet.sleep(0.01)
    assert gateway.send('/read/2f', headers=credential()).status == 200
    assert sent_headers(upstream)[0]['tenant'] == 'acme'
    assert gateway.daemon.status().setup_version == 1
    assert KEY not in log_text()


def begin_stream(connection, headers):
    """Send two events of a stream and then go on slowly."""
    connection.sendall(harness.stream_head(headers))
    for event in harness.EVENTS[:2]:
        connection.sendall(harness.chunk(event))
    eventlet.sleep(0.8)
    for event in harness.EVENTS[2:]:
        connection.sendall(harness.chunk(event))
    return b'0\r\n\r\n'


@pytest.mark.parametrize('is_strict', [True, False])
def test_running_stream_follows_the_setting(build, is_strict):
    """Guards against streams that go on for a removed key, or break off."""
    gateway, (upstream,) = build(
        begin_stream, config=CONFIG, revoke_strict=is_strict
    )
    caller = gateway.connect()
    headers = [*credential(), 'Connection: close']
    caller.sendall(harness.request('/resume/2f', headers=headers))
    received = harness.receive_until(caller, b'token 2')
    adopt(gateway, 2, REMOVED)
    answer = harness.read_to_end(caller, received)
    assert answer.is_complete is not is_strict
    assert answer.was_reset is is_strict
    # The caller takes up the stream with a request of its own.
    resumed = gateway.send(
        '/resume/2f', 'r-2', headers=[*credential(), 'Last-Event-Id: 2']
    )
    assert resumed.status == 401
    assert len(upstream.requests) == 1


def test_key_is_shown_nowhere(build, log_text):
    """Guards against keys in logs, metrics, status, errors and `explain`."""
    gateway, _ = build(answer_at_once, config=CONFIG)
    shown = [
        gateway.send('/read/2f', headers=credential()).received.decode(),
        gateway.send(
            '/read/2f', 'r-2', headers=credential('sk-bad')
        ).received.decode(),
        gateway.send('/none/2f', 'r-3', headers=credential()).received.decode(),
    ]
    gateway.configure(
        {**CONFIG, 'version': 2, 'tenants': [{**ACME, 'name': 7}]}
    )
    eventlet.sleep(0.3)
    logged = log_text()
    assert 'entry_ignored' in logged
    lines = list(explain.parse_lines(logged.splitlines()))
    explained = explain.explain_request('r-1', lines)
    assert any('account=acme' in str(line) for line in explained)
    shown.extend(
        (
            logged,
            *map(str, explained),
            gateway.daemon._metrics.render()[0].decode(),
            repr(gateway.daemon.status()),
            repr(gateway.daemon._config.current),
        )
    )
    digest = ids.digest(KEY.encode())
    for text in shown:
        for secret in (KEY, 'sk-bad', 'sk-second', digest.hex(), repr(digest)):
            assert secret not in text


def test_accounts_beyond_the_bound_are_counted_together():
    """Guards against metrics that grow with the number of accounts."""
    metrics = registry.Metrics(account_metrics.MAX_ACCOUNT_LABELS)
    counts = account_metrics.AccountMetrics(metrics)
    for number in range(100):
        counts.record_request(f'account-{number}', 'ok')
        metrics.record_load_stall(f'account-{number}', 0.0)
        metrics.change_waiting(f'account-{number}', 1)
    rendered = metrics.render()[0].decode()
    assert rendered.count('ivystep_waiting_requests{') == 65
    assert rendered.count('ivystep_load_stall_seconds_count{') == 65
    assert rendered.count('ivystep_account_requests_total{') == 65
    assert 'account="other",outcome="ok"} 36' in rendered


class RecordedAdmission:
    """Admission that records what it charges and refunds."""

    def __init__(self, refusal=None):
        self.calls = []
        self.refusal = refusal

    def admit(self, account, cost):
        if self.refusal is not None:
            raise self.refusal
        self.calls.append(('admit', account.name, cost))
        return admissions.Charge(account.name, cost, account.quota)

    def refund(self, charge):
        self.calls.append(('refund', charge.account, charge.amount))


class HandledRequest:
    """One request at a handler whose dispatcher has a scripted outcome."""

    def __init__(self, admission, outcome=None, path='/a/', headers=()):
        self.ran_as = []
        self.outcome = outcome
        self.error = None
        self.caller = ''
        self.answer = builtin_types.SimpleNamespace(
            undelivered_bytes=0, last_event_id='', send_error=self.send_error
        )
        quota = contracts.Quota(
            contracts.QuotaUnit.TOKENS, 10.0, 10.0, plain_tokens=70.0
        )
        routes = (
            test_contracts.route('/a/'),
            test_contracts.route('/open/', is_public=True),
        )
        config = contracts.RouteConfig.from_routes(
            1,
            routes,
            (),
            contracts.ClientLimits(),
            test_directory.accounts(
                test_directory.account('acme', KEY, quota=quota)
            ),
        )
        handler = request_handler.RequestHandler(
            builtin_types.SimpleNamespace(current=config, version=1),
            builtin_types.SimpleNamespace(run=self.run),
            registry.Metrics(),
            builtin_types.SimpleNamespace(failed=lambda *_: None),
            builtin_types.SimpleNamespace(wait_until_current=lambda: None),
            admission,
        )
        raw = http1.RawRequest('POST', path)
        raw.headers = [(b'Host', b'ficu.example'), *headers]
        handler.handle(raw, self)

    def raise_on_disconnect(self):
        return contextlib.nullcontext()

    def run(self, call, route, answer, account=None):
        self.ran_as.append(account and account.name)
        if self.outcome is not None:
            raise self.outcome

    def send_error(self, error, request_id):
        self.error = error


WITH_KEY = ((b'Credential', KEY.encode()),)


def failure(ran):
    return errors.RequestError('failed', 'Failed.', status=503, ran=ran)


@pytest.mark.parametrize(
    ('tokens', 'cost'), [((b'Token-Count', b'1000,80'), 1080.0), (None, 70.0)]
)
@pytest.mark.parametrize(
    ('outcome', 'is_refunded'),
    [
        (None, False),
        (failure(types.ExecutionStatus.UNKNOWN), False),
        (failure(types.ExecutionStatus.NO), True),
    ],
)
def test_request_is_charged_once_and_refunded_if_it_has_not_run(
    tokens, cost, outcome, is_refunded
):
    """Guards against accounts that pay for refused requests, or too little."""
    admission = RecordedAdmission()
    headers = (*WITH_KEY, tokens) if tokens else WITH_KEY
    request = HandledRequest(admission, outcome, headers=headers)
    assert request.ran_as == ['acme']
    expected = [('admit', 'acme', cost)]
    if is_refunded:
        expected.append(('refund', 'acme', cost))
    assert admission.calls == expected


def test_request_over_the_limit_is_not_run_and_not_refunded():
    """Guards against a refund of what was never charged."""
    refusal = errors.RefusedError('over_limit', 'Over the limit.', status=429)
    admission = RecordedAdmission(refusal)
    request = HandledRequest(admission, headers=WITH_KEY)
    assert request.error is refusal
    assert not request.ran_as
    assert not admission.calls


@pytest.mark.parametrize(('path', 'ran_as'), [('/a/', []), ('/open/', [None])])
def test_request_without_an_account_is_not_charged(path, ran_as):
    """Guards against a charge before authentication or on a public route."""
    admission = RecordedAdmission()
    request = HandledRequest(admission, path=path)
    assert request.ran_as == ran_as
    assert not admission.calls
