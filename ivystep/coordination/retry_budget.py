"""Retry budgets, which keep retries from amplifying an outage.

Each request earns a fraction of a retry, and each retry spends one. While all
attempts fail, the load on the upstreams is at most ``1 + ratio`` times the
requests, plus a bounded reserve. The reserve allows retries of rare requests.
"""

import collections
import typing
from collections.abc import Hashable

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 10.0
MAX_BUDGETS = 4096
# With a smaller reserve, the balance could never reach one whole retry.
MIN_RESERVE = 1.0


class RetryBudget:
    """The retries that one source of requests may use.

    Args:
        ratio: Retries that one request earns.
        reserve: Maximum number of saved retries; the budget starts full.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = max(reserve, MIN_RESERVE)
        self._balance = reserve
        self._is_limited = False

    def change_reserve(self, reserve: float) -> None:
        """Change the reserve.

        If the first change enlarges it, the balance grows by the difference,
        because the budget started full. After later changes the additional
        retries must be earned by requests.

        Args:
            reserve: Maximum number of saved retries.
        """
        if not self._is_limited:
            self._balance += max(reserve - self._reserve, 0.0)
        self._is_limited = True
        self._reserve = max(reserve, MIN_RESERVE)
        self._balance = min(self._balance, reserve)

    @property
    def balance(self) -> float:
        """Retries that may be used now."""
        return self._balance

    def on_request(self) -> None:
        """Add the fraction of a retry that one new request earns."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry.

        Returns:
            False if the budget is used up; the request must not be retried.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class RetryBudgets:
    """Retry budgets by source, so that one cannot use up another's.

    Args:
        max_budgets: Number of budgets kept; beyond it, the least recently used
            one is dropped.
        ratio: See ``RetryBudget``.
        reserve: See ``RetryBudget``.
    """

    def __init__(
        self,
        max_budgets: int = MAX_BUDGETS,
        ratio: float = DEFAULT_RATIO,
        reserve: float = DEFAULT_RESERVE,
    ) -> None:
        self._max_budgets = max_budgets
        self._ratio = ratio
        self._reserve = reserve
        self._budget_by_key: collections.OrderedDict[
            typing.Any, RetryBudget
        ] = collections.OrderedDict()

    def change_reserve(self, reserve: float) -> None:
        """Change the reserve of all present and future budgets."""
        self._reserve = reserve
        for budget in self._budget_by_key.values():
            budget.change_reserve(reserve)

    def budget(self, key: Hashable) -> RetryBudget:
        """Return the budget of a source.

        Args:
            key: The source, for example account and pool.
        """
        budget = self._budget_by_key.get(key)
        if budget is None:
            budget = RetryBudget(self._ratio, self._reserve)
            self._budget_by_key[key] = budget
        self._budget_by_key.move_to_end(key)
        if len(self._budget_by_key) > self._max_budgets:
            self._budget_by_key.popitem(last=False)
        return budget
