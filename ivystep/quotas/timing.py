"""Times on which hosts and the leader agree.

All are measured on ``clock.uptime()``, each process on its own. A host counts
from a moment that is not later than the leader's for credit, and not earlier
for its fallback share, so the leader's view is the safe one without equal
clocks. The differences between the pairs cover hundreds of milliseconds of
delay in reading the clock.
"""

import dataclasses
import math

# Time after the report whose answer granted or confirmed it for which credit
# can be spent.
CREDIT_LIFE_S = 2.0
# Time after the last report of a host after which its credit is void for sure.
CREDIT_VOID_S = 2.2
# Time after its last answer from which a host uses its fallback share.
FALLBACK_AFTER_S = 2.0
# Time without a confirmed exchange from which the leader holds back the
# fallback share of a host.
HOLD_BACK_AFTER_S = 1.7
# Interval of the reports of a host while an account is active.
REPORT_INTERVAL_S = 0.15
# Interval otherwise. Two of them must pass before ``HOLD_BACK_AFTER_S``,
# because an exchange is confirmed by the next one.
IDLE_INTERVAL_S = 0.6
# Number of hosts above which all report less often, so that their reports do
# not use up the leader's core.
FULL_RATE_HOSTS = 68


def report_interval_s(hosts: int, *, is_active: bool) -> float:
    """Return the interval of a host's reports.

    Args:
        hosts: Number of hosts as last told by the leader.
        is_active: Whether the host has active accounts.
    """
    if not is_active:
        return IDLE_INTERVAL_S
    slower = REPORT_INTERVAL_S * hosts / FULL_RATE_HOSTS
    return min(max(slower, REPORT_INTERVAL_S), IDLE_INTERVAL_S)


# Part of what a limit may be exceeded by that the buckets of a new leader start
# with. Two leaders may follow each other within a window.
START_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """How the use of quotas is judged.

    Attributes:
        length_s: Time in seconds after which use no longer counts.
        slack: Amount by which the use of a window may exceed the limit.
        excess: Part of the limit by which it may exceed it besides.
    """

    length_s: float
    slack: float = math.inf
    excess: float = 0.0

    def start_level(self, rate_per_s: float, burst: float) -> float:
        """Return the level with which the bucket of a new leader starts.

        A new leader does not know what was used under the one before. Without
        a level, it would refuse accounts that were far below their limits.

        Args:
            rate_per_s: Rate of the account.
            burst: Its burst.
        """
        allowed = self.excess * (rate_per_s * self.length_s + burst)
        if math.isfinite(self.slack):
            allowed += self.slack
        return min(burst, START_SHARE * allowed)
