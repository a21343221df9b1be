"""Tests of how requests are tried, on the virtual clock."""

import dataclasses
import types as builtin_types

import pytest

from ivystep.coordination import retry_budget
from ivystep.core import errors, types
from ivystep.gateway import dispatch, relay, upstream_state
from ivystep.policy import prefill
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts, upstreams
from tests.coordination import fakes as clocks
from tests.gateway import fakes, test_configuration
from tests.traffic import test_contracts

VERSION_S = 5.0


class FakePool:
    """Places each request on the one engine at once."""

    name = 'llm/m'

    def __init__(self, *held):
        self.held = set(held)
        self.placed = []
        self.finished = 0
        self.refusal = None

    def is_held(self, ref):
        return ref in self.held

    def place(self, request, avoid):
        if self.refusal is not None:
            raise self.refusal
        self.placed.append(request)
        return types.Placement(request, 'i-1', '1')

    def finish(self, placement):
        self.finished += 1


class FakeAnswer:
    """A caller that takes any answer."""

    has_started = False
    is_complete = False
    first_at = None
    status = 0
    last_event_id = ''
    can_resume = True
    longest_gap_s = 0.0


class Bench:
    """A dispatcher with one engine and scripted attempts."""

    def __init__(self, monkeypatch, *held, outcomes=()):
        self.seen = test_configuration.Seen()
        self.pool = FakePool(*held)
        self.sent = []
        self.outcomes = list(outcomes)
        self.on_permit = lambda: None
        self.granted = prefill.Permit(prefill.PermitDecision.ALONE)
        self.log = fakes.FakeLog()
        upstream = upstream_state.Upstream(fakes.entry('i-1'))
        self.upstream = upstream
        self.upstream_by_id = {'i-1': upstream}
        members = builtin_types.SimpleNamespace(
            upstream_by_id=self.upstream_by_id
        )
        bench = self

        class FakeExchange:
            def __init__(self, *arguments, **named):
                self.may_repeat = named['may_repeat']

            def run(self, encoded):
                bench.sent.append(encoded)
                outcome = bench.outcomes.pop(0) if bench.outcomes else None
                if outcome is not None:
                    raise outcome

        monkeypatch.setattr(relay, 'Exchange', FakeExchange)
        self.budgets = retry_budget.RetryBudgets(ratio=0.1, reserve=2.0)
        self.dispatcher = dispatch.Dispatcher(
            builtin_types.SimpleNamespace(find=lambda *_: self.pool),
            members,
            self.seen.config,
            self.budgets,
            lambda upstream: None,
            self.permit,
            self.log,
            VERSION_S,
        )

    def permit(self, engine, ticket):
        self.on_permit()
        return self.granted

    def run(self, kind=contracts.Repeatability.STREAM, **more):
        call = calls.Call(
            request_id='r-1',
            method='POST',
            target='/a/',
            host='ficu.example',
            headers=(),
            body=b'',
            arrived=clock.now(),
            generation=calls.Generation('m', 'a3', 1000, 100),
        )
        route = test_contracts.route('/a/', kind=kind, **more)
        self.dispatcher.run(call, route, FakeAnswer())

    @property
    def versions(self):
        return [
            line.partition(b': ')[2]
            for encoded in self.sent
            for line in encoded.split(b'\r\n')
            if line.startswith(b'Expect-Version')
        ]


def ref(version):
    return types.AdapterRef('m', 'a3', version)


def failure(ran, code='upstream_full'):
    return errors.RequestError(code, 'Failed.', status=502, ran=ran)


@pytest.mark.parametrize('is_removed', [True, False])
def test_request_goes_elsewhere_if_its_engine_leaves_during_the_wait(
    monkeypatch, is_removed
):
    """Guards against requests sent to an engine after it said it leaves.

    A hunted day sent eleven of them, up to 0.1 s later than is allowed.
    """

    @clocks.on_virtual_clock
    def play():
        bench = Bench(monkeypatch)

        def leave():
            if is_removed:
                bench.upstream_by_id.clear()
            else:
                left = dataclasses.replace(
                    bench.upstream.entry,
                    state=upstreams.UpstreamState.DRAINING,
                )
                bench.upstream.replace_entry(left, clock.now())
            bench.pool.refusal = failure(types.ExecutionStatus.NO)

        bench.on_permit = leave
        with pytest.raises(errors.RequestError):
            bench.run(timeout_s=9.0, target_latency_s=1.0)
        assert not bench.sent
        assert bench.pool.finished == 1

    play()


def test_engine_whose_gate_is_closed_gets_no_new_work(monkeypatch):
    """Guards against a host that learns later that an engine leaves."""

    @clocks.on_virtual_clock
    def play():
        bench = Bench(monkeypatch)
        bench.granted = prefill.Permit(prefill.PermitDecision.CLOSED)

        def refuse_next():
            bench.pool.refusal = failure(types.ExecutionStatus.NO)

        bench.on_permit = refuse_next
        with pytest.raises(errors.RequestError):
            bench.run(timeout_s=9.0, target_latency_s=1.0)
        assert not bench.sent
        assert bench.upstream.suspended_until > clock.now()

    play()


def test_request_that_waits_for_a_permit_counts_at_its_engine(monkeypatch):
    """Guards against hosts that choose an engine with a long queue."""

    @clocks.on_virtual_clock
    def play():
        bench = Bench(monkeypatch)
        seen = []
        bench.on_permit = lambda: seen.append(bench.upstream.in_progress)
        bench.run(timeout_s=9.0, target_latency_s=1.0)
        assert (seen, bench.upstream.in_progress) == ([1], 0)

    play()


def test_request_is_refused_if_its_engine_reads_other_prompts_for_too_long(
    monkeypatch,
):
    """Guards against a prompt that is read in vain and stops the streams of
    an engine that is asked for too much.
    """

    @clocks.on_virtual_clock
    def play():
        bench = Bench(monkeypatch)
        bench.granted = prefill.Permit(prefill.PermitDecision.NOT_YET)
        with pytest.raises(errors.RefusedError) as caught:
            bench.run(timeout_s=9.0, target_latency_s=1.0)
        assert caught.value.ran is types.ExecutionStatus.NO
        assert caught.value.retry_after_s > 0
        assert not bench.versions
        assert bench.pool.finished == len(bench.pool.placed)

    play()


@pytest.mark.parametrize(('waited_s', 'sent_as'), [(0.5, b'1'), (3.0, b'2')])
def test_version_is_checked_again_after_the_wait_for_a_permit(
    monkeypatch, waited_s, sent_as
):
    """Guards against answers of a version that was replaced meanwhile.

    Found by a hunt on gsnpa-plans: scale-1 with seed 538228347794.
    """

    @clocks.on_virtual_clock
    def play():
        bench = Bench(monkeypatch, ref(1))
        waits = [waited_s]

        def on_permit():
            if waits:
                bench.seen.config.apply_row(
                    test_configuration.version_row(2, 1)
                )
                clock.sleep(waits.pop())

        bench.on_permit = on_permit
        bench.run(timeout_s=9.0, target_latency_s=1.0)
        assert bench.pool.finished == len(bench.pool.placed)
        return bench.versions

    assert play() == [sent_as]


@clocks.on_virtual_clock
def test_held_version_answers_while_the_new_one_is_loaded(monkeypatch):
    """Guards against requests that wait although they may be answered."""
    bench = Bench(monkeypatch, ref(1))
    bench.seen.config.apply_row(test_configuration.version_row(2, 1))
    bench.run()
    clock.sleep(dispatch.OLD_VERSION_SHARE * VERSION_S)
    bench.run()
    assert bench.versions == [b'1', b'2']


@clocks.on_virtual_clock
def test_budget_bounds_the_retries_of_a_service(monkeypatch):
    """Guards against retries that multiply the load of an outage."""
    lost = failure(types.ExecutionStatus.NO)
    bench = Bench(monkeypatch, ref(1), outcomes=[lost] * 50)
    for _ in range(10):
        with pytest.raises(errors.RequestError):
            bench.run(max_attempts=9)
    assert len(bench.sent) <= 10 + 2 + 1


@clocks.on_virtual_clock
@pytest.mark.parametrize('attempts', [1, 2, 3])
def test_request_runs_on_no_more_upstreams_than_its_route_allows(
    monkeypatch, attempts
):
    """Guards against a request that takes down one upstream after another."""
    bench = Bench(
        monkeypatch,
        ref(1),
        outcomes=[failure(types.ExecutionStatus.UNKNOWN)] * 9,
    )
    with pytest.raises(errors.RequestError) as caught:
        bench.run(
            kind=contracts.Repeatability.IDEMPOTENT, max_attempts=attempts
        )
    # The one upstream of this bench counts once, however often it is tried.
    assert len(bench.sent) == (1 if attempts == 1 else 3)
    assert caught.value.ran is types.ExecutionStatus.UNKNOWN


@clocks.on_virtual_clock
def test_refusal_after_a_run_is_no_promise(monkeypatch):
    """Guards against a 503 for a request that may have run."""
    outcomes = [
        failure(types.ExecutionStatus.UNKNOWN),
        failure(types.ExecutionStatus.NO),
    ]
    bench = Bench(monkeypatch, ref(1), outcomes=outcomes)
    bench.budgets.budget('app').try_spend()
    with pytest.raises(errors.RequestError) as caught:
        bench.run(kind=contracts.Repeatability.IDEMPOTENT, max_attempts=2)
    assert caught.value.status == 502
    assert caught.value.retry_after_s is None


@clocks.on_virtual_clock
def test_each_decision_is_logged_with_the_requests_id(monkeypatch):
    """Guards against a failed request that cannot be explained."""
    outcomes = [failure(types.ExecutionStatus.NO)]
    bench = Bench(monkeypatch, ref(1), outcomes=outcomes)
    bench.run()
    names = [event.name for event in bench.log.events]
    assert names == [
        'request_placed',
        'attempt_failed',
        'request_placed',
        'request_ended',
    ]
    assert {event.request_id for event in bench.log.events} == {'r-1'}
