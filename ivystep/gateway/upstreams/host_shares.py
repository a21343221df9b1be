"""This host's share of what the platform allows to all hosts together."""

import typing

from ivystep.coordination import retry_budget
from ivystep.settings import gateway as settings_models

# Number of hosts assumed until the leader has told it.
EXPECTED_HOSTS = 16
# Part of the allowed retries that is used. The rest covers hosts that join or
# leave before the other hosts learn of it.
RETRY_BUDGET_SHARE = 0.5


class HostShares:
    """The number of hosts, and the retry budgets that depend on it.

    Args:
        retry_ratio: Allowed retries per request of a service, over all hosts.
        retry_extra: Retries allowed beyond the ratio, over all hosts.

    Attributes:
        budgets: Retry budget of each service.
        known_hosts: Number of hosts as the leader tells it; 0 before.
    """

    def __init__(self, retry_ratio: float, retry_extra: float) -> None:
        self.known_hosts = 0
        self._retry_extra = retry_extra
        self.budgets = retry_budget.RetryBudgets(
            ratio=retry_ratio * RETRY_BUDGET_SHARE, reserve=self._reserve
        )

    @classmethod
    def from_config(cls, bounds: settings_models.Bounds) -> typing.Self:
        """Build the shares from the limits in the settings."""
        return cls(bounds.retry_ratio, bounds.retry_extra)

    @property
    def hosts(self) -> int:
        """Number of hosts that share a limit."""
        return self.known_hosts or EXPECTED_HOSTS

    def on_host_count(self, hosts: int) -> None:
        """Apply the number of hosts, including this one.

        Args:
            hosts: The number as the leader tells it.
        """
        self.known_hosts = hosts
        self.budgets.change_reserve(self._reserve)

    @property
    def _reserve(self) -> float:
        """This host's part of the retry reserve of a service."""
        return self._retry_extra * RETRY_BUDGET_SHARE / self.hosts
