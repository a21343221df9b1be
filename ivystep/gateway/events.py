"""The events that the gateway writes to its log.

Each event contains the inputs of a decision with their age or version, so that
the cause of a failed request can be found by its request id.
"""

import dataclasses
import logging
import typing

from ivystep.prefill import prefill
from ivystep.runtime import event_log

# Values of ``permit`` if the leader granted one; any other text is the reason
# why there is none.
GRANTED_PERMITS = frozenset(
    {prefill.PermitDecision.ALONE.value, prefill.PermitDecision.QUEUED.value}
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlaced(event_log.Event):
    """An upstream was chosen for an attempt.

    Attributes:
        adapter: Adapter and its version; empty if the request needs none.
        waited_ms: Time since the request was received.
        sent: Requests of this host in progress at the upstream, including
            this one.
        tokens_per_s: Estimated prefill rate of the engine.
        permit: Whether the prompt is prefilled alone or was queued, or why it
            was sent without a permit; empty for a plain service.
        entry_version: Store version of the upstream's entry.
        config_version: Configuration version in force.
        caller: IP address of the caller.
        content: Start of the digest of method, host, path and body, equal for
            a repeated request.
        software_version: Version of the upstream's software.
        resumes_after: Last event that the caller has; empty for a new stream.
        resumed_request_id: Request that began a stream which the caller takes
            up; empty if it names none.
        replaced_ms: Longest time since the adapter's version was replaced by a
            newer one; 0 if it is the newest, -1 if the time is unknown.
        prompt_parts: Ids of the first parts of the prompt, shortened, without
            the last part, which belongs to this request or its session; a
            number after ``+`` counts further ones.
        account: Name of the account; empty if the request has none.
        latency_ms: Estimated time to first token at the engine besides the
            prefill.
    """

    name: typing.ClassVar[str] = 'request_placed'

    request_id: str
    route: str
    upstream: str
    adapter: str
    attempt: int
    waited_ms: int
    sent: int
    tokens_per_s: int
    permit: str
    entry_version: int
    config_version: int
    caller: str
    content: str
    software_version: str = ''
    resumes_after: str = ''
    resumed_request_id: str = ''
    replaced_ms: int = 0
    prompt_parts: str = ''
    account: str = ''
    latency_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDiscarded(event_log.Event):
    """An upstream wrote an answer that is not that to the request.

    Attributes:
        answered: Id of the request that it answers; empty if it names none.
        status: Its status.
    """

    name: typing.ClassVar[str] = 'answer_discarded'
    level: typing.ClassVar[int] = logging.WARNING

    request_id: str
    route: str
    upstream: str
    answered: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed(event_log.Event):
    """An attempt did not yield a complete answer.

    Attributes:
        step: Operation that failed.
        ran: Whether the request ran: ``no`` or ``unknown``.
        status: HTTP status of the error.
        has_retry: Whether another attempt follows.
        budget: Retry budget of the service that is left at this host.
    """

    name: typing.ClassVar[str] = 'attempt_failed'

    request_id: str
    route: str
    upstream: str
    step: str
    reason: str
    ran: str
    status: int
    elapsed_ms: int
    has_retry: bool
    budget: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded(event_log.Event):
    """An answer without a length ended, or a stream inside an event.

    Attributes:
        framing: How its end was found: ``length``, ``chunked`` or, with the
            end of its connection, ``until_close``.
        body_bytes: Length of its body.
        open_event_bytes: Length of the event that was not complete.
    """

    name: typing.ClassVar[str] = 'answer_ended'

    request_id: str
    route: str
    upstream: str
    framing: str
    body_bytes: int
    open_event_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCrashed(event_log.Event):
    """An upstream ended while it ran a request.

    Attributes:
        caller: IP address of the caller.
        content: As in ``request_placed``.
        crashes: Upstreams that have ended under this request.
        prompt_parts: As in ``request_placed``.
        sent_ms: Time from sending the request to the end of its connection.
        head_ms: The same from the head of the answer; -1 if none arrived.
        body_bytes: Length of the body that had arrived.
        is_given_up: Whether the attempt had been given up before.
    """

    name: typing.ClassVar[str] = 'upstream_crashed'
    level: typing.ClassVar[int] = logging.WARNING

    request_id: str
    route: str
    upstream: str
    caller: str
    content: str
    crashes: int
    prompt_parts: str
    sent_ms: int
    head_ms: int
    body_bytes: int
    is_given_up: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CrashLearned(event_log.Event):
    """The first row of another host on the crash of an upstream arrived.

    Attributes:
        incarnation: Incarnation of the upstream that crashed.
        age_ms: Time since the other host saw the crash, by the hosts' clocks.
    """

    name: typing.ClassVar[str] = 'crash_learned'

    upstream: str
    incarnation: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded(event_log.Event):
    """A request was answered by an upstream.

    Attributes:
        outcome: Always ``answered``.
        status: Status that was sent to the caller.
        first_ms: Time to the first byte of the answer.
        gap_ms: Longest time between two parts of the body.
        attempts: Number of attempts.
        config_version: Configuration version in force.
        account: As in ``request_placed``.
    """

    name: typing.ClassVar[str] = 'request_ended'

    request_id: str
    route: str
    outcome: str
    status: int
    elapsed_ms: int
    first_ms: int
    gap_ms: int
    attempts: int
    upstream: str
    config_version: int
    account: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned(event_log.Event):
    """The caller disconnected before its answer was complete.

    Attributes:
        step: What the request waited for: ``place``, ``permit``, ``connect``
            or ``run``, in which case an upstream may have received it.
        upstream: Upstream of the last attempt; empty before the first.
        attempts: Number of attempts.
        elapsed_ms: Time from reading the request to noticing the disconnect.
        config_version: Configuration version in force.
        account: As in ``request_placed``.
    """

    name: typing.ClassVar[str] = 'request_abandoned'

    request_id: str
    route: str
    step: str
    upstream: str
    attempts: int
    elapsed_ms: int
    config_version: int
    account: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptGivenUp(event_log.Event):
    """An attempt was ended while its upstream might still run the request.

    Attributes:
        content: As in ``request_placed``.
        sent_ms: Time since the request was sent to the upstream.
    """

    name: typing.ClassVar[str] = 'attempt_given_up'

    request_id: str
    route: str
    upstream: str
    content: str
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoopStalled(event_log.Event):
    """The event loop ran late, so that arrived bytes were read late.

    Attributes:
        lag_ms: Time by which a timer was late.
    """

    name: typing.ClassVar[str] = 'loop_stalled'
    level: typing.ClassVar[int] = logging.WARNING

    lag_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailed(event_log.Event):
    """A request ended with an error; the log's rate limit does not apply.

    Attributes:
        code: Error code.
        adapter: Adapter that the request needs; empty if it needs none.
        retry_after_ms: Time after which the caller may retry; -1 if it was
            given none.
        ran: Whether the request ran: ``no`` or ``unknown``.
        account: As in ``request_placed``.
        unread_bytes: Bytes of answers that the caller had not taken. If the
            deadline has passed, it reads slowly or is out of reach.
    """

    name: typing.ClassVar[str] = 'request_failed'
    is_rate_limited: typing.ClassVar[bool] = False
    level: typing.ClassVar[int] = logging.WARNING

    request_id: str
    route: str
    adapter: str
    code: str
    reason: str
    step: str
    peer: str
    status: int
    ran: str
    retry_after_ms: int
    elapsed_ms: int
    config_version: int
    account: str = ''
    unread_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStopped(event_log.Event):
    """A planned stop of this host has ended a request.

    Attributes:
        upstream: Upstream of the last attempt; empty before the first.
        is_resumable: Whether the caller can take up the stream elsewhere.
        whole_ms: When the request was received in full, in milliseconds after
            the stop signal; negative before.
        is_sent: Whether the last attempt was sent.
        sent_ms: When it was sent, like ``whole_ms``; 0 if it was not.
        expected_ms: Time that the answer was expected to take as it was sent;
            -1 if the stop had not begun, or nothing tells it.
        bound: What told that time: ``deadline``, ``history``, or empty.
        received_bytes: Length of the body received from the upstream.
        written_bytes: Length of the body written to the caller's connection.
        end: How it ended for the caller: ``refused``, ``failed`` (it may have
            run) or ``reset``.
    """

    name: typing.ClassVar[str] = 'request_stopped'
    is_rate_limited: typing.ClassVar[bool] = False
    level: typing.ClassVar[int] = logging.WARNING

    request_id: str
    route: str
    upstream: str
    is_resumable: bool
    whole_ms: int
    is_sent: bool
    sent_ms: int
    expected_ms: int
    bound: str
    received_bytes: int
    written_bytes: int
    end: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAdopted(event_log.Event):
    """A version of the configuration came into force at this host.

    Attributes:
        version: Configuration version.
        store_version: Store version of its row.
        accounts: Client accounts; -1 if none are in force.
    """

    name: typing.ClassVar[str] = 'config_adopted'

    version: int
    store_version: int
    routes: int
    services: int
    accounts: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNamed(event_log.Event):
    """The operator named the current version of an adapter or a model.

    Attributes:
        previous: Version that it replaces, as far as this host knows.
        at_most_ms: Longest time for which it may have been in the store; -1 if
            this host has just read the table for the first time.
    """

    name: typing.ClassVar[str] = 'version_named'

    adapter: str
    version: int
    store_version: int
    previous: int
    at_most_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged(event_log.Event):
    """This host's view of an upstream has changed.

    Attributes:
        change: ``added``, ``ready``, ``draining``, ``missing``, ``removed``,
            ``misdirected`` if its address is another upstream's or may be, or
            ``tried`` if it gets a request at a time to find out.
        entry_version: Store version of the upstream's entry.
    """

    name: typing.ClassVar[str] = 'upstream_changed'

    upstream: str
    service: str
    address: str
    change: str
    reason: str
    entry_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAsksForRest(event_log.Event):
    """An upstream turned a request away and wants none for some time.

    Attributes:
        rest_ms: The time that it named.
        in_progress: Requests of this host that it has.
    """

    name: typing.ClassVar[str] = 'upstream_asks_for_rest'

    upstream: str
    rest_ms: int
    in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLimited(event_log.Event):
    """An upstream named another limit, or none any more.

    Attributes:
        limit_per_s: Requests per second that it takes from all hosts; -1 if it
            names none.
        hosts: Number of hosts that share the limit.
    """

    name: typing.ClassVar[str] = 'upstream_limited'

    upstream: str
    limit_per_s: float
    hosts: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIgnored(event_log.Event):
    """An invalid row of the store was ignored."""

    name: typing.ClassVar[str] = 'entry_ignored'
    level: typing.ClassVar[int] = logging.WARNING

    key: str
    reason: str
    store_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DependencyLost(event_log.Event):
    """The store, an engine or a peer does not answer."""

    name: typing.ClassVar[str] = 'dependency_lost'
    level: typing.ClassVar[int] = logging.WARNING

    dependency: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DependencyRegained(event_log.Event):
    """The store or a peer answers again."""

    name: typing.ClassVar[str] = 'dependency_regained'

    dependency: str
    lost_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored(event_log.Event):
    """The store was restored from an older copy and read again.

    Attributes:
        table: The table that was read.
        old_era: Era of the store before.
        version_before: Store version up to which the table was known.
        version_after: Store version of the restored table.
    """

    name: typing.ClassVar[str] = 'store_restored'
    level: typing.ClassVar[int] = logging.WARNING

    table: str
    old_era: int
    new_era: int
    version_before: int
    version_after: int
