"""Relays answers and runs callbacks at their end."""

import collections
import functools
from collections.abc import Callable, Iterator

from ivystep.core import errors, types
from ivystep.entry import progress
from ivystep.runtime import logs

log = logs.get('entry')


class Relay:
    """Iterates over the chunks of one answer; runs callbacks once at its end.

    Unlike a generator, it releases its upstream even if it is closed before
    the first chunk is read.

    Args:
        chunks: The chunks; closed with the relay.
        on_end: Called once with whether the request was run.

    Attributes:
        is_ended: Whether the answer has completed, failed or been abandoned.
        is_complete: Whether the whole answer was received.
        ran: Whether the request was run, as known at the end.
    """

    def __init__(
        self,
        chunks: Iterator[bytes],
        on_end: Callable[[types.ExecutionStatus], None],
    ) -> None:
        self.is_ended = False
        self.is_complete = False
        self.ran = types.ExecutionStatus.UNKNOWN
        self._chunks = chunks
        self._on_end = [on_end]
        self._first: bytes | None = None

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        first = self._first
        self._first = None
        if first is not None:
            return first
        try:
            return next(self._chunks)
        except StopIteration:
            self.is_complete = True
            self._end(types.ExecutionStatus.YES)
            raise
        except errors.RequestError as error:
            self._end(error.ran)
            raise
        except BaseException:
            self.close()
            raise

    def on_end(self, function: Callable[[types.ExecutionStatus], None]) -> None:
        """Call a function at the end, or now if the answer has ended."""
        if self.is_ended:
            function(self.ran)
        else:
            self._on_end.append(function)

    def prime(self, *, whole: bool) -> None:
        """Wait for the first chunk, or for all, before any is relayed.

        Args:
            whole: Whether to wait for the end of the answer.

        Raises:
            errors.RequestError: The answer failed during the wait.
        """
        self._first = b''.join(self) if whole else next(self, b'')

    def drain(self) -> None:
        """Read the rest of the answer to learn its outcome."""
        try:
            collections.deque(self, maxlen=0)
        except errors.RequestError as error:
            log.info('Reading the rest of an answer failed: %s', error)

    def close(self) -> None:
        """Abandon the rest; safe to call at any time and repeatedly."""
        if not self.is_ended:
            close = getattr(self._chunks, 'close', None)
            if close is not None:
                close()
            self._end(types.ExecutionStatus.UNKNOWN)

    def _end(self, ran: types.ExecutionStatus) -> None:
        if not self.is_ended:
            self.is_ended = True
            self.ran = ran
            for function in self._on_end:
                function(ran)


def stream(
    relay: Relay,
    request: types.Request,
    task: progress.RequestTask,
    on_interrupted: Callable[[errors.RequestError], bytes],
) -> Iterator[bytes]:
    """Yield a streamed answer; if interrupted, end with an error event.

    Args:
        relay: The answer.
        request: The request.
        task: The task that the request runs on.
        on_interrupted: Returns the last event of an interrupted stream.
    """
    try:
        with task.in_phase(progress.running_phase(request)):
            # Unlike ``yield from relay``, this leaves the relay open when the
            # generator is closed; its owner closes or drains it.
            yield from iter(functools.partial(next, relay, None), None)
    except progress.AbortedError as aborted:
        yield on_interrupted(
            aborted.with_outcome(types.ExecutionStatus.UNKNOWN)
        )
    except errors.RequestError as error:
        log.warning(
            'Answer to request %s was interrupted: %s',
            request.request_id,
            error,
        )
        yield on_interrupted(error)
