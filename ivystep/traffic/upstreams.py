"""What upstreams say of themselves, free of any wire format."""

import dataclasses
import enum

from ivystep.core import types


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class HeldModel:
    """A base model that an engine holds, with its adapters.

    Attributes:
        adapter_versions: Version of each adapter by its name.
    """

    name: str
    version: int
    adapter_versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream's entry in the platform's store.

    Attributes:
        upstream_id: Id of this start of the upstream, or of all its starts.
        address: IP address and port.
        started_at_ms: Wall-clock time of its start, which tells starts with the
            same id apart; 0 if it is not named.
        batch_size: Requests that it runs at once.
        held_model_by_name: Models that it holds; empty for plain services.
        leaves_in_s: Time after which it is gone; None if not known.
        version: Version of the store at which the entry was written.
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

    @property
    def incarnation(self) -> str:
        """Tells this start of the upstream from all others."""
        return f'{self.upstream_id}/{self.started_at_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine answers when it is asked for its state.

    The state is some hundred milliseconds old.

    Attributes:
        started_at_ms: Wall-clock time of its start; 0 if it is not named.
        is_busy: Whether it is loading or unloading a base model.
        order_count: Orders that it has accepted since its start.
        loading: Adapters on their way from the store.
        queued: Requests that wait there.
        running: Requests that it runs.
        kv_used: Tokens in memory that cannot be dropped.
    """

    started_at_ms: int
    held_model_by_name: dict[str, HeldModel]
    is_busy: bool
    order_count: int
    loading: tuple[types.AdapterRef, ...]
    queued: int
    running: int
    kv_used: int
