"""Relays one answer from an upstream to a caller.

Short answers are read whole before they are passed on, so that one that
breaks off can be asked for again. Streams are passed on as they arrive. A
stream that may be resumed is passed on by whole events, and its head is sent
once, whichever upstream goes on with it.
"""

import typing

from ivystep.core import errors, types, units
from ivystep.gateway import connections, upstream_state
from ivystep.platform import messages
from ivystep.traffic import calls, contracts, http1

# Answers up to this size are read whole before they are passed on.
WHOLE_BYTES = 64 * units.KIB
NO_LENGTH = -1
# Failures of an upstream that another one may not have. A 504 means that the
# time is over.
FAILURES = frozenset((500, 502, 503))


class CallerAnswer(typing.Protocol):
    """What an exchange needs of the caller's connection.

    Attributes:
        has_started: Whether the head has been sent.
        is_complete: Whether the whole answer has been sent.
        first_at: When the head was sent; None before.
        status: Status that was sent; 0 before.
        last_event_id: Id of the last event that was sent, or that the caller
            had before; empty if there is none.
        can_resume: Whether only whole events have been sent so far.
        longest_gap_s: Longest time between two parts of the body.
    """

    has_started: bool
    is_complete: bool
    first_at: float | None
    status: int
    last_event_id: str
    can_resume: bool
    longest_gap_s: float

    def send_whole(self, head: calls.AnswerHead, body: bytes) -> None:
        """Send a complete answer."""

    def start(self, head: calls.AnswerHead, length: int) -> None:
        """Send the head; the length is ``NO_LENGTH`` if it is not known."""

    def write(self, content: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """End the answer in order."""


class Exchange:
    """One attempt at one upstream.

    Args:
        call: The request.
        route: Its route.
        upstream: The upstream.
        answer: Where the answer goes.
        may_repeat: Whether a failure of the upstream is not passed on,
            because the request can be sent to another one.
    """

    def __init__(
        self,
        call: calls.Call,
        route: contracts.Route,
        upstream: upstream_state.Upstream,
        answer: CallerAnswer,
        *,
        may_repeat: bool,
    ) -> None:
        self._may_repeat = may_repeat
        self._call = call
        self._route = route
        self._upstream = upstream
        self._answer = answer
        self._peer = upstream.upstream_id

    def run(self, encoded: bytes) -> None:
        """Send the request and relay its answer.

        Args:
            encoded: The request as bytes.

        Raises:
            errors.RequestError: There is no complete answer; ``ran`` says
                whether the request may have run.
        """
        try:
            connection = self._upstream.connections.acquire()
        except errors.LinkError as error:
            raise connections.lost(error, has_sent=False) from error
        is_done = False
        try:
            connection.send(encoded)
            keep_alive_s = self._relay(connection)
            is_done = True
        except errors.LinkError as error:
            raise connections.lost(error, has_sent=True) from error
        finally:
            if is_done and keep_alive_s is not None and connection.is_clean:
                self._upstream.connections.release(connection, keep_alive_s)
            else:
                connection.close()

    def _relay(
        self, connection: connections.UpstreamConnection
    ) -> float | None:
        """Relay the answer; return how long the connection may be idle."""
        raw = self._own_head(connection)
        head = messages.decode_answer(raw)
        self._check(connection, head)
        is_stream = self._route.kind is contracts.Repeatability.STREAM
        if is_stream and head.status == 200 and self._route.is_resumable:
            self._relay_events(connection, head)
        elif raw.framing is http1.Framing.NONE or _is_short(raw):
            self._answer.send_whole(head, self._read_rest(connection))
        elif is_stream:
            length = NO_LENGTH if raw.length is None else raw.length
            self._relay_pieces(connection, head, length)
        else:
            self._relay_collected(connection, head, raw)
        if not raw.is_kept_alive:
            return None
        if head.keep_alive_s is None:
            return connections.DEFAULT_IDLE_S
        return head.keep_alive_s

    def _check(
        self, connection: connections.UpstreamConnection, head: calls.AnswerHead
    ) -> None:
        """Raise the failure that an upstream tells, if it is not passed on."""
        if head.is_not_run:
            self._read_rest(connection)
            raise self._refused(head)
        if head.status in FAILURES and self._may_repeat:
            self._read_rest(connection)
            raise self._failed(head)
        if self._answer.has_started:
            self._check_resumed(head)

    def _own_head(
        self, connection: connections.UpstreamConnection
    ) -> http1.RawHead:
        """Read until the head of this request's own answer.

        An answer to an earlier request may arrive late, or twice; the request
        id tells it apart and it is dropped.
        """
        while True:
            event = connection.next_event()
            if not isinstance(event, http1.RawHead):
                continue
            answered = messages.decode_answer(event).request_id
            if answered in {'', self._call.request_id}:
                return event

    def _read_rest(self, connection: connections.UpstreamConnection) -> bytes:
        body = bytearray()
        while True:
            event = connection.next_event()
            if isinstance(event, http1.MessageEnd):
                return bytes(body)
            if isinstance(event, http1.BodyChunk):
                body += event.content
                if len(body) > WHOLE_BYTES:
                    raise errors.LinkError(
                        'answer is too long',
                        step='read answer',
                        peer=self._peer,
                    )

    def _relay_collected(
        self,
        connection: connections.UpstreamConnection,
        head: calls.AnswerHead,
        raw: http1.RawHead,
    ) -> None:
        """Send a short answer of unknown length whole, a long one in pieces."""
        body = bytearray()
        while len(body) <= WHOLE_BYTES:
            event = connection.next_event()
            if isinstance(event, http1.MessageEnd):
                self._answer.send_whole(head, bytes(body))
                return
            if isinstance(event, http1.BodyChunk):
                body += event.content
        length = NO_LENGTH if raw.length is None else raw.length
        self._relay_pieces(connection, head, length, bytes(body))

    def _relay_pieces(
        self,
        connection: connections.UpstreamConnection,
        head: calls.AnswerHead,
        length: int,
        begun: bytes = b'',
    ) -> None:
        self._answer.start(head, length)
        self._answer.can_resume = False
        if begun:
            self._answer.write(begun)
        is_ended = False
        while not is_ended:
            content, is_ended = _arrived(connection)
            if content:
                self._answer.write(content)
        self._answer.finish()

    def _relay_events(
        self,
        connection: connections.UpstreamConnection,
        head: calls.AnswerHead,
    ) -> None:
        """Relay a stream by whole events."""
        if not self._answer.has_started:
            self._answer.start(head, NO_LENGTH)
        events = EventBuffer()
        is_ended = False
        while not is_ended:
            content, is_ended = _arrived(connection)
            events.feed(content)
            whole = events.take_whole()
            if whole:
                self._answer.last_event_id = (
                    events.last_id or self._answer.last_event_id
                )
                self._answer.write(whole)
        if events.rest:
            self._answer.write(events.rest)
        self._answer.finish()

    def _check_resumed(self, head: calls.AnswerHead) -> None:
        if head.status != 200:
            raise errors.RequestError(
                'upstream_failed',
                f'Status {head.status} instead of the rest of a stream.',
                status=502,
                ran=types.ExecutionStatus.UNKNOWN,
                step='resume',
                peer=self._peer,
            )

    def _failed(self, head: calls.AnswerHead) -> errors.RequestError:
        """Return the error of a request that ran and failed."""
        return errors.RequestError(
            'upstream_failed',
            f'Status {head.status}: the request has failed.',
            status=502,
            ran=types.ExecutionStatus.UNKNOWN,
            step='run',
            peer=self._peer,
        )

    def _refused(self, head: calls.AnswerHead) -> errors.RequestError:
        """Return the error of a request that the upstream has not run."""
        is_other = head.upstream_id not in {'', self._peer}
        code = 'upstream_full'
        if head.status == 421:
            code = 'other_upstream' if is_other else 'not_held'
        return errors.RequestError(
            code,
            f'Status {head.status}: the request has not run.',
            status=503,
            ran=types.ExecutionStatus.NO,
            step='run',
            peer=self._peer,
        )


def _is_short(raw: http1.RawHead) -> bool:
    return raw.length is not None and raw.length <= WHOLE_BYTES


def _arrived(
    connection: connections.UpstreamConnection,
) -> tuple[bytes, bool]:
    """Wait for a part of the body; return it and whether the answer ended.

    All that has arrived is taken together, which saves a write for each piece.
    """
    parts = []
    event: http1.AnswerEvent | None = connection.next_event()
    while event is not None:
        if isinstance(event, http1.MessageEnd):
            return b''.join(parts), True
        if isinstance(event, http1.BodyChunk):
            parts.append(event.content)
        event = connection.ready_event()
    return b''.join(parts), False


class EventBuffer:
    """Splits a stream into whole events.

    Attributes:
        last_id: Id of the last whole event that named one.
        rest: Bytes after the last whole event.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self.rest = b''

    def feed(self, content: bytes) -> None:
        """Take a piece of the stream."""
        self.rest += content

    def take_whole(self) -> bytes:
        """Remove and return the whole events."""
        end = self.rest.rfind(b'\n\n')
        if end < 0:
            return b''
        whole = self.rest[: end + 2]
        self.rest = self.rest[end + 2 :]
        for line in whole.split(b'\n'):
            name, _, value = line.partition(b':')
            if name == b'id':
                self.last_id = value.strip().decode('latin-1')
        return whole
