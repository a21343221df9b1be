"""Faults of the engine stand-in, set by ``POST /faults`` with JSON."""

import dataclasses
import json
import typing
from collections.abc import Iterable, Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFaults:
    """Faults in force; a new setting replaces all of them.

    Attributes:
        crash_prompt: A prompt that contains this text ends the process; empty
            switches it off.
        checks_fencing: Whether orders with an old fencing token are refused.
        hangs: Every call is accepted and never answered.
        is_silent: Completions are accepted and produce no token.
        load_delay_s: Delay of a load in seconds, before it takes effect.
        load_status: HTTP status of each load; 0 loads.
        unload_delay_s: Delay of an unload in seconds, before it takes effect.
        truncate_bytes: Answers are cut after so many bytes; 0 sends them whole.
        omits_end: Streams end without their end marker.
        answer_model: Model name in answers, in place of the right one.
    """

    crash_prompt: str = 'CRASH'
    checks_fencing: bool = True
    hangs: bool = False
    is_silent: bool = False
    load_delay_s: float = 0.0
    load_status: int = 0
    unload_delay_s: float = 0.0
    truncate_bytes: int = 0
    omits_end: bool = False
    answer_model: str = ''


class Truncated:
    """A body that names its full length and breaks off early."""

    def __init__(self, content: bytes, sent_bytes: int) -> None:
        self.length = len(content)
        self._sent = content[:sent_bytes]

    def __iter__(self) -> Iterator[bytes]:
        """Yield the part that is sent, then fail."""
        yield self._sent
        raise ConnectionError('the answer is cut off')


def truncated(body: typing.Any, sent_bytes: int) -> typing.Any:
    """Cut a body off, if the fault is set.

    Args:
        body: A JSON document, or chunks.
        sent_bytes: Bytes to send; 0 sends everything.

    Returns:
        The body, or one that breaks off.
    """
    if not sent_bytes:
        return body
    if isinstance(body, dict):
        return Truncated(json.dumps(body).encode(), sent_bytes)
    return _cut(body, sent_bytes)


def _cut(chunks: Iterable[bytes], sent_bytes: int) -> Iterator[bytes]:
    for chunk in chunks:
        yield chunk[:sent_bytes]
        sent_bytes -= len(chunk)
        if sent_bytes <= 0:
            raise ConnectionError('the stream is cut off')
