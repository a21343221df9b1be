"""Fair shares of the adapter loads among the accounts."""

import collections
import math

# Accounts without a request for this long are forgotten; wanted loads are
# counted with exponential ageing over the same time.
ACTIVITY_WINDOW_S = 60.0
# Number of loads beyond its share for which an account moves down one rank.
BURST_LOADS = 4.0
MAX_DEBT_LOADS = 20.0
ORDER_WINDOW_S = 30.0
FAIR_LEVEL_INTERVAL_S = 1.0
MAX_SHARE_ABOVE = 0.9


class AccountShares:
    """Tracks how far each account exceeds its fair share of the loads.

    The fair level is the max-min fair number of loads per unit of weight: all
    loads are used, and no account could get more without taking from one that
    gets less. Accounts that want no more have rank 0, unless many of their
    loads are pending at once. For the others, each load adds one to a debt,
    which time reduces at the rate of an equal share. Loads of accounts in debt
    come after those of others, so that a flood or a scan of adapters gets only
    the loads that the others leave.

    Args:
        loads_per_s: Loads per second that all accounts share.
    """

    def __init__(self, loads_per_s: float) -> None:
        self.loads_per_s = loads_per_s
        self._virtual_s = 0.0
        self._advanced_at = 0.0
        self._total_weight = 0.0
        # Weight and time of the last request, oldest first.
        self._activity_by_account: collections.OrderedDict[
            str, tuple[float, float]
        ] = collections.OrderedDict()
        # Debt and the virtual time at which it was computed, by account.
        self._debt_by_account: dict[str, tuple[float, float]] = {}
        # Wanted loads and the time at which they were counted, by account.
        self._wanted_by_account: dict[str, tuple[float, float]] = {}
        # Loads that were charged and neither ordered nor refunded.
        self._pending: collections.Counter[str] = collections.Counter()
        self._level = math.inf
        self._level_at = -math.inf
        self._ordered_by_rank: collections.Counter[int] = collections.Counter()
        self._ordered_at = 0.0

    def record_activity(self, account: str, weight: float, now: float) -> None:
        """Record that an account sends requests.

        Args:
            account: The account.
            weight: Its weight.
            now: Current time in seconds.
        """
        self._advance(now)
        known = self._activity_by_account.pop(account, None)
        if known is not None:
            self._total_weight -= known[0]
        self._activity_by_account[account] = (weight, now)
        self._total_weight += weight
        while self._activity_by_account:
            oldest, (its_weight, seen) = next(
                iter(self._activity_by_account.items())
            )
            if seen > now - ACTIVITY_WINDOW_S:
                break
            del self._activity_by_account[oldest]
            self._debt_by_account.pop(oldest, None)
            self._wanted_by_account.pop(oldest, None)
            self._total_weight -= its_weight

    def count_wanted(self, account: str, now: float) -> None:
        """Count one load that requests of an account need.

        Args:
            account: The account.
            now: Current time in seconds.
        """
        wanted = self._wanted(account, now) + 1
        self._wanted_by_account[account] = (wanted, now)

    def rank(self, account: str, now: float) -> int:
        """Return 0 for an account within its share, and more beyond it.

        Args:
            account: The account.
            now: Current time in seconds.
        """
        is_fair = self._is_fair(account, now)
        beyond = self._pending[account] if is_fair else self._debt(account)
        return int(min(beyond, MAX_DEBT_LOADS) / BURST_LOADS)

    def charge(self, account: str, now: float) -> None:
        """Charge an account for one admitted load.

        Args:
            account: The account.
            now: Current time in seconds.
        """
        self._advance(now)
        debt = min(self._debt(account) + 1, MAX_DEBT_LOADS)
        self._debt_by_account[account] = (debt, self._virtual_s)
        self._pending[account] += 1

    def refund(self, account: str) -> None:
        """Undo the charge for a load that is no longer wanted."""
        self._end_pending(account)
        debt = max(self._debt(account) - 1, 0)
        self._debt_by_account[account] = (debt, self._virtual_s)

    def count_ordered(self, account: str, rank: int, now: float) -> None:
        """Count one load that was ordered.

        Args:
            account: Account of the load.
            rank: Rank of the account.
            now: Current time in seconds.
        """
        self._end_pending(account)
        self._decay(now)
        self._ordered_by_rank[rank] += 1

    def share_above(self, rank: int, now: float) -> float:
        """Return the share of recent loads that had a lower rank number.

        Args:
            rank: A rank.
            now: Current time in seconds.
        """
        self._decay(now)
        used = sum(
            count
            for known, count in self._ordered_by_rank.items()
            if known < rank
        )
        return min(used / (ORDER_WINDOW_S * self.loads_per_s), MAX_SHARE_ABOVE)

    def _debt(self, account: str) -> float:
        if account not in self._debt_by_account:
            return 0.0
        debt, since = self._debt_by_account[account]
        refilled = self._weight(account) * (self._virtual_s - since)
        return max(debt - refilled, 0.0)

    def _weight(self, account: str) -> float:
        return self._activity_by_account.get(account, (1.0, 0.0))[0]

    def _wanted(self, account: str, now: float) -> float:
        """Return the wanted loads within the window, with ageing."""
        count, since = self._wanted_by_account.get(account, (0.0, now))
        return count * math.exp((since - now) / ACTIVITY_WINDOW_S)

    def _is_fair(self, account: str, now: float) -> bool:
        if now >= self._level_at + FAIR_LEVEL_INTERVAL_S:
            self._level = self._fair_level(now)
            self._level_at = now
        allowed = self._level * self._weight(account)
        return self._wanted(account, now) <= allowed

    def _fair_level(self, now: float) -> float:
        """Return the max-min fair loads per unit of weight in the window."""
        wanted = sorted(
            (self._wanted(account, now) / weight, weight)
            for account, (weight, _) in self._activity_by_account.items()
        )
        left = self.loads_per_s * ACTIVITY_WINDOW_S
        weights = self._total_weight
        for level, weight in wanted:
            if level * weights > left:
                return left / weights
            left -= level * weight
            weights -= weight
        return math.inf

    def _end_pending(self, account: str) -> None:
        self._pending[account] -= 1
        if not self._pending[account]:
            del self._pending[account]

    def _decay(self, now: float) -> None:
        factor = math.exp((self._ordered_at - now) / ORDER_WINDOW_S)
        self._ordered_at = now
        for rank in self._ordered_by_rank:
            self._ordered_by_rank[rank] *= factor

    def _advance(self, now: float) -> None:
        """Advance the virtual time, measured in loads per unit of weight."""
        if self._total_weight > 0:
            passed = now - self._advanced_at
            self._virtual_s += passed * self.loads_per_s / self._total_weight
        self._advanced_at = now
