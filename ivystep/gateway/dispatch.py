"""Runs one request: chooses upstreams, tries again where that is allowed.

A request may be sent to another upstream if the one before states that it has
not run, or if it may run more than once. Every attempt beyond the first draws
on the service's retry budget.
"""

import typing
from collections.abc import Callable

import eventlet

from ivystep.coordination import retry_budget
from ivystep.core import errors, types, units
from ivystep.entry import pool
from ivystep.gateway import (
    believed,
    configuration,
    events,
    model_pools,
    relay,
    running,
)
from ivystep.platform import messages
from ivystep.policy import prefill
from ivystep.runtime import clock, event_log
from ivystep.traffic import calls, contracts

# Pause before another attempt, so that a short queue at an upstream can move.
RETRY_PAUSE_S = 0.03
# The least urgent request, as engines rank them.
MAX_URGENCY = 9
# An upstream must have some time to answer.
LEAST_TIME_S = 0.01
# Share of the time in which all hosts must have a new version in which the
# version before is still sent to; the rest is for its queue at an engine.
OLD_VERSION_SHARE = 0.4


class DeadlineError(Exception):
    """The time of a request is over."""


class Upstreams(typing.Protocol):
    """What dispatch needs of the membership."""

    upstream_by_id: dict[str, believed.Upstream]


class Dispatcher:
    """Runs requests at this host.

    Args:
        pools: The pools of this host.
        members: The upstreams.
        config: The configuration and the named versions.
        budgets: Retries of each service.
        on_change: Called when the belief about an upstream has changed.
        wait_for_permit: Waits until a prompt may be sent to an engine.
        log: Where decisions are written.
        version_s: Time within which a named version must be in force.
    """

    def __init__(
        self,
        pools: model_pools.ModelPools,
        members: Upstreams,
        config: configuration.Configuration,
        budgets: retry_budget.RetryBudgets,
        on_change: Callable[[believed.Upstream], None],
        wait_for_permit: Callable[[str, prefill.Ticket], prefill.Permit],
        log: event_log.EventLog,
        version_s: float,
    ) -> None:
        self._pools = pools
        self._members = members
        self._config = config
        self._budgets = budgets
        self._on_change = on_change
        self._wait_for_permit = wait_for_permit
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
        run = running.Run.from_call(call, route, answer)
        self._budget(run).on_request()
        try:
            with eventlet.Timeout(run.left_s, DeadlineError):
                self._try_all(run)
        except DeadlineError as error:
            raise running.timed_out(run) from error
        self._note_end(run)

    def _try_all(self, run: running.Run) -> None:
        while True:
            try:
                self._attempt(run)
            except errors.RefusedError as refusal:
                raise running.final_error(refusal, run) from refusal
            except errors.RequestError as error:
                may_retry = self._may_retry(run, error)
                self._note_failure(run, error, may_retry=may_retry)
                if not may_retry:
                    raise running.final_error(error, run) from error
                clock.sleep(RETRY_PAUSE_S)
            else:
                return

    def _attempt(self, run: running.Run) -> None:
        target = self._pools.find(run.service, run.model)
        if target is None:
            raise errors.RefusedError(
                'upstream_unavailable',
                f'No upstream of {run.service} serves {run.model or "it"}.',
                status=503,
                retry_after_s=running.MIN_RETRY_AFTER_S,
                step='route',
                peer=run.service,
            )
        is_sent = False
        while not is_sent:
            is_sent = self._place_and_send(run, target)

    def _place_and_send(self, run: running.Run, target: pool.Pool) -> bool:
        """Send a request once it has an upstream and a permit.

        Returns:
            False if the request must be placed again, because the upstream
            leaves or the version was replaced during a wait.
        """
        ref = self._adapter(run.call, target)
        placement = target.place(run.to_request(target.name, ref), run.avoid)
        try:
            with self._upstream(placement).one_more():
                return self._send_with_permit(run, placement, ref)
        finally:
            target.finish(placement)

    def _send_with_permit(
        self,
        run: running.Run,
        placement: types.Placement,
        ref: types.AdapterRef | None,
    ) -> bool:
        upstream = self._upstream(placement)
        permit = None
        if run.call.generation is not None:
            permit = self._permit(run, upstream)
            if permit.decision is prefill.PermitDecision.CLOSED:
                self._suspend(upstream)
            if not self._may_send(upstream):
                return False
        if ref is not None and not self._is_allowed(ref):
            return False
        self._send(run, upstream, ref, permit)
        return True

    def _may_send(self, upstream: believed.Upstream) -> bool:
        """Return whether an upstream still takes new work after a wait."""
        known = self._members.upstream_by_id.get(upstream.upstream_id)
        is_suspended = clock.now() < upstream.suspended_until
        is_closed = upstream.is_draining or is_suspended
        return known is upstream and not is_closed

    def _permit(
        self, run: running.Run, upstream: believed.Upstream
    ) -> prefill.Permit:
        """Wait until an engine can read the prompt of a request.

        Raises:
            errors.RefusedError: The engine reads other prompts for all the
                time in which an answer would be of use.
        """
        permit = self._wait_for_permit(
            upstream.entry.incarnation, run.ticket(upstream.pace)
        )
        if permit.decision is prefill.PermitDecision.NOT_YET:
            raise errors.RefusedError(
                'upstream_full',
                'The engine reads other prompts.',
                status=503,
                retry_after_s=running.MIN_RETRY_AFTER_S,
                step='permit',
                peer=upstream.upstream_id,
            )
        return permit

    def _upstream(self, placement: types.Placement) -> believed.Upstream:
        upstream = self._members.upstream_by_id.get(placement.upstream_id)
        if upstream is None:
            raise errors.RequestError(
                'upstream_unavailable',
                'The upstream has gone.',
                status=503,
                step='route',
                peer=placement.upstream_id,
            )
        return upstream

    def _send(
        self,
        run: running.Run,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        permit: prefill.Permit | None,
    ) -> None:
        run.upstream_id = upstream.upstream_id
        run.attempts += 1
        was_tried = upstream.upstream_id in run.may_have_run
        run.may_have_run.add(upstream.upstream_id)
        attempt = messages.AttemptHeaders(
            upstream_id=upstream.upstream_id,
            time_left_s=max(run.left_s, LEAST_TIME_S),
            version=ref.version if ref else None,
            urgency=min(run.route.priority, MAX_URGENCY) if ref else None,
            resumes_after=run.answer.last_event_id,
        )
        exchange = relay.Exchange(
            run.call,
            run.route,
            upstream,
            run.answer,
            may_repeat=run.route.is_repeatable
            and run.has_attempt_left
            and self._budget(run).balance >= 1,
        )
        sent_at = clock.now()
        self._note_placed(run, upstream, ref, permit)
        try:
            exchange.run(messages.encode_call(run.call, attempt))
        except errors.RequestError as error:
            if error.ran is types.ExecutionStatus.NO and not was_tried:
                run.may_have_run.discard(upstream.upstream_id)
            if not self._is_still_loading(upstream, ref, error):
                run.avoid.add(upstream.upstream_id)
                self._learn_failure(upstream, ref, error)
            raise
        upstream.trust()
        if permit and permit.decision is prefill.PermitDecision.ALONE:
            self._observe_pace(run, upstream, sent_at)

    def _observe_pace(
        self, run: running.Run, upstream: believed.Upstream, sent_at: float
    ) -> None:
        """Measure an engine by a prompt that it read alone."""
        generation, first_at = run.call.generation, run.answer.first_at
        # Of a stream that goes on here, the first event came from elsewhere.
        if generation and first_at is not None and first_at >= sent_at:
            upstream.pace.observe(generation.prompt_tokens, first_at - sent_at)

    def _is_still_loading(
        self,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        error: errors.RequestError,
    ) -> bool:
        """Return whether an engine refused because a load is not complete."""
        is_early = ref is not None and upstream.learnt_lately(ref, clock.now())
        return is_early and error.code in {'upstream_full', 'not_held'}

    def _learn_failure(
        self,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        error: errors.RequestError,
    ) -> None:
        """Correct the belief about an upstream that failed a request."""
        now = clock.now()
        if error.code == 'not_held' and ref is not None:
            upstream.learn(ref, now, is_held=False)
            self._on_change(upstream)
        elif error.code in {'other_upstream', 'upstream_unavailable'}:
            self._suspend(upstream)

    def _suspend(self, upstream: believed.Upstream) -> None:
        """Send an upstream no new work for a while."""
        pause_s = upstream.suspend(clock.now())
        self._on_change(upstream)
        eventlet.spawn_after(pause_s, self._on_change, upstream)

    def _adapter(
        self, call: calls.Call, target: pool.Pool
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

    def _is_allowed(self, ref: types.AdapterRef) -> bool:
        """Return whether a version may still answer."""
        newest = self._config.newest(ref.account, ref.name)
        allowed = self._config.previous(newest, self._old_version_s)
        return ref in {newest, allowed}

    def _may_retry(self, run: running.Run, error: errors.RequestError) -> bool:
        """Decide whether a request is tried again, and take the budget."""
        if run.answer.has_started and not (
            run.route.is_resumable and run.answer.can_resume
        ):
            return False
        if (
            error.ran is not types.ExecutionStatus.NO
            and not run.route.is_repeatable
        ):
            return False
        return run.has_attempt_left and self._budget(run).try_spend()

    def _budget(self, run: running.Run) -> retry_budget.RetryBudget:
        return self._budgets.budget(run.service)

    def _note_placed(
        self,
        run: running.Run,
        upstream: believed.Upstream,
        ref: types.AdapterRef | None,
        permit: prefill.Permit | None,
    ) -> None:
        self._log.write(
            events.RequestPlaced(
                run.call.request_id,
                run.route.name,
                upstream.upstream_id,
                ref.lora_name if ref else '',
                run.attempts,
                run.elapsed_ms,
                upstream.in_progress,
                int(upstream.pace.tokens_per_s),
                _text(permit),
                upstream.entry.version,
                self._config.version,
            )
        )

    def _note_failure(
        self, run: running.Run, error: errors.RequestError, *, may_retry: bool
    ) -> None:
        self._log.write(
            events.AttemptFailed(
                run.call.request_id,
                run.route.name,
                error.peer,
                error.step,
                error.reason,
                error.ran.value,
                error.status,
                run.elapsed_ms,
                may_retry,
                round(self._budget(run).balance, 1),
            )
        )

    def _note_end(self, run: running.Run) -> None:
        first_at = run.answer.first_at or clock.now()
        self._log.write(
            events.RequestEnded(
                run.call.request_id,
                run.route.name,
                'answered',
                run.answer.status,
                run.elapsed_ms,
                int((first_at - run.call.arrived) * units.MS_PER_S),
                int(run.answer.longest_gap_s * units.MS_PER_S),
                run.attempts,
                run.upstream_id,
                self._config.version,
            )
        )


def _text(permit: prefill.Permit | None) -> str:
    """Return a permit for logs; empty for a plain service."""
    if permit is None:
        return ''
    return permit.reason or permit.decision.value
