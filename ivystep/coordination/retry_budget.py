"""A budget that keeps retries from amplifying an outage.

Each request earns a fraction of a retry and each retry spends one. While
everything fails, the load on the upstreams is at most ``1 + ratio`` times the
requests, plus a bounded reserve. The reserve lets rare requests be retried.
"""

import collections
import typing
from collections.abc import Hashable

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 10.0
MAX_BUDGETS = 4096
# A source with a smaller reserve could never save up a whole retry.
MIN_RESERVE = 1.0


class RetryBudget:
    """The retries that one source of requests may still use.

    Args:
        ratio: Retries that one request earns.
        reserve: Most retries that can be saved up; the budget starts full.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = max(reserve, MIN_RESERVE)
        self._balance = reserve
        self._is_limited = False

    def change_reserve(self, reserve: float) -> None:
        """Change how many retries can be saved up.

        The first change to a larger reserve fills it up, because the budget
        started full; later ones must be earned by requests.

        Args:
            reserve: Most retries that can be saved up.
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
        """Earn the fraction of one new request."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry.

        Returns:
            False if the budget is used up; the retry must not happen then.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class RetryBudgets:
    """Budgets by key, so that one source cannot use up another's.

    Args:
        max_budgets: Budgets kept; the one used longest ago is dropped.
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
        """Change the reserve of all budgets; see ``RetryBudget.limit``."""
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
