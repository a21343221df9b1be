"""Log events of the lease of the leader and of its orders."""

import dataclasses
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class DutyChanged(event_log.Event):
    """The leader, which alone sends orders to engines, has changed.

    Attributes:
        holder: Host that holds the lease.
        token: Fencing token of the lease.
    """

    name: typing.ClassVar[str] = 'duty_changed'

    holder: str
    token: int
    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseAcquired(event_log.Event):
    """This host has acquired the lease.

    Attributes:
        token: Fencing token of the lease.
        basis: Why no other host can hold it; see ``lease_row.Basis``.
        row_token: Token of the row that was replaced; 0 without a row.
        row_holder: Holder that this row names.
        waited_ms: Time from the read of that row to the write.
    """

    name: typing.ClassVar[str] = 'lease_acquired'

    token: int
    basis: str
    row_token: int
    row_holder: str
    waited_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReleased(event_log.Event):
    """The store was asked to let others acquire the lease at once.

    Attributes:
        token: Fencing token of the lease.
        is_acknowledged: Whether the store did. Otherwise the lease expires.
        elapsed_ms: Time that this took.
    """

    name: typing.ClassVar[str] = 'lease_released'

    token: int
    is_acknowledged: bool
    elapsed_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderGiven(event_log.Event):
    """An order was sent to an engine.

    Attributes:
        expected: Number of orders that the engine must have accepted before.
        outcome: Answer of the engine, or ``no answer``.
        used_slots: Adapter slots in use by the decision, with the order; -1 if
            it needed none.
        slots: Adapter slots of the engine; -1 likewise.
        counted_at: Number of accepted orders in the report by which the slots
            were counted; -1 likewise.
    """

    name: typing.ClassVar[str] = 'order_given'

    upstream: str
    operation: str
    target: str
    expected: int
    token: int
    outcome: str
    elapsed_ms: int
    used_slots: int = -1
    slots: int = -1
    counted_at: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailed(event_log.Event):
    """A read of an engine's report has failed.

    Attributes:
        upstream: Engine that was meant.
        reason: Step, reason and peer, with the id of the call.
    """

    name: typing.ClassVar[str] = 'report_failed'

    upstream: str
    reason: str
