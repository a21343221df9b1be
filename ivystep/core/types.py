"""Defines the core records, all immutable and safe to share between tasks.

Times are in seconds on the runtime's clock (``ivystep.runtime.clock.now``)
unless the name says otherwise.
"""

import dataclasses
import enum
import math
import typing


class ExecutionStatus(enum.Enum):
    """Whether a request is known to have been run."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class UpstreamKind(enum.Enum):
    """Kind of the upstream that a sidecar serves."""

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
        """Parse a name that ``lora_name`` returned.

        Args:
            lora_name: ``<account>/<adapter>@<version>``.

        Returns:
            The reference.

        Raises:
            ValueError: The name is not of that form.
        """
        account, _, rest = lora_name.partition('/')
        name, _, version = rest.rpartition('@')
        if not account or not name:
            raise ValueError(f'not an adapter name: {lora_name!r}')
        return cls(account, name, int(version))


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Key of the claim that makes a non-idempotent request run at most once.

    Attributes:
        key: The caller's idempotency key.
        fingerprint: Digest of what the caller sent, equal for a repeated
            request.
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
        claim: Key of the claim of a non-idempotent request, else None.
        start_by: Latest start that still meets the deadline; None if the pool
            derives it from its estimate of how long requests run.
        target_start_by: Latest start that still meets the target latency.
        value_rate: Value of an answer that meets the target latency, per
            second of its run time.
        software_version: Only upstreams whose software has this version may
            run the request; None if any may.
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
    software_version: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The upstream chosen for one attempt of a request.

    Attributes:
        is_isolated: Whether the request is suspected of causing crashes; the
            upstream runs no other suspect at the same time.
    """

    request: Request
    upstream_id: str
    sidecar_incarnation: str
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on one upstream."""

    attempt_id: str
    placement: Placement

    @property
    def request(self) -> Request:
        """The request that this attempt runs."""
        return self.placement.request


@dataclasses.dataclass(frozen=True, slots=True)
class ResidentAdapter:
    """An adapter held by an engine, with the number of running attempts."""

    ref: AdapterRef
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashFingerprint:
    """A request that was running when an engine incarnation failed.

    Attributes:
        engine_incarnation: The incarnation that failed. Together with the
            upstream's id and the fingerprint it identifies this record.
        recorded: Time of the failure.
    """

    fingerprint: bytes
    engine_incarnation: str
    recorded: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status of an upstream as reported by its sidecar.

    Attributes:
        sequence: Report number, which grows by one with each report of one
            sidecar incarnation.
        slots: Number of adapters that the engine can hold.
        max_running: Number of requests that the engine can batch.
        crash_fingerprints: Requests that were running when the engine failed,
            one entry per failure and request.
        software_version: Version of the upstream's software; empty if unknown.
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
    software_version: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load one adapter, evicting others first.

    Attributes:
        planner: Process id of the entry that plans the loads of the pool.
        sidecar_incarnation: Incarnation of the sidecar whose status the order
            is based on; empty if none has reported it.
    """

    ref: AdapterRef
    source: str
    evict: tuple[AdapterRef, ...]
    planner: str
    sidecar_incarnation: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Outcome of a load order."""

    ok: bool
    code: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """Demand of one entry for one adapter.

    Attributes:
        source: Path of the weights, for the load order.
        setup_version: Setup version of the latest request.
        weight: Weight of the adapter's account in the load order.
        waiting: Requests that wait at the entry; 0 if all were placed.
        oldest_wait_s: Time for which the oldest of them has waited.
        start_within_s: Time within which the adapter must be resident so that
            the most urgent waiting request can meet its deadline.
        arrivals: Requests that arrived since the entry's last report,
            including those that were placed at once.
        running: Requests of the entry that were placed and have not ended.
        target_start_within_s: Time within which the adapter must be resident
            so that the most urgent waiting request can meet its target
            latency; infinite if none can.
        timely_value: Value per second of run time of the waiting requests
            that can meet their target latency.
        late_value: The same for the waiting requests that cannot.
        software_versions: Versions of the upstreams' software that waiting
            requests need, if they need a certain one.
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
    software_versions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadForecast:
    """A planner's forecast for an adapter that cannot be loaded in time.

    Attributes:
        ready_in_s: Time until the adapter can be resident, given the backlog;
            requests that must start earlier are refused.
        retry_after_s: Time after which the backlog permits a retry.
    """

    ref: AdapterRef
    ready_in_s: float
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of the platform's host list."""

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
    """An answer that is being received.

    Attributes:
        head: Status and content type.
        chunks: Chunks of the body in order. Raises ``errors.RequestError`` if
            the answer is truncated; ends normally only if it is complete.
    """

    head: AnswerHead
    chunks: typing.Iterator[bytes]
