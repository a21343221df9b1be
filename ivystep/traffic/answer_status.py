"""Tells which statuses an answer may have.

RFC 9110 defines statuses from 100 to 599. Those from 100 to 199 are interim:
they come before the answer and have no body. Parsers accept other numbers of
three digits, which would reach a caller as an answer, or let a reader wait for
an answer that has already come.
"""

import dataclasses
import typing

FIRST_INTERIM = 100
FIRST_FINAL = 200
LAST_FINAL = 599


class InvalidStatusError(ValueError):
    """The status line of a peer is none of an answer."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(f'status {code:03}: {reason}')


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStatus:
    """The status of an answer, or of an interim one before it.

    Attributes:
        code: Number from 100 to 599.
    """

    code: int

    @classmethod
    def from_head(cls, code: int, *, has_body: bool) -> typing.Self:
        """Return the status of a head that was received.

        Args:
            code: The number on the status line.
            has_body: Whether the head announces a body.

        Raises:
            InvalidStatusError: No answer has such a status, or an interim one
                announces a body.
        """
        if not FIRST_INTERIM <= code <= LAST_FINAL:
            raise InvalidStatusError(code, 'no answer has it')
        status = cls(code)
        if status.is_interim and has_body:
            raise InvalidStatusError(code, 'an interim answer has no body')
        return status

    @property
    def is_interim(self) -> bool:
        """Whether the answer is still to come."""
        return self.code < FIRST_FINAL
