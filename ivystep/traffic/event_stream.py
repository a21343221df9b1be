"""Splits a stream of server-sent events into complete events.

A line ends with LF, CR or CRLF, and a blank line ends an event.
"""

import re

from ivystep.core import errors, units

MAX_EVENT_BYTES = units.MIB
# Without backtracking, so that a CRLF is never taken for two line ends.
EVENT_END = re.compile(rb'(?>\r\n|\r|\n)(?>\r\n|\r|\n)')
# Length of the longest end, CR LF CR LF.
MAX_END_BYTES = 4
ID_FIELD = b'id'
COMMENT_START = b':'


class EventSplitter:
    """Splits received bytes after the last complete event."""

    def __init__(self) -> None:
        self._open = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._open)

    @property
    def is_inside_event(self) -> bool:
        """Whether the remainder holds a part of an event.

        Blank lines and comments may follow the last event.
        """
        return any(
            line and not line.startswith(COMMENT_START)
            for line in self._open.splitlines()
        )

    def feed(self, content: bytes) -> bytes:
        """Append received bytes and remove the complete events.

        Args:
            content: Next bytes of the stream.

        Returns:
            All complete events, empty if there is none.

        Raises:
            errors.LinkError: An event is too long.
        """
        # An end may have begun in the bytes that were searched before.
        searched = max(len(self._open) - MAX_END_BYTES + 1, 0)
        self._open += content
        end = _last_end(self._open, searched)
        complete = bytes(self._open[:end])
        del self._open[:end]
        if len(self._open) > MAX_EVENT_BYTES:
            raise errors.LinkError(
                f'event exceeds {MAX_EVENT_BYTES} bytes', step='read answer'
            )
        return complete


def last_id(events: bytes) -> str:
    """Return the id of the last of some events that has one, or nothing.

    Args:
        events: Complete events.
    """
    for line in reversed(events.splitlines()):
        name, _, text = line.partition(b':')
        if name == ID_FIELD:
            return text.strip().decode('latin-1')
    return ''


def _last_end(received: bytearray, searched: int) -> int:
    """Return the position after the last complete event.

    Args:
        received: Bytes since the last complete event.
        searched: Length of the part that contains no end.
    """
    if received.endswith(b'\n\n'):
        return len(received)
    end = 0
    for match in EVENT_END.finditer(received, searched):
        end = match.end()
    return end
