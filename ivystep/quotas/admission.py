"""Admits requests of accounts by their quotas; see ``accounts.admission``."""

import math
import typing

from ivystep.accounts import admission as account_admission
from ivystep.core import errors
from ivystep.metrics import registry
from ivystep.quotas import (
    events,
    exchange,
    host_accounts,
    host_credit,
    leader_quotas,
    quota_metrics,
    reports,
    timing,
)
from ivystep.runtime import clock, event_log
from ivystep.settings import gateway as settings_models
from ivystep.traffic import contracts

OVER_LIMIT_STATUS = 429
INCARNATIONS_PER_S = 1000


class QuotaAdmission:
    """The quotas of one host.

    Args:
        host: Name of this host.
        leadership: The election of the leader.
        window: Over which time and how exactly use counts.
        metrics: Publishes the decisions.
        log: Event log.
    """

    def __init__(
        self,
        host: str,
        leadership: leader_quotas.Leadership,
        window: timing.Window,
        metrics: registry.Metrics,
        log: event_log.EventLog,
    ) -> None:
        self._limit_by_account: dict[str, reports.Limit] = {}
        self._quota_by_account: dict[str, contracts.Quota] = {}
        self._is_configured = False
        self._metrics = quota_metrics.QuotaMetrics(metrics)
        self._log = log
        # A process never has an incarnation of one that ran before it.
        incarnation = int(clock.wall_time() * INCARNATIONS_PER_S)
        self._credit = host_credit.HostCredit(
            host, incarnation, window.length_s
        )
        self._leader_quotas = leader_quotas.LeaderQuotas(
            leadership,
            self._limit_by_account.get,
            lambda: self._is_configured,
            window,
            log,
        )
        self._exchange = exchange.Exchange(
            host, self._credit, leadership, self._leader_quotas, log
        )
        self.answer = self._leader_quotas.answer_message

    @classmethod
    def from_config(
        cls,
        host: str,
        leadership: leader_quotas.Leadership,
        bounds: settings_models.Bounds,
        metrics: registry.Metrics,
        log: event_log.EventLog,
    ) -> typing.Self:
        """Build the quotas of a host from the limits in its settings."""
        window = timing.Window(
            bounds.quota_window_s, bounds.quota_slack, bounds.quota_excess
        )
        return cls(host, leadership, window, metrics, log)

    def run(self) -> None:
        """Exchange credit with the leader until the task is killed."""
        self._exchange.run()

    def status(self) -> dict[str, typing.Any]:
        """Return details for the status page."""
        now = clock.uptime()
        return {
            'quota_contact': self._credit.has_contact(now),
            'quota_term': self._credit.term,
            'quota_hosts': self._credit.contact.hosts,
            'quota_share': round(self._credit.contact.valid_share(now), 4),
        }

    def on_config(self, config: contracts.RouteConfig) -> None:
        """Apply the limits of a new configuration at once."""
        self._quota_by_account = {
            account.name: account.quota
            for account in _accounts(config)
            if account.quota.is_limited
        }
        limits = {
            name: reports.Limit(quota.rate_per_s, quota.burst)
            for name, quota in self._quota_by_account.items()
        }
        changed = [
            name
            for name in self._credit.account_names
            if limits.get(name) != self._limit_by_account.get(name)
        ]
        is_changed = limits != self._limit_by_account
        self._is_configured = True
        self._limit_by_account.clear()
        self._limit_by_account.update(limits)
        for name in changed:
            self._credit.void_account(name)
        self._leader_quotas.apply_limits()
        self._exchange.is_needed = bool(limits)
        if is_changed:
            self._exchange.wake()
            self._log.write(
                events.QuotaLimitsChanged(
                    config.version, len(limits), len(changed)
                )
            )

    def admit(
        self, account: contracts.ClientAccount, cost: float
    ) -> account_admission.Charge | None:
        """Charge a request to its account; may wait for a short time.

        Args:
            account: The account.
            cost: What the request costs.

        Returns:
            The charge; None if the account had no limit.

        Raises:
            errors.RefusedError: The account is over its limit. Nothing was
                charged.
        """
        limit = self._limit_by_account.get(account.name)
        if limit is None:
            return None
        quota = self._quota_by_account[account.name]
        amount = _amount(cost)
        waiter = self._credit.decide(
            account.name, limit, amount, clock.uptime()
        )
        if waiter.decision is host_accounts.Decision.WAIT:
            self._wait(waiter)
        self._record(account.name, waiter.decision.value, amount)
        if waiter.decision is host_accounts.Decision.REFUSED:
            raise errors.RefusedError(
                'over_quota',
                f'Account {account.name} is over its limit.',
                status=OVER_LIMIT_STATUS,
                retry_after_s=waiter.retry_after_s,
                step='quota',
            )
        if not waiter.is_charged:
            return None
        return account_admission.Charge(account.name, amount, quota)

    def refund(self, charge: account_admission.Charge | None) -> None:
        """Return what was charged for a request that was refused and not run.

        A charge under another quota is not returned under the present one.

        Args:
            charge: What ``admit`` has returned.
        """
        if charge is None:
            return
        if self._quota_by_account.get(charge.account) == charge.quota:
            self._credit.refund(charge.account, charge.amount)
            self._record(charge.account, 'refunded', charge.amount)

    def _wait(self, waiter: host_accounts.Waiter) -> None:
        """Wait for the leader; a caller that leaves gets its charge back."""
        try:
            self._exchange.wait(waiter)
        except BaseException:
            if waiter.is_charged:
                self._credit.refund(waiter.account, waiter.cost)
            raise

    def _record(self, account: str, outcome: str, amount: int) -> None:
        self._metrics.record(
            account, outcome, amount, self._credit.held(account)
        )
        current = self._leader_quotas.current
        level = None if current is None else current.level(account)
        if level is not None:
            self._metrics.record_level(account, level)


def _accounts(
    config: contracts.RouteConfig,
) -> typing.Iterable[contracts.ClientAccount]:
    if config.accounts is None:
        return ()
    return config.accounts.account_by_name.values()


def _amount(cost: float) -> int:
    return max(math.ceil(cost), 0)
