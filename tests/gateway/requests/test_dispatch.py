"""Tests of placement, permits and retries, on the virtual clock."""

import dataclasses
import types as builtin_types

import pytest

from ivystep.accounts import revocation
from ivystep.coordination import retry_budget
from ivystep.core import errors, types
from ivystep.gateway.requests import (
    crashes,
    dispatch,
    limited_upstreams,
    planned_stop,
    relay,
    request_access,
    request_log,
    safeguard,
    version_choice,
)
from ivystep.gateway.upstreams import upstream_state
from ivystep.prefill import prefill, prefill_rates
from ivystep.runtime import clock
from ivystep.stream_origins import origins, recorder
from ivystep.traffic import calls, contracts, upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.gateway.store import test_configuration
from tests.traffic import test_contracts

VERSION_S = 5.0


class FakePool:
    """Places each request on the next engine without a wait."""

    name = 'llm/m'

    def __init__(self, *held, upstreams=1):
        self.held = set(held)
        self.upstreams = upstreams
        self.placed = []
        self.finished = 0
        self.refusal = None

    def is_held(self, ref):
        return ref in self.held

    def place(self, request, avoid):
        if self.refusal is not None:
            raise self.refusal
        self.placed.append(request)
        upstream_id = f'i-{1 + len(self.placed) % self.upstreams}'
        return types.Placement(request, upstream_id, '1')

    def finish(self, placement):
        self.finished += 1


class FakeAnswer:
    """A caller's side of an answer before anything was sent."""

    has_started = False
    is_complete = False
    head_sent_at = None
    status = 0
    last_event_id = ''
    can_resume = True
    longest_gap_s = 0.0
    written_bytes = 0

    def raise_if_disconnected(self):
        """The caller waits for the answer."""


class BegunBody:
    """The body of an answer whose first part has arrived."""

    is_ended = False
    received_bytes = 1
    is_settled = False


class DispatchHarness:
    """A dispatcher with one engine and scripted outcomes of attempts."""

    def __init__(
        self, monkeypatch, *held, outcomes=(), upstreams=1, is_strict=False
    ):
        self.recorded = test_configuration.RecordedConfiguration()
        self.pool = FakePool(*held, upstreams=upstreams)
        self.sent = []
        self.outcomes = list(outcomes)
        self.on_permit = lambda: None
        self.on_connect = lambda: None
        self.body = None
        self.granted = prefill.Permit(prefill.PermitDecision.ALONE)
        self.log = fakes.FakeLog()
        self.upstream_by_id = {
            upstream_id: upstream_state.Upstream(fakes.entry(upstream_id))
            for upstream_id in (f'i-{n + 1}' for n in range(upstreams))
        }
        self.upstream = self.upstream_by_id['i-1']
        members = builtin_types.SimpleNamespace(
            upstream_by_id=self.upstream_by_id
        )
        harness = self

        class FakeExchange:
            def __init__(self, *arguments, **named):
                self.may_repeat = named['may_repeat']
                self.has_sent = False
                self.is_given_up = False
                self.body = harness.body

            def run(self, encode):
                harness.on_connect()
                harness.sent.append(b''.join(encode()))
                self.has_sent = True
                harness.wait_in_queue()
                outcome = harness.outcomes.pop(0) if harness.outcomes else None
                if outcome is not None:
                    raise outcome

        monkeypatch.setattr(relay, 'Exchange', FakeExchange)
        self.versions_in_use = version_choice.VersionChoice(
            self.recorded.config, VERSION_S
        )
        self.recorded.on_version = self.versions_in_use.waits.on_version
        self.access = request_access.RequestAccess(
            self.recorded.config,
            self.log,
            revocation.RevocationPolicy(is_strict),
        )
        self.recorded.on_config = self.access.on_config
        self.arrivals = []
        self.measured = fakes.measured()
        self.writer = builtin_types.SimpleNamespace(write=lambda row: None)
        self.budgets = retry_budget.RetryBudgets(ratio=0.1, reserve=2.0)
        self.dispatcher = dispatch.Dispatcher(
            builtin_types.SimpleNamespace(
                find=lambda *_: self.pool,
                measured=self.measured,
                record_arrival=self.arrivals.append,
            ),
            members,
            self.versions_in_use,
            safeguard.Safeguards(
                self.budgets,
                crashes.Crashes(None, self.log),
                limited_upstreams.LimitedUpstreams(
                    self.upstream_by_id,
                    lambda: 1,
                    lambda upstream: None,
                    self.log,
                ),
                self.access,
                planned_stop.PlannedStop(),
            ),
            lambda upstream: None,
            self.permit,
            request_log.RequestLog(self.log, self.recorded.config),
            origins.StreamOrigins(
                None,
                self.writer,
                recorder.VersionRecorder(None, self.log),
                self.log,
            ),
        )

    def wait_in_queue(self):
        """The engine answers at once."""

    def permit(self, engine, ticket):
        self.on_permit()
        return self.granted

    def run(
        self,
        kind=contracts.Repeatability.STREAM,
        account=None,
        key_digest=b'',
        answer=None,
        **more,
    ):
        call = calls.Call(
            request_id='r-1',
            method='POST',
            target='/a/',
            host='ficu.example',
            headers=(),
            body=b'',
            arrived=clock.now(),
            generation=calls.Generation('m', 'a3', 1000, 100),
            key_digest=key_digest,
        )
        route = test_contracts.route('/a/', kind=kind, **more)
        self.dispatcher.run(call, route, answer or FakeAnswer(), account)

    @property
    def reached(self):
        """Upstreams to which the request was sent."""
        return self.header('Expect-Instance')

    @property
    def versions(self):
        return self.header('Expect-Version')

    def header(self, name):
        """Return the values of a header in the requests that were sent."""
        return [
            line.partition(b': ')[2]
            for encoded in self.sent
            for line in encoded.split(b'\r\n')
            if line.startswith(f'{name}:'.encode())
        ]


def ref(version):
    return types.AdapterRef('m', 'a3', version)


def failure(ran, code='upstream_full'):
    return errors.RequestError(code, 'Failed.', status=502, ran=ran)


@pytest.mark.parametrize('is_removed', [True, False])
def test_request_goes_elsewhere_if_its_engine_leaves_during_the_wait(
    monkeypatch, is_removed
):
    """Guards against requests sent to an engine that started to drain.

    They waited for a permit meanwhile. In one randomized run eleven requests
    were sent, up to 0.1 s later than the platform allows.
    """

    @clocks.on_virtual_clock
    def scenario():
        harness = DispatchHarness(monkeypatch)

        def drain_or_remove():
            if is_removed:
                harness.upstream_by_id.clear()
            else:
                draining_entry = dataclasses.replace(
                    harness.upstream.entry,
                    state=upstreams.UpstreamState.DRAINING,
                )
                harness.upstream.replace_entry(draining_entry, clock.now())
            harness.pool.refusal = failure(types.ExecutionStatus.NO)

        harness.on_permit = drain_or_remove
        with pytest.raises(errors.RequestError):
            harness.run(timeout_s=9.0, target_latency_s=1.0)
        assert not harness.sent
        assert harness.pool.finished == 1

    scenario()


def test_engine_whose_prefill_queue_is_closed_gets_no_new_work(monkeypatch):
    """Guards against requests sent by a host that does not know of a drain.

    The leader knows it earlier and answers that the engine takes no new work.
    """

    @clocks.on_virtual_clock
    def scenario():
        harness = DispatchHarness(monkeypatch)
        harness.granted = prefill.Permit(prefill.PermitDecision.CLOSED)

        def refuse_next():
            harness.pool.refusal = failure(types.ExecutionStatus.NO)

        harness.on_permit = refuse_next
        with pytest.raises(errors.RequestError):
            harness.run(timeout_s=9.0, target_latency_s=1.0)
        assert not harness.sent
        assert harness.upstream.suspended_until > clock.now()

    scenario()


def test_request_that_waits_for_a_permit_counts_at_its_engine(monkeypatch):
    """Guards against placement that ignores an engine's prefill queue."""

    @clocks.on_virtual_clock
    def scenario():
        harness = DispatchHarness(monkeypatch)
        counts = []
        harness.on_permit = lambda: counts.append(harness.upstream.in_progress)
        harness.run(timeout_s=9.0, target_latency_s=1.0)
        assert (counts, harness.upstream.in_progress) == ([1], 0)

    scenario()


def test_request_is_refused_if_it_gets_no_permit_before_its_latest_start(
    monkeypatch,
):
    """Guards against a useless prefill that stalls an overloaded engine."""

    @clocks.on_virtual_clock
    def scenario():
        harness = DispatchHarness(monkeypatch)
        harness.granted = prefill.Permit(prefill.PermitDecision.NOT_YET)
        with pytest.raises(errors.RefusedError) as caught:
            harness.run(timeout_s=9.0, target_latency_s=1.0)
        assert caught.value.ran is types.ExecutionStatus.NO
        assert caught.value.retry_after_s > 0
        assert not harness.versions
        assert harness.pool.finished == len(harness.pool.placed)

    scenario()


@pytest.mark.parametrize(('waited_s', 'sent_as'), [(0.5, b'1'), (3.0, b'2')])
def test_version_is_checked_again_after_the_wait_for_a_permit(
    monkeypatch, waited_s, sent_as
):
    """Guards against answers of a version replaced during the wait.

    Found by a randomized run: gsnpa-plans, scale-1, seed 538228347794.
    """

    @clocks.on_virtual_clock
    def scenario():
        harness = DispatchHarness(monkeypatch, ref(1))
        waits = [waited_s]

        def on_permit():
            if waits:
                harness.recorded.config.apply_row(
                    test_configuration.version_row(2, 1)
                )
                clock.sleep(waits.pop())

        harness.on_permit = on_permit
        harness.run(timeout_s=9.0, target_latency_s=1.0)
        assert harness.pool.finished == len(harness.pool.placed)
        return harness.versions

    assert scenario() == [sent_as]


@clocks.on_virtual_clock
def test_previous_version_is_used_while_the_new_one_is_loading(monkeypatch):
    """Guards against requests that wait although they may use a version."""
    harness = DispatchHarness(monkeypatch, ref(1))
    harness.recorded.config.apply_row(test_configuration.version_row(2, 1))
    harness.run()
    clock.sleep(version_choice.OLD_VERSION_SHARE * VERSION_S)
    harness.run()
    assert harness.versions == [b'1', b'2']


@clocks.on_virtual_clock
def test_budget_bounds_the_retries_of_a_service(monkeypatch):
    """Guards against retries that amplify the load during an outage."""
    lost = failure(types.ExecutionStatus.NO)
    harness = DispatchHarness(monkeypatch, ref(1), outcomes=[lost] * 50)
    for _ in range(10):
        with pytest.raises(errors.RequestError):
            harness.run(max_attempts=9)
    assert len(harness.sent) <= 10 + 2 + 1


@clocks.on_virtual_clock
@pytest.mark.parametrize('attempts', [1, 2, 3])
def test_request_runs_on_no_more_upstreams_than_its_route_allows(
    monkeypatch, attempts
):
    """Guards against a request that crashes one upstream after another."""
    harness = DispatchHarness(
        monkeypatch,
        ref(1),
        outcomes=[failure(types.ExecutionStatus.UNKNOWN)] * 9,
        upstreams=9,
    )
    # The route is to bound the attempts, not the budget.
    budget = harness.budgets.budget('app')
    budget.change_reserve(100.0)
    assert budget.balance > len(harness.outcomes)
    with pytest.raises(errors.RequestError) as caught:
        harness.run(
            kind=contracts.Repeatability.IDEMPOTENT, max_attempts=attempts
        )
    assert len(harness.reached) == len(set(harness.reached)) == attempts
    assert caught.value.ran is types.ExecutionStatus.UNKNOWN


@clocks.on_virtual_clock
def test_refusal_after_an_attempt_that_may_have_run_is_not_a_503(monkeypatch):
    """Guards against a 503, which states that the request did not run."""
    outcomes = [
        failure(types.ExecutionStatus.UNKNOWN),
        failure(types.ExecutionStatus.NO),
    ]
    harness = DispatchHarness(monkeypatch, ref(1), outcomes=outcomes)
    harness.budgets.budget('app').try_spend()
    with pytest.raises(errors.RequestError) as caught:
        harness.run(kind=contracts.Repeatability.IDEMPOTENT, max_attempts=2)
    assert caught.value.status == 502
    assert caught.value.retry_after_s is None


@clocks.on_virtual_clock
def test_each_decision_is_logged_with_the_request_id(monkeypatch):
    """Guards against a failed request whose log lines cannot be found."""
    outcomes = [failure(types.ExecutionStatus.NO)]
    harness = DispatchHarness(monkeypatch, ref(1), outcomes=outcomes)
    harness.run()
    names = [event.name for event in harness.log.events]
    assert names == [
        'request_placed',
        'attempt_failed',
        'request_placed',
        'request_ended',
    ]
    assert {event.request_id for event in harness.log.events} == {'r-1'}


@clocks.on_virtual_clock
def test_learned_latency_of_an_engine_is_logged(monkeypatch):
    """Guards against late requests whose expected time no line explains."""
    monkeypatch.setattr(
        prefill_rates.PrefillRates, 'latency_s', lambda rates, engine: 0.08
    )
    harness = DispatchHarness(monkeypatch, ref(1))
    harness.run()
    assert harness.log.events[0].latency_ms == 80


class MeasuredDispatch(DispatchHarness):
    """A dispatcher whose engine answers after a time, and what it measures."""

    ANSWER_S = 0.1

    def measure(self, answer):
        """Return the times to first token that a request adds."""
        self.answer = answer
        self.run(answer=answer)
        return [one.first_event_s for one in self.measured.take().samples]

    def wait_in_queue(self):
        clock.sleep(self.ANSWER_S)
        if self.answer.head_sent_at is None:
            self.answer.head_sent_at = clock.now()
        self.answer.last_event_id = '12'


@clocks.on_virtual_clock
@pytest.mark.parametrize('resumes_after', ['', '7'])
def test_prompt_of_a_resumed_stream_does_not_tell_the_prefill_rate(
    monkeypatch, resumes_after
):
    """Guards against engines that seem twice as fast after all hosts restarted:
    they have most of a resumed prompt, and read what they had written of it.
    """
    harness = MeasuredDispatch(monkeypatch, ref(1))
    answer = FakeAnswer()
    answer.last_event_id = resumes_after
    measured_s = harness.measure(answer)
    assert measured_s == ([] if resumes_after else [pytest.approx(0.1)])


@clocks.on_virtual_clock
def test_time_to_connect_is_not_measured_as_prefill(monkeypatch):
    """Guards against engines that seem to have a longer latency after all hosts
    restarted, because no host has an open connection yet.
    """
    harness = MeasuredDispatch(monkeypatch, ref(1))
    harness.on_connect = lambda: clock.sleep(0.05)
    assert harness.measure(FakeAnswer()) == [pytest.approx(0.1)]


@clocks.on_virtual_clock
@pytest.mark.parametrize('step', ['place', 'permit'])
def test_disconnect_of_a_waiting_caller_is_logged_with_its_step(
    monkeypatch, step
):
    """Guards against abandoned requests that leave no line in the log."""
    harness = DispatchHarness(monkeypatch, ref(1))

    def disconnect(*_):
        raise relay.CallerDisconnectedError

    if step == 'place':
        harness.pool.place = disconnect
    else:
        harness.on_permit = disconnect
    with pytest.raises(relay.CallerDisconnectedError):
        harness.run()
    (abandoned,) = harness.log.named('request_abandoned')
    assert (abandoned.request_id, abandoned.step) == ('r-1', step)
    assert not harness.sent


@clocks.on_virtual_clock
def test_stream_past_its_latest_start_is_refused_instead_of_sent(monkeypatch):
    """Guards against streams that start when their callers give up."""
    harness = DispatchHarness(monkeypatch, ref(1))
    harness.on_permit = lambda: clock.sleep(3.9)
    with pytest.raises(errors.RefusedError) as caught:
        harness.run(timeout_s=15.0, target_latency_s=1.0)
    assert (caught.value.status, caught.value.ran) == (
        503,
        types.ExecutionStatus.NO,
    )
    assert caught.value.retry_after_s > 0
    assert not harness.sent


@pytest.mark.parametrize('is_removed', [True, False])
def test_request_goes_elsewhere_if_its_upstream_leaves_during_a_connect(
    monkeypatch, is_removed
):
    """Guards against requests to an upstream that left meanwhile."""

    @clocks.on_virtual_clock
    def scenario():
        harness = DispatchHarness(monkeypatch, ref(1))
        others = []

        def leave():
            if is_removed:
                harness.upstream_by_id.clear()
            else:
                harness.upstream.replace_entry(
                    dataclasses.replace(
                        harness.upstream.entry,
                        state=upstreams.UpstreamState.DRAINING,
                    ),
                    clock.now(),
                )
            harness.pool.refusal = failure(types.ExecutionStatus.NO)
            others.append(harness.upstream)

        harness.on_connect = leave
        with pytest.raises(errors.RequestError) as caught:
            harness.run(kind=contracts.Repeatability.AT_MOST_ONCE)
        assert caught.value.ran is types.ExecutionStatus.NO
        assert not harness.sent
        assert len(others) == harness.pool.finished == 1

    scenario()


@clocks.on_virtual_clock
def test_deadline_during_a_connect_is_answered_as_not_run(monkeypatch):
    """Guards against callers that do not know that they may retry."""
    harness = DispatchHarness(monkeypatch, ref(1))
    harness.on_connect = lambda: clock.sleep(2)
    with pytest.raises(errors.RequestError) as caught:
        harness.run(kind=contracts.Repeatability.STREAM)
    assert (caught.value.status, caught.value.ran) == (
        503,
        types.ExecutionStatus.NO,
    )
    assert caught.value.retry_after_s > 0
    assert not harness.sent
