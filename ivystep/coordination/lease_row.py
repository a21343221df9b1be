"""The row of a lease, and what a process finds in it before it acquires one.

The table service may be restored from an older copy, which lacks what was
written since. No process need be left that remembers it. The service counts
its restorations, its eras, and names the present one in each answer. A token
therefore belongs to an era: it is higher than all tokens of earlier eras, also
of those that no row shows any more. A row with a token of an earlier era is
from a copy and does not tell who acquired the lease since.
"""

import dataclasses
import enum
import typing

from ivystep.core import errors
from ivystep.platform import decoding, table

# More tokens than one era uses, also if processes crash again and again. They
# stay exact in a float for 900 million eras.
TOKENS_PER_ERA = 10_000_000
# A row that claims the lease for longer is malformed.
MAX_DURATION_S = 3600.0


class Basis(enum.Enum):
    """Why no other process holds a lease that is acquired.

    Attributes:
        ABSENT: There was no row.
        RELEASED: The row was released.
        OWN_ROW: The row names this process, of which there is only one.
        OWN_WRITE: The row was written by this object.
        EXPIRED: The row stayed unchanged for the duration of its lease.
        CONTINUED: The row is from a copy, but this process held the lease when
            it noticed the restoration.
        FORGOTTEN: The row is from a copy, or older than one that was seen. Any
            holder that it does not name had time to end.
    """

    ABSENT = 'absent'
    RELEASED = 'released'
    OWN_ROW = 'own_row'
    OWN_WRITE = 'own_write'
    EXPIRED = 'expired'
    CONTINUED = 'continued'
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
        """Decode a row. Fields of later software are ignored.

        Raises:
            errors.UnavailableError: The row is malformed.
        """
        try:
            return cls(
                holder_id=str(row.value['holder_id']),
                token=decoding.whole(row.value['token']),
                duration_s=_duration_s(row.value['duration_s']),
                write_id=str(row.value['write_id']),
                is_released=bool(row.value['is_released']),
            )
        except decoding.DECODE_ERRORS as error:
            raise errors.UnavailableError(
                f'row {row.key!r} is malformed: {error}',
                step='read lease',
                peer='table service',
            ) from error


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


def _duration_s(written: typing.Any) -> float:
    duration_s = float(written)
    if not 0 <= duration_s <= MAX_DURATION_S:
        raise ValueError('a duration is out of range')
    return duration_s


def is_of_earlier_era(token: int, era: int) -> bool:
    """Return whether a token was given before the last restoration.

    Args:
        token: A fencing token; 0 stands for a row that is missing.
        era: The present era.
    """
    return era > 0 and token <= era * TOKENS_PER_ERA


def next_token(last_token: int, era: int) -> int:
    """Return the token of an acquisition.

    Args:
        last_token: Highest token that was seen.
        era: The present era.
    """
    return max(last_token, era * TOKENS_PER_ERA) + 1
