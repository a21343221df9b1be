"""Bounds the bytes that many holders keep in memory together.

Each holder, such as a connection, tells how many bytes it has. The budget only
counts; its owner decides what to do while it is exceeded.
"""

import typing
from collections.abc import Callable, Hashable

# A buffer that grows in steps takes up to this many times its bytes.
GROWTH = 1.125

_Holder = typing.TypeVar('_Holder', bound=Hashable)


class ByteBudget(typing.Generic[_Holder]):
    """The bytes of all holders, and a limit on their sum.

    Args:
        limit_bytes: Largest sum.

    Attributes:
        limit_bytes: Largest sum.
        used_bytes: Bytes of all holders.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._bytes_by_holder: dict[_Holder, int] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether the holders have more bytes than the limit."""
        return self.used_bytes > self.limit_bytes

    def hold(self, holder: _Holder, count: int) -> None:
        """Record how many bytes a holder has now.

        Args:
            holder: The holder.
            count: Number of its bytes; 0 forgets the holder.
        """
        self.used_bytes += count - self._bytes_by_holder.pop(holder, 0)
        if count:
            self._bytes_by_holder[holder] = count

    def sum_of(self, is_counted: Callable[[_Holder], bool]) -> int:
        """Return the bytes of some holders.

        Args:
            is_counted: Returns whether a holder counts.
        """
        return sum(
            count
            for holder, count in self._bytes_by_holder.items()
            if is_counted(holder)
        )

    def largest(self, is_eligible: Callable[[_Holder], bool]) -> _Holder | None:
        """Return the eligible holder with most bytes; None if there is none.

        Args:
            is_eligible: Returns whether a holder may be returned.
        """
        return max(
            filter(is_eligible, self._bytes_by_holder),
            key=self._bytes_by_holder.__getitem__,
            default=None,
        )
