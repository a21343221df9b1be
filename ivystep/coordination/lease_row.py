"""The row of a lease, and what a process finds in it before it acquires one."""

import dataclasses
import enum
import typing

from ivystep.platform import table


class Basis(enum.Enum):
    """Why no other process holds a lease that is acquired."""

    ABSENT = 'absent'
    RELEASED = 'released'
    OWN_ROW = 'own_row'
    OWN_WRITE = 'own_write'
    EXPIRED = 'expired'
    FORGOTTEN = 'forgotten'


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The value of a lease's row.

    Attributes:
        holder_id: Process that wrote the row.
        token: Fencing token of its acquisition.
        duration_s: Time in seconds for which the row must stay unchanged until
            another process may acquire the lease.
        write_id: Id of the write.
        is_released: Whether others may acquire the lease at once.
    """

    holder_id: str
    token: int
    duration_s: float
    write_id: str
    is_released: bool

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value of the row."""
        return dataclasses.asdict(self)

    @classmethod
    def from_row(cls, row: table.Row) -> typing.Self:
        """Decode a row."""
        return cls(**row.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Acquisition:
    """How a lease was acquired.

    Attributes:
        basis: Why no other process holds it.
        row_token: Token of the row that was replaced; 0 without a row.
        row_holder_id: Holder that this row names; empty without a row.
        waited_s: Time in seconds from the read of that row to the write.
    """

    basis: Basis = Basis.ABSENT
    row_token: int = 0
    row_holder_id: str = ''
    waited_s: float = 0.0
