"""Turns the distributions of successive moments into stable shares.

A data centre keeps to the rule that its hosts apply by themselves while little
is to be sent elsewhere. The shares then follow the distribution with a short
time constant, and small changes are left out.
"""

import dataclasses
import math
from collections.abc import Mapping

from ivystep.data_centres import balance

# Share of its requests from which a data centre sends some elsewhere, and the
# share below which it stops. Twice as wide as the swing between two decisions.
START_SHARE = 0.1
STOP_SHARE = 0.04
# Standard deviations of the demand that the share must exceed to begin with, so
# that equal demand is hardly ever taken for a difference.
NOISE_FACTOR = 2.0
# Changes of a share that are left out.
DEAD_BAND = 0.02
# Time constant in seconds with which shares follow. It is short against the
# waves of demand, whose period is 13 s.
FOLLOW_S = 0.3
# Destinations with a smaller share get nothing.
MIN_SHARE = 0.005

Shares = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision for a source.

    Attributes:
        target: Shares by destination that the distribution asks for.
        elapsed_s: Time since the last decision, in seconds.
    """

    source: str
    target: Mapping[str, float]
    elapsed_s: float


class SourceShares:
    """Shares of one data centre for one service.

    Args:
        usual_cost: Share of a batch that a crossing costs by the rule that
            hosts apply by themselves.

    Attributes:
        current: Shares by destination; None if hosts apply their own rule.
    """

    def __init__(self, usual_cost: float) -> None:
        self.current: Shares | None = None
        self._usual_cost = usual_cost
        self._is_active = False

    def update(self, load: balance.ServiceLoad, step: Step) -> None:
        """Follow a new distribution.

        Args:
            load: What the distribution was made from.
            step: The decision.
        """
        own = load.centre_by_name[step.source]
        if not own.is_known:
            return
        must_leave = own.capacity <= 0
        target = self._with_unknown(load, step)
        self._is_active = must_leave or self._is_worth_it(own, step, target)
        if must_leave and step.source in (self.current or {step.source: 1.0}):
            # Requests must not wait for shares that follow.
            self.current = target
        elif self._is_active:
            self.current = self._follow(load, step, target)
        else:
            self.current = self._idle_shares(load, step.source)

    def _is_worth_it(
        self, own: balance.CentreLoad, step: Step, target: Shares
    ) -> bool:
        away = 1 - target.get(step.source, 0.0)
        if self._is_active:
            sent = 1 - (self.current or {}).get(step.source, 1.0)
            return max(away, sent) >= STOP_SHARE
        return away >= max(START_SHARE, NOISE_FACTOR * own.noise)

    def _idle_shares(
        self, load: balance.ServiceLoad, source: str
    ) -> Shares | None:
        """Return the shares while nothing is to be sent elsewhere.

        The rule of the hosts evens out short differences between upstreams, as
        long as a crossing costs no more than that rule takes it for.
        """
        nearest_s = min(
            (
                load.crossing_of(source, name)
                for name, centre in load.centre_by_name.items()
                if name != source and centre.capacity > 0
            ),
            default=math.inf,
        )
        if nearest_s <= self._usual_cost * load.run_s:
            return None
        return {source: 1.0}

    def _with_unknown(self, load: balance.ServiceLoad, step: Step) -> Shares:
        """Return the target with what goes to unknown data centres now.

        Their reports are too old to send more there, and no reason to send
        less: the hosts see themselves whether the upstreams answer.
        """
        kept = {
            name: share
            for name, share in (self.current or {}).items()
            if name != step.source
            and name in load.centre_by_name
            and load.centre_by_name[name].capacity > 0
            and not load.centre_by_name[name].is_known
        }
        left = 1 - sum(kept.values())
        for name, share in step.target.items():
            kept[name] = kept.get(name, 0.0) + left * share
        return _normalised(kept)

    def _follow(
        self, load: balance.ServiceLoad, step: Step, target: Shares
    ) -> Shares:
        before = self.current or {step.source: 1.0}
        kept = {
            name: share
            for name, share in before.items()
            if name in load.centre_by_name
            and load.centre_by_name[name].capacity > 0
        }
        names = kept.keys() | target.keys()
        is_close = kept.keys() == before.keys() and all(
            abs(target.get(name, 0.0) - kept.get(name, 0.0)) < DEAD_BAND
            for name in names
        )
        if is_close:
            return before
        weight = 1 - math.exp(-step.elapsed_s / FOLLOW_S)
        return _normalised(
            {
                name: kept.get(name, 0.0)
                + weight * (target.get(name, 0.0) - kept.get(name, 0.0))
                for name in names
            }
        )


def _normalised(shares: Mapping[str, float]) -> Shares:
    """Return shares that sum to 1, without very small ones."""
    total = sum(shares.values())
    kept = {
        name: share
        for name, share in shares.items()
        if share >= MIN_SHARE * total
    }
    total = sum(kept.values())
    return {name: share / total for name, share in sorted(kept.items())}


def to_shares(flow: Mapping[str, float]) -> Shares:
    """Return the shares of a flow by destination."""
    return _normalised(flow)
