"""Splits a stream of server-sent events into complete events.

A line ends with LF, CR or CRLF, and a blank line ends an event.
"""

import re

# Without backtracking, so that a CRLF is never taken for two line ends.
EVENT_END = re.compile(rb'(?>\r\n|\r|\n)(?>\r\n|\r|\n)')
ID_FIELD = b'id'
COMMENT_START = b':'


class EventSplitter:
    """Splits received bytes after the last complete event.

    Attributes:
        remainder: Bytes after the last complete event.
    """

    def __init__(self) -> None:
        self.remainder = b''

    @property
    def is_inside_event(self) -> bool:
        """Whether the remainder holds a part of an event.

        Blank lines and comments may follow the last event.
        """
        return any(
            line and not line.startswith(COMMENT_START)
            for line in self.remainder.splitlines()
        )

    def feed(self, content: bytes) -> bytes:
        """Append received bytes and remove the complete events.

        Args:
            content: Next bytes of the stream.

        Returns:
            All complete events, empty if there is none.
        """
        received = self.remainder + content
        end = _last_end(received)
        self.remainder = received[end:]
        return received[:end]


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


def _last_end(received: bytes) -> int:
    """Return the position after the last complete event."""
    if received.endswith(b'\n\n'):
        return len(received)
    end = 0
    for match in EVENT_END.finditer(received):
        end = match.end()
    return end
