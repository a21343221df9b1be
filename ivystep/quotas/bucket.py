"""The leader's token bucket of one account.

Level plus outstanding credit never exceeds the capacity, and only refilling
adds to the two together. In any window, all hosts together can therefore spend
at most the rate times the window plus the capacity, whatever they do.
"""

from ivystep.quotas import reports


class Bucket:
    """Level of one account, and the credit that hosts hold.

    Args:
        limit: Limit of the account.
        level: Initial level.
        refill_time_s: Refill time of the ledger at which the level applies.

    Attributes:
        limit: Limit of the account.
        level: Amount that can be granted; below zero after a cut.
        outstanding: Credit granted and not reported as spent or returned.
        largest: Cost of the largest request seen.
        used_at: Uptime in seconds of the last report on the account.
    """

    def __init__(
        self, limit: reports.Limit, level: float, refill_time_s: float
    ) -> None:
        self.limit = limit
        self.level = level
        self.outstanding = 0
        self.largest = 0.0
        self.used_at = 0.0
        self._refill_time_s = refill_time_s

    def refill(self, refill_time_s: float, fraction: float) -> None:
        """Add what has accumulated.

        Args:
            refill_time_s: Refill time of the ledger, which runs slower than
                the clock while hosts use fallback shares.
            fraction: Share of the limit that is not left to such hosts.
        """
        elapsed_s = refill_time_s - self._refill_time_s
        self._refill_time_s = refill_time_s
        self._raise(self.limit.rate_per_s * elapsed_s, fraction)
        self._cut(fraction)

    def change_limit(self, limit: reports.Limit, fraction: float) -> None:
        """Apply a changed limit; the level must have been refilled before."""
        self.limit = limit
        self._cut(fraction)

    def grant(self, amount: int) -> None:
        """Move an amount from the level to the outstanding credit."""
        self.level -= amount
        self.outstanding += amount

    def settle(self, spent: int, unspent: int, fraction: float) -> None:
        """Settle outstanding credit.

        Args:
            spent: Credit that was, or may have been, spent.
            unspent: Credit that was not spent and never will be.
            fraction: Share of the limit that is not left to other hosts.
        """
        self.outstanding -= spent + unspent
        self._raise(unspent, fraction)

    def refund(self, amount: int, fraction: float) -> None:
        """Add what was charged for requests that have not run."""
        self._raise(amount, fraction)

    def is_full(self, fraction: float) -> bool:
        """Return whether a new bucket would be equal to this one."""
        return not self.outstanding and self.level >= self._room(fraction)

    def _raise(self, amount: float, fraction: float) -> None:
        raised = min(self.level + amount, self._room(fraction))
        self.level = max(self.level, raised)

    def _cut(self, fraction: float) -> None:
        self.level = min(self.level, max(self._room(fraction), 0.0))

    def _room(self, fraction: float) -> float:
        """Return the highest level beside the outstanding credit."""
        capacity = max(self.limit.burst * fraction, self.largest)
        return capacity - self.outstanding
