"""Core records. All are immutable and safe to share between tasks.

Times are seconds of the runtime's clock (``ivystep.runtime.clock.now``) unless
the name says otherwise.
"""

import dataclasses
import enum
import math
import typing


class ExecutionStatus(enum.Enum):
    """Whether a request was run, as far as ivystep knows."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class UpstreamKind(enum.Enum):
    """What stands behind a sidecar."""

    ENGINE = 'engine'
    SERVICE = 'service'


class HostState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """One version of one adapter of one client account."""

    account: str
    name: str
    version: int

    @property
    def lora_name(self) -> str:
        """Name under which engines load this adapter version."""
        return f'{self.account}/{self.name}@{self.version}'

    @classmethod
    def from_lora_name(cls, lora_name: str) -> typing.Self:
        """Parse a name made by ``lora_name``.

        Args:
            lora_name: ``<account>/<adapter>@<version>``.

        Returns:
            The reference.

        Raises:
            ValueError: The name has another form.
        """
        account, _, rest = lora_name.partition('/')
        name, _, version = rest.rpartition('@')
        if not account or not name:
            raise ValueError(f'not an adapter name: {lora_name!r}')
        return cls(account, name, int(version))


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """What a non-idempotent request is claimed under.

    Attributes:
        key: The caller's idempotency key.
        fingerprint: Digest of what the caller sent; a repeat has the same.
    """

    key: str
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request after authentication.

    Attributes:
        adapter: The adapter version to run, or None for a plain service.
        adapter_source: Path of the weights for the engine.
        path: HTTP path on the upstream.
        body: JSON for the upstream, with ``model`` already set.
        idempotent: False if the request must run at most once.
        deadline: Time by which the answer must be complete.
        fingerprint: Digest that is equal for a repeated request, whatever its
            identifiers are.
        claim: What a non-idempotent request is claimed under, else None.
        start_by: Time by which an upstream must take it; None leaves that to
            the pool, which knows how long requests run.
        target_start_by: Time by which an upstream must take it to answer in
            time.
        value_rate: Value of a timely answer for each second that it runs.
    """

    request_id: str
    account: str
    application: str
    pool: str
    adapter: AdapterRef | None
    adapter_source: str
    path: str
    body: bytes
    stream: bool
    idempotent: bool
    arrived: float
    deadline: float
    fingerprint: bytes
    setup_version: int
    claim: ClaimKey | None = None
    start_by: float | None = None
    target_start_by: float = math.inf
    value_rate: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The upstream chosen for one attempt of a request.

    Attributes:
        is_isolated: Whether the request is suspected of causing crashes; the
            upstream then runs no other suspect beside it.
    """

    request: Request
    upstream_id: str
    sidecar_incarnation: str
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try to run a request on one upstream."""

    attempt_id: str
    placement: Placement

    @property
    def request(self) -> Request:
        """The request that this attempt runs."""
        return self.placement.request


@dataclasses.dataclass(frozen=True, slots=True)
class ResidentAdapter:
    """An adapter held by an engine, with its running attempts."""

    ref: AdapterRef
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashFingerprint:
    """A request that was running when an engine incarnation failed.

    Attributes:
        engine_incarnation: The incarnation; with the upstream's id and the
            fingerprint it identifies this piece of evidence.
        recorded: Time of the failure.
    """

    fingerprint: bytes
    engine_incarnation: str
    recorded: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What a sidecar reports about its upstream.

    Attributes:
        sequence: Grows by one with each report of one sidecar incarnation.
        slots: Adapters that the engine can hold.
        max_running: Requests that one engine step can batch.
        crash_fingerprints: Requests that were running when the engine failed,
            one entry for each failure and request.
    """

    upstream_id: str
    sidecar_incarnation: str
    engine_incarnation: str
    sequence: int
    healthy: bool
    draining: bool
    running: int
    slots: int
    max_running: int
    resident_by_ref: dict[AdapterRef, ResidentAdapter]
    loading: AdapterRef | None
    setup_version: int
    crash_fingerprints: tuple[CrashFingerprint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load one adapter, evicting others first.

    Attributes:
        planner: Process id of the entry that plans the pool.
    """

    ref: AdapterRef
    source: str
    evict: tuple[AdapterRef, ...]
    planner: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Outcome of a load order."""

    ok: bool
    code: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """What the requests of one entry need of one adapter.

    Attributes:
        source: Path of the weights, for the load order.
        setup_version: Setup version of the latest request.
        weight: Weight of the adapter's account in the load order.
        waiting: Requests that wait at the entry; 0 if all were placed.
        oldest_wait_s: Wait of the request that has waited longest.
        start_within_s: Time within which the adapter must be resident so that
            the most urgent waiting request can meet its deadline.
        arrivals: Requests that arrived since the entry's last report,
            including those that were placed at once.
        running: Requests of the entry that were placed and have not ended.
        target_start_within_s: Time within which the adapter must be resident
            so that the most urgent waiting request is answered in time;
            infinite if none can be.
        timely_value: Value of the waiting requests that can be answered in
            time, for each second that they run.
        late_value: The same of the waiting requests that are late.
    """

    ref: AdapterRef
    source: str
    setup_version: int
    weight: float
    waiting: int
    oldest_wait_s: float
    start_within_s: float
    arrivals: int
    running: int = 0
    target_start_within_s: float = math.inf
    timely_value: float = 0.0
    late_value: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadForecast:
    """A planner's answer for an adapter that comes too late for a request.

    Attributes:
        ready_in_s: Time until the adapter can be resident, given the backlog;
            requests that must start earlier are refused.
        retry_after_s: Time after which the backlog allows a repeat.
    """

    ref: AdapterRef
    ready_in_s: float
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the platform's host list."""

    host: str
    role: str
    address: str
    port: int
    data_centre: str
    pool: str
    state: HostState


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and content type of an answer."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer in progress.

    Attributes:
        head: Status and content type.
        chunks: Body in order. Raises ``errors.RequestError`` if the answer is
            cut off; ends normally only when the answer is complete.
    """

    head: AnswerHead
    chunks: typing.Iterator[bytes]
