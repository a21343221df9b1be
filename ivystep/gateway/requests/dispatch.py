"""Dispatches requests to upstreams, with retries where they are safe.

A request is retried only if the previous upstream states that it did not run
the request, or if the request may run more than once. Each retry is charged to
the retry budget of the service.
"""

from collections.abc import Callable

import eventlet

from ivystep.coordination import retry_budget
from ivystep.core import errors, types
from ivystep.entry import pool
from ivystep.gateway.loads import model_pools
from ivystep.gateway.requests import (
    attempt_sender,
    final_errors,
    planned_stop,
    relay,
    request_log,
    request_state,
    retries,
    safeguard,
    version_choice,
    version_waits,
)
from ivystep.gateway.upstreams import upstream_state
from ivystep.prefill import prefill
from ivystep.runtime import clock
from ivystep.stream_origins import origins as stream_origins
from ivystep.traffic import calls, contracts

# Crashed upstreams of a software version may be back by then.
VERSION_RETRY_S = 1.0
NO_PERMIT = frozenset(
    (prefill.PermitDecision.NOT_YET, prefill.PermitDecision.REFUSED)
)


class DeadlineExceededError(Exception):
    """The deadline of a request has passed."""


class Dispatcher:
    """Dispatches the requests of this host.

    Args:
        pools: The pools of this host.
        membership: The upstreams that this host knows.
        versions: Chooses the adapter version of a request.
        safeguards: What keeps requests from harming upstreams.
        on_change: Called when this host's view of an upstream has changed.
        wait_for_permit: Waits until a prompt may be sent to an engine.
        log: Logs the decisions.
        origins: Knows where streams began.
    """

    def __init__(
        self,
        pools: model_pools.ModelPools,
        membership: attempt_sender.UpstreamDirectory,
        versions: version_choice.VersionChoice,
        safeguards: safeguard.Safeguards,
        on_change: Callable[[upstream_state.Upstream], None],
        wait_for_permit: Callable[[str, prefill.Ticket], prefill.Permit],
        log: request_log.RequestLog,
        origins: stream_origins.StreamOrigins,
    ) -> None:
        self._pools = pools
        self._membership = membership
        self._versions = versions
        self._budgets = safeguards.budgets
        self._crashes = safeguards.crashes
        self._limits = safeguards.limits
        self._access = safeguards.access
        self._stop = safeguards.stop
        self._wait_for_permit = wait_for_permit
        self._log = log
        self._origins = origins
        self._measured = pools.measured
        self._sender = attempt_sender.AttemptSender(
            membership,
            versions,
            safeguards,
            on_change,
            log,
            origins,
            pools.measured,
        )

    def run(
        self,
        call: calls.Call,
        route: contracts.Route,
        answer: relay.CallerAnswer,
        account: contracts.ClientAccount | None = None,
    ) -> None:
        """Run a request on an upstream and relay the answer.

        Args:
            call: The request.
            route: Its route.
            answer: The caller's side of the answer.
            account: Account that sends the request; None if there is none.

        Raises:
            errors.RequestError: The request failed, possibly after a part of
                the answer was sent.
        """
        state = request_state.RequestState.from_call(
            call, route, answer, account
        )
        if call.generation is not None:
            state.first_event_s = self._measured.rates.first_event_s(
                state.service, call.generation.prompt_tokens
            )
        self._retry_budget(state).on_request()
        self._pools.record_arrival(state.service)
        try:
            with (
                eventlet.Timeout(state.remaining_s, DeadlineExceededError),
                self._access.end_if_revoked(state),
                self._stop.watch(state),
            ):
                self._run_attempts(state)
        except DeadlineExceededError as error:
            raise final_errors.deadline_error(state) from error
        except planned_stop.HostStoppedError as error:
            self._log.stopped(state, self._stop.begun.signalled_at)
            raise final_errors.stopped_error(
                state, self._stop.retry_after_s
            ) from error
        except (relay.CallerDisconnectedError, OSError):
            self._log.abandoned(state)
            raise
        self._stop.times.record(state)
        self._log.ended(state)

    def _run_attempts(self, state: request_state.RequestState) -> None:
        self._origins.resolve(state)
        while True:
            last_event_id = state.answer.last_event_id
            try:
                self._make_attempt(state)
            except errors.RefusedError as refusal:
                raise final_errors.final_error(refusal, state) from refusal
            except errors.RequestError as error:
                state.on_attempt_failed(last_event_id)
                state.require_time_for_answer(self._shortest_answer_s(state))
                may_retry = self._may_retry(state, error)
                self._log.attempt_failed(
                    state,
                    error,
                    self._retry_budget(state).balance,
                    may_retry=may_retry,
                )
                if not may_retry:
                    wait_s = self._limits.expected_wait_s(state.service)
                    raise final_errors.final_error(
                        error, state, wait_s
                    ) from error
                clock.sleep(state.retry_pause_s)
            else:
                return

    def _make_attempt(self, state: request_state.RequestState) -> None:
        self._crashes.raise_if_refused(state)
        self._stop.raise_if_too_late(state)
        state.has_run_before = bool(state.may_have_run)
        self._access.renew(state)
        target = self._pools.find(state.service, state.model)
        if target is None:
            raise errors.RefusedError(
                'upstream_unavailable',
                f'No upstream of {state.service} '
                f'serves {state.model or "the route"}.',
                status=503,
                retry_after_s=request_state.MIN_RETRY_AFTER_S,
                step='route',
                peer=state.service,
            )
        is_sent = False
        try:
            while not is_sent:
                is_sent = self._place_and_send(state, target)
        finally:
            self._crashes.parts.end_trials(state)

    def _raise_if_version_gone(self, state: request_state.RequestState) -> None:
        """Refuse a resumed stream whose software version has no upstream."""
        version = state.required_version
        if version is None or any(
            upstream.entry.service == state.service
            and upstream.entry.software_version == version
            and not upstream.is_draining
            for upstream in self._membership.upstream_by_id.values()
        ):
            return
        raise errors.RefusedError(
            'software_version_gone',
            f'No upstream runs version {version!r}, which began the stream.',
            status=503,
            retry_after_s=VERSION_RETRY_S,
            step='route',
            peer=state.service,
        )

    def _place_and_send(
        self, state: request_state.RequestState, target: pool.Pool
    ) -> bool:
        """Place a request on an upstream, wait for a permit and send it.

        Returns:
            False if the request must be placed again, because the upstream
            started draining or the adapter version was replaced during a
            wait.
        """
        state.step = 'place'
        self._raise_if_version_gone(state)
        ref = self._versions.choose(state.call, target)
        try:
            placement = self._place(state, target, ref)
        except version_waits.VersionReplacedError:
            return False
        try:
            state.raise_if_unwanted()
            upstream = self._find_upstream(placement)
            self._take_turn(state, upstream)
            with upstream.track_request():
                self._send_with_permit(state, upstream, ref)
        except attempt_sender.PlacementOutdatedError:
            # The pool must not place the request there again.
            self._limits.refresh(upstream)
            return False
        finally:
            target.finish(placement)
        return True

    def _place(
        self,
        state: request_state.RequestState,
        target: pool.Pool,
        ref: types.AdapterRef | None,
    ) -> types.Placement:
        """Wait for a place.

        Raises:
            version_waits.VersionReplacedError: The adapter version is to be
                chosen again.
        """
        with (
            self._limits.wait_in_turn(state),
            self._versions.limit_placing(ref),
        ):
            return target.place(state.to_request(target.name, ref), state.avoid)

    def _take_turn(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Take a turn at an upstream if it is limited.

        Raises:
            attempt_sender.PlacementOutdatedError: It is not this host's turn.
        """
        state.turn_at = None
        if upstream.limit.is_limited:
            if not self._limits.try_take(upstream):
                raise attempt_sender.PlacementOutdatedError
            state.turn_at = upstream

    def _send_with_permit(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
    ) -> None:
        permit = None
        if state.call.generation is not None:
            permit = self._acquire_permit(state, upstream)
            if permit.decision is prefill.PermitDecision.CLOSED:
                self._sender.suspend(upstream)
            self._sender.raise_if_outdated(state, upstream, ref)
        self._sender.send(state, upstream, ref, permit)

    def _acquire_permit(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> prefill.Permit:
        """Wait for a permit to send a prompt to an engine.

        Raises:
            errors.RefusedError: The engine is busy with the prefill of other
                prompts until the latest start of the request.
        """
        state.step = 'permit'
        permit = self._wait_for_permit(
            upstream.entry.incarnation,
            state.ticket(self._measured.tokens_per_s(upstream)),
        )
        if permit.decision in NO_PERMIT:
            raise errors.RefusedError(
                'upstream_full',
                'The engine is busy with the prefill of other prompts.',
                status=503,
                retry_after_s=permit.retry_after_s
                or request_state.MIN_RETRY_AFTER_S,
                step='permit',
                peer=upstream.upstream_id,
            )
        return permit

    def _find_upstream(
        self, placement: types.Placement
    ) -> upstream_state.Upstream:
        upstream = self._membership.upstream_by_id.get(placement.upstream_id)
        if upstream is None:
            raise errors.RequestError(
                'upstream_unavailable',
                'The upstream has been removed.',
                status=503,
                step='route',
                peer=placement.upstream_id,
            )
        return upstream

    def _may_retry(
        self, state: request_state.RequestState, error: errors.RequestError
    ) -> bool:
        """Decide whether a request is retried, and charge the budget."""
        next_attempt_at = clock.now() + state.retry_pause_s
        return (
            retries.may_follow(state, error.ran)
            and next_attempt_at < state.send_by
            and self._retry_budget(state).try_spend()
        )

    def _shortest_answer_s(self, state: request_state.RequestState) -> float:
        """Return the time that an answer takes at least, as far as is known."""
        known_s = self._stop.times.shortest_s(state)
        return state.first_event_s if known_s is None else known_s

    def _retry_budget(
        self, state: request_state.RequestState
    ) -> retry_budget.RetryBudget:
        return self._budgets.budget(state.service)
