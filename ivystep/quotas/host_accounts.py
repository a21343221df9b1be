"""What a host keeps for each account that it serves at the moment.

Designed for an account of 1,000 requests per second at one host. Nothing is
kept for an account that had no request for a few seconds.
"""

import collections
import dataclasses
import enum
import math

from ivystep.quotas import reports

# The demand of the last second is counted in two halves.
DEMAND_SLOT_S = 0.5
# Time for which credit is requested ahead, as a part of the last second.
AHEAD_SHARE = 0.5
# Requests of the last second from which credit is requested ahead. For fewer,
# credit would lie unused at many hosts.
MIN_REQUESTS_AHEAD = 3
# Requests whose costs one report contains.
MAX_WAITING_TOLD = 64
# Age up to which the level that the leader told is used.
LEVEL_AGE_S = 0.5
# Retry-After while the time is not known.
UNKNOWN_RETRY_S = 0.5
MIN_RETRY_S = 0.01


class Decision(enum.Enum):
    """Whether a request may use credit of its account."""

    ADMITTED = 'admitted'
    REFUSED = 'refused'
    WAIT = 'wait'


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for an exchange with the leader.

    Attributes:
        sequence: Report that has told its cost; 0 if none has.
        retry_after_s: Time after which a refused request may succeed.
        is_charged: Whether credit or the fallback share was used. A request
            of an account without a limit is admitted without a charge.
    """

    account: str
    cost: int
    decision: Decision = Decision.WAIT
    sequence: int = 0
    retry_after_s: float = UNKNOWN_RETRY_S
    is_charged: bool = False


@dataclasses.dataclass(slots=True)
class Demand:
    """Requests of the last second, refused ones included."""

    started_at: float = -math.inf
    current: int = 0
    previous: int = 0
    requests: int = 0
    previous_requests: int = 0
    smallest: int = 0
    previous_smallest: int = 0

    def add(self, cost: int, now: float) -> None:
        """Record a request."""
        self.advance(now)
        self.current += cost
        self.requests += 1
        self.smallest = min(self.smallest or cost, cost)

    def advance(self, now: float) -> None:
        """Begin a new half second if one has passed."""
        elapsed_s = now - self.started_at
        if elapsed_s < DEMAND_SLOT_S:
            return
        is_next = elapsed_s < 2 * DEMAND_SLOT_S
        self.previous = self.current if is_next else 0
        self.previous_requests = self.requests if is_next else 0
        self.previous_smallest = self.smallest if is_next else 0
        self.current = self.requests = self.smallest = 0
        self.started_at = now

    @property
    def unit(self) -> int:
        """Smallest cost of a recent request."""
        known = (self.smallest, self.previous_smallest)
        return min(filter(None, known), default=0)

    @property
    def ahead(self) -> int:
        """Amount that is expected to be needed soon."""
        if self.requests + self.previous_requests < MIN_REQUESTS_AHEAD:
            return 0
        return math.ceil((self.current + self.previous) * AHEAD_SHARE)


@dataclasses.dataclass(slots=True)
class Account:
    """Credit and demand of one account at this host.

    Attributes:
        granted: See ``reports``, as for the other totals.
        told_spent: ``spent`` as last reported, which the leader may know.
        acknowledged: Totals that the leader has certainly seen.
        told: Totals in the last report.
        is_asked: Whether the leader may have granted credit not seen here.
        level: Level of the leader's bucket as told at ``told_at``.
        denied_until: Uptime until which the leader is asked only for what it
            has told that it has.
        unlimited_until: Uptime until which the leader's word counts that the
            account has no limit.
        spent_at: Uptime of the last use of credit.
        used_at: Uptime of the last request.
    """

    name: str
    granted: int = 0
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    fallback: int = 0
    told_spent: int = 0
    acknowledged: tuple[int, int, int] = (0, 0, 0)
    told: tuple[int, int, int] = (0, 0, 0)
    is_asked: bool = False
    is_closing: bool = False
    level: int = 0
    rate_per_s: float = 0.0
    told_at: float = -math.inf
    denied_until: float = -math.inf
    unlimited_until: float = -math.inf
    burst: float = 0.0
    spent_at: float = -math.inf
    used_at: float = -math.inf
    demand: Demand = dataclasses.field(default_factory=Demand)
    waiting: collections.deque[Waiter] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def held(self) -> int:
        """Credit that can be spent."""
        return self.granted - self.spent - self.returned

    @property
    def totals(self) -> tuple[int, int, int]:
        """Totals that the leader must learn."""
        return self.spent, self.returned, self.refunded

    @property
    def wanted(self) -> int:
        """Credit that is held too little."""
        needed = self.demand.ahead + sum(each.cost for each in self.waiting)
        return max(needed - self.held, 0)

    @property
    def is_settled(self) -> bool:
        """Whether the leader and this host agree on all totals."""
        return (
            self.acknowledged == self.totals
            and not self.is_asked
            and not self.waiting
            and not self.fallback
        )

    def spend(self, cost: int, now: float) -> None:
        """Use credit."""
        self.spent += cost
        self.spent_at = now

    def refund(self, cost: int) -> None:
        """Take back what a request was charged that has not run.

        What was reported has left the leader's outstanding credit, so only
        the leader can add it again.
        """
        unreported = min(max(self.spent - self.told_spent, 0), cost)
        self.spent -= unreported
        self.refunded += cost - unreported

    def return_credit(self) -> None:
        """Give up all credit."""
        self.returned += max(self.held, 0)

    def void(self) -> None:
        """Start again with no credit, in a new incarnation."""
        self.granted = self.spent = self.returned = self.refunded = 0
        self.told_spent = 0
        self.acknowledged = self.told = (0, 0, 0)
        self.is_asked = self.is_closing = False
        self.told_at = self.denied_until = -math.inf

    def report(self, sequence: int, now: float) -> reports.AccountReport:
        """Return the report to the leader."""
        self.demand.advance(now)
        waiting = list(self.waiting)[:MAX_WAITING_TOLD]
        for one in waiting:
            one.sequence = sequence
        self.told = self.totals
        self.told_spent = self.spent
        self.is_asked = self.is_asked or self.wanted > 0
        return reports.AccountReport(
            self.name,
            self.spent,
            self.returned,
            self.refunded,
            self.fallback,
            tuple(each.cost for each in waiting),
            self.demand.ahead,
            self.demand.unit,
            self.is_closing,
        )

    def missing(self, cost: int, now: float) -> float:
        """Return what leader and host lack for a request, as last told."""
        elapsed_s = now - self.told_at
        level = self.level + self.rate_per_s * elapsed_s
        return cost - max(self.held, 0) - level

    def is_over_limit(self, cost: int, now: float) -> bool:
        """Return whether a request is to be refused without asking."""
        if now < self.denied_until:
            return self.missing(cost, self.told_at) > 0
        is_recent = now < self.told_at + LEVEL_AGE_S
        return is_recent and self.missing(cost, now) > 0

    def retry_after_s(self, cost: int, now: float) -> float:
        """Return the time after which a request may succeed."""
        if self.rate_per_s <= 0:
            return UNKNOWN_RETRY_S
        return max(
            self.missing(cost, now) / self.rate_per_s,
            self.denied_until - now,
            MIN_RETRY_S,
        )
