"""Receives the body of an upstream's answer and finds its end."""

from collections.abc import Iterator

from ivystep.core import errors
from ivystep.gateway.upstreams import connections
from ivystep.runtime import clock
from ivystep.traffic import event_stream, http1

CONTENT_TYPE_HEADER = b'content-type'
EVENT_STREAM_TYPE = b'text/event-stream'
# An upstream that crashes on what it answers does so sooner.
SETTLED_S = 0.5


class AnswerBody:
    """The body of one answer.

    Args:
        connection: Connection whose next event follows the answer's head.
        raw: Head of the answer.
        is_stream: Whether the route's answers are streams of events.
        may_be_empty: Whether a stream without any event can be complete: one
            that is resumed after its last event.

    Attributes:
        framing: How the end of the body is determined.
        is_ended: Whether the end was received.
        received_bytes: Length of what was received.
        began_at: Time at which the first content arrived; None before.
        is_settled: Whether content arrived twice after ``SETTLED_S``. Twice,
            because what arrives together after a pause of this host may have
            been sent at once.
    """

    def __init__(
        self,
        connection: connections.UpstreamConnection,
        raw: http1.RawHead,
        *,
        is_stream: bool,
        may_be_empty: bool = False,
    ) -> None:
        self.framing = raw.framing
        self.is_ended = False
        self.received_bytes = 0
        self.began_at: float | None = None
        self.is_settled = False
        self._is_past_start = False
        self._connection = connection
        self._may_be_empty = may_be_empty
        self._events: event_stream.EventSplitter | None = None
        if is_stream and _is_event_stream(raw):
            self._events = event_stream.EventSplitter()

    @property
    def has_events(self) -> bool:
        """Whether the body is a stream of events."""
        return self._events is not None

    @property
    def open_event_bytes(self) -> int:
        """Length of what follows the last complete event; 0 without events."""
        is_inside = self._events is not None and self._events.is_inside_event
        return len(self._events.remainder) if is_inside else 0

    def contents(self) -> Iterator[bytes]:
        """Yield the content as it arrives, until the end of the body.

        Raises:
            errors.LinkError: The body is malformed or was broken off, also if
                its framing says that it is complete.
        """
        while not self.is_ended:
            content = self._receive()
            if self._events is not None:
                self._events.feed(content)
            if content:
                yield content
        self._raise_if_broken_off()

    def complete_events(self) -> Iterator[bytes]:
        """Yield complete events as they arrive, until the end of the body.

        Raises:
            errors.LinkError: As for ``contents``.
        """
        while not self.is_ended:
            complete = self._events.feed(self._receive())
            if complete:
                yield complete
        self._raise_if_broken_off()
        if self._events.remainder:
            yield self._events.remainder

    def _raise_if_broken_off(self) -> None:
        reason = ''
        if self.open_event_bytes:
            reason = f'after {self.open_event_bytes} bytes of an event'
        elif self._lacks_events():
            reason = 'before its first event'
        if reason:
            raise errors.LinkError(
                f'stream broken off {reason}',
                step='read answer',
                peer=self._connection.peer,
            )

    def _lacks_events(self) -> bool:
        """Return whether a stream without a length ended without an event."""
        is_empty = self.has_events and not self.received_bytes
        is_until_close = self.framing is http1.Framing.UNTIL_CLOSE
        return is_empty and is_until_close and not self._may_be_empty

    def _receive(self) -> bytes:
        # All chunks that have already arrived are joined, to save writes.
        parts = []
        event: http1.AnswerEvent | None = self._connection.next_event()
        while event is not None and not self.is_ended:
            if isinstance(event, http1.MessageEnd):
                self.is_ended = True
            else:
                if isinstance(event, http1.BodyChunk):
                    parts.append(event.content)
                event = self._connection.buffered_event()
        content = b''.join(parts)
        self.received_bytes += len(content)
        if content and not self.is_settled:
            self._record_progress(clock.now())
        return content

    def _record_progress(self, now: float) -> None:
        if self.began_at is None:
            self.began_at = now
        if now >= self.began_at + SETTLED_S:
            self.is_settled = self._is_past_start
            self._is_past_start = True


def _is_event_stream(raw: http1.RawHead) -> bool:
    """Return whether a head announces events, or no type at all."""
    for name, content_type in raw.headers:
        if name.lower() == CONTENT_TYPE_HEADER:
            return content_type.strip().lower().startswith(EVENT_STREAM_TYPE)
    return True
