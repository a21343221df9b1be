"""Paces the prompts sent to an engine, to bound the gaps in its streams.

An engine interleaves the prefill of new prompts with the tokens of running
requests. When several prompts arrive together, all its streams pause until
these are prefilled. A pacer for each engine therefore sends prompts in groups
that are prefilled within the longest gap that callers accept, and leaves the
engine time for one event of each stream between two groups. This matters most
when many short streams run on few engines.
"""

import dataclasses
import enum
import math
import types
from collections.abc import Collection, Mapping

# Time in which an engine that has no prompts to prefill takes the few steps
# that produce one event of each stream.
EVENT_INTERVAL_S = 0.04
# Time between two groups of prompts. It has room for two whole steps, so that
# no event spans both groups: the engine finishes its step before it starts to
# prefill, and it prefills in several steps.
GROUP_GAP_S = 0.045
# Prefill time of a group of prompts where callers accept hardly any gap.
MIN_GROUP_S = 0.005
NO_TIERS: Mapping[str, int] = types.MappingProxyType({})
# Share of the longest accepted gap that is reserved for network delays and for
# an engine that prefills more slowly than measured.
GAP_MARGIN_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits to be sent to an engine.

    Attributes:
        tokens: Number of tokens of its prompt.
        target_start_by: Latest time to send it that meets the target latency.
        start_by: Latest time to send it that meets its deadline.
        value_rate: Value of a timely answer per second of running time.
        max_gap_s: Longest gap that callers accept in the engine's streams.
        tokens_per_s: Expected prefill rate of the engine.
        account: Client account; empty where no accounts are in force.
        priority: 0 is the most urgent. It counts among accounts only.
    """

    tokens: int
    target_start_by: float
    start_by: float
    value_rate: float
    max_gap_s: float
    tokens_per_s: float
    account: str = ''
    priority: int = 0

    @property
    def rank(self) -> tuple[int, float]:
        """Urgency, then value; the highest is sent first."""
        urgency = -self.priority if self.account else 0
        return urgency, self.value_rate


class PermitDecision(enum.Enum):
    """Whether a prompt may be sent to an engine."""

    # Sent while the pacer knows of no other prompt in prefill.
    ALONE = 'alone'
    # Sent while other prompts are in prefill.
    QUEUED = 'queued'
    # Not sent: other prompts took all the time that the request could wait.
    NOT_YET = 'not yet'
    # Refused: other prompts will take all the time that the request can wait.
    REFUSED = 'refused'
    # The engine accepts no new requests.
    CLOSED = 'closed'
    # No host that paces the engine could be reached.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The pacer's answer to a request.

    Attributes:
        reason: Why no host could be reached; otherwise empty.
        retry_after_s: Time in seconds after which a refused caller may find
            room; None if unknown.
    """

    decision: PermitDecision
    reason: str = ''
    retry_after_s: float | None = None


class PrefillPacer:
    """Paces the prompts sent to one engine."""

    def __init__(self) -> None:
        self._prefill_until = -math.inf
        # Prefill time of the current group of prompts.
        self._group_s = 0.0

    def delay_s(self, ticket: Ticket, now: float) -> float:
        """Return the time in seconds until a request may be sent.

        Args:
            ticket: The request.
            now: Current time in seconds.
        """
        if self._group_s + prefill_s(ticket) <= longest_group_s(ticket):
            return 0.0
        return max(self._prefill_until + GROUP_GAP_S - now, 0.0)

    def is_idle(self, now: float) -> bool:
        """Return whether no prompt is in prefill."""
        return self._prefill_until <= now

    def record_sent(self, ticket: Ticket, now: float) -> None:
        """Record that a request is sent.

        Args:
            ticket: The request.
            now: Current time in seconds.
        """
        added_s = prefill_s(ticket)
        if now >= self._prefill_until + GROUP_GAP_S:
            self._group_s = 0.0
        self._group_s += added_s
        self._prefill_until = max(self._prefill_until, now) + added_s


def prefill_s(ticket: Ticket) -> float:
    """Return the time in seconds in which an engine prefills a prompt."""
    return ticket.tokens / ticket.tokens_per_s


def longest_group_s(ticket: Ticket) -> float:
    """Return the longest prefill time of a group of prompts, in seconds."""
    longest_s = ticket.max_gap_s * (1 - GAP_MARGIN_SHARE) - EVENT_INTERVAL_S
    return max(longest_s, MIN_GROUP_S)


def is_timely(ticket: Ticket, now: float) -> bool:
    """Return whether a request that is sent now meets the target latency."""
    return ticket.target_start_by >= now


def choose(
    tickets: Collection[Ticket],
    now: float,
    tier_by_account: Mapping[str, int] = NO_TIERS,
) -> Ticket:
    """Choose which waiting request is sent next.

    Requests of accounts in the lowest tier come first. Among these, requests
    that can still meet the target latency come first, ordered by urgency and
    value; the others are ordered by deadline.

    Args:
        tickets: The waiting requests; at least one.
        now: Current time in seconds.
        tier_by_account: Tiers of accounts that ask for more than their fair
            share; 0 for all others.
    """
    lowest = min(tier_by_account.get(one.account, 0) for one in tickets)
    candidates = [
        ticket
        for ticket in tickets
        if tier_by_account.get(ticket.account, 0) == lowest
    ]
    timely = [ticket for ticket in candidates if is_timely(ticket, now)]
    if timely:
        return max(
            timely,
            key=lambda ticket: (ticket.rank, -ticket.target_start_by),
        )
    return min(candidates, key=lambda ticket: ticket.start_by)
