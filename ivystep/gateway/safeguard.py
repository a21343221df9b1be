"""Bundles what keeps requests from harming upstreams."""

import dataclasses
import typing

from ivystep.coordination import retry_budget
from ivystep.gateway import (
    configuration,
    crashes,
    limited_upstreams,
    request_access,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Safeguards:
    """What keeps requests from harming upstreams.

    Attributes:
        budgets: Retry budget of each service.
        crashes: Crashes of upstreams, by the requests that they ran.
        limits: Limits that upstreams name.
        access: Checks the API keys of requests again before each attempt.
    """

    budgets: retry_budget.RetryBudgets
    crashes: crashes.Crashes
    limits: limited_upstreams.LimitedUpstreams
    access: request_access.RequestAccess

    @classmethod
    def from_config(
        cls,
        config: configuration.Configuration,
        budgets: retry_budget.RetryBudgets,
        known_crashes: crashes.Crashes,
        limits: limited_upstreams.LimitedUpstreams,
    ) -> typing.Self:
        """Create the safeguards of a host.

        Args:
            config: The configuration in force.
            budgets: Retry budget of each service.
            known_crashes: Crashes of upstreams.
            limits: Limits that upstreams name.
        """
        access = request_access.RequestAccess(config)
        return cls(budgets, known_crashes, limits, access)
