"""Runs one request: chooses upstreams, tries again where that is allowed.

A request may be sent to another upstream if the one before states that it has
not run, or if it may run more than once. Every attempt beyond the first draws
on the service's retry budget.
"""

import dataclasses
import enum
import math
import typing
from collections.abc import Callable

import eventlet

from ivystep.coordination import retry_budget
from ivystep.core import errors, types, units
from ivystep.gateway import (
    believed,
    calls,
    configuration,
    contracts,
    events,
    model_pools,
    relay,
)
from ivystep.platform import messages
from ivystep.runtime import clock, event_log

# Pause before an upstream is asked again that has refused a request, so that
# a short queue there can move.
REFUSED_PAUSE_S = 0.05
MIN_RETRY_AFTER_S = 0.2
# The most urgent and the least urgent request, as engines rank them.
MAX_URGENCY = 9
# An upstream must have some time to answer.
LEAST_TIME_S = 0.01
# Share of the time in which all hosts must have a new version in which the
# version before is still used while the new one is being loaded.
OLD_VERSION_SHARE = 0.6


class DeadlineError(Exception):
    """The time of a request is over."""


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes:
        attempts: Upstreams that it was sent to.
        may_have_run: Upstreams at which it may have run.
        avoid: Upstreams that have failed or refused it.
        first_at: When the first byte of the answer was sent; None before.
    """

    attempts: int = 0
    may_have_run: set[str] = dataclasses.field(default_factory=set)
    avoid: set[str] = dataclasses.field(default_factory=set)
    upstream_id: str = ''
    first_at: float | None = None


class Verdict(enum.Enum):
    """What follows a failed attempt."""

    RETRY = 'retry'
    GIVE_UP = 'give_up'


class Upstreams(typing.Protocol):
    """What dispatch needs of the membership."""

    upstream_by_id: dict[str, believed.Upstream]


class Dispatcher:
    """Runs requests at this host.

    Args:
        pools: The pools of this host.
        membership: The upstreams.
        config: The configuration and the named versions.
        budgets: Retries of each service.
        on_change: Called when the belief about an upstream has changed.
        log: Where decisions are written.
        version_s: Time within which a named version must be in force.
    """

    def __init__(
        self,
        pools: model_pools.ModelPools,
        membership: Upstreams,
        config: configuration.Configuration,
        budgets: retry_budget.RetryBudgets,
        on_change: Callable[[believed.Upstream], None],
        log: event_log.EventLog,
        version_s: float,
    ) -> None:
        self._pools = pools
        self._membership = membership
        self._config = config
        self._budgets = budgets
        self._on_change = on_change
        self._log = log
        self._old_version_s = OLD_VERSION_SHARE * version_s

    def run(
        self,
        call: calls.Call,
        route: contracts.Route,
        answer: relay.CallerAnswer,
    ) -> None:
        """Answer a request.

        Args:
            call: The request.
            route: Its route.
            answer: Where the answer goes.

        Raises:
            errors.RequestError: The request ends without an answer, or the
                answer broke off after it was started.
        """
        budget_s = (
            math.inf if call.time_budget_s is None else call.time_budget_s
        )
        deadline = call.arrived + min(route.timeout_s, budget_s)
        progress = Progress()
        service = route.choose_service()
        self._budgets.budget(service).on_request()
        left_s = max(deadline - clock.now(), 0)
        try:
            with eventlet.Timeout(left_s, DeadlineError):
                self._try_all(call, route, service, deadline, answer, progress)
        except DeadlineError as error:
            raise self._timed_out(progress) from error
        finally:
            self._note_end(call, route, answer, progress)

    def _try_all(
        self,
        call: calls.Call,
        route: contracts.Route,
        service: str,
        deadline: float,
        answer: relay.CallerAnswer,
        progress: Progress,
    ) -> None:
        while True:
            try:
                self._attempt(call, route, service, deadline, answer, progress)
            except errors.RequestError as error:
                if isinstance(error, errors.RefusedError):
                    raise
                verdict = self._judge(route, service, error, answer, progress)
                self._note_failure(call, route, service, error, verdict)
                if verdict is Verdict.GIVE_UP:
                    raise self._final(error, progress) from error
                clock.sleep(REFUSED_PAUSE_S)
            else:
                return

    def _attempt(
        self,
        call: calls.Call,
        route: contracts.Route,
        service: str,
        deadline: float,
        answer: relay.CallerAnswer,
        progress: Progress,
    ) -> None:
        model = call.generation.model if call.generation else ''
        target = self._pools.find(service, model)
        if target is None:
            raise errors.RefusedError(
                'upstream_unavailable',
                f'No upstream of {service} serves {model or "it"}.',
                status=503,
                retry_after_s=MIN_RETRY_AFTER_S,
                step='route',
                peer=service,
            )
        ref = self._adapter(call, target)
        request = _request(call, route, target.name, ref, deadline)
        placement = target.place(request, progress.avoid)
        try:
            upstream = self._membership.upstream_by_id.get(
                placement.upstream_id
            )
            if upstream is None:
                raise errors.RequestError(
                    'upstream_unavailable',
                    'The upstream has gone.',
                    status=503,
                    step='route',
                    peer=placement.upstream_id,
                )
            progress.upstream_id = upstream.upstream_id
            self._note_placed(call, route, upstream, ref, progress)
            self._send(
                call, route, service, upstream, ref, deadline, answer, progress
            )
        finally:
            target.finish(placement)

    def _send(
        self,
        call: calls.Call,
        route: contracts.Route,
        service: str,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        deadline: float,
        answer: relay.CallerAnswer,
        progress: Progress,
    ) -> None:
        attempt = messages.Attempt(
            upstream_id=upstream.upstream_id,
            time_left_s=max(deadline - clock.now(), LEAST_TIME_S),
            version=ref.version if ref else None,
            urgency=min(route.priority, MAX_URGENCY) if ref else None,
            resumes_after=answer.last_event_id,
        )
        progress.attempts += 1
        progress.may_have_run.add(upstream.upstream_id)
        exchange = relay.Exchange(
            call,
            route,
            upstream,
            answer,
            may_repeat=(
                route.is_repeatable
                and len(progress.may_have_run) < route.max_attempts
                and self._budgets.budget(service).balance >= 1
            ),
        )
        try:
            exchange.run(messages.encode_call(call, attempt))
            upstream.trust()
        except errors.RequestError as error:
            progress.avoid.add(upstream.upstream_id)
            if error.ran is types.Ran.NO:
                progress.may_have_run.discard(upstream.upstream_id)
                self._learn_refusal(upstream, ref, error)
            raise

    def _learn_refusal(
        self,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        error: errors.RequestError,
    ) -> None:
        """Correct the belief about an upstream that refused a request."""
        if error.code == 'not_held' and ref is not None:
            upstream.learn(ref, clock.now(), is_held=False)
            self._on_change(upstream)
        elif error.code in {'other_upstream', 'upstream_unavailable'}:
            pause_s = upstream.suspend(clock.now())
            self._on_change(upstream)
            eventlet.spawn_after(pause_s, self._on_change, upstream)

    def _adapter(
        self, call: calls.Call, target: typing.Any
    ) -> types.AdapterRef | None:
        """Return the adapter version that must answer, or None for any."""
        generation = call.generation
        if generation is None or not generation.adapter:
            return None
        newest = self._config.newest(generation.model, generation.adapter)
        if newest.version > 1 and not target.is_held(newest):
            previous = self._config.previous(newest, self._old_version_s)
            if previous is not None and target.is_held(previous):
                return previous
        return newest

    def _judge(
        self,
        route: contracts.Route,
        service: str,
        error: errors.RequestError,
        answer: relay.CallerAnswer,
        progress: Progress,
    ) -> Verdict:
        """Decide whether a request is tried again."""
        if answer.has_started and not (
            route.is_resumable and answer.can_resume
        ):
            return Verdict.GIVE_UP
        if error.ran is not types.Ran.NO and not route.is_repeatable:
            return Verdict.GIVE_UP
        if len(progress.may_have_run) >= route.max_attempts:
            return Verdict.GIVE_UP
        if not self._budgets.budget(service).try_spend():
            return Verdict.GIVE_UP
        return Verdict.RETRY

    def _final(
        self, error: errors.RequestError, progress: Progress
    ) -> errors.RequestError:
        """Return the error that ends a request after its last attempt."""
        if not progress.may_have_run and error.retry_after_s is None:
            error.retry_after_s = MIN_RETRY_AFTER_S
        if progress.may_have_run and error.ran is types.Ran.NO:
            # The last attempt did not run, but an earlier one may have.
            return errors.RequestError(
                error.code,
                error.reason,
                status=502,
                ran=types.Ran.UNKNOWN,
                step=error.step,
                peer=error.peer,
            )
        return error

    def _timed_out(self, progress: Progress) -> errors.RequestError:
        has_run = bool(progress.may_have_run)
        return errors.RequestError(
            'deadline_exceeded',
            'The time of the request is over.',
            status=504 if has_run else 503,
            ran=types.Ran.UNKNOWN if has_run else types.Ran.NO,
            retry_after_s=None if has_run else MIN_RETRY_AFTER_S,
            step='wait',
            peer=progress.upstream_id,
        )

    def _note_placed(
        self,
        call: calls.Call,
        route: contracts.Route,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        progress: Progress,
    ) -> None:
        self._log.write(
            events.RequestPlaced(
                call.request_id,
                route.name,
                upstream.upstream_id,
                ref.lora_name if ref else '',
                progress.attempts + 1,
                _ms(clock.now() - call.arrived),
                upstream.entry.version,
                self._config.version,
            )
        )

    def _note_failure(
        self,
        call: calls.Call,
        route: contracts.Route,
        service: str,
        error: errors.RequestError,
        verdict: Verdict,
    ) -> None:
        self._log.write(
            events.AttemptFailed(
                call.request_id,
                route.name,
                error.peer,
                error.step,
                error.reason,
                error.ran.value,
                error.status,
                _ms(clock.now() - call.arrived),
                verdict is Verdict.RETRY,
                round(self._budgets.budget(service).balance, 1),
            )
        )

    def _note_end(
        self,
        call: calls.Call,
        route: contracts.Route,
        answer: relay.CallerAnswer,
        progress: Progress,
    ) -> None:
        if not answer.is_complete:
            return
        first_s = (answer.first_at or clock.now()) - call.arrived
        self._log.write(
            events.RequestEnded(
                call.request_id,
                route.name,
                'answered',
                answer.status,
                _ms(clock.now() - call.arrived),
                _ms(first_s),
                progress.attempts,
                progress.upstream_id,
                self._config.version,
            )
        )


def _ms(seconds: float) -> int:
    return int(seconds * units.MS_PER_S)


def _request(
    call: calls.Call,
    route: contracts.Route,
    pool_name: str,
    ref: types.AdapterRef | None,
    deadline: float,
) -> types.Request:
    """Return the request as pools know it.

    Pools share an upstream fairly among accounts. The platform names no
    account in a request, so the route stands for it.
    """
    return types.Request(
        request_id=call.request_id,
        account=route.name,
        application='',
        pool=pool_name,
        adapter=ref,
        adapter_source='',
        path=call.path,
        body=b'',
        stream=route.kind is contracts.Repeatability.STREAM,
        idempotent=route.is_repeatable,
        arrived=call.arrived,
        deadline=deadline,
        fingerprint=b'',
        setup_version=0,
    )
