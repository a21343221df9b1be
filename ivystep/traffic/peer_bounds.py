"""Bounds of what one peer may send besides the bodies that are passed on.

They keep a peer that writes without an end from using up memory and time. An
honest server stays far below the defaults.
"""

import dataclasses
import enum
import typing

from ivystep.core import errors
from ivystep.settings import gateway as settings_models

# Bytes of a header line besides its name and value: colon, space, CR and LF.
FIELD_OVERHEAD_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBounds:
    """Bounds of the answers on one connection to a peer.

    Attributes:
        head_bytes: Length of the head of one answer, of an interim one too.
        headers: Number of headers of one answer.
        interim_answers: Interim answers (1xx) before one answer.
        chunk_line_bytes: Length of the size and extensions of one chunk.
        trailer_bytes: Length of all trailers of one answer.
        trailers: Number of trailers of one answer.
        partial_s: Time in seconds from the first byte of a head, chunk line or
            trailer section to its end. Longer than TCP needs to send lost
            bytes again.
        discarded_answers: Answers to other requests before the own one.
        discarded_bytes: Length of what is read in search of the own answer.
    """

    head_bytes: int
    headers: int
    interim_answers: int
    chunk_line_bytes: int
    trailer_bytes: int
    trailers: int
    partial_s: float
    discarded_answers: int
    discarded_bytes: int

    @classmethod
    def from_config(cls, section: settings_models.PeerBounds) -> typing.Self:
        """Create the bounds from the settings."""
        return cls(**section.model_dump())


DEFAULT_BOUNDS = PeerBounds.from_config(settings_models.PeerBounds())


class BoundExceededError(errors.LinkError):
    """A peer has sent more than a bound allows.

    Args:
        bound: Name of the attribute of ``PeerBounds``.
        limit: Its value.
        peer: Name of the peer.
    """

    def __init__(self, bound: str, limit: float, peer: str) -> None:
        super().__init__(
            f'answer exceeds the bound {bound} of {limit}',
            step='read answer',
            peer=peer,
        )


class PartialMeter:
    """Measures the part of a message that is received but not complete.

    A parser reports a header or a chunk line only when it is whole, so the
    received bytes are counted. What follows the last complete part in the same
    read is not counted, which is less than one read.

    Attributes:
        pending_bytes: Bytes received since the last complete part.
    """

    def __init__(self) -> None:
        self.pending_bytes = 0
        self._began_at = 0.0

    def add(self, count: int, now: float) -> None:
        """Count received bytes, before they are parsed.

        Args:
            count: Their number.
            now: The time in seconds.
        """
        if not self.pending_bytes:
            self._began_at = now
        self.pending_bytes += count

    def complete(self) -> None:
        """Record that a part is complete, or that content has arrived."""
        self.pending_bytes = 0

    def begin(self, now: float) -> None:
        """Start to measure the age: what came before were blank lines.

        Args:
            now: The time in seconds.
        """
        self._began_at = now

    def age_s(self, now: float) -> float:
        """Return since when the incomplete part arrives; 0 without one.

        Args:
            now: The time in seconds.
        """
        return now - self._began_at if self.pending_bytes else 0.0


class _Section(enum.Enum):
    """What an answer's bytes that are not content belong to."""

    HEAD = 'head_bytes'
    CHUNK_LINE = 'chunk_line_bytes'
    TRAILERS = 'trailer_bytes'


class AnswerMeter:
    """Measures the answers of one peer against its bounds.

    The owner's parser calls the methods whose names begin with ``on``. An
    exceeded bound is told later: a parser hides the errors of its callbacks.

    Args:
        bounds: The bounds.
        peer: Name of the peer for errors.
    """

    def __init__(self, bounds: PeerBounds, peer: str) -> None:
        self._bounds = bounds
        self._peer = peer
        self._now = 0.0
        self._partial = PartialMeter()
        self._section = _Section.HEAD
        self._fields = 0
        self._head_bytes = 0
        self._interim_answers = 0
        self._exceeded = ''

    @property
    def pending_bytes(self) -> int:
        """Bytes that are received and belong to an incomplete part."""
        return self._partial.pending_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether a part that is complete was beyond a bound."""
        return bool(self._exceeded)

    def add(self, count: int, now: float) -> None:
        """Count received bytes, before they are parsed.

        Args:
            count: Their number.
            now: The time in seconds.
        """
        self._now = now
        self._partial.add(count, now)

    def exceeded(self) -> BoundExceededError | None:
        """Return an error if the peer has exceeded a bound, or None."""
        bound = self._section.value
        if self._partial.pending_bytes > getattr(self._bounds, bound):
            self._exceeded = self._exceeded or bound
        elif self._partial.age_s(self._now) > self._bounds.partial_s:
            self._exceeded = self._exceeded or 'partial_s'
        if not self._exceeded:
            return None
        limit = getattr(self._bounds, self._exceeded)
        return BoundExceededError(self._exceeded, limit, self._peer)

    def may_keep_header(self, name: bytes, content: bytes) -> bool:
        """Count a header or trailer; return whether to keep it.

        Args:
            name: Its name.
            content: Its value.
        """
        self._fields += 1
        if self._section is not _Section.HEAD:
            self._check('trailers', self._fields)
            return False
        self._head_bytes += len(name) + len(content) + FIELD_OVERHEAD_BYTES
        self._check('headers', self._fields)
        self._check('head_bytes', self._head_bytes)
        return not self._exceeded

    def on_begin(self) -> None:
        """Start a head."""
        self._partial.begin(self._now)

    def on_head(self, *, is_interim: bool) -> None:
        """End a head.

        Args:
            is_interim: Whether the answer itself is still to come.
        """
        self._partial.complete()
        self._interim_answers = self._interim_answers + 1 if is_interim else 0
        self._check('interim_answers', self._interim_answers)
        self._section = _Section.CHUNK_LINE
        self._fields = 0

    def on_chunk_line(self) -> None:
        """End the line before a chunk, of which the last has no content."""
        self._partial.complete()
        self._section = _Section.TRAILERS

    def on_body(self) -> None:
        """Take content."""
        self._partial.complete()
        self._section = _Section.CHUNK_LINE

    def on_end(self) -> None:
        """End an answer."""
        self._partial.complete()
        self._section = _Section.HEAD
        self._fields = 0
        self._head_bytes = 0

    def _check(self, bound: str, reached: int) -> None:
        if not self._exceeded and reached > getattr(self._bounds, bound):
            self._exceeded = bound
