"""Defines the state that upstreams publish, as decoded records."""

import dataclasses
import enum

from ivystep.core import types


class UpstreamState(enum.Enum):
    """Whether an upstream accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The upstream that a call means, and where it is expected to be.

    After an upstream has ended, its address may be another one's, which then
    refuses the call.

    Attributes:
        upstream_id: Id of the upstream.
        address: IP address and port.
    """

    upstream_id: str
    address: tuple[str, int]

    def __str__(self) -> str:
        """Return id and address, as errors name the peer."""
        return f'{self.upstream_id} at {self.address[0]}:{self.address[1]}'


@dataclasses.dataclass(frozen=True, slots=True)
class HeldModel:
    """A base model that an engine holds, with its adapters.

    Attributes:
        adapter_versions: Version of each held adapter, by adapter name.
    """

    name: str
    version: int
    adapter_versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream's entry in the platform's store.

    Attributes:
        upstream_id: Id of the upstream; a restart may keep or change it.
        address: IP address and port.
        started_at_ms: Wall-clock time at which the upstream was started, which
            distinguishes incarnations with the same id; 0 if not stated.
        batch_size: Largest number of requests that run at once.
        held_model_by_name: Models that it holds; empty for plain services.
        leaves_in_s: Time until the upstream shuts down; None if not known.
        version: Store version at which the entry was written.
        software_version: Version of the software that it runs; empty if not
            stated. Versions have no order.
    """

    upstream_id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    started_at_ms: int
    state: UpstreamState
    batch_size: int
    held_model_by_name: dict[str, HeldModel]
    leaves_in_s: float | None
    version: int
    software_version: str = ''

    @property
    def endpoint(self) -> Endpoint:
        """Whom a call to this upstream means, and where it is sent."""
        return Endpoint(self.upstream_id, self.address)

    @property
    def identity(self) -> tuple[str, int, tuple[str, int], str, str]:
        """What two entries of one incarnation have in common."""
        return (
            self.upstream_id,
            self.started_at_ms,
            self.address,
            self.service,
            self.software_version,
        )

    @property
    def incarnation(self) -> str:
        """Identifier of this incarnation of the upstream."""
        return f'{self.upstream_id}/{self.started_at_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, reported on request.

    The state is some hundred milliseconds old when it is received.

    Attributes:
        started_at_ms: Wall-clock time at which the engine was started; 0 if
            not stated.
        is_busy: Whether it is loading or unloading a base model.
        order_count: Number of orders accepted since the start.
        loading: Adapters that are being loaded from the weight store.
        queued: Number of requests in the engine's queue.
        running: Number of requests that the engine runs.
        kv_used: Tokens in the KV cache that cannot be evicted.
        asked_at: Time at which the first call was sent that it may answer; None
            if that is the call that it was read by.
    """

    started_at_ms: int
    held_model_by_name: dict[str, HeldModel]
    is_busy: bool
    order_count: int
    loading: tuple[types.AdapterRef, ...]
    queued: int
    running: int
    kv_used: int
    asked_at: float | None = None
