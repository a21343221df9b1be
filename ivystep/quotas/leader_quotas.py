"""The ledger of this host while it is the leader.

Designed for 300 reports per second; a report costs about as much as a permit.
"""

import typing
from collections.abc import Callable

from ivystep.quotas import (
    events,
    host_records,
    ledger,
    messages,
    reports,
    timing,
)
from ivystep.runtime import clock, event_log
from ivystep.wire import handshake
from ivystep.wire.gen import ttypes

# Fencing token of the first leader that there ever was.
FIRST_TERM = 1


class Leadership(typing.Protocol):
    """What quotas need to know of the election of the leader."""

    @property
    def term(self) -> int:
        """Fencing token of this host's lease; 0 if it does not hold it."""

    @property
    def leader(self) -> handshake.Addressee | None:
        """Another host that is the leader; None if unknown."""


class LeaderQuotas:
    """Answers the reports of hosts while this host is the leader.

    Args:
        leadership: The election of the leader.
        limit_of: Returns the limit of an account; None if it has none.
        is_configured: Returns whether this host knows the limits. One that does
            not would lift the limits of all hosts.
        window: Over which time and how exactly use counts.
        log: Event log.
    """

    def __init__(
        self,
        leadership: Leadership,
        limit_of: Callable[[str], reports.Limit | None],
        is_configured: Callable[[], bool],
        window: timing.Window,
        log: event_log.EventLog,
    ) -> None:
        self._leadership = leadership
        self._limit_of = limit_of
        self._is_configured = is_configured
        self._window = window
        self._log = log
        self._ledger: ledger.Ledger | None = None

    def answer_message(self, message: ttypes.QuotaReport) -> ttypes.QuotaGrants:
        """Answer the report of another host."""
        return messages.grants_message(self.answer(messages.report(message)))

    def answer(self, report: reports.HostReport) -> reports.HostGrants:
        """Answer a report; it grants nothing if this host is not the leader."""
        current = self.current
        if current is None:
            return reports.HostGrants(
                reports.NOT_LEADER_TERM, report.incarnation, report.sequence
            )
        return current.answer(report, clock.uptime())

    def apply_limits(self) -> None:
        """Apply changed limits at once."""
        current = self.current
        if current is not None:
            current.apply_limits(clock.uptime())

    @property
    def current(self) -> ledger.Ledger | None:
        """The ledger of this host's term; None if it is not the leader."""
        term = self._leadership.term
        if not term or not self._is_configured():
            self._ledger = None
        elif self._ledger is None or self._ledger.term != term:
            self._ledger = self._begin(term)
        return self._ledger

    def _begin(self, term: int) -> ledger.Ledger:
        is_first = term == FIRST_TERM
        self._log.write(events.QuotaTermBegan(term, is_first))
        hosts = host_records.HostRecords(
            clock.uptime(), self._window.length_s, is_first=is_first
        )
        return ledger.Ledger(
            term,
            self._limit_of,
            hosts,
            self._window.length_s,
            self._window,
        )
