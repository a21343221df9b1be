"""Relays the answer of one upstream to a caller.

Short answers are buffered completely before they are forwarded, so that a
truncated one can be retried. Streams are forwarded as they arrive. Resumable
streams are forwarded in complete events, and their head is sent only once,
also if another upstream resumes the stream.
"""

import contextlib
import typing
from collections.abc import Callable, Generator

from ivystep.core import errors, types, units
from ivystep.gateway.requests import answer_body, own_answer_search
from ivystep.gateway.upstreams import connections, upstream_state
from ivystep.platform import messages
from ivystep.traffic import calls, contracts, event_stream, http1

# Answers up to this size are buffered completely before they are forwarded.
MAX_BUFFERED_BYTES = 64 * units.KIB
UNKNOWN_LENGTH = -1
HIGHEST_SUCCESS_STATUS = 299
# Statuses for which another upstream may succeed. A 504 is not among them,
# because it means that the deadline has passed.
RETRYABLE_STATUSES = frozenset((500, 502, 503))


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class CallerAnswer(typing.Protocol):
    """The caller's side of an answer, as an exchange needs it.

    Attributes:
        has_started: Whether the head has been sent.
        is_complete: Whether the complete answer has been sent.
        head_sent_at: When the head was sent; None before.
        status: HTTP status that was sent; 0 before.
        last_event_id: Id of the last event that was sent, or that the caller
            received on an earlier connection; empty if there is none.
        can_resume: Whether only complete events have been sent so far.
        longest_gap_s: Longest time between two parts of the body.
        written_bytes: Length of the body that was written so far.
    """

    has_started: bool
    is_complete: bool
    head_sent_at: float | None
    status: int
    last_event_id: str
    can_resume: bool
    longest_gap_s: float
    written_bytes: int

    def raise_if_disconnected(self) -> None:
        """Raise ``CallerDisconnectedError`` if the caller has disconnected."""

    def send_complete(self, head: calls.AnswerHead, body: bytes) -> None:
        """Send a complete answer."""

    def start(self, head: calls.AnswerHead, length: int) -> None:
        """Send the head; the length may be ``UNKNOWN_LENGTH``."""

    def write(self, content: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """Complete the answer."""


class Exchange:
    """One attempt at a request on one upstream.

    Args:
        call: The request.
        route: Its route.
        upstream: The upstream.
        answer: The caller's side of the answer.
        on_head: Called with the head of the upstream's answer as it arrives.
        on_discarded: Called with the head of an answer to another request.
        may_repeat: Whether another upstream can be tried, so that a failure
            status is raised as an error instead of forwarded.

    Attributes:
        has_sent: Whether the request was written to a connection.
        is_given_up: Whether this host has ended the attempt while the upstream
            might still run the request.
        body: Body of the upstream's answer; None before its head.
    """

    def __init__(
        self,
        call: calls.Call,
        route: contracts.Route,
        upstream: upstream_state.Upstream,
        answer: CallerAnswer,
        *,
        on_head: Callable[[calls.AnswerHead], None],
        on_discarded: Callable[[calls.AnswerHead], None],
        may_repeat: bool,
    ) -> None:
        self.has_sent = False
        self.is_given_up = False
        self.body: answer_body.AnswerBody | None = None
        self._on_head = on_head
        self._on_discarded = on_discarded
        self._may_repeat = may_repeat
        self._call = call
        self._route = route
        self._upstream = upstream
        self._answer = answer
        self._peer = upstream.upstream_id

    def run(self, encode: Callable[[], tuple[calls.Body, ...]]) -> None:
        """Send the request and relay its answer.

        Args:
            encode: Returns the pieces of the request. Called once a connection
                is open, without a wait before they are sent, so that it can
                raise an error if the request is no longer wanted.

        Raises:
            errors.RequestError: No complete answer was received; ``ran``
                states whether the request may have run.
        """
        try:
            connection = self._upstream.connections.acquire()
        except errors.LinkError as error:
            raise connections.to_request_error(error, has_sent=False) from error
        is_done = False
        try:
            with self._note_giving_up():
                pieces = encode()
                self.has_sent = True
                connection.send(pieces)
                keep_alive_s = self._relay(connection)
            is_done = True
        except errors.LinkError as error:
            raise connections.to_request_error(error, has_sent=True) from error
        finally:
            if is_done and keep_alive_s is not None and connection.is_clean:
                self._upstream.connections.release(connection, keep_alive_s)
            else:
                connection.close()

    @contextlib.contextmanager
    def _note_giving_up(self) -> Generator[None]:
        """Set ``is_given_up`` if this host ends the attempt in the context.

        An error of the upstream or of its connection does not end it so.
        """
        try:
            yield
        except errors.IvystepError:
            raise
        except BaseException:
            is_answered = self.body is not None and self.body.is_ended
            self.is_given_up = self.has_sent and not is_answered
            raise

    def _relay(
        self, connection: connections.UpstreamConnection
    ) -> float | None:
        """Relay the answer; return the connection's idle time-out or None."""
        raw = self._read_own_head(connection)
        head = messages.decode_answer(raw)
        self._on_head(head)
        is_stream = self._route.kind is contracts.Repeatability.STREAM
        body = answer_body.AnswerBody(
            connection,
            raw,
            is_stream=is_stream and _is_success_with_body(raw),
            may_be_empty=bool(self._answer.last_event_id),
        )
        self.body = body
        self._raise_for_failure(body, head)
        length = UNKNOWN_LENGTH if raw.length is None else raw.length
        if self._route.is_resumable and body.has_events and head.status == 200:
            self._relay_events(body, head)
        elif body.has_events:
            # With the upstream's length, a stream that is broken off inside
            # its last event would look complete.
            self._relay_unbuffered(body, head, UNKNOWN_LENGTH)
        elif raw.framing is http1.Framing.NONE or _is_short(raw):
            self._answer.send_complete(head, self._read_rest(body))
        elif is_stream:
            self._relay_unbuffered(body, head, length)
        else:
            self._relay_buffered(body, head, length)
        if not raw.is_kept_alive:
            return None
        if head.keep_alive_s is None:
            return connections.DEFAULT_IDLE_TIMEOUT_S
        return head.keep_alive_s

    def _raise_for_failure(
        self, body: answer_body.AnswerBody, head: calls.AnswerHead
    ) -> None:
        """Raise an error unless the upstream's answer is to be forwarded."""
        if head.is_not_run:
            # What the head states holds whatever becomes of the body.
            raise self._not_run_error(head)
        if head.status in RETRYABLE_STATUSES and self._may_repeat:
            self._read_rest(body)
            raise self._failure_error(head)
        if self._answer.has_started:
            self._raise_unless_resumed(body, head)

    def _read_own_head(
        self, connection: connections.UpstreamConnection
    ) -> http1.RawHead:
        """Read up to the head of the answer to this request.

        An answer to an earlier request may arrive late or twice. It is
        recognized by its request id and discarded. One that names no request
        after others have done so may be that to any of them.

        Raises:
            errors.LinkError: It is not known which request was answered, or
                too much has arrived in search of its answer.
        """
        search = own_answer_search.OwnAnswerSearch(connection)
        while True:
            event = connection.next_event()
            if not isinstance(event, http1.RawHead):
                search.on_skipped()
                continue
            head = messages.decode_answer(event)
            if head.request_id == self._call.request_id:
                connection.names_requests = True
                return event
            is_named = bool(head.request_id)
            if not (is_named or connection.names_requests):
                return event
            search.on_discarded()
            self._on_discarded(head)
            if not is_named:
                raise errors.LinkError(
                    f'an answer with status {head.status} names no request',
                    step='read answer',
                    peer=self._peer,
                )

    def _read_rest(self, body: answer_body.AnswerBody) -> bytes:
        buffered = bytearray()
        for content in body.contents():
            buffered += content
            if len(buffered) > MAX_BUFFERED_BYTES:
                raise errors.LinkError(
                    'answer exceeds the buffer limit',
                    step='read answer',
                    peer=self._peer,
                )
        return bytes(buffered)

    def _relay_buffered(
        self,
        body: answer_body.AnswerBody,
        head: calls.AnswerHead,
        length: int,
    ) -> None:
        """Send a short answer of unknown length at once, stream a long one."""
        buffered = bytearray()
        for content in body.contents():
            buffered += content
            if len(buffered) > MAX_BUFFERED_BYTES:
                self._relay_unbuffered(body, head, length, bytes(buffered))
                return
        self._answer.send_complete(head, bytes(buffered))

    def _relay_unbuffered(
        self,
        body: answer_body.AnswerBody,
        head: calls.AnswerHead,
        length: int,
        buffered: bytes = b'',
    ) -> None:
        self._answer.start(head, length)
        self._answer.can_resume = False
        if buffered:
            self._answer.write(buffered)
        for content in body.contents():
            self._answer.write(content)
        self._answer.finish()

    def _relay_events(
        self, body: answer_body.AnswerBody, head: calls.AnswerHead
    ) -> None:
        """Relay a stream in complete events."""
        if not self._answer.has_started:
            self._answer.start(head, UNKNOWN_LENGTH)
        for complete in body.complete_events():
            self._answer.last_event_id = (
                event_stream.last_id(complete) or self._answer.last_event_id
            )
            # Without an id, a further attempt would repeat these events.
            self._answer.can_resume = bool(self._answer.last_event_id)
            self._answer.write(complete)
        self._answer.finish()

    def _raise_unless_resumed(
        self, body: answer_body.AnswerBody, head: calls.AnswerHead
    ) -> None:
        if head.status != 200 or not body.has_events:
            raise errors.RequestError(
                'upstream_failed',
                f'Status {head.status} on resuming a stream.',
                status=502,
                ran=types.ExecutionStatus.UNKNOWN,
                step='resume',
                peer=self._peer,
            )

    def _failure_error(self, head: calls.AnswerHead) -> errors.RequestError:
        """Return the error of a request that may have run and failed."""
        return errors.RequestError(
            'upstream_failed',
            f'Status {head.status}: the request failed.',
            status=502,
            ran=types.ExecutionStatus.UNKNOWN,
            step='run',
            peer=self._peer,
        )

    def _not_run_error(self, head: calls.AnswerHead) -> errors.RequestError:
        """Return the error of a request that the upstream did not run."""
        is_other = head.upstream_id not in {'', self._peer}
        code = 'upstream_full'
        if head.status == 421:
            code = 'other_upstream' if is_other else 'not_held'
        return errors.RequestError(
            code,
            f'Status {head.status}: the request was not run.',
            status=503,
            ran=types.ExecutionStatus.NO,
            step='run',
            peer=self._peer,
        )


def _is_success_with_body(raw: http1.RawHead) -> bool:
    is_success = raw.status <= HIGHEST_SUCCESS_STATUS
    return is_success and raw.framing is not http1.Framing.NONE


def _is_short(raw: http1.RawHead) -> bool:
    return raw.length is not None and raw.length <= MAX_BUFFERED_BYTES
