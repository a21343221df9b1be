"""Writes the log lines of the decisions on requests."""

from ivystep.core import errors, types, units
from ivystep.gateway import events
from ivystep.gateway.requests import answer_body, request_state
from ivystep.gateway.store import configuration
from ivystep.gateway.upstreams import upstream_state
from ivystep.prefill import prefill
from ivystep.runtime import clock, event_log
from ivystep.traffic import calls, contracts, http1


class RequestLog:
    """The log lines of this host's requests.

    Args:
        log: Log to which the lines are written.
        config: The configuration in force, whose version each line has.
    """

    def __init__(
        self, log: event_log.EventLog, config: configuration.Configuration
    ) -> None:
        self._log = log
        self._config = config

    def placed(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ref: types.AdapterRef | None,
        permit: prefill.Permit | None,
        tokens_per_s: float,
        latency_s: float,
    ) -> None:
        """Log that an attempt starts at an upstream.

        Args:
            state: The request.
            upstream: The upstream that was chosen.
            ref: Adapter version that is used, or None.
            permit: Permit to send the prompt; None for a plain service.
            tokens_per_s: Expected prefill rate of the upstream.
            latency_s: Expected latency of a prompt there, in seconds.
        """
        self._log.write(
            events.RequestPlaced(
                state.call.request_id,
                state.route.name,
                upstream.upstream_id,
                ref.lora_name if ref else '',
                state.attempts,
                state.elapsed_ms,
                upstream.in_progress,
                int(tokens_per_s),
                _permit_field(permit),
                upstream.entry.version,
                self._config.version,
                state.call.caller,
                state.content_id,
                upstream.entry.software_version,
                state.answer.last_event_id,
                state.call.resumed_request_id,
                self._replaced_ms(ref),
                state.logged_parts,
                state.account_name,
                int(latency_s * units.MS_PER_S),
            )
        )

    def attempt_failed(
        self,
        state: request_state.RequestState,
        error: errors.RequestError,
        budget: float,
        *,
        may_retry: bool,
    ) -> None:
        """Log that an attempt failed.

        Args:
            state: The request.
            error: Why it failed.
            budget: Retry budget of the service that is left.
            may_retry: Whether another attempt follows.
        """
        self._log.write(
            events.AttemptFailed(
                state.call.request_id,
                state.route.name,
                error.peer,
                error.step,
                error.reason,
                error.ran.value,
                error.status,
                state.elapsed_ms,
                may_retry,
                round(budget, 1),
            )
        )

    def answer_discarded(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        head: calls.AnswerHead,
    ) -> None:
        """Log that an answer to another request was discarded.

        Args:
            state: The request that waits for an answer.
            upstream: The upstream.
            head: Head of the discarded answer.
        """
        self._log.write(
            events.AnswerDiscarded(
                state.call.request_id,
                state.route.name,
                upstream.upstream_id,
                head.request_id,
                head.status,
            )
        )

    def answer_ended(
        self,
        state: request_state.RequestState,
        body: answer_body.AnswerBody | None,
    ) -> None:
        """Log an answer whose end does not show that it is complete.

        Args:
            state: The request.
            body: Body of the answer; None if none was received.
        """
        if body is None or not body.is_ended:
            return
        is_until_close = body.framing is http1.Framing.UNTIL_CLOSE
        if is_until_close or body.open_event_bytes:
            self._log.write(
                events.AnswerEnded(
                    state.call.request_id,
                    state.route.name,
                    state.upstream_id,
                    body.framing.value,
                    body.received_bytes,
                    body.open_event_bytes,
                )
            )

    def leaving(self, upstream: upstream_state.Upstream) -> None:
        """Log that an upstream states in an answer that it drains."""
        host, port = upstream.entry.address
        self._log.write(
            events.UpstreamChanged(
                upstream.upstream_id,
                upstream.entry.service,
                f'{host}:{port}',
                'draining',
                'stated in its answer',
                upstream.entry.version,
            )
        )

    def asked_for_rest(
        self, upstream: upstream_state.Upstream, rest_s: float
    ) -> None:
        """Log that an upstream wants no requests for some time."""
        self._log.write(
            events.UpstreamAsksForRest(
                upstream.upstream_id,
                int(rest_s * units.MS_PER_S),
                upstream.in_progress,
            )
        )

    def given_up(self, state: request_state.RequestState) -> None:
        """Log that an attempt was ended before its upstream answered."""
        sent_at = state.progress.sent_at or clock.now()
        self._log.write(
            events.AttemptGivenUp(
                state.call.request_id,
                state.route.name,
                state.upstream_id,
                state.content_id,
                int((clock.now() - sent_at) * units.MS_PER_S),
            )
        )

    def abandoned(self, state: request_state.RequestState) -> None:
        """Log that the caller disconnected before its answer was complete."""
        self._log.write(
            events.RequestAbandoned(
                state.call.request_id,
                state.route.name,
                state.step,
                state.upstream_id,
                state.attempts,
                state.elapsed_ms,
                self._config.version,
                state.account_name,
            )
        )

    def ended(self, state: request_state.RequestState) -> None:
        """Log that an upstream has answered a request."""
        head_sent_at = state.answer.head_sent_at or clock.now()
        self._log.write(
            events.RequestEnded(
                state.call.request_id,
                state.route.name,
                'answered',
                state.answer.status,
                state.elapsed_ms,
                int((head_sent_at - state.call.arrived) * units.MS_PER_S),
                int(state.answer.longest_gap_s * units.MS_PER_S),
                state.attempts,
                state.upstream_id,
                self._config.version,
                state.account_name,
            )
        )

    def stopped(
        self, state: request_state.RequestState, signalled_at: float
    ) -> None:
        """Log that a planned stop has ended a request.

        Args:
            state: The request.
            signalled_at: When the stop signal came.
        """
        sent_at = state.progress.sent_at
        expectation = state.progress.expectation or request_state.Expectation()
        run_s = expectation.run_s
        self._log.write(
            events.RequestStopped(
                state.call.request_id,
                state.route.name,
                state.upstream_id,
                state.route.is_resumable,
                _milliseconds(state.call.arrived - signalled_at),
                sent_at is not None,
                0 if sent_at is None else _milliseconds(sent_at - signalled_at),
                -1 if run_s is None else _milliseconds(run_s),
                expectation.bound,
                state.progress.body_bytes,
                state.answer.written_bytes,
                _end_by_stop(state),
            )
        )

    def failed(
        self,
        call: calls.Call,
        route: contracts.Route | None,
        account: contracts.ClientAccount | None,
        error: errors.RequestError,
        unread_bytes: int,
    ) -> None:
        """Log that a request ends with an error.

        Args:
            call: The request.
            route: Its route, or None if no route matches.
            account: Its account, or None if it has none.
            error: The error that is sent to the caller.
            unread_bytes: Bytes of answers that the caller has not taken.
        """
        retry_after_ms = -1
        if error.retry_after_s is not None:
            retry_after_ms = int(error.retry_after_s * units.MS_PER_S)
        self._log.write(
            events.RequestFailed(
                call.request_id,
                route.name if route else '',
                _adapter_name(call),
                error.code,
                error.reason,
                error.step,
                error.peer,
                error.status,
                error.ran.value,
                retry_after_ms,
                int((clock.now() - call.arrived) * units.MS_PER_S),
                self._config.version,
                account.name if account else '',
                unread_bytes,
            )
        )

    def _replaced_ms(self, ref: types.AdapterRef | None) -> int:
        replaced_after = self._config.replaced_after(ref) if ref else None
        if replaced_after is None:
            return 0
        return units.whole_ms(clock.uptime() - replaced_after)


def _adapter_name(call: calls.Call) -> str:
    generation = call.generation
    if generation is None or not generation.adapter:
        return ''
    return f'{generation.model}/{generation.adapter}'


def _milliseconds(seconds: float) -> int:
    return int(seconds * units.MS_PER_S)


def _end_by_stop(state: request_state.RequestState) -> str:
    """Return how a request that a planned stop ends is ended for its caller."""
    if state.answer.has_started:
        return 'reset'
    return 'failed' if state.may_have_run else 'refused'


def _permit_field(permit: prefill.Permit | None) -> str:
    """Return a permit as a log field; empty for a plain service."""
    if permit is None:
        return ''
    return permit.reason or permit.decision.value
