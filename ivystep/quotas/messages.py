"""Conversions between reports and wire messages.

Totals that are zero are left out, so an account costs a few tens of bytes.
"""

from ivystep.quotas import reports
from ivystep.wire.gen import ttypes


def report_message(report: reports.HostReport) -> ttypes.QuotaReport:
    """Convert a report to its message."""
    return ttypes.QuotaReport(
        report.host,
        report.incarnation,
        report.sequence,
        report.answered,
        report.term,
        report.share,
        report.hosts,
        [_account_message(one) for one in report.accounts] or None,
    )


def report(message: ttypes.QuotaReport) -> reports.HostReport:
    """Convert a message to a report."""
    return reports.HostReport(
        message.host,
        message.incarnation,
        message.sequence,
        message.answered,
        message.term,
        message.share,
        message.hosts,
        tuple(_account_report(one) for one in message.accounts or ()),
    )


def grants_message(grants: reports.HostGrants) -> ttypes.QuotaGrants:
    """Convert the leader's answer to its message."""
    return ttypes.QuotaGrants(
        grants.term,
        grants.incarnation,
        grants.sequence,
        grants.share,
        grants.hosts,
        [
            ttypes.AccountGrant(
                one.account,
                one.granted,
                one.level,
                one.rate_per_s,
                one.is_limited,
            )
            for one in grants.accounts
        ]
        or None,
    )


def grants(message: ttypes.QuotaGrants) -> reports.HostGrants:
    """Convert a message to the leader's answer."""
    return reports.HostGrants(
        message.term,
        message.incarnation,
        message.sequence,
        message.share,
        message.hosts,
        tuple(
            reports.AccountGrant(
                one.account,
                one.granted,
                one.level,
                one.rate_per_s,
                one.is_limited,
            )
            for one in message.accounts or ()
        ),
    )


def _account_message(report: reports.AccountReport) -> ttypes.AccountReport:
    return ttypes.AccountReport(
        report.account,
        report.spent or None,
        report.returned or None,
        report.refunded or None,
        report.fallback or None,
        list(report.waiting) or None,
        report.ahead or None,
        report.unit or None,
        report.is_closing or None,
    )


def _account_report(message: ttypes.AccountReport) -> reports.AccountReport:
    return reports.AccountReport(
        message.account,
        message.spent or 0,
        message.returned or 0,
        message.refunded or 0,
        message.fallback or 0,
        tuple(message.waiting or ()),
        message.ahead or 0,
        message.unit or 0,
        bool(message.is_closing),
    )
