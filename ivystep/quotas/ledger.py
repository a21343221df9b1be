"""The leader's ledger: a bucket for each account, and grants to hosts.

It exists for one term and is never handed over. Designed for 1,200 hosts and
100,000 accounts: only accounts that a report names cost time, and a bucket
that is full again is forgotten.
"""

from collections.abc import Callable

from ivystep.quotas import (
    bucket,
    host_accounts,
    host_records,
    reports,
    timing,
)

# Interval of the removal of buckets that are full and unused.
REMOVAL_INTERVAL_S = 10.0
# Level, as a part of the burst, down to which credit is granted ahead.
AHEAD_LEVEL_SHARE = 0.5
# Part of what a host asks ahead that it uses before its next report, and the
# number of requests for which that must suffice. Below ``AHEAD_LEVEL_SHARE``,
# credit that lies unused at a host is missed elsewhere.
SOON_SHARE = timing.REPORT_INTERVAL_S / host_accounts.AHEAD_SHARE
MIN_SOON_REQUESTS = 2


class Ledger:
    """Grants credit for the limits of all accounts during one term.

    Args:
        term: Fencing token of the leader's lease.
        limit_of: Returns the limit of an account; None if it has none.
        hosts: The hosts of the term.
        window_s: Time after which use no longer counts.
        window: How use is judged; without a tolerance if None.
    """

    def __init__(
        self,
        term: int,
        limit_of: Callable[[str], reports.Limit | None],
        hosts: host_records.HostRecords,
        window_s: float,
        window: timing.Window | None = None,
    ) -> None:
        self.term = term
        self._window = window or timing.Window(window_s)
        self._limit_of = limit_of
        self._hosts = hosts
        self._window_s = window_s
        self._bucket_by_account: dict[str, bucket.Bucket] = {}
        self._removed_at = 0.0

    @property
    def hosts(self) -> int:
        """Number of hosts that report."""
        return self._hosts.count

    def level(self, account: str) -> float | None:
        """Return the level of an account's bucket; None if it is unused."""
        found = self._bucket_by_account.get(account)
        return None if found is None else found.level

    def answer(
        self, report: reports.HostReport, now: float
    ) -> reports.HostGrants:
        """Apply a report of a host and grant what it needs.

        Args:
            report: The report.
            now: Current uptime in seconds.

        Returns:
            The answer to the host. It grants nothing if the report is out of
            date, or if the host must void its credit first.
        """
        self._advance(now)
        record = self._record(report, now)
        if record is None:
            known = self._hosts.record_by_host.get(report.host)
            latest = known.incarnation if known else 0
            is_behind = report.term != self.term or report.answered
            return reports.HostGrants(
                self.term,
                max(report.incarnation + bool(is_behind), latest),
                report.sequence,
            )
        return reports.HostGrants(
            self.term,
            record.incarnation,
            report.sequence,
            self._hosts.next_share(record, report),
            self._hosts.count,
            tuple(
                self._answer_account(record, one, now)
                for one in report.accounts
            ),
        )

    def apply_limits(self, now: float) -> None:
        """Apply changed limits to all buckets at once."""
        self._hosts.advance(now, is_exact=True)
        for account, found in list(self._bucket_by_account.items()):
            self._refill(found)
            limit = self._limit_of(account)
            if limit is None:
                self._forget(account)
            elif limit != found.limit:
                found.change_limit(limit, self._hosts.fraction)

    def _record(
        self, report: reports.HostReport, now: float
    ) -> host_records.HostRecord | None:
        """Return the record of the host of a report.

        Returns:
            None if the report must be ignored.
        """
        record = self._hosts.record_by_host.get(report.host)
        if report.term != self.term:
            return None
        is_new = record is None or report.incarnation > record.incarnation
        if is_new:
            if report.answered:
                return None
            if record is not None:
                self._settle_as_spent(record)
            record = self._hosts.on_join(report)
        elif (
            record.is_void
            or report.incarnation < record.incarnation
            or report.sequence <= record.sequence
        ):
            return None
        self._hosts.on_report(record, report, now)
        return record

    def _answer_account(
        self,
        record: host_records.HostRecord,
        report: reports.AccountReport,
        now: float,
    ) -> reports.AccountGrant:
        found = self._bucket(report)
        if found is None:
            record.account_by_name.pop(report.account, None)
            return reports.AccountGrant(
                report.account, 0, 0, 0.0, is_limited=False
            )
        found.used_at = now
        found.largest = max(found.largest, self._largest(found.limit, report))
        self._refill(found)
        totals = record.account_by_name.get(report.account)
        if totals is None:
            # Not zero if the limit was removed and added again just before.
            totals = host_records.HostAccount(
                report.spent + report.returned,
                report.spent,
                report.returned,
                report.refunded,
            )
            record.account_by_name[report.account] = totals
        self._settle(found, totals, report)
        amount = _amount(found, totals.held, report)
        found.grant(amount)
        totals.granted += amount
        if report.is_closing:
            found.settle(totals.held, 0, self._hosts.fraction)
            del record.account_by_name[report.account]
        return reports.AccountGrant(
            report.account,
            totals.granted,
            int(found.level),
            found.limit.rate_per_s * self._hosts.fraction,
        )

    def _bucket(self, report: reports.AccountReport) -> bucket.Bucket | None:
        found = self._bucket_by_account.get(report.account)
        if found is not None:
            return found
        limit = self._limit_of(report.account)
        if limit is None:
            return None
        if self._hosts.is_settled:
            # Nothing was used for a window, except by this host without a
            # leader.
            full = max(
                limit.burst * self._hosts.fraction,
                self._largest(limit, report),
            )
            found = bucket.Bucket(
                limit,
                max(full - report.fallback, 0.0),
                self._hosts.refill_time_s,
            )
        else:
            level = self._window.start_level(limit.rate_per_s, limit.burst)
            found = bucket.Bucket(limit, level, 0.0)
            # Room for this level also while other hosts may use their shares.
            found.largest = level
        self._bucket_by_account[report.account] = found
        return found

    def _largest(
        self, limit: reports.Limit, report: reports.AccountReport
    ) -> float:
        """Return the largest waiting request for which a bucket has room.

        Callers choose what a request costs, so the room is bounded.
        """
        largest = max(report.waiting, default=0)
        return min(largest, limit.burst + self._window.slack)

    def _settle(
        self,
        found: bucket.Bucket,
        totals: host_records.HostAccount,
        report: reports.AccountReport,
    ) -> None:
        """Apply the totals of a report."""
        fraction = self._hosts.fraction
        found.settle(
            report.spent - totals.spent,
            report.returned - totals.returned,
            fraction,
        )
        found.refund(report.refunded - totals.refunded, fraction)
        totals.spent = report.spent
        totals.returned = report.returned
        totals.refunded = report.refunded

    def _refill(self, found: bucket.Bucket) -> None:
        found.refill(self._hosts.refill_time_s, self._hosts.fraction)

    def _advance(self, now: float) -> None:
        if not self._hosts.advance(now):
            return
        for record in self._hosts.remove_expired(now):
            self._settle_as_spent(record)
        if now > self._removed_at + REMOVAL_INTERVAL_S:
            self._removed_at = now
            self._remove_unused(now)

    def _settle_as_spent(self, record: host_records.HostRecord) -> None:
        """Settle the credit of a host that may have spent it unreported."""
        for account, totals in record.account_by_name.items():
            found = self._bucket_by_account.get(account)
            if found is not None:
                self._refill(found)
                found.settle(totals.held, 0, self._hosts.fraction)
        record.account_by_name = {}

    def _remove_unused(self, now: float) -> None:
        if not self._hosts.is_settled:
            return
        for account, found in list(self._bucket_by_account.items()):
            if found.used_at < now - self._window_s:
                self._refill(found)
                if found.is_full(self._hosts.fraction):
                    del self._bucket_by_account[account]

    def _forget(self, account: str) -> None:
        del self._bucket_by_account[account]
        for record in self._hosts.record_by_host.values():
            record.account_by_name.pop(account, None)


def _amount(
    found: bucket.Bucket, held: int, report: reports.AccountReport
) -> int:
    """Return the credit to grant.

    Requests that wait are served in order and in full.

    Args:
        found: The account's bucket.
        held: Credit of the host that it can still spend.
        report: What the host needs.
    """
    if report.is_closing:
        return 0
    level = max(int(found.level), 0)
    wanted = 0
    for cost in report.waiting:
        if wanted + cost > held + level:
            return max(wanted - held, 0)
        wanted += cost
    left = held + level - wanted
    return max(wanted + _amount_ahead(found, left, report) - held, 0)


def _amount_ahead(
    found: bucket.Bucket, left: int, report: reports.AccountReport
) -> int:
    """Return the credit that a host may hold for future requests.

    Args:
        found: The account's bucket.
        left: The bucket's level plus the host's credit, less what its waiting
            requests need.
        report: What the host needs.
    """
    ample = left - AHEAD_LEVEL_SHARE * found.limit.burst
    if ample >= report.ahead:
        return report.ahead
    soon = min(int(SOON_SHARE * report.ahead), left)
    if soon >= MIN_SOON_REQUESTS * report.unit:
        return soon
    return max(int(ample), 0) if ample >= report.unit else 0
