"""Shares the memory of a gateway out among its connections and requests.

A machine ends a process whose memory and whose unread bytes together exceed a
limit. So each thing of which callers can bring many has a bounded part: the
connections, what the kernel holds unread for each of them and for those that
wait to be accepted, and the requests. The parts and what the process needs at
rest add up to the limit. docs/CAPACITY.md has the measured terms.
"""

import dataclasses
import typing

from ivystep.core import units
from ivystep.runtime import byte_budget

MEGABYTE = 10**6
# Code, tables, and a configuration that is read while the one before is kept.
AT_REST_BYTES = 80 * MEGABYTE
# Task, parser and a short request in progress.
CONNECTION_BYTES = 24 * units.KIB
# Connections that wait to be accepted.
BACKLOG = 1024
MIN_CONNECTIONS = 16
# Bytes that the kernel holds unread for one connection. With fewer, a long
# body takes a round trip for each packet.
MIN_UNREAD_BYTES = 8 * units.KIB
MAX_UNREAD_BYTES = 64 * units.KIB
# Share of the memory for the requests that are received, wait or run.
REQUESTS_SHARE = 0.25
# A request with the longest usual body, in a buffer that has grown in steps.
MIN_REQUESTS_BYTES = 6 * units.MIB


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How the memory of a gateway is shared out.

    Attributes:
        memory_bytes: Memory that the gateway may use.
        connections: Callers' connections that may be open at once.
        left_out: Connections that the descriptors would allow beside those.
        backlog: Connections that may wait to be accepted.
        unread_bytes: Bytes that the kernel holds unread for each of both.
        requests_bytes: Bytes of all requests that are buffered.
    """

    memory_bytes: int
    connections: int
    left_out: int = 0
    backlog: int = BACKLOG
    unread_bytes: int = MAX_UNREAD_BYTES
    requests_bytes: int = 64 * units.MIB

    @classmethod
    def from_capacity(cls, memory_bytes: int, allowed: int) -> typing.Self:
        """Share memory out; connections that do not fit are left out.

        Args:
            memory_bytes: Memory that the gateway may use.
            allowed: Callers' connections that the descriptors allow.
        """
        spare = memory_bytes - AT_REST_BYTES
        waiting_bytes = BACKLOG * MIN_UNREAD_BYTES
        fitting = (spare - waiting_bytes - MIN_REQUESTS_BYTES) // (
            CONNECTION_BYTES + MIN_UNREAD_BYTES
        )
        connections = max(min(allowed, fitting), MIN_CONNECTIONS)
        spare -= connections * CONNECTION_BYTES
        sockets = connections + BACKLOG
        requests_bytes = max(
            min(
                int(REQUESTS_SHARE * memory_bytes),
                spare - sockets * MIN_UNREAD_BYTES,
            ),
            MIN_REQUESTS_BYTES,
        )
        unread_bytes = (spare - requests_bytes) // sockets
        return cls(
            memory_bytes=memory_bytes,
            connections=connections,
            left_out=max(allowed - connections, 0),
            unread_bytes=min(
                max(unread_bytes, MIN_UNREAD_BYTES), MAX_UNREAD_BYTES
            ),
            requests_bytes=requests_bytes,
        )

    @property
    def bytes_by_part(self) -> dict[str, int]:
        """Memory that each part takes if callers bring all they can."""
        return {
            'at_rest': AT_REST_BYTES,
            'connections': self.connections * CONNECTION_BYTES,
            'unread': (self.connections + self.backlog) * self.unread_bytes,
            'requests': self.requests_bytes,
        }

    @property
    def sum_bytes(self) -> int:
        """Memory that the gateway uses if callers bring all they can."""
        return sum(self.bytes_by_part.values())

    @property
    def fits(self) -> bool:
        """Whether the sum is within the memory."""
        return self.sum_bytes <= self.memory_bytes

    @property
    def longest_body_bytes(self) -> int:
        """Length of the longest body that finds room in a calm gateway."""
        held_bytes = self.requests_bytes - CONNECTION_BYTES
        return int(held_bytes / byte_budget.GROWTH)
