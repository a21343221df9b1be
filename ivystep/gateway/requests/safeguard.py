"""Bundles what keeps requests from harming upstreams or being lost."""

import dataclasses

from ivystep.coordination import retry_budget
from ivystep.gateway.requests import (
    crashes,
    limited_upstreams,
    planned_stop,
    request_access,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Safeguards:
    """What keeps requests from harming upstreams or being lost.

    Attributes:
        budgets: Retry budget of each service.
        crashes: Crashes of upstreams, by the requests that they ran.
        limits: Limits that upstreams name.
        access: Checks the API keys of requests again before each attempt.
        stop: Ends requests that a planned stop leaves no time for.
    """

    budgets: retry_budget.RetryBudgets
    crashes: crashes.Crashes
    limits: limited_upstreams.LimitedUpstreams
    access: request_access.RequestAccess
    stop: planned_stop.PlannedStop
