"""Writes structured log lines: one JSON object per event.

An event is a data class whose fields become the fields of the line. Writing
never blocks: a line is dropped and counted if the pipe is full. Each kind of
event has its own rate limit; the next line of that kind that is written
reports how many were left out.
"""

import dataclasses
import functools
import logging
import typing
from collections.abc import Callable

from pythonjsonlogger import orjson

from ivystep.runtime import clock, descriptors, log_output

# Rate limit for each kind of event, equal to about 10 KB/s of log lines.
DEFAULT_RATE_PER_S = 40.0
DEFAULT_BURST = 200.0
# Longest text of a field, in characters. A line that is longer than the buffer
# of a pipe would be cut off.
MAX_TEXT = 4096
# Largest number of a JSON line, which has 64 bits.
MAX_NUMBER = 2**63 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of all events.

    Attributes:
        name: Name of the event in the log.
        is_rate_limited: Whether the rate limit applies.
        level: Level of the line.
    """

    name: typing.ClassVar[str] = ''
    is_rate_limited: typing.ClassVar[bool] = True
    level: typing.ClassVar[int] = logging.INFO


def configure(level: str) -> log_output.NonBlockingHandler:
    """Send all log lines as JSON to standard output.

    Args:
        level: Name of the lowest level that is written, such as ``INFO``.
    """
    return log_output.install(
        descriptors.STANDARD_OUTPUT,
        orjson.OrjsonFormatter(
            '%(levelname)s %(name)s %(message)s',
            rename_fields={'levelname': 'level', 'name': 'part'},
            timestamp='time',
        ),
        level,
    )


class _RateLimit:
    """Rate limit of one kind of event, as a token bucket."""

    def __init__(self) -> None:
        self.left_out = 0
        self._tokens = DEFAULT_BURST
        self._refilled_at = clock.now()

    def allows(self) -> bool:
        now = clock.now()
        earned = (now - self._refilled_at) * DEFAULT_RATE_PER_S
        self._tokens = min(self._tokens + earned, DEFAULT_BURST)
        self._refilled_at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Writes the events of one component.

    Args:
        part: Name of the component, used as the logger's name.
        host: Name of this host.
        on_event: Called with each event, including those left out.
    """

    def __init__(
        self,
        part: str,
        host: str = '',
        on_event: Callable[[Event], None] | None = None,
    ) -> None:
        self._log = logging.getLogger(part)
        self._host = host
        self._on_event = on_event
        self._rate_limit_by_name: dict[str, _RateLimit] = {}

    def write(self, event: Event) -> None:
        """Write an event, unless the rate limit of its kind is exceeded."""
        if self._on_event is not None:
            self._on_event(event)
        fields = dataclasses.asdict(event)
        if event.is_rate_limited:
            rate_limit = self._rate_limit_by_name.setdefault(
                event.name, _RateLimit()
            )
            if not rate_limit.allows():
                return
            if rate_limit.left_out:
                fields['left_out'] = rate_limit.left_out
                rate_limit.left_out = 0
        if self._host:
            fields['host'] = self._host
        fields = {name: _loggable(value) for name, value in fields.items()}
        self._log.log(event.level, event.name, extra=fields)


@functools.singledispatch
def _loggable(value: typing.Any) -> typing.Any:
    """Return a value in a form that JSON can represent on a short line."""
    return value


@_loggable.register
def _loggable_text(value: str) -> str:
    # A lone surrogate, which JSON can contain, has no bytes.
    return value[:MAX_TEXT].encode(errors='backslashreplace').decode()


@_loggable.register
def _loggable_number(value: int) -> int | str:
    return value if abs(value) <= MAX_NUMBER else hex(value)[:MAX_TEXT]
