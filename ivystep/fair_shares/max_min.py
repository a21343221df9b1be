"""Tells which accounts ask for more than their max-min fair share of an engine.

Answers the overload in which one account asks for many times its usual load
of an engine's prefill. Without shares its prompts take the time of all others;
with them, they get what the others leave.

The fair level is the largest use that every account may have: accounts that
ask for less get all of it, and the rest is divided equally among the others.
While all accounts together ask for less than the engine has, no account asks
for more than its share, so idle shares are used at once.
"""

import dataclasses
import math
import types
from collections.abc import Iterable, Mapping

# Time over which use and demand are averaged, in seconds. A burst of this
# length is still served in the order of arrival.
AVERAGE_S = 2.0
# Tiers, served in this order: accounts that ask for no more than their fair
# share, those that ask for more, and of these those that have also got more.
WITHIN_SHARE = 0
ASKS_MORE = 1
USED_MORE = 2
NO_TIERS: Mapping[str, int] = types.MappingProxyType({})
# Accounts whose averages have decayed below this time are forgotten.
FORGOTTEN_S = 0.001
# Time between two computations of the level; each request asks for it.
RENEWAL_S = 0.05


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    """A sum whose summands age exponentially."""

    amount: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        self.amount = self.value(now) + amount
        self.at = now

    def value(self, now: float) -> float:
        return self.amount * math.exp((self.at - now) / AVERAGE_S)


class FairShares:
    """Use and demand of one engine's time by account.

    Times are in seconds of the engine. An account is in the tables for as long
    as it has asked lately.
    """

    def __init__(self) -> None:
        self._asked_by_account: dict[str, _DecayingSum] = {}
        self._used_by_account: dict[str, _DecayingSum] = {}
        self._tier_by_account: Mapping[str, int] = NO_TIERS
        self._computed_at = -math.inf

    def record_asked(self, account: str, time_s: float, now: float) -> None:
        """Record that a request of an account asks for time of the engine.

        Args:
            account: The account.
            time_s: Time for which the request occupies the engine, in seconds.
            now: Current time in seconds.
        """
        asked = self._asked_by_account.setdefault(account, _DecayingSum())
        asked.add(time_s, now)

    def record_used(self, account: str, time_s: float, now: float) -> None:
        """Record that a request of an account gets time of the engine.

        Args:
            account: The account.
            time_s: Time for which the request occupies the engine, in seconds.
            now: Current time in seconds.
        """
        used = self._used_by_account.setdefault(account, _DecayingSum())
        used.add(time_s, now)

    def tiers(self, now: float) -> Mapping[str, int]:
        """Return the tiers of the accounts that ask for more than their share.

        Whether an account is within its share follows from what it asks for. If
        it followed from what it gets, an account at its share would change its
        tier with each request.

        Args:
            now: Current time in seconds.

        Returns:
            ``ASKS_MORE`` or ``USED_MORE`` by account as of at most
            ``RENEWAL_S`` ago; accounts within their share are absent.
        """
        if now >= self._computed_at + RENEWAL_S:
            self._tier_by_account = self._compute_tiers(now)
            self._computed_at = now
        return self._tier_by_account

    def _compute_tiers(self, now: float) -> dict[str, int]:
        self._forget(now)
        asked_by_account = {
            account: asked.value(now)
            for account, asked in self._asked_by_account.items()
        }
        level = fair_level(asked_by_account.values(), AVERAGE_S)
        return {
            account: USED_MORE
            if self._used_s(account, now) > level
            else ASKS_MORE
            for account, asked_s in asked_by_account.items()
            if asked_s > level
        }

    def _used_s(self, account: str, now: float) -> float:
        used = self._used_by_account.get(account)
        return used.value(now) if used else 0.0

    def _forget(self, now: float) -> None:
        """Forget the accounts that have not asked lately."""
        for sums in (self._asked_by_account, self._used_by_account):
            for account, amount in tuple(sums.items()):
                if amount.value(now) < FORGOTTEN_S:
                    del sums[account]


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair level of a resource.

    Args:
        demands: Demand of each account.
        capacity: Amount of the resource, in the unit of the demands.

    Returns:
        The largest amount that an account may get; infinite if the demands do
        not exceed the capacity.
    """
    ordered = sorted(demands)
    left = capacity
    for position, demand in enumerate(ordered):
        equal = left / (len(ordered) - position)
        if demand > equal:
            return equal
        left -= demand
    return math.inf
