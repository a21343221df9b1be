"""Bundles what keeps requests from harming upstreams."""

import dataclasses

from ivystep.coordination import retry_budget
from ivystep.gateway import crashes, limited_upstreams, request_access


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
