"""Tests of requests whose keys change while they wait or run."""

import eventlet
import pytest

from ivystep.core import errors, ids, types
from ivystep.runtime import clock
from ivystep.traffic import contracts
from tests.coordination import fakes as clocks
from tests.gateway.requests import test_dispatch
from tests.gateway.store import test_configuration
from tests.traffic import test_contracts

KEY = 'sk-0f3a91'
STREAM = contracts.Repeatability.STREAM
IDEMPOTENT = contracts.Repeatability.IDEMPOTENT


class AccessHarness(test_dispatch.DispatchHarness):
    """A dispatcher with accounts in force and one request of `acme`."""

    def __init__(self, monkeypatch, **more):
        super().__init__(monkeypatch, test_dispatch.ref(1), **more)
        self.in_queue = lambda: None
        self.answer = test_dispatch.FakeAnswer()
        self.version = 0
        self.set_holder('acme')

    def set_holder(self, holder, version=None):
        """Give the key to an account; None removes it."""
        self.version = version or self.version + 1
        tenants = [{'name': 'other', 'api_keys': ['sk-2']}]
        if holder:
            tenants.append({'name': holder, 'api_keys': [KEY]})
        self.recorded.config.apply_row(
            test_configuration.config_row(
                self.version, self.version, tenants=tenants
            )
        )

    def wait_in_queue(self):
        self.in_queue()

    def send(self, kind=STREAM, **more):
        digest = ids.digest(KEY.encode())
        accounts = self.recorded.config.current.accounts
        self.run(
            kind, accounts.find(digest), digest, answer=self.answer, **more
        )

    @property
    def senders(self):
        return self.header('Tenant')


def once(action):
    """Return a callback that acts at its first call only."""
    left = [action]

    def act():
        if left:
            left.pop()()

    return act


@pytest.mark.parametrize('is_strict', [False, True])
def test_request_whose_key_is_removed_while_it_waits_is_not_sent(
    monkeypatch, is_strict
):
    """Guards against a request that outlives its key in a prefill queue."""

    @clocks.on_virtual_clock
    def scenario():
        harness = AccessHarness(monkeypatch, is_strict=is_strict)
        harness.on_permit = lambda: harness.set_holder(None)
        with pytest.raises(errors.RefusedError) as caught:
            harness.send()
        error = caught.value
        assert (error.status, error.code) == (401, 'revoked_key')
        assert error.ran is types.ExecutionStatus.NO
        assert error.retry_after_s is None
        assert not harness.sent
        assert harness.pool.finished == len(harness.pool.placed)

    scenario()


def test_key_that_moves_while_a_request_waits_names_its_new_account(
    monkeypatch,
):
    """Guards against an account that pays after its key has left it."""

    @clocks.on_virtual_clock
    def scenario():
        harness = AccessHarness(monkeypatch)
        harness.on_permit = once(lambda: harness.set_holder('beta'))
        harness.send()
        assert harness.senders == [b'beta']

    scenario()


@pytest.mark.parametrize(
    ('ran', 'holder', 'status'),
    [
        (types.ExecutionStatus.NO, None, 401),
        (types.ExecutionStatus.UNKNOWN, None, 502),
        (types.ExecutionStatus.UNKNOWN, 'beta', 502),
    ],
)
def test_retry_needs_the_key_again(monkeypatch, ran, holder, status):
    """Guards against a 401, which says not run, and answers of two accounts."""

    @clocks.on_virtual_clock
    def scenario():
        harness = AccessHarness(
            monkeypatch, outcomes=[test_dispatch.failure(ran)], upstreams=2
        )
        harness.in_queue = once(lambda: harness.set_holder(holder))
        with pytest.raises(errors.RequestError) as caught:
            harness.send(IDEMPOTENT, max_attempts=2)
        assert (caught.value.status, caught.value.code) == (
            status,
            'revoked_key',
        )
        assert harness.senders == [b'acme']

    scenario()


@pytest.mark.parametrize(
    ('is_strict', 'senders'), [(False, [b'acme'] * 2), (True, [b'acme'])]
)
def test_stream_that_has_begun_is_resumed_unless_revocation_is_strict(
    monkeypatch, is_strict, senders
):
    """Guards against a stream that breaks off though it may run to its end."""

    @clocks.on_virtual_clock
    def scenario():
        lost = test_dispatch.failure(types.ExecutionStatus.UNKNOWN)
        harness = AccessHarness(
            monkeypatch, outcomes=[lost], upstreams=2, is_strict=is_strict
        )

        def begin_and_remove():
            harness.answer.has_started = True
            harness.answer.last_event_id = '7'
            harness.set_holder(None)

        harness.in_queue = once(begin_and_remove)
        ended = eventlet.spawn(
            harness.send,
            max_attempts=2,
            is_resumable=True,
            shares=(contracts.ServiceShare('llm', 1.0),),
        )
        if is_strict:
            with pytest.raises(errors.RequestError):
                ended.wait()
        else:
            ended.wait()
        assert harness.senders == senders

    scenario()


@pytest.mark.parametrize(
    ('kind', 'is_strict', 'holder', 'is_ended'),
    [
        (STREAM, True, None, True),
        (STREAM, True, 'beta', True),
        (STREAM, True, 'acme', False),
        (STREAM, False, None, False),
        (IDEMPOTENT, True, None, False),
    ],
)
def test_running_stream_ends_only_under_strict_revocation(
    monkeypatch, kind, is_strict, holder, is_ended
):
    """Guards against streams that go on for a key that was removed."""

    @clocks.on_virtual_clock
    def scenario():
        harness = AccessHarness(monkeypatch, is_strict=is_strict)

        def run_for_a_while():
            eventlet.spawn_after(1.0, harness.set_holder, holder)
            clock.sleep(8.0)

        harness.in_queue = run_for_a_while
        started = clock.now()
        task = eventlet.spawn(harness.send, kind, timeout_s=20.0)
        if not is_ended:
            task.wait()
            assert clock.now() - started >= 8.0
            return
        with pytest.raises(errors.RequestError) as caught:
            task.wait()
        assert caught.value.code == 'revoked_key'
        assert caught.value.ran is types.ExecutionStatus.UNKNOWN
        assert clock.now() - started < 1.1
        (ended,) = harness.log.named('streams_revoked')
        assert (ended.version, ended.streams) == (2, 1)

    scenario()


@clocks.on_virtual_clock
def test_lower_version_does_not_bring_a_removed_key_back(monkeypatch):
    """Guards against a store that was restored from an older copy."""
    harness = AccessHarness(monkeypatch)
    harness.set_holder(None, version=5)
    harness.set_holder('acme', version=4)
    harness.recorded.config.on_store_restored()
    harness.set_holder('acme', version=1)
    accounts = harness.recorded.config.current.accounts
    assert accounts.find(ids.digest(KEY.encode())) is None


@pytest.mark.parametrize(
    ('priority', 'urgency'), [(None, b'4'), (0, b'0'), (99, b'9')]
)
def test_priority_of_the_account_precedes_that_of_the_route(
    monkeypatch, priority, urgency
):
    """Guards against an urgent account that waits behind others."""

    @clocks.on_virtual_clock
    def scenario():
        harness = test_dispatch.DispatchHarness(
            monkeypatch, test_dispatch.ref(1)
        )
        account = contracts.ClientAccount('acme', priority=priority)
        harness.run(priority=4, account=account)
        assert harness.header('Request-Urgency') == [urgency]
        assert harness.header('Tenant') == [b'acme']
        assert harness.pool.placed[0].account == 'acme'

    scenario()


@clocks.on_virtual_clock
def test_request_without_an_account_is_placed_under_its_route(monkeypatch):
    """Guards against a change for deployments without accounts."""
    harness = test_dispatch.DispatchHarness(monkeypatch, test_dispatch.ref(1))
    harness.run()
    assert not harness.header('Tenant')
    assert harness.pool.placed[0].account == test_contracts.route('/a/').name
