"""Parses HTTP/1.1 messages with ``httptools``.

``RequestReader`` parses a caller's requests and enforces size limits.
``AnswerReader`` parses an upstream's answers incrementally and distinguishes a
complete answer from a truncated one.
"""

import collections
import dataclasses
import enum
import typing

import httptools

from ivystep.core import errors, units
from ivystep.traffic import calls

READ_BYTES = 64 * units.KIB
# Bytes of a header line besides its name and value: colon, space, CR and LF.
HEADER_OVERHEAD_BYTES = 4
# Objects of a parsed request besides its bytes.
REQUEST_OVERHEAD_BYTES = 512
CHUNKED_ENCODING = b'chunked'


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
        return REQUEST_OVERHEAD_BYTES + self.head_bytes + len(self.body)


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
        # Pieces received since the first one of the present head.
        self._later_head_bytes = 0
        self._is_head_complete = False
        self._has_expect_header = False
        self._ready: collections.deque[RawRequest] = collections.deque()
        self._ready_bytes = 0
        self._problem: BadRequestError | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that waiting and incomplete requests occupy."""
        if self.is_idle:
            return self._ready_bytes
        return self._ready_bytes + self._head_bytes + len(self._current.body)

    @property
    def is_in_head(self) -> bool:
        """Whether the head of a request is partly received."""
        return not self.is_idle and not self._is_head_complete

    @property
    def has_request(self) -> bool:
        """Whether a complete request waits for ``next_request``."""
        return bool(self._ready)

    def feed(self, received: bytes) -> None:
        """Parse received bytes; ``next_request`` raises any error."""
        # In slices, so that the bytes of an earlier request do not count as
        # those of the head that begins after it.
        for start in range(0, len(received), self._max_header_bytes):
            if self._problem is not None:
                return
            self._feed_slice(received[start : start + self._max_header_bytes])

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
        self._later_head_bytes = 0
        self._is_head_complete = False
        self.is_idle = False

    def on_url(self, url: bytes) -> None:
        """Append to the target. Called by the parser."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header. Called by the parser."""
        self._current.headers.append((name, value))
        self._add_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """End the head. Called by the parser."""
        self._is_head_complete = True
        current = self._current
        current.method = self._parser.get_method().decode('latin-1')
        current.target = self._target.decode('latin-1')
        current.version = self._parser.get_http_version()
        names = {name.lower() for name, _ in current.headers}
        self._has_expect_header = b'expect' in names
        if current.version == '1.0' and b'transfer-encoding' in names:
            self._fail(400, 'The length of the body is ambiguous.')

    def on_body(self, piece: bytes) -> None:
        """Append to the body. Called by the parser."""
        if len(self._current.body) + len(piece) > self._max_body_bytes:
            self._fail(413, 'The body is too long.')
            return
        self._current.body += piece

    def on_message_complete(self) -> None:
        """End a request. Called by the parser."""
        if self._problem is None:
            self._current.is_kept_alive = self._parser.should_keep_alive()
            self._current.head_bytes = self._head_bytes
            self._ready.append(self._current)
            self._ready_bytes += self._current.kept_bytes
        self.is_idle = True
        self._is_head_complete = False
        self._has_expect_header = False

    def _feed_slice(self, received: bytes) -> None:
        if self.is_in_head:
            self._later_head_bytes += len(received)
        if self.is_idle and received.strip(b'\r\n'):
            self.is_idle = False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._fail(400, 'Protocol upgrades are not supported.')
        except httptools.HttpParserError:
            self._fail(400, 'The request is malformed.')
        # The parser reports a header only when its value is complete, so the
        # number of received bytes is checked as well.
        if self.is_in_head and self._later_head_bytes > self._max_header_bytes:
            self._fail(431, 'The headers are too long.')

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

    Attributes:
        is_clean: Whether no answer is in progress and no unexpected bytes have
            arrived, so that the connection can be reused.
    """

    def __init__(self) -> None:
        self.is_clean = True
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[calls.Header] = []
        self._reason = b''
        self._framing = Framing.NONE
        self._is_ended = True
        self._events: collections.deque[AnswerEvent] = collections.deque()

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raises:
            errors.LinkError: They are not an HTTP answer.
        """
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.is_clean = False
            if not self._is_ended or not self._events:
                raise errors.LinkError(
                    f'malformed answer: {error}', step='read answer'
                ) from error

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
            raise errors.LinkError('connection closed', step='read answer')

    def next_event(self) -> AnswerEvent | None:
        """Return the next event, or None if more bytes are needed."""
        return self._events.popleft() if self._events else None

    def on_message_begin(self) -> None:
        """Start an answer. Called by the parser."""
        self._headers = []
        self._reason = b''
        self._is_ended = False
        self.is_clean = False

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase. Called by the parser."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header. Called by the parser."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """End the head. Called by the parser."""
        status = self._parser.get_status_code()
        length = _content_length(self._headers)
        self._framing = self._find_framing(status, length)
        if status >= 200:
            self._events.append(
                RawHead(
                    status=status,
                    reason=self._reason.decode('latin-1'),
                    headers=tuple(self._headers),
                    framing=self._framing,
                    length=length,
                    is_kept_alive=self._parser.should_keep_alive(),
                )
            )

    def on_body(self, piece: bytes) -> None:
        """Append to the body. Called by the parser."""
        self._events.append(BodyChunk(piece))

    def on_message_complete(self) -> None:
        """End an answer. Called by the parser."""
        self._is_ended = True
        self.is_clean = True
        if self._parser.get_status_code() >= 200:
            self._events.append(MessageEnd())

    def _find_framing(self, status: int, length: int | None) -> Framing:
        if status < 200 or status in {204, 304}:
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
