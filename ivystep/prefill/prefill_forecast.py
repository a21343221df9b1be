"""Forecasts whether a prompt can be sent to an engine in time.

Answers the overload in which more prompts arrive than an engine can prefill.
Without a forecast all of them wait until their latest start, so that most are
late or refused after seconds, and few meet their target latency.

A prompt that can still meet its target goes before all that cannot, so the
others get the share of the engine's time that timely prompts leave.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from ivystep.prefill import prefill

# Time over which the share of timely prompts is averaged, in seconds.
AVERAGE_S = 2.0
# Share below which an account is forgotten.
FORGOTTEN_SHARE = 0.0005
# Least share of an engine's time that late prompts are expected to get.
MIN_LEFT_SHARE = 0.02
# Bounds of the time after which a refused caller may try again, in seconds: a
# shorter wait is mostly the way there and back, and callers whose requests take
# a few seconds have no use for a longer one.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0


class TimelyShares:
    """Shares of an engine's time that timely prompts of accounts ask for."""

    def __init__(self) -> None:
        self._share_by_account: dict[str, TimelyShare] = {}

    def add(self, account: str, prefill_s: float, now: float) -> None:
        """Record a prompt that arrives and can still be timely.

        Args:
            account: Its account; empty without accounts.
            prefill_s: Time in seconds for which it occupies the engine.
            now: Current time in seconds.
        """
        known = self._share_by_account.setdefault(account, TimelyShare())
        known.add(prefill_s, now)

    def share_before(
        self, tier: int, tier_by_account: Mapping[str, int], now: float
    ) -> float:
        """Return the share of the prompts that a tier waits for.

        Args:
            tier: Tier of the account that waits.
            tier_by_account: See ``forecast``.
            now: Current time in seconds.
        """
        shares = {
            account: known.share(now)
            for account, known in self._share_by_account.items()
        }
        self._share_by_account = {
            account: self._share_by_account[account]
            for account, share in shares.items()
            if share >= FORGOTTEN_SHARE
        }
        return sum(
            share
            for account, share in shares.items()
            if tier_by_account.get(account, 0) <= tier
        )


class TimelyShare:
    """Share of an engine's time that timely prompts of one account ask for."""

    def __init__(self) -> None:
        self._sum_s = 0.0
        self._at = -math.inf

    def add(self, prefill_s: float, now: float) -> None:
        """Record a prompt that arrives and can still be timely.

        Args:
            prefill_s: Time in seconds for which it occupies the engine.
            now: Current time in seconds.
        """
        self._sum_s = self._decayed_s(now) + prefill_s
        self._at = now

    def share(self, now: float) -> float:
        """Return the share, which is over 1 during an overload.

        Args:
            now: Current time in seconds.
        """
        return self._decayed_s(now) / AVERAGE_S

    def _decayed_s(self, now: float) -> float:
        return self._sum_s * math.exp((self._at - now) / AVERAGE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When a prompt can be sent.

    Attributes:
        is_timely: Whether it is sent in time for its target latency.
        is_possible: Whether it is sent before its latest start.
        start_in_s: Expected time until it is sent, in seconds.
        room_in_s: Expected time in seconds until the engine has time for a
            repeat, which has a target of its own and so goes before the
            requests that are late.
    """

    is_timely: bool
    is_possible: bool
    start_in_s: float
    room_in_s: float

    @property
    def retry_after_s(self) -> float:
        """Time in seconds after which a refused caller may find room."""
        return min(max(self.room_in_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def forecast(
    ticket: prefill.Ticket,
    waiting: Iterable[prefill.Ticket],
    *,
    free_in_s: float,
    timely_share: float,
    now: float,
    tier_by_account: Mapping[str, int] = prefill.NO_TIERS,
) -> Forecast:
    """Forecast when a prompt is sent to an engine.

    Args:
        ticket: The request.
        waiting: The other requests that wait for the engine.
        free_in_s: Time in seconds until a next group of prompts may be sent.
        timely_share: See ``TimelyShare``.
        now: Current time in seconds.
        tier_by_account: Tiers of accounts that ask for more than their fair
            share, and so wait for the others.
    """
    timely_s = 0.0
    late_s = 0.0
    tier = tier_by_account.get(ticket.account, 0)
    for other in waiting:
        other_tier = tier_by_account.get(other.account, 0)
        if other_tier != tier:
            timely_s += occupied_s(other) if other_tier < tier else 0.0
        elif prefill.is_timely(other, now):
            if other.rank >= ticket.rank:
                timely_s += occupied_s(other)
        elif other.start_by <= ticket.start_by:
            late_s += occupied_s(other)
    # While twice as many timely prompts arrive as the engine can read, every
    # second try is in vain.
    room_in_s = free_in_s + timely_s * max(timely_share, 1.0)
    if prefill.is_timely(ticket, now + free_in_s + timely_s):
        return Forecast(True, True, free_in_s + timely_s, room_in_s)
    left = max(1 - timely_share, MIN_LEFT_SHARE)
    start_in_s = free_in_s + timely_s + late_s / left
    is_possible = now + start_in_s <= ticket.start_by
    return Forecast(False, is_possible, start_in_s, room_in_s)


def occupied_s(ticket: prefill.Ticket) -> float:
    """Return for how long a prompt occupies an engine, in seconds.

    This includes its part of the gap after each group of prompts.
    """
    group_s = prefill.longest_group_s(ticket)
    return prefill.prefill_s(ticket) * (1 + prefill.GROUP_GAP_S / group_s)
