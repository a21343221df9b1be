"""Receives the answer of one attempt on a data connection.

Every message has its attempt's id, and every chunk its offset. A message of
another attempt or at a wrong offset is never relayed, and its connection is
never reused.
"""

import functools
import typing
from collections.abc import Callable

from ivystep.core import errors, types, units
from ivystep.runtime import clock, logs
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes

# A sidecar answers by the deadline; this long after it, it counts as lost.
DEADLINE_GRACE_S = 0.5
# Chunks that have arrived are relayed together up to this size, which bounds
# memory.
MAX_BATCH_BYTES = 65536

log = logs.get('entry')


class Reception:
    """Receives the answer of one attempt; iterates over its chunks.

    Args:
        link: The data connection on which the attempt was sent.
        attempt: The attempt.
        release: Called with the connection after a complete answer.
    """

    def __init__(
        self,
        link: channel.Channel,
        attempt: types.Attempt,
        release: Callable[[channel.Channel], None],
    ) -> None:
        self._link = link
        self._attempt = attempt
        self._release = release
        self._is_ended = False
        self._received_bytes = 0
        # A message that was received but not processed yet.
        self._pending: typing.Any = None

    def head(self, accept_timeout_s: float) -> types.AnswerHead:
        """Wait for the head of the answer.

        Args:
            accept_timeout_s: Longest wait for the sidecar's first message.

        Returns:
            Status and content type.

        Raises:
            errors.RequestError: The attempt failed.
            errors.LinkError: The connection was lost or is not usable.
        """
        timeout_s = min(accept_timeout_s, self._time_left())
        reply = self._checked(self._link.receive(timeout_s))
        if isinstance(reply, ttypes.AttemptAccepted):
            reply = self._checked(self._link.receive(self._time_left()))
        if isinstance(reply, ttypes.AttemptFailed):
            self._is_ended = True
            self._release(self._link)
            raise failure(reply, self._link.peer)
        if not isinstance(reply, ttypes.AnswerHead):
            raise _unexpected(reply, self._link.peer)
        return types.AnswerHead(reply.status, reply.content_type)

    def __iter__(self) -> typing.Self:
        return self

    def __next__(self) -> bytes:
        """Wait for the next bytes of the answer; return all that have arrived.

        Raises:
            errors.RequestError: The answer is incomplete or failed.
        """
        if self._is_ended:
            raise StopIteration
        try:
            message = self._next_message()
            if not isinstance(message, ttypes.AnswerEnd):
                return self._read_chunks(message)
            self._end(message)
        except errors.LinkError as error:
            self.close()
            raise self._cut(
                'upstream_lost', 'The connection failed during the answer.'
            ) from error
        except BaseException:
            self.close()
            raise
        raise StopIteration

    def close(self) -> None:
        """Abandon the rest of the answer; the connection is not reused."""
        if not self._is_ended:
            self._is_ended = True
            self._link.close()

    def _next_message(self) -> typing.Any:
        message = self._pending
        self._pending = None
        if message is None:
            message = self._link.receive(self._time_left())
        return self._checked(message)

    def _read_chunks(self, first: typing.Any) -> bytes:
        """Return the bytes of a chunk and of the chunks that have arrived.

        A chunk that had to be waited for is returned alone: checking for
        more costs a read that finds nothing in most cases.
        """
        chunks = [self._read_chunk(first)]
        size = len(chunks[0])
        while not self._link.has_waited and size < MAX_BATCH_BYTES:
            message = self._link.receive_ready()
            if not isinstance(message, ttypes.AnswerChunk):
                self._pending = message
                break
            chunks.append(self._read_chunk(self._checked(message)))
            size += len(chunks[-1])
        return b''.join(chunks)

    def _read_chunk(self, message: typing.Any) -> bytes:
        chunk = _chunk_data(message, self._link.peer)
        self._check_position(message.offset)
        self._received_bytes += len(chunk)
        return chunk

    def _check_position(self, position: int) -> None:
        """Check that no bytes of the answer are missing or repeated."""
        if position != self._received_bytes:
            raise errors.LinkError(
                'bytes are missing or repeated',
                step='run',
                peer=self._link.peer,
            )

    def _end(self, message: ttypes.AnswerEnd) -> None:
        ref = convert.optional_adapter_ref(message.adapter)
        self._check_position(message.length)
        if ref != self._attempt.request.adapter:
            raise self._cut(
                'invalid_answer', 'The answer is of another adapter.'
            )
        self._is_ended = True
        self._release(self._link)

    def _checked(self, message: typing.Any) -> typing.Any:
        """Return a message after checking that it is of this attempt.

        Raises:
            errors.LinkError: The message belongs to another attempt.
        """
        found = getattr(message, 'attempt_id', self._attempt.attempt_id)
        if found != self._attempt.attempt_id:
            log.error(
                'Invariant violated: '
                'attempt %s received a message of attempt %s.',
                self._attempt.attempt_id,
                found,
            )
            raise errors.LinkError(
                'received a message of another attempt',
                step='run',
                peer=self._link.peer,
            )
        return message

    def _time_left(self) -> float:
        deadline = self._attempt.request.deadline
        return max(deadline - clock.now(), 0) + DEADLINE_GRACE_S

    def _cut(self, code: str, reason: str) -> errors.RequestError:
        return errors.RequestError(
            code,
            reason,
            status=502,
            ran=types.ExecutionStatus.UNKNOWN,
            step='relay',
            peer=self._attempt.placement.upstream_id,
        )


def failure(message: ttypes.AttemptFailed, peer: str) -> errors.RequestError:
    """Convert an ``AttemptFailed`` message to an error."""
    retry_after_s = None
    if message.retry_after_ms is not None:
        retry_after_s = message.retry_after_ms / units.MS_PER_S
    error = errors.RequestError(
        message.code,
        message.reason,
        status=message.status,
        ran=types.ExecutionStatus(message.ran),
        retry_after_s=retry_after_s,
        engine_lost=message.engine_lost,
        step='run',
        peer=peer,
    )
    error.engine_incarnation = message.engine_incarnation or ''
    return error


@functools.singledispatch
def _chunk_data(message: typing.Any, peer: str) -> bytes:
    """Return the bytes of a chunk; raise for any other message."""
    raise _unexpected(message, peer)


@_chunk_data.register
def _answer_chunk(message: ttypes.AnswerChunk, peer: str) -> bytes:
    return message.data


@_chunk_data.register
def _attempt_failed(message: ttypes.AttemptFailed, peer: str) -> bytes:
    error = failure(message, peer)
    if error.ran is types.ExecutionStatus.NO:
        # The answer has started, so the upstream has begun to run the request.
        error.ran = types.ExecutionStatus.UNKNOWN
    raise error


def _unexpected(message: typing.Any, peer: str) -> errors.LinkError:
    return errors.LinkError(
        f'unexpected {type(message).__name__}', step='run', peer=peer
    )
