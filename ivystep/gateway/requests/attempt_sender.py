"""Sends a placed request to its upstream: one attempt.

Before the bytes are sent, everything that may have changed during a wait is
looked at again. A failed attempt changes what this host knows of the upstream.
"""

import functools
import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors, types
from ivystep.gateway.requests import (
    given_up_attempts,
    relay,
    request_log,
    request_state,
    retries,
    safeguard,
    version_choice,
    version_waits,
)
from ivystep.gateway.upstreams import measurements, upstream_state
from ivystep.platform import messages
from ivystep.prefill import prefill
from ivystep.runtime import clock
from ivystep.stream_origins import origins as stream_origins
from ivystep.traffic import calls, contracts, peer_bounds

# Value of the least urgent requests on the wire; 0 is the most urgent.
MAX_URGENCY = 9
# Requests that are sent later after a load tell nothing about its duration.
MAX_MEASURED_S = 0.5
HIGHEST_SUCCESS_STATUS = 299
# Status of a stream of events.
SUCCESS_STATUS = 200


class PlacementOutdatedError(Exception):
    """The upstream or the adapter version must not be used any more."""


class UpstreamDirectory(typing.Protocol):
    """The part of ``membership.Membership`` that the dispatcher uses."""

    upstream_by_id: dict[str, upstream_state.Upstream]


class AttemptSender:
    """Sends the placed requests of this host.

    Args:
        membership: The upstreams that this host knows.
        versions: Chooses the adapter version of a request.
        safeguards: What keeps requests from harming upstreams.
        on_change: Called when this host's view of an upstream has changed.
        log: Logs the decisions.
        origins: Knows where streams began.
        measured: Measurements of the engines.
    """

    def __init__(
        self,
        membership: UpstreamDirectory,
        versions: version_choice.VersionChoice,
        safeguards: safeguard.Safeguards,
        on_change: Callable[[upstream_state.Upstream], None],
        log: request_log.RequestLog,
        origins: stream_origins.StreamOrigins,
        measured: measurements.Measurements,
    ) -> None:
        self._membership = membership
        self._versions = versions
        self._budgets = safeguards.budgets
        self._crashes = safeguards.crashes
        self._limits = safeguards.limits
        self._access = safeguards.access
        self._stop = safeguards.stop
        self._on_change = on_change
        self._log = log
        self._origins = origins
        self._measured = measured
        self._given_up = given_up_attempts.GivenUpAttempts(
            self._crashes, self.suspend
        )

    def send(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        permit: prefill.Permit | None,
    ) -> None:
        """Send a request to an upstream and relay the answer.

        Args:
            state: The request.
            upstream: The upstream on which it was placed.
            ref: Adapter version to use; None without an adapter.
            permit: Permit to send the prompt; None for a plain service.

        Raises:
            errors.RequestError: The attempt failed, or where its stream begins
                could not be recorded.
            PlacementOutdatedError: The request must be placed again.
        """
        state.step = 'connect'
        state.upstream_id = upstream.upstream_id
        state.attempts += 1
        state.record_version(upstream)
        self._origins.record(state, upstream)
        state.progress = request_state.AttemptProgress()
        state.may_have_run.append(upstream.upstream_id)
        exchange = relay.Exchange(
            state.call,
            state.route,
            upstream,
            state.answer,
            on_head=functools.partial(
                self._on_head, state, upstream, ref, sent_at=clock.now()
            ),
            on_discarded=functools.partial(
                self._log.answer_discarded, state, upstream
            ),
            may_repeat=retries.may_follow(state, types.ExecutionStatus.UNKNOWN)
            and self._budgets.budget(state.service).balance >= 1,
        )
        self._log.placed(
            state,
            upstream,
            ref,
            permit,
            self._measured.tokens_per_s(upstream),
            self._measured.latency_s(upstream),
        )
        try:
            with self._crashes.parts.watch(state, exchange):
                self._run(state, upstream, ref, exchange)
        except errors.RequestError as error:
            if error.ran is types.ExecutionStatus.NO and exchange.has_sent:
                state.may_have_run.remove(upstream.upstream_id)
            state.progress.record_body(exchange.body)
            self._on_failure(state, upstream, ref, error)
            raise
        finally:
            self._on_end(state, upstream, exchange)
        if upstream.on_answer():
            self._on_change(upstream)
        self._crashes.on_completed(state)
        if permit and permit.decision is prefill.PermitDecision.ALONE:
            self._update_prefill_rate(state, upstream)

    def suspend(self, upstream: upstream_state.Upstream) -> None:
        """Send no new requests to an upstream for a back-off period.

        Args:
            upstream: An upstream that can't be reached or takes no new work.
        """
        pause_s = upstream.suspend(clock.now())
        self._on_change(upstream)
        eventlet.spawn_after(pause_s, self._on_change, upstream)

    def raise_if_outdated(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
    ) -> None:
        """Raise an error if a placement must not be used after a wait.

        Args:
            state: The request.
            upstream: The upstream on which it was placed.
            ref: Adapter version that was chosen; None without an adapter.

        Raises:
            PlacementOutdatedError: The request must be placed again.
        """
        is_allowed = ref is None or self._versions.is_allowed(ref)
        has_turn = state.turn_at is upstream or not upstream.limit.is_limited
        if not (is_allowed and has_turn and self._accepts_requests(upstream)):
            raise PlacementOutdatedError

    def _on_end(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        exchange: relay.Exchange,
    ) -> None:
        """Record how an attempt has ended, whatever its outcome."""
        self._log.answer_ended(state, exchange.body)
        state.progress.record_body(exchange.body)
        if exchange.is_given_up:
            self._log.given_up(state)
            self._given_up.add(state, upstream)
        if exchange.has_sent:
            state.step = 'run'
        else:
            state.may_have_run.remove(upstream.upstream_id)

    def _run(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        exchange: relay.Exchange,
    ) -> None:
        """Run an exchange; a stream ends if its adapter version is too old.

        Of other answers nothing arrives before their end, so that one that has
        begun cannot be told from one that waits.
        """
        encode = functools.partial(self._encode, state, upstream, ref)
        is_stream = state.route.kind is contracts.Repeatability.STREAM
        if ref is None or not is_stream:
            exchange.run(encode)
            return
        try:
            with self._versions.limit_queueing(
                ref, functools.partial(_is_queued, exchange)
            ):
                exchange.run(encode)
        except version_waits.VersionReplacedError as error:
            raise errors.RequestError(
                'version_replaced',
                f'{ref.lora_name} was replaced before the engine began.',
                status=502,
                ran=types.ExecutionStatus.UNKNOWN,
                step='run',
                peer=upstream.upstream_id,
            ) from error

    def _accepts_requests(self, upstream: upstream_state.Upstream) -> bool:
        """Return whether an upstream still accepts requests after a wait."""
        known = self._membership.upstream_by_id.get(upstream.upstream_id)
        now = clock.now()
        is_paused = now < upstream.suspended_until or upstream.rest_s(now) > 0
        is_closed = upstream.is_draining or is_paused
        return known is upstream and not is_closed

    def _encode(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
    ) -> tuple[calls.Body, ...]:
        """Encode a request that is about to be sent, if it is still wanted."""
        state.raise_if_unwanted()
        self._crashes.raise_if_refused(state)
        self._access.renew(state)
        self._stop.raise_if_too_late(state)
        self.raise_if_outdated(state, upstream, ref)
        attempt = messages.AttemptHeaders(
            upstream_id=upstream.upstream_id,
            time_left_s=state.remaining_s,
            version=ref.version if ref else None,
            urgency=min(max(state.priority, 0), MAX_URGENCY) if ref else None,
            resumes_after=state.answer.last_event_id,
            account=state.account_name,
        )
        state.progress.expectation = self._stop.expectation(state)
        state.progress.sent_at = clock.now()
        state.progress.fill = upstream.fill_by_others
        state.progress.is_resumed = bool(attempt.resumes_after)
        return messages.encode_call(state.call, attempt)

    def _on_head(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        head: calls.AnswerHead,
        *,
        sent_at: float,
    ) -> None:
        """Record that the head of an answer has arrived."""
        state.progress.head_at = clock.now()
        if head.status <= HIGHEST_SUCCESS_STATUS:
            self._measure_load(state, upstream, ref, is_held=True)
        if head.is_leaving and not upstream.is_draining:
            upstream.leave()
            self._log.leaving(upstream)
            self._on_change(upstream)
        if head.rest_s is not None:
            self._log.asked_for_rest(upstream, head.rest_s)
        self._limits.on_answer(upstream, head, sent_at=sent_at)
        if head.status == SUCCESS_STATUS:
            self._origins.hold(state, upstream)

    def _update_prefill_rate(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Update an engine's rate from a prompt that it prefilled alone.

        Its time begins as it is sent, after a connection was opened. Of a
        resumed stream, an engine reads the events that were written as well,
        and has often kept the prompt, so its time does not tell the rate.
        """
        generation = state.call.generation
        sent_at = state.progress.sent_at
        head_sent_at = state.answer.head_sent_at
        if state.progress.is_resumed or sent_at is None:
            return
        # The first event may be from another upstream.
        if generation and head_sent_at is not None and head_sent_at >= sent_at:
            first_event_s = head_sent_at - sent_at - state.progress.held_s
            self._measured.record_prefill(
                upstream,
                generation.prompt_tokens,
                first_event_s,
                state.progress.fill,
            )

    def _measure_load(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        *,
        is_held: bool,
    ) -> None:
        """Record whether an adapter was resident when a request was sent."""
        sent_at = state.progress.sent_at
        if ref is None or sent_at is None:
            return
        since_s = upstream.since_load_s(ref, sent_at)
        if since_s is not None and 0 <= since_s <= MAX_MEASURED_S:
            self._measured.record_answer(
                upstream.upstream_id, ref, since_s, is_held=is_held
            )

    def _is_still_loading(
        self,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        error: errors.RequestError,
    ) -> bool:
        """Return whether an engine refused because a load is incomplete."""
        is_early = ref is not None and upstream.loaded_recently(
            ref, clock.now()
        )
        return is_early and error.code in {'upstream_full', 'not_held'}

    def _on_failure(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        error: errors.RequestError,
    ) -> None:
        """Learn from a failed attempt."""
        if error.code == 'not_held':
            self._measure_load(state, upstream, ref, is_held=False)
        if not self._is_still_loading(upstream, ref, error):
            state.avoid.add(upstream.upstream_id)
            self._record_failure(state, upstream, ref, error)

    def _record_failure(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        error: errors.RequestError,
    ) -> None:
        """Update this host's view of an upstream that failed a request."""
        now = clock.now()
        if error.code == 'not_held' and ref is not None:
            upstream.set_resident(ref, now, is_held=False)
            self._on_change(upstream)
        elif error.code == 'other_upstream' or (
            error.code == 'not_held' and self._is_other(state, upstream)
        ):
            self._membership.on_other_upstream(upstream)
        elif self._has_ended(state, upstream, error) or _exceeds_bound(error):
            self.suspend(upstream)

    def _is_other(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> bool:
        """Return whether a refusal without a name may be another upstream's.

        An upstream without models refuses as misdirected only what is meant
        for another one; that counts if there is another one at its address.
        """
        is_plain = state.call.generation is None
        return is_plain and self._membership.is_contested(upstream)

    def _has_ended(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        error: errors.RequestError,
    ) -> bool:
        """Return whether an upstream failed an attempt because it ended."""
        if error.code == 'upstream_lost':
            has_crashed = self._crashes.on_answer_lost(
                state, upstream, is_closed=_is_closed_by_peer(error)
            )
            if has_crashed:
                state.on_upstream_ended()
                self._given_up.on_crash(upstream)
            return has_crashed
        return error.code == 'upstream_unavailable'


def _is_closed_by_peer(error: errors.RequestError) -> bool:
    """Return whether the upstream has closed the connection of an attempt.

    A link that is cut ends it by a timeout of this host, which also closes the
    connection of an upstream that exceeds a bound.
    """
    lost = error.__cause__
    is_timed_out = lost and isinstance(lost.__cause__, TimeoutError)
    return not (is_timed_out or _exceeds_bound(error))


def _exceeds_bound(error: errors.RequestError) -> bool:
    """Return whether the upstream has sent more than it may."""
    return isinstance(error.__cause__, peer_bounds.BoundExceededError)


def _is_queued(exchange: relay.Exchange) -> bool:
    """Return whether an upstream has a request and has not begun to answer."""
    has_begun = exchange.body is not None and exchange.body.received_bytes > 0
    return exchange.has_sent and not has_begun
