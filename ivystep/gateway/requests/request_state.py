"""State of one request: its deadlines, its attempts and its final error."""

import dataclasses
import math
import typing

from ivystep.core import errors, types, units
from ivystep.gateway.requests import answer_body, relay
from ivystep.gateway.store import row_writer
from ivystep.gateway.upstreams import upstream_state
from ivystep.prefill import prefill
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts

MIN_RETRY_AFTER_S = 0.2
HOST_STOPPING = 'host_stopping'
DEADLINE_EXCEEDED = 'deadline_exceeded'
# Pause before a retry, so that a full upstream can finish some requests. It
# doubles while a stream can't be taken up, up to a bound that leaves callers,
# who wait for two seconds at least, some attempts.
RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.24
# Expected time to the first event where nothing tells it.
FIRST_EVENT_LATENCY_S = 0.2
# Expected inter-token gap in a batch of usual size.
INTER_TOKEN_S = 0.012
# Expected share of the maximum output tokens, if the caller gives no hint.
EXPECTED_OUTPUT_SHARE = 0.5
# Value of a stream that its caller has in part, relative to a new one. Without
# the rest, what was delivered is lost too, and only upstreams of the version
# that began it can go on; new requests go anywhere.
RESUMED_STREAM_VALUE = 10.0
# Hexadecimal digits of a digest in a log line.
CONTENT_ID_DIGITS = 16
# Bounds of a prompt's parts in a log line.
MAX_LOGGED_PARTS = 8
MAX_LOGGED_PART_ID = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """The time that an answer is expected to take.

    Attributes:
        run_s: The time in seconds; None if nothing tells it.
        bound: What tells it: ``deadline``, ``history`` or empty.
    """

    run_s: float | None = None
    bound: str = ''


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """How far an attempt has come.

    Attributes:
        sent_at: When the request was sent; None before.
        fill: Share of the upstream's batch that other requests used as the
            request was sent.
        is_resumed: Whether the request asked for the rest of a stream.
        head_at: When the head of the answer arrived; None before.
        body_bytes: Length of the body that had arrived when the attempt
            failed.
        is_settled: Whether the answer had gone on after its beginning by then.
        held_s: Time for which its head waited for the origin's row.
        expectation: Time that the answer was expected to take as the attempt
            was sent in a planned stop; None if none had begun.
    """

    sent_at: float | None = None
    fill: float = 0.0
    is_resumed: bool = False
    head_at: float | None = None
    body_bytes: int = 0
    is_settled: bool = False
    held_s: float = 0.0
    expectation: Expectation | None = None

    def record_body(self, body: answer_body.AnswerBody | None) -> None:
        """Record how much of the answer's body has arrived.

        Args:
            body: The body; None if no head has arrived.
        """
        if body is not None:
            self.body_bytes = body.received_bytes
            self.is_settled = body.is_settled


@dataclasses.dataclass(slots=True)
class RequestState:
    """A request and the attempts made so far.

    Attributes:
        service: Service of the route that was chosen for the request.
        deadline: Time by which the answer must be complete.
        answer: The caller's side of the answer.
        attempts: Number of attempts.
        may_have_run: Upstreams on which the request may have run, once for
            each time that it was sent there.
        uncounted_runs: Number of these that do not count as attempts.
        failed_take_ups: Attempts in a row that have brought a resumed stream
            no further.
        avoid: Upstreams that failed or refused the request.
        upstream_id: Upstream of the last attempt; empty before the first.
        content_id: Short id of the content, equal for a repeated request.
        fingerprints: Digests of the content; see ``calls.Call``.
        turn_at: Limited upstream at which this attempt has taken a turn.
        stream_version: Software version of the upstreams that have sent the
            stream's events; None if unknown.
        origin_write: Write of where the stream began; None without a row.
        origin_number: Number of the next row on where the stream began.
        step: What the request waits for: ``place``, ``permit``, ``connect``
            or ``run``.
        progress: How far the last attempt has come.
        first_event_s: Expected time from sending the request to the first event
            of its answer, in seconds.
        account: Account that sends the request; None if there is none.
        has_run_before: Whether the request may have run before this attempt.
        needed_s: Time in seconds that must be left as the next attempt is sent.
    """

    call: calls.Call
    route: contracts.Route
    service: str
    deadline: float
    answer: relay.CallerAnswer
    attempts: int = 0
    may_have_run: list[str] = dataclasses.field(default_factory=list)
    uncounted_runs: int = 0
    failed_take_ups: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    upstream_id: str = ''
    turn_at: upstream_state.Upstream | None = None
    step: str = 'place'
    stream_version: str | None = None
    origin_write: row_writer.PendingWrite | None = None
    origin_number: int = 0
    content_id: str = ''
    fingerprints: tuple[bytes, ...] = ()
    progress: AttemptProgress = dataclasses.field(
        default_factory=AttemptProgress
    )
    first_event_s: float = FIRST_EVENT_LATENCY_S
    account: contracts.ClientAccount | None = None
    has_run_before: bool = False
    needed_s: float = 0.0

    @classmethod
    def from_call(
        cls,
        call: calls.Call,
        route: contracts.Route,
        answer: relay.CallerAnswer,
        account: contracts.ClientAccount | None = None,
    ) -> typing.Self:
        """Choose a service and compute the deadline for a new request."""
        budget_s = math.inf
        if call.time_budget_s is not None:
            budget_s = call.time_budget_s
        deadline = call.arrived + min(route.timeout_s, budget_s)
        fingerprints = call.fingerprints
        return cls(
            call,
            route,
            route.choose_service(),
            deadline,
            answer,
            content_id=fingerprints[0].hex()[:CONTENT_ID_DIGITS],
            fingerprints=fingerprints,
            account=account,
        )

    @property
    def account_name(self) -> str:
        """Name of the account; empty if there is none."""
        return self.account.name if self.account else ''

    @property
    def priority(self) -> int:
        """Priority of the account or else of the route; 0 is most urgent."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def model(self) -> str:
        """Base model that the request needs; empty for a plain service."""
        generation = self.call.generation
        return generation.model if generation else ''

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts but the last one, which is not shared."""
        generation = self.call.generation
        parts = generation.prompt_parts[:-1] if generation else ()
        return tuple(part.part_id for part in parts)

    @property
    def logged_parts(self) -> str:
        """The ids of ``shared_parts`` as a log field."""
        parts = self.shared_parts
        ids = [
            part_id[:MAX_LOGGED_PART_ID] for part_id in parts[:MAX_LOGGED_PARTS]
        ]
        if len(parts) > MAX_LOGGED_PARTS:
            ids.append(f'+{len(parts) - MAX_LOGGED_PARTS}')
        return ','.join(ids)

    @property
    def has_attempt_left(self) -> bool:
        """Whether the request may be sent once more, also to the same upstream.

        Upstreams that refused it do not count, since it has not run there.
        """
        counted_runs = len(self.may_have_run) - self.uncounted_runs
        return counted_runs < self.route.max_attempts

    def on_upstream_ended(self) -> None:
        """Don't count a run that ended with its upstream against a stream.

        What its caller has received would be lost with it. An upstream that
        crashes on the request does so before its answer is settled.
        """
        if self.is_resumed and self.progress.is_settled:
            self.uncounted_runs += 1

    def on_attempt_failed(self, last_event_id: str) -> None:
        """Count a failed attempt that has brought a resumed stream no further.

        Args:
            last_event_id: Id of the last event before the attempt.
        """
        is_stuck = self.is_resumed and (
            self.answer.last_event_id == last_event_id
        )
        self.failed_take_ups = self.failed_take_ups + 1 if is_stuck else 0

    def require_time_for_answer(self, shortest_answer_s: float) -> None:
        """Don't send the request again too late for an answer.

        Its caller would be left with an unknown outcome, which a request that
        may have run has in any case.

        Args:
            shortest_answer_s: Time in seconds that an answer takes at least.
        """
        self.needed_s = 0.0 if self.may_have_run else shortest_answer_s

    @property
    def retry_pause_s(self) -> float:
        """Pause before the next attempt."""
        return min(RETRY_PAUSE_S * 2**self.failed_take_ups, MAX_RETRY_PAUSE_S)

    @property
    def required_version(self) -> str | None:
        """Software version at which a resumed stream may go on; None for any.

        What two versions write does not fit together.
        """
        return self.stream_version if self.answer.last_event_id else None

    @property
    def is_waiting(self) -> bool:
        """Whether the next attempt has not been sent yet."""
        return self.step in {'place', 'permit'} or self.progress.sent_at is None

    def record_version(self, upstream: upstream_state.Upstream) -> None:
        """Record the software version of an attempt that is about to be sent.

        Args:
            upstream: The upstream of the attempt.
        """
        if self.required_version is None:
            self.stream_version = upstream.entry.software_version

    @property
    def remaining_s(self) -> float:
        """Time until the deadline."""
        return max(self.deadline - clock.now(), 0.0)

    @property
    def elapsed_ms(self) -> int:
        """Time since the request was received."""
        return int((clock.now() - self.call.arrived) * units.MS_PER_S)

    @property
    def expected_run_s(self) -> float:
        """Expected run time of the request at an engine."""
        generation = self.call.generation
        if generation is None:
            return self.first_event_s
        output = generation.expected_output_tokens
        if not output:
            output = generation.max_output_tokens * EXPECTED_OUTPUT_SHARE
        return self.first_event_s + output * INTER_TOKEN_S

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has received a part of the stream."""
        return self.route.is_resumable and bool(self.answer.last_event_id)

    @property
    def value_rate(self) -> float:
        """Value of a timely answer per second of running time."""
        value = RESUMED_STREAM_VALUE if self.is_resumed else 1.0
        return value / self.expected_run_s

    @property
    def start_by(self) -> float:
        """Latest start that meets the deadline and avoids abandonment."""
        if self.route.kind is not contracts.Repeatability.STREAM:
            return self.deadline - self.needed_s
        first_event_by = self.call.arrived + self.route.abandon_after_s
        return min(self.deadline, first_event_by) - self.first_event_s

    @property
    def send_by(self) -> float:
        """Latest time at which an attempt may be sent."""
        if self.answer.has_started:
            return self.deadline
        return self.start_by

    @property
    def target_start_by(self) -> float:
        """Latest start that still meets the target latency.

        A resumed stream has no first event to be late with, but its caller
        has a part of it already and waits for the next event.
        """
        if self.is_resumed:
            return self.start_by
        return (
            self.call.arrived + self.route.target_latency_s - self.first_event_s
        )

    def raise_if_unwanted(self) -> None:
        """Raise an error if no caller waits for the result of an attempt.

        Called after each wait: a late event loop may end it before it has
        handled the deadline or the end of the caller's connection.

        Raises:
            relay.CallerDisconnectedError: The caller has disconnected.
            errors.RefusedError: The latest start has passed.
        """
        self.answer.raise_if_disconnected()
        if clock.now() >= self.send_by:
            raise errors.RefusedError(
                DEADLINE_EXCEEDED,
                'The latest start of the request has passed.',
                status=503,
                retry_after_s=MIN_RETRY_AFTER_S,
                step=self.step,
                peer=self.upstream_id,
            )

    def ticket(self, tokens_per_s: float) -> prefill.Ticket:
        """Return the request as an engine's prefill queue needs it.

        Args:
            tokens_per_s: Prefill rate of the engine.
        """
        generation = self.call.generation
        return prefill.Ticket(
            tokens=generation.prompt_tokens if generation else 0,
            target_start_by=self.target_start_by,
            start_by=self.start_by,
            value_rate=self.value_rate,
            max_gap_s=self.route.max_gap_s,
            tokens_per_s=tokens_per_s,
            account=self.account_name,
            priority=self.priority,
        )

    def to_request(
        self, pool_name: str, ref: types.AdapterRef | None
    ) -> types.Request:
        """Return the request as a pool needs it.

        Pools share upstreams fairly among accounts. For a request without an
        account, the route's name is used instead.

        Args:
            pool_name: Name of the pool.
            ref: Adapter version that the request needs, or None.
        """
        route = self.route
        return types.Request(
            request_id=self.call.request_id,
            account=self.account_name or route.name,
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
            value_rate=self.value_rate,
            software_version=self.required_version,
        )
