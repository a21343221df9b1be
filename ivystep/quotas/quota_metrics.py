"""Metrics of the quotas of accounts."""

import aioprometheus

from ivystep.metrics import registry

MAX_ACCOUNT_LABELS = 64


class QuotaMetrics:
    """Counts decisions, and shows credit and levels.

    Args:
        metrics: Owns the registry that publishes them.
    """

    def __init__(self, metrics: registry.Metrics) -> None:
        self._accounts = registry.BoundedLabel(MAX_ACCOUNT_LABELS)
        self._amounts = aioprometheus.Counter(
            'ivystep_quota_amount_total',
            'Tokens or requests of accounts, by outcome.',
            registry=metrics.registry,
        )
        self._credit = aioprometheus.Gauge(
            'ivystep_quota_credit',
            'Credit of an account that this host held after its last request.',
            registry=metrics.registry,
        )
        self._level = aioprometheus.Gauge(
            'ivystep_quota_level',
            'Level of the bucket of an account when this host, the leader, '
            'last had a request of it.',
            registry=metrics.registry,
        )

    def record(
        self, account: str, outcome: str, cost: int, credit: int
    ) -> None:
        """Record the decision on a request.

        Args:
            account: Name of the account.
            outcome: ``admitted``, ``refused`` or ``refunded``.
            cost: What the request costs.
            credit: Credit that this host holds afterwards.
        """
        label = self._accounts.value_for(account)
        self._amounts.add({'account': label, 'outcome': outcome}, cost)
        if label != registry.OTHER:
            self._credit.set({'account': label}, credit)

    def record_level(self, account: str, level: float) -> None:
        """Record the level of an account's bucket at the leader."""
        label = self._accounts.value_for(account)
        if label != registry.OTHER:
            self._level.set({'account': label}, level)
