"""State shared by all callers' connections of this host."""

import collections
import dataclasses
import enum
import heapq
import operator
import typing

from ivystep.core import units
from ivystep.gateway.requests import incomplete_requests, planned_stop
from ivystep.runtime import (
    byte_budget,
    descriptor_limit,
    memory_plan,
    turn_queue,
)
from ivystep.settings import gateway as settings_models
from ivystep.traffic import contracts, http1

DEFAULT_PLAN = memory_plan.MemoryPlan(
    256 * memory_plan.MEGABYTE, descriptor_limit.UNLIMITED
)
# Bytes of an answer that the kernel takes over as this host ends: four times
# what is buffered of a short answer.
TAKEN_OVER_BYTES = 256 * units.KIB
# At the limit of connections, one whose caller has taken nothing of its answer
# for as long gives way.
MIN_STALLED_S = 5.0
# Requests that are not longer are never refused for lack of memory; the number
# of connections bounds them.
ALWAYS_BUFFERED_BYTES = 4 * units.KIB


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """What a caller is told whose request is not read in full.

    Attributes:
        status: HTTP status.
        code: Code of the error.
    """

    status: int
    code: str


class CallerEnd(enum.Enum):
    """Why this host ends a connection whose answer is not taken."""

    UNREACHABLE = 'unreachable'
    STALLED = 'stalled'


class Connection(typing.Protocol):
    """A caller's connection, as far as the host acts on all of them."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the requests that are received, waiting or in progress."""

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun, or its answer is being sent."""

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived, and not all of it."""

    def may_be_refused_with(self, other: typing.Any) -> bool:
        """Return whether another connection's request may be refused now."""

    def refuse_incomplete(self, refusal: http1.BadRequestError) -> None:
        """Refuse the request that is being received."""

    def is_idle_for(self, seconds: float) -> bool:
        """Return whether the connection has been idle for a time."""

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived."""

    def grow_send_buffer(self, size: int) -> None:
        """Have the kernel take more bytes of the answers."""

    @property
    def stalled_s(self) -> float:
        """Time in seconds for which the caller takes nothing of an answer."""

    def end_stalled(self) -> None:
        """Reset the connection, whose caller takes nothing, for new ones."""


class ServerState:
    """State shared by all callers' connections of this host.

    Args:
        plan: How the memory is shared out.

    Attributes:
        plan: How the memory is shared out.
        buffered: Bytes of the requests of each connection.
        body_turns: The connections that read on in a body take turns, so that
            many of them do not keep the event loop from others.
        limits: Size limits and time-outs of a connection.
        is_closing: Whether each connection closes after its current answer. An
            idle one is closed by ``close_idle``, so that callers that are still
            routed to this host are served.
        stop: Ends requests that a planned stop leaves no time for.
        open_connections: The open connections.
        requests: Number of requests in progress.
        count_by_refusal: Number of requests that were not read in full.
        count_by_caller_end: Number of connections that this host has ended
            because their callers did not take their answers.
    """

    def __init__(
        self,
        plan: memory_plan.MemoryPlan = DEFAULT_PLAN,
    ) -> None:
        self.plan = plan
        self.buffered: byte_budget.ByteBudget[Connection] = (
            byte_budget.ByteBudget(plan.requests_bytes)
        )
        self.body_turns = turn_queue.TurnQueue()
        self.limits = contracts.ClientLimits()
        self.is_closing = False
        self.stop = planned_stop.PlannedStop()
        self.open_connections: set[Connection] = set()
        self.requests = 0
        self.count_by_refusal: collections.Counter[Refusal] = (
            collections.Counter()
        )
        self.count_by_caller_end: collections.Counter[CallerEnd] = (
            collections.Counter()
        )

    @classmethod
    def from_config(cls, capacity: settings_models.Capacity) -> typing.Self:
        """Create the state for the capacity of the host."""
        return cls(capacity.memory_plan)

    def count_refused(self, error: http1.BadRequestError) -> None:
        """Count a request that was refused before it was read in full.

        Args:
            error: The error for its caller.
        """
        self.count_by_refusal[Refusal(error.status, error.code)] += 1

    def status(self) -> dict[str, int]:
        """Return what operators see of the callers."""
        return {
            'requests': self.requests,
            'connections': len(self.open_connections),
            'unreachable_callers': self.count_by_caller_end[
                CallerEnd.UNREACHABLE
            ],
            'stalled_callers': self.count_by_caller_end[CallerEnd.STALLED],
            'buffered_bytes': self.buffered.used_bytes,
            'refused_for_memory': self._refused_as(
                incomplete_requests.NO_MEMORY
            ),
            'refused_for_connections': self._refused_as(
                incomplete_requests.NO_CONNECTION
            ),
        }

    def make_room(self, asking: Connection) -> bool:
        """Refuse the largest incomplete requests while memory is short.

        Args:
            asking: Connection that has received a part of a request.

        Returns:
            False if its own request must be refused.
        """
        while self.buffered.is_exceeded:
            largest = self.buffered.largest(asking.may_be_refused_with)
            if largest is None or largest is asking:
                return asking.buffered_bytes <= ALWAYS_BUFFERED_BYTES
            self.buffered.hold(largest, 0)
            largest.refuse_incomplete(incomplete_requests.no_memory())
        return True

    def may_receive(self, announced_bytes: int) -> bool:
        """Return whether there may be room for a body that is announced.

        Requests that are still being received give way to it, if they have
        more bytes by then.

        Args:
            announced_bytes: Its length; 0 if it is not announced.
        """
        held_bytes = int(announced_bytes * byte_budget.GROWTH)
        if held_bytes <= ALWAYS_BUFFERED_BYTES:
            return True
        complete_bytes = self.buffered.sum_of(_is_not_receiving)
        return complete_bytes + held_bytes <= self.buffered.limit_bytes

    def close_idle(self, idle_s: float = 0.0) -> None:
        """Close the connections on which no request has started.

        Args:
            idle_s: Time in seconds for which they have been idle at least.
        """
        for connection in list(self.open_connections):
            if connection.is_idle_for(idle_s):
                connection.close_if_idle()

    def end_stalled(self, number: int) -> None:
        """End the connections whose callers take nothing for longest.

        Args:
            number: Most connections that are ended.
        """
        stalled = [
            connection
            for connection in self.open_connections
            if connection.stalled_s >= MIN_STALLED_S
        ]
        for connection in heapq.nlargest(
            number, stalled, key=operator.attrgetter('stalled_s')
        ):
            connection.end_stalled()

    def grow_send_buffers(self) -> None:
        """Let the kernel take over what slow callers have not read yet.

        It delivers that after the end of this process. All buffers together
        stay within the limit on the bytes of all requests.
        """
        busy = [each for each in self.open_connections if each.is_busy]
        for connection in busy:
            connection.grow_send_buffer(
                min(TAKEN_OVER_BYTES, self.buffered.limit_bytes // len(busy))
            )

    def refuse_incomplete(self) -> None:
        """Refuse the requests that are still being received, as this ends."""
        for connection in list(self.open_connections):
            if connection.is_receiving:
                connection.refuse_incomplete(
                    incomplete_requests.host_stopping(self.stop.retry_after_s)
                )

    def _refused_as(self, code: str) -> int:
        return sum(
            count
            for refusal, count in self.count_by_refusal.items()
            if refusal.code == code
        )


def _is_not_receiving(connection: Connection) -> bool:
    return not connection.is_receiving
