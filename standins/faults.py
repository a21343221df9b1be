"""Faults of the engine stand-in, set by ``POST /faults`` with JSON."""

import dataclasses
import json
import typing
from collections.abc import Iterable, Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFaults:
    """Current faults; a new setting replaces all of them.

    Attributes:
        crash_prompt: A prompt that contains this text ends the process; empty
            for none.
        checks_fencing: Whether orders with an old fencing token are refused.
        hangs: Whether calls are accepted and not answered.
        is_silent: Whether completions are accepted and produce no token.
        load_delay_s: Delay in seconds before a load takes effect.
        load_status: HTTP status with which loads fail; 0 lets them succeed.
        unload_delay_s: Delay in seconds before an unload takes effect.
        truncate_bytes: Bytes after which answers are truncated; 0 for never.
        omits_end: Whether streams end without their end marker.
        answer_model: Model name in answers, in place of the requested one;
            empty for none.
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
    """A body that is shorter than its declared length."""

    def __init__(self, content: bytes, sent_bytes: int) -> None:
        self.length = len(content)
        self._sent = content[:sent_bytes]

    def __iter__(self) -> Iterator[bytes]:
        """Yield the part that is sent, then fail."""
        yield self._sent
        raise ConnectionError('answer truncated by an injected fault')


def truncated(body: typing.Any, sent_bytes: int) -> typing.Any:
    """Truncate a body if the fault is set.

    Args:
        body: A JSON document, or chunks.
        sent_bytes: Bytes to send; 0 sends everything.

    Returns:
        The body, or one that fails after the given bytes.
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
            raise ConnectionError('stream truncated by an injected fault')
