"""When a request may be sent to an engine, so that streams there keep flowing.

An engine reads prompts between the tokens of the requests that it runs. When
several prompts arrive together, all streams on it pause until they are read.
A gate for each engine lets prompts through in groups that are read within the
longest pause that callers accept, and leaves the engine time for one event of
each stream between two groups. Answers the load of many short streams on few
engines.
"""

import dataclasses
import enum
import math
from collections.abc import Collection

# Tokens that an engine reads in a second, until it has been measured.
INITIAL_TOKENS_PER_S = 15000.0
# Time from a request to its first event that is not spent on its prompt: two
# hops of the network and one step of a usual batch.
FIXED_LATENCY_S = 0.014
# Prompts shorter than this say little about the pace.
MIN_MEASURED_TOKENS = 600
RATE_WEIGHT = 0.25
# The pace is kept within these bounds, whatever was measured.
MIN_TOKENS_PER_S = 4000.0
MAX_TOKENS_PER_S = 100000.0
# Time in which an engine that reads no prompt makes one event of each stream,
# in some steps.
EVENT_INTERVAL_S = 0.04
# Time between two groups: with two whole steps there, no event spans both
# groups. The engine ends a step before it reads, and reads in several steps.
GROUP_GAP_S = 0.045
# Part of the longest accepted pause that is kept for an engine that reads more
# slowly than it was measured to, and for the network.
GAP_MARGIN_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits to be sent to an engine.

    Attributes:
        tokens: Tokens of its prompt.
        target_start_by: When it must be sent to be answered in time.
        start_by: When it must be sent to be of any use.
        value_rate: Value of a timely answer for each second that it runs.
        max_gap_s: Longest pause that callers of the engine accept.
        tokens_per_s: Prefill rate of the engine, as the host of the request
            saw it.
    """

    tokens: int
    target_start_by: float
    start_by: float
    value_rate: float
    max_gap_s: float
    tokens_per_s: float = INITIAL_TOKENS_PER_S


class PermitDecision(enum.Enum):
    """Whether a prompt may be sent to an engine."""

    # The engine reads no other prompt meanwhile, as far as the gate knows.
    ALONE = 'alone'
    QUEUED = 'queued'
    # Other prompts take all the time that the request has.
    NOT_YET = 'not yet'
    # The engine takes no new work any more.
    CLOSED = 'closed'
    # No host answers for the gate.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """What the gate of an engine says of a request.

    Attributes:
        reason: Why no host answers for the gate; empty if one does.
    """

    decision: PermitDecision
    reason: str = ''


class PrefillRate:
    """The pace at which one engine reads prompts, as this host sees it.

    Engines of one service differ in speed.
    """

    def __init__(self) -> None:
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def record_prefill(self, tokens: int, first_event_s: float) -> None:
        """Take over how long a prompt took that was read alone.

        Args:
            tokens: Tokens of the prompt.
            first_event_s: Time from the request to the first event.
        """
        if tokens < MIN_MEASURED_TOKENS:
            return
        rate = tokens / max(first_event_s - FIXED_LATENCY_S, 0.001)
        rate = min(max(rate, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)
        self.tokens_per_s += RATE_WEIGHT * (rate - self.tokens_per_s)


class PrefillPacer:
    """The gate of one engine."""

    def __init__(self) -> None:
        self._prefill_until = -math.inf
        # Time that the engine reads without a pause for events.
        self._group_s = 0.0

    def delay_s(self, ticket: Ticket, now: float) -> float:
        """Return the time in seconds until a request may be sent.

        Args:
            ticket: The request.
            now: Current time in seconds.
        """
        longest_s = ticket.max_gap_s * (1 - GAP_MARGIN_SHARE) - EVENT_INTERVAL_S
        if self._group_s + _prefill_s(ticket) <= longest_s:
            return 0.0
        return max(self._prefill_until + GROUP_GAP_S - now, 0.0)

    def is_idle(self, now: float) -> bool:
        """Return whether no prompt is being read."""
        return self._prefill_until <= now

    def record_sent(self, ticket: Ticket, now: float) -> None:
        """Take over that a request is sent.

        Args:
            ticket: The request.
            now: Current time in seconds.
        """
        prefill_s = _prefill_s(ticket)
        if now >= self._prefill_until + GROUP_GAP_S:
            self._group_s = 0.0
        self._group_s += prefill_s
        self._prefill_until = max(self._prefill_until, now) + prefill_s


def _prefill_s(ticket: Ticket) -> float:
    return ticket.tokens / ticket.tokens_per_s


def choose(tickets: Collection[Ticket], now: float) -> Ticket:
    """Choose which waiting request is sent next.

    Those that can still be answered in time come first, the most valuable
    ones before the others; the late ones by their end.

    Args:
        tickets: The requests that wait; at least one.
        now: Current time in seconds.
    """
    timely = [ticket for ticket in tickets if ticket.target_start_by >= now]
    if timely:
        return max(
            timely,
            key=lambda ticket: (ticket.value_rate, -ticket.target_start_by),
        )
    return min(tickets, key=lambda ticket: ticket.start_by)
