"""One request on its way to an answer: its times, attempts and last error."""

import dataclasses
import math
import typing

from ivystep.core import errors, types, units
from ivystep.gateway import relay
from ivystep.policy import prefill
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts

MIN_RETRY_AFTER_S = 0.2
# Time that an engine needs from a request to the first event.
FIRST_EVENT_S = 0.2
# Time between two tokens of one request in a usual batch.
TOKEN_S = 0.012
# Share of the tokens that a caller allows that are used, if it gives no hint.
USED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Run:
    """One request, with how far it has come.

    Attributes:
        deadline: Time by which the answer must be complete.
        attempts: Upstreams that it was sent to.
        may_have_run: Upstreams at which it may have run.
        avoid: Upstreams that have failed or refused it.
        upstream_id: The last upstream; empty before the first.
    """

    call: calls.Call
    route: contracts.Route
    service: str
    deadline: float
    answer: relay.CallerAnswer
    attempts: int = 0
    may_have_run: set[str] = dataclasses.field(default_factory=set)
    avoid: set[str] = dataclasses.field(default_factory=set)
    upstream_id: str = ''

    @classmethod
    def from_call(
        cls,
        call: calls.Call,
        route: contracts.Route,
        answer: relay.CallerAnswer,
    ) -> typing.Self:
        """Start a request on one of its route's services."""
        budget_s = math.inf
        if call.time_budget_s is not None:
            budget_s = call.time_budget_s
        deadline = call.arrived + min(route.timeout_s, budget_s)
        return cls(call, route, route.choose_service(), deadline, answer)

    @property
    def model(self) -> str:
        """Base model that must answer; empty for a plain service."""
        generation = self.call.generation
        return generation.model if generation else ''

    @property
    def has_attempt_left(self) -> bool:
        """Whether the request may run on one more upstream."""
        return len(self.may_have_run) < self.route.max_attempts

    @property
    def left_s(self) -> float:
        """Time until the deadline."""
        return max(self.deadline - clock.now(), 0.0)

    @property
    def elapsed_ms(self) -> int:
        """Time since the request was read."""
        return int((clock.now() - self.call.arrived) * units.MS_PER_S)

    @property
    def expected_run_s(self) -> float:
        """Time that an engine needs for the request, in seconds."""
        generation = self.call.generation
        if generation is None:
            return FIRST_EVENT_S
        output = generation.expected_output_tokens
        if not output:
            output = generation.max_output_tokens * USED_SHARE
        return FIRST_EVENT_S + output * TOKEN_S

    @property
    def start_by(self) -> float:
        """Time by which an upstream must take it to be of any use."""
        if self.route.kind is not contracts.Repeatability.STREAM:
            return self.deadline
        begin_by = self.call.arrived + self.route.abandon_after_s
        return min(self.deadline, begin_by) - FIRST_EVENT_S

    @property
    def target_start_by(self) -> float:
        """Time by which an upstream must take it to answer in time."""
        return self.call.arrived + self.route.target_latency_s - FIRST_EVENT_S

    def ticket(self, pace: prefill.PrefillRate) -> prefill.Ticket:
        """Return what the gate of an engine must know of the request.

        Args:
            pace: Prefill rate of the engine.
        """
        generation = self.call.generation
        return prefill.Ticket(
            tokens=generation.prompt_tokens if generation else 0,
            target_start_by=self.target_start_by,
            start_by=self.start_by,
            value_rate=1.0 / self.expected_run_s,
            max_gap_s=self.route.max_gap_s,
            tokens_per_s=pace.tokens_per_s,
        )

    def to_request(
        self, pool_name: str, ref: types.AdapterRef | None
    ) -> types.Request:
        """Return the request as pools know it.

        Pools share an upstream fairly among accounts. The platform names no
        account in a request, so the route stands for it.

        Args:
            pool_name: Name of the pool.
            ref: Adapter version that must answer, or None.
        """
        route = self.route
        return types.Request(
            request_id=self.call.request_id,
            account=route.name,
            application='',
            pool=pool_name,
            adapter=ref,
            adapter_source='',
            path=self.call.path,
            body=b'',
            stream=route.kind is contracts.Repeatability.STREAM,
            idempotent=route.is_repeatable,
            arrived=self.call.arrived,
            deadline=self.deadline,
            fingerprint=b'',
            setup_version=0,
            start_by=self.start_by,
            target_start_by=self.target_start_by,
            value_rate=1.0 / self.expected_run_s,
        )


def final_error(error: errors.RequestError, run: Run) -> errors.RequestError:
    """Return the error that ends a request after its last attempt."""
    if run.may_have_run and error.ran is types.ExecutionStatus.NO:
        # The last attempt did not run, but an earlier one may have.
        return errors.RequestError(
            error.code,
            error.reason,
            status=502,
            ran=types.ExecutionStatus.UNKNOWN,
            step=error.step,
            peer=error.peer,
        )
    if error.ran is types.ExecutionStatus.NO and error.retry_after_s is None:
        error.retry_after_s = MIN_RETRY_AFTER_S
    return error


def timed_out(run: Run) -> errors.RequestError:
    """Return the error of a request whose time is over."""
    has_run = bool(run.may_have_run)
    return errors.RequestError(
        'deadline_exceeded',
        'The time of the request is over.',
        status=504 if has_run else 503,
        ran=types.ExecutionStatus.UNKNOWN
        if has_run
        else types.ExecutionStatus.NO,
        retry_after_s=None if has_run else MIN_RETRY_AFTER_S,
        step='wait',
        peer=run.upstream_id,
    )
