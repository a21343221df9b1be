"""Draws the data centre of each request at a host from the leader's shares.

The draw rounds with low discrepancy: after any number of requests, each data
centre has got its share of them to within about one request. It counts where
requests were really sent, so that those that could not follow their draw do
not add to the crossings.

Designed for some dozens of services and up to 11 data centres.
"""

import random
from collections.abc import Callable, Mapping

# Age from which shares are no longer used: the leader is lost or silent.
MAX_AGE_S = 1.8
# Bound of what a data centre is behind or ahead, in requests, so that one that
# could not be used gets no burst when it returns.
MAX_CREDIT = 1.5

SharesByService = Mapping[str, Mapping[str, float]]


class DrawnShares:
    """The shares that this host draws from.

    Args:
        draw: Returns a random number from 0 to 1. Hosts with equal shares must
            not send their first requests to the same data centre.
    """

    def __init__(self, draw: Callable[[], float] = random.random) -> None:
        self._draw = draw
        self._shares_by_service: SharesByService = {}
        self._received_at = 0.0
        self._credit_by_service: dict[str, dict[str, float]] = {}

    def replace(self, shares: SharesByService, now: float) -> None:
        """Replace all shares by those of the leader.

        Args:
            shares: Shares by service and destination. A service without any
                keeps to the rule of the hosts.
            now: Current time in seconds.
        """
        self._shares_by_service = shares
        self._received_at = now
        for gone in self._credit_by_service.keys() - shares.keys():
            del self._credit_by_service[gone]

    def clear(self) -> None:
        """Drop all shares, because the leader is lost."""
        self._shares_by_service = {}
        self._credit_by_service.clear()

    def find(self, service: str, now: float) -> Mapping[str, float]:
        """Return the shares of a service; empty if there are none in force."""
        if now - self._received_at > MAX_AGE_S:
            return {}
        return self._shares_by_service.get(service, {})

    def choose(self, service: str, now: float) -> str:
        """Return the data centre of the next request.

        Args:
            service: Service of the request.
            now: Current time in seconds.

        Returns:
            Empty if no shares are in force.
        """
        shares = self.find(service, now)
        if not shares:
            return ''
        credit = self._credit(service, shares)
        return max(shares, key=lambda name: credit[name] + shares[name])

    def record(self, service: str, destination: str, now: float) -> None:
        """Record where a request was sent.

        Args:
            service: Service of the request.
            destination: Data centre of its upstream.
            now: Current time in seconds.
        """
        shares = self.find(service, now)
        if not shares:
            return
        credit = self._credit(service, shares)
        for name, share in shares.items():
            left = credit[name] + share - (name == destination)
            credit[name] = min(max(left, -MAX_CREDIT), MAX_CREDIT)

    def _credit(
        self, service: str, shares: Mapping[str, float]
    ) -> dict[str, float]:
        credit = self._credit_by_service.setdefault(service, {})
        for name in shares:
            if name not in credit:
                credit[name] = self._draw() - 1 if len(shares) > 1 else 0.0
        return credit
