"""Checks an upstream's answer while it is relayed to the entry.

An answer must be complete and must name the requested adapter. No byte is
relayed before that is checked: a JSON document is buffered until it is
complete, a stream until the end of each event.
"""

import json
import re
import typing
from collections.abc import Iterable, Iterator

from ivystep.core import errors, types, units
from ivystep.platform import decoding
from ivystep.traffic import event_stream

MAX_ANSWER_BYTES = 16 * units.MIB
# Far below the longest frame, so that every chunk fits into one frame.
MAX_CHUNK_BYTES = 256 * units.KIB
SECONDS = re.compile(r'\d{1,6}(\.\d{1,6})?')
DATA_FIELD = b'data:'
END_OF_STREAM = b'[DONE]'


def is_framed(status: int, headers: typing.Mapping[str, str]) -> bool:
    """Return whether a truncated body can be detected.

    Args:
        status: HTTP status; 204 has no body.
        headers: Headers of the answer. A body with neither a valid length nor
            chunked encoding ends when the connection is closed.
    """
    if status == 204:
        return True
    encodings = headers.get('Transfer-Encoding', '').lower().split(',')
    length = headers.get('Content-Length', '').strip()
    is_chunked = encodings[-1].strip() == 'chunked'
    return is_chunked or (length.isascii() and length.isdigit())


def retry_after_s(headers: typing.Mapping[str, str]) -> float | None:
    """Return the time for which an upstream asks to be left alone.

    Args:
        headers: Headers of the answer.

    Returns:
        Time in seconds; None if it names none, or a date.
    """
    named = headers.get('Retry-After', '').strip()
    return float(named) if SECONDS.fullmatch(named) else None


def limit_size(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Split chunks to fit into frames and limit the length of the answer.

    Raises:
        errors.RequestError: The answer is too long.
    """
    total = 0
    for chunk in chunks:
        total += len(chunk)
        if total > MAX_ANSWER_BYTES:
            raise invalid_answer('The answer is too long.')
        for start in range(0, len(chunk), MAX_CHUNK_BYTES):
            yield chunk[start : start + MAX_CHUNK_BYTES]


def check_document(
    chunks: Iterable[bytes], ref: types.AdapterRef
) -> Iterator[bytes]:
    """Yield a JSON answer once it is complete and names its adapter.

    Args:
        chunks: Body as received.
        ref: The requested adapter.

    Raises:
        errors.InvariantError: Another adapter produced the answer.
        errors.RequestError: The answer is malformed.
    """
    body = b''.join(limit_size(chunks))
    _check_model(body, ref)
    yield from limit_size((body,))


def check_stream(
    chunks: Iterable[bytes], ref: types.AdapterRef
) -> Iterator[bytes]:
    """Yield a stream event by event, each after its check.

    Args:
        chunks: Body as received.
        ref: The requested adapter.

    Raises:
        errors.InvariantError: Another adapter produced an event.
        errors.RequestError: The stream is malformed, or ends without its end
            marker.
    """
    check = StreamCheck(ref)
    for chunk in chunks:
        checked = check.feed(chunk)
        if checked:
            yield checked
    check.finish()


class StreamCheck:
    """Checks a stream of server-sent events.

    Args:
        ref: The adapter that every event must name.
    """

    def __init__(self, ref: types.AdapterRef) -> None:
        self._ref = ref
        self._pending = b''
        self._is_ended = False

    def feed(self, chunk: bytes) -> bytes:
        """Check the events that a chunk completes.

        Args:
            chunk: Next bytes of the stream.

        Returns:
            The bytes up to the end of the last complete event.

        Raises:
            errors.InvariantError: Another adapter produced an event.
            errors.RequestError: An event is malformed or too long.
        """
        buffered = self._pending + chunk
        end = 0
        for match in event_stream.EVENT_END.finditer(buffered):
            self._check(buffered[end : match.start()])
            end = match.end()
        self._pending = buffered[end:]
        if len(self._pending) > event_stream.MAX_EVENT_BYTES:
            raise invalid_answer('An event of the stream is too long.')
        return buffered[:end]

    def finish(self) -> None:
        """Check that the stream is complete.

        Raises:
            errors.RequestError: The end marker is missing.
        """
        if not self._is_ended or self._pending.strip():
            raise invalid_answer('The stream ended without its end marker.')

    def _check(self, event: bytes) -> None:
        fields = [
            line.removeprefix(DATA_FIELD).strip()
            for line in event.splitlines()
            if line.startswith(DATA_FIELD)
        ]
        if not fields:
            return
        if self._is_ended:
            raise errors.InvariantError(
                'the stream continues after its end marker', step='relay'
            )
        document = b'\n'.join(fields)
        if document == END_OF_STREAM:
            self._is_ended = True
        else:
            _check_model(document, self._ref)


def invalid_answer(reason: str) -> errors.RequestError:
    """Return the error for an answer that must not be relayed.

    Args:
        reason: What is wrong with it.
    """
    return errors.RequestError(
        'invalid_answer',
        reason,
        status=502,
        ran=types.ExecutionStatus.YES,
        step='relay',
    )


def _check_model(document: bytes, ref: types.AdapterRef) -> None:
    try:
        model = json.loads(document)['model']
    except decoding.DECODE_ERRORS as error:
        raise invalid_answer('The answer is malformed.') from error
    if model != ref.lora_name:
        raise errors.InvariantError(
            f'{ref.lora_name} was asked for and {model} answered',
            step='relay',
        )
