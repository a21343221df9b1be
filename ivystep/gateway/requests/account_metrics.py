"""Metrics of the requests of client accounts."""

import aioprometheus

from ivystep.metrics import registry

MAX_ACCOUNT_LABELS = 64


class AccountMetrics:
    """Counts the requests of accounts.

    The first accounts that send requests have a label of their own, and all
    further ones are counted together.

    Args:
        metrics: Owns the registry that publishes them.
    """

    def __init__(self, metrics: registry.Metrics) -> None:
        self._accounts = registry.BoundedLabel(MAX_ACCOUNT_LABELS)
        self._requests = aioprometheus.Counter(
            'ivystep_account_requests_total',
            'Requests of client accounts that ended, by outcome.',
            registry=metrics.registry,
        )

    def record_request(self, account: str, outcome: str) -> None:
        """Count a request that ended.

        Args:
            account: Name of its account.
            outcome: ``ok`` or the code of the error.
        """
        self._requests.inc(
            {
                'account': self._accounts.value_for(account),
                'outcome': outcome,
            }
        )
