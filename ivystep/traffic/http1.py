"""Parses HTTP/1.1 messages with ``httptools``.

``RequestReader`` parses a caller's requests and enforces size limits.
``AnswerReader`` parses an upstream's answers incrementally, distinguishes a
complete answer from a truncated one and enforces the bounds of peers. Trailers
are dropped: a recipient must not merge them into the headers.
"""

import collections
import dataclasses
import enum
import typing
from collections.abc import Callable

import httptools

from ivystep.core import errors, units
from ivystep.runtime import byte_budget, clock
from ivystep.traffic import answer_status, calls, peer_bounds

# Header that offers another protocol.
UPGRADE = b'upgrade'
READ_BYTES = 64 * units.KIB
# Objects of a parsed request besides its bytes.
REQUEST_OVERHEAD_BYTES = 512
CHUNKED_ENCODING = b'chunked'
BODY_TOO_LONG = 'The body is too long.'


class BadRequestError(errors.IvystepError):
    """A caller's request is refused and its connection must be closed.

    Attributes:
        status: HTTP status of the answer.
        code: Stable code for programs.
        retry_after_s: Seconds after which a retry may succeed; None if it
            cannot.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        code: str = 'invalid_request',
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason, step='read request')
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(slots=True)
class RawRequest:
    """A parsed request whose headers are not decoded."""

    method: str = ''
    target: str = ''
    version: str = '1.1'
    is_kept_alive: bool = True
    # The headers may contain an API key.
    headers: list[calls.Header] = dataclasses.field(
        default_factory=list, repr=False
    )
    body: bytearray = dataclasses.field(default_factory=bytearray)
    head_bytes: int = 0

    @property
    def kept_bytes(self) -> int:
        """Number of bytes that the request occupies, about."""
        return REQUEST_OVERHEAD_BYTES + self.head_bytes + _held_bytes(self.body)

    def take_body(self) -> bytearray:
        """Return the body, which this request does not hold any more."""
        taken = self.body
        self.body = bytearray()
        return taken


def _held_bytes(body: bytearray) -> int:
    """Return the memory of a body, which has grown in steps."""
    return int(len(body) * byte_budget.GROWTH)


class RequestReader:
    """Parses the bytes of one caller's connection.

    Attributes:
        is_idle: Whether no byte of an incomplete request has arrived.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.is_idle = True
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._current = RawRequest()
        self._target = bytearray()
        self._head_bytes = 0
        self._partial = peer_bounds.PartialMeter()
        self._is_head_complete = False
        self._has_expect_header = False
        self._announced_bytes = 0
        self._ready: collections.deque[RawRequest] = collections.deque()
        self._ready_bytes = 0
        self._problem: BadRequestError | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that waiting and incomplete requests occupy."""
        if self.is_idle:
            return self._ready_bytes
        # Whole headers are among the bytes of an incomplete head.
        head_bytes = max(self._head_bytes, self._partial.pending_bytes)
        return self._ready_bytes + head_bytes + _held_bytes(self._current.body)

    @property
    def announced_bytes(self) -> int:
        """Length of the body that is to be received; 0 if not announced."""
        if self._problem is not None or not self._is_head_complete:
            return 0
        return self._announced_bytes

    @property
    def is_in_head(self) -> bool:
        """Whether the head of a request is partly received."""
        return not self.is_idle and not self._is_head_complete

    @property
    def is_in_body(self) -> bool:
        """Whether the body of a request is partly received, or none of it."""
        return not self.is_idle and self._is_head_complete

    @property
    def has_request(self) -> bool:
        """Whether a complete request waits for ``next_request``."""
        return bool(self._ready)

    def feed(self, received: bytes) -> None:
        """Parse received bytes; ``next_request`` raises any error."""
        if self._problem is not None:
            return
        if self.is_idle and received.strip(b'\r\n'):
            self.is_idle = False
        self._partial.add(len(received), 0.0)
        rest = received
        while rest and self._problem is None:
            rest = self._parse(rest)
        # Chunk lines and trailers have the bound of a head.
        if self._partial.pending_bytes > self._max_header_bytes:
            self._fail(431, 'The headers are too long.')

    def next_request(self) -> RawRequest | None:
        """Return the next complete request, or None if more is needed.

        Raises:
            BadRequestError: What follows the last complete request is refused.
        """
        if self._ready:
            raw = self._ready.popleft()
            self._ready_bytes -= raw.kept_bytes
            return raw
        if self._problem is not None:
            raise self._problem
        return None

    def discard(self) -> None:
        """Release what is buffered; the connection has ended.

        Reader and parser refer to each other, so the bytes would stay until
        the next garbage collection.
        """
        self._current = RawRequest()
        self._head_bytes = 0
        self._partial.complete()
        self._ready.clear()
        self._ready_bytes = 0

    def pop_expect_continue(self) -> bool:
        """Return whether the caller expects a 100 (Continue), and reset it."""
        expects = self._has_expect_header
        self._has_expect_header = False
        return expects

    def on_message_begin(self) -> None:
        """Start a request. Called by the parser."""
        self._current = RawRequest()
        self._target = bytearray()
        self._head_bytes = 0
        self._is_head_complete = False
        self.is_idle = False

    def on_url(self, url: bytes) -> None:
        """Append to the target. Called by the parser."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, or drop a trailer. Called by the parser."""
        if not self._is_head_complete:
            self._current.headers.append((name, value))
        self._add_head_bytes(
            len(name) + len(value) + peer_bounds.FIELD_OVERHEAD_BYTES
        )

    def on_headers_complete(self) -> None:
        """End the head. Called by the parser."""
        self._partial.complete()
        self._is_head_complete = True
        current = self._current
        current.method = self._parser.get_method().decode('latin-1')
        current.target = self._target.decode('latin-1')
        current.version = self._parser.get_http_version()
        names = {name.lower() for name, _ in current.headers}
        self._has_expect_header = b'expect' in names
        if current.method == 'CONNECT':
            self._fail(400, 'Tunnels are not supported.')
        if current.version == '1.0' and b'transfer-encoding' in names:
            self._fail(400, 'The length of the body is ambiguous.')
        self._announced_bytes = _content_length(current.headers) or 0
        if self._announced_bytes > self._max_body_bytes:
            self._fail(413, BODY_TOO_LONG)

    def on_chunk_header(self) -> None:
        """End the line before a chunk. Called by the parser."""
        self._partial.complete()

    def on_body(self, piece: bytes) -> None:
        """Append to the body. Called by the parser."""
        self._partial.complete()
        if len(self._current.body) + len(piece) > self._max_body_bytes:
            self._fail(413, BODY_TOO_LONG)
            return
        self._current.body += piece

    def on_message_complete(self) -> None:
        """End a request. Called by the parser."""
        self._partial.complete()
        if self._parser.should_upgrade():
            # Only its head has ended.
            return
        if self._problem is None:
            self._current.is_kept_alive = self._parser.should_keep_alive()
            self._current.head_bytes = self._head_bytes
            self._ready.append(self._current)
            self._ready_bytes += self._current.kept_bytes
        self.is_idle = True
        self._is_head_complete = False
        self._has_expect_header = False

    def _parse(self, received: bytes) -> bytes:
        """Parse received bytes; return those that must be parsed again."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as offer:
            return self._without_offer() + received[offer.args[0] :]
        except httptools.HttpParserError:
            self._fail(400, 'The request is malformed.')
        return b''

    def _without_offer(self) -> bytes:
        """Return the head of a request without its offer of an upgrade.

        The parser takes what follows such a head for another protocol. The
        offer is declined by handling the request as one without it (RFC 9110,
        section 7.8), so its body must be read.
        """
        self._parser = httptools.HttpRequestParser(self)
        current = self._current
        lines = [
            b'%b %b HTTP/%b'
            % (
                current.method.encode('latin-1'),
                self._target,
                current.version.encode('latin-1'),
            )
        ]
        lines.extend(
            b'%b: %b' % header
            for header in current.headers
            if header[0].lower() != UPGRADE
        )
        return b'\r\n'.join((*lines, b'', b''))

    def _add_head_bytes(self, added: int) -> None:
        self._head_bytes += added
        if self._head_bytes > self._max_header_bytes:
            self._fail(431, 'The headers are too long.')

    def _fail(self, status: int, reason: str) -> None:
        if self._problem is None:
            self._problem = BadRequestError(status, reason)


class Framing(enum.Enum):
    """How the end of an answer's body is determined."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until_close'


@dataclasses.dataclass(frozen=True, slots=True)
class RawHead:
    """The parsed head of an answer; its headers are not decoded."""

    status: int
    reason: str
    headers: tuple[calls.Header, ...]
    framing: Framing
    length: int | None
    is_kept_alive: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of an answer's body."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MessageEnd:
    """The end of a complete answer."""


AnswerEvent = RawHead | BodyChunk | MessageEnd


class AnswerReader:
    """Parses the answers on one connection to an upstream.

    Args:
        bounds: Bounds of what the upstream may send.
        peer: Name of the upstream for errors.
        now: Returns the time in seconds.

    Attributes:
        is_clean: Whether no answer is in progress and no unexpected bytes have
            arrived, so that the connection can be reused.
        received_bytes: Number of all bytes that have arrived.
    """

    def __init__(
        self,
        bounds: peer_bounds.PeerBounds = peer_bounds.DEFAULT_BOUNDS,
        peer: str = '',
        now: Callable[[], float] = clock.now,
    ) -> None:
        self.is_clean = True
        self.received_bytes = 0
        self._meter = peer_bounds.AnswerMeter(bounds, peer)
        self._peer = peer
        self._now = now
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[calls.Header] = []
        self._reason = b''
        self._framing = Framing.NONE
        self._is_ended = True
        self._is_interim = False
        self._problem: errors.LinkError | None = None
        self._events: collections.deque[AnswerEvent] = collections.deque()

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        What arrived before a fault is returned by ``next_event`` first, so
        that it does not matter which bytes arrive together.

        Raises:
            errors.LinkError: What follows the last event is not an HTTP
                answer, or exceeds a bound.
        """
        if self._problem is None:
            self._parse(received)
        self.raise_if_failed()

    def raise_if_failed(self) -> None:
        """Raise an error if all events before a fault have been returned.

        Raises:
            errors.LinkError: As for ``feed``.
        """
        if self._problem is not None and not self._events:
            raise self._problem

    def feed_eof(self) -> None:
        """Handle an orderly close of the connection by the upstream.

        Raises:
            errors.LinkError: An answer is incomplete.
        """
        self.is_clean = False
        if not self._is_ended and self._framing is Framing.UNTIL_CLOSE:
            self._is_ended = True
            self._events.append(MessageEnd())
        elif not self._events:
            raise errors.LinkError(
                'connection closed', step='read answer', peer=self._peer
            )

    def next_event(self) -> AnswerEvent | None:
        """Return the next event, or None if more bytes are needed."""
        return self._events.popleft() if self._events else None

    def on_message_begin(self) -> None:
        """Start an answer. Called by the parser."""
        self._headers = []
        self._reason = b''
        self._is_ended = False
        self.is_clean = False
        self._meter.on_begin()

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase. Called by the parser."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, or drop a trailer. Called by the parser."""
        if self._meter.may_keep_header(name, value):
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """End the head. Called by the parser."""
        length = _content_length(self._headers)
        try:
            status = answer_status.AnswerStatus.from_head(
                self._parser.get_status_code(),
                has_body=bool(length or _transfer_encodings(self._headers)),
            )
        except answer_status.InvalidStatusError as error:
            self._fail(error)
            return
        self._is_interim = status.is_interim
        self._meter.on_head(is_interim=status.is_interim)
        self._framing = self._find_framing(status, length)
        if not status.is_interim:
            self._add_event(
                RawHead(
                    status=status.code,
                    reason=self._reason.decode('latin-1'),
                    headers=tuple(self._headers),
                    framing=self._framing,
                    length=length,
                    is_kept_alive=self._parser.should_keep_alive(),
                )
            )

    def on_chunk_header(self) -> None:
        """End the line before a chunk. Called by the parser."""
        self._meter.on_chunk_line()

    def on_body(self, piece: bytes) -> None:
        """Append to the body. Called by the parser."""
        self._meter.on_body()
        self._add_event(BodyChunk(piece))

    def on_message_complete(self) -> None:
        """End an answer. Called by the parser."""
        self._is_ended = True
        self.is_clean = True
        self._meter.on_end()
        if not self._is_interim:
            self._add_event(MessageEnd())

    def _add_event(self, event: AnswerEvent) -> None:
        """Append an event, unless the parts of an answer are incomplete."""
        if self._problem is None and not self._meter.is_exceeded:
            self._events.append(event)

    def _fail(self, error: Exception) -> None:
        if self._problem is None:
            self._problem = errors.LinkError(
                f'malformed answer: {error}',
                step='read answer',
                peer=self._peer,
            )
            self._problem.__cause__ = error

    def _parse(self, received: bytes) -> None:
        self.received_bytes += len(received)
        self._meter.add(len(received), self._now())
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(error)
        self._problem = self._problem or self._meter.exceeded()
        if self._problem is not None:
            self.is_clean = False

    def _find_framing(
        self, status: answer_status.AnswerStatus, length: int | None
    ) -> Framing:
        if status.is_interim or status.code in {204, 304}:
            return Framing.NONE
        encodings = _transfer_encodings(self._headers)
        if not encodings:
            return Framing.UNTIL_CLOSE if length is None else Framing.LENGTH
        # A body in chunks that are not its last encoding has no defined end,
        # so it is never complete.
        is_chunked = CHUNKED_ENCODING in encodings
        return Framing.CHUNKED if is_chunked else Framing.UNTIL_CLOSE


def _transfer_encodings(headers: list[calls.Header]) -> list[bytes]:
    """Return the encodings that all headers name together, in lower case."""
    return [
        encoding.strip().lower()
        for name, value in headers
        if name.lower() == b'transfer-encoding'
        for encoding in value.split(b',')
    ]


def _content_length(headers: list[calls.Header]) -> int | None:
    for name, value in headers:
        if name.lower() == b'content-length' and value.strip().isdigit():
            return int(value)
    return None


def chunk(content: bytes) -> bytes:
    """Encode bytes as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


LAST_CHUNK: typing.Final = b'0\r\n\r\n'
