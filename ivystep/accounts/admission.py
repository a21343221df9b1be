"""Admits the requests of accounts before they are placed.

A deployment without quotas admits all requests.
"""

import dataclasses
import typing

from ivystep.traffic import calls, contracts

REQUEST_COST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """What a request was charged.

    Attributes:
        account: Name of the account.
        amount: Charged amount, in the unit of the quota.
        quota: Quota that was in force.
    """

    account: str
    amount: int
    quota: contracts.Quota


class Admission(typing.Protocol):
    """Admits requests by the quotas of their accounts."""

    def admit(
        self, account: contracts.ClientAccount, cost: float
    ) -> Charge | None:
        """Charge a request to its account; may wait for a short time.

        Args:
            account: The account.
            cost: What the request costs; see ``request_cost``.

        Returns:
            The charge; None if the account had no limit.

        Raises:
            errors.RefusedError: The account is over its limit. Nothing was
                charged.
        """

    def refund(self, charge: Charge | None) -> None:
        """Return what was charged for a request that was refused and not run.

        Args:
            charge: What ``admit`` has returned.
        """


class AdmitAll:
    """Admits all requests."""

    def admit(self, account: contracts.ClientAccount, cost: float) -> None:
        """See ``Admission``."""

    def refund(self, charge: Charge | None) -> None:
        """See ``Admission``."""


def request_cost(quota: contracts.Quota, call: calls.Call) -> float:
    """Return what a request costs, in the unit of the quota.

    Args:
        quota: Quota of the request's account.
        call: The request.
    """
    if quota.unit is contracts.QuotaUnit.REQUESTS:
        return REQUEST_COST
    if call.token_count is None:
        return quota.plain_tokens
    return float(call.token_count)
