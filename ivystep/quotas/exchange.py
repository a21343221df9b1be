"""Reports this host's use of credit to the leader, and gets more.

One task sends one report at a time. It has no timer while no account has a
limit. Designed for one exchange per regular interval and one for each request
that finds no credit.
"""

import eventlet
from eventlet import event, queue

from ivystep.core import errors, units
from ivystep.entry import peers
from ivystep.quotas import (
    events,
    host_accounts,
    host_credit,
    leader_quotas,
    messages,
    reports,
    timing,
)
from ivystep.runtime import clock, event_log
from ivystep.wire.gen import ttypes

# Time-out of one exchange, with connecting. Credit is valid for four of them.
ASK_TIMEOUT_S = 0.5
# Pause after a failed exchange.
RETRY_S = 0.05
# Longest wait of a request for an exchange.
MAX_WAIT_S = 0.05


class Exchange:
    """This host's exchanges with the leader.

    Args:
        host: Name of this host.
        credit: This host's credit.
        leadership: The election of the leader.
        own_ledger: The ledger that is used while this host is the leader.
        log: Event log.

    Attributes:
        is_needed: Whether accounts have limits.
    """

    def __init__(
        self,
        host: str,
        credit: host_credit.HostCredit,
        leadership: leader_quotas.Leadership,
        own_ledger: leader_quotas.LeaderQuotas,
        log: event_log.EventLog,
    ) -> None:
        self.is_needed = False
        self._host = host
        self._credit = credit
        self._leadership = leadership
        self._own_ledger = own_ledger
        self._log = log
        self._link: peers.PeerLink | None = None
        self._wakes: queue.LightQueue = queue.LightQueue(1)
        self._event_by_waiter: dict[host_accounts.Waiter, event.Event] = {}
        self._contact_lost_at: float | None = None
        self._has_contact = False

    def wake(self) -> None:
        """Begin an exchange soon."""
        if not self._wakes.qsize():
            self._wakes.put_nowait(None)

    def wait(self, waiter: host_accounts.Waiter) -> None:
        """Wait for the decision on a request.

        Args:
            waiter: The request; it is decided when this returns.
        """
        if self._leadership.term:
            # Twice, since the first exchange of a term only introduces it.
            self._exchange_with_own_ledger()
            if waiter.decision is host_accounts.Decision.WAIT:
                self._exchange_with_own_ledger()
        if waiter.decision is not host_accounts.Decision.WAIT:
            return
        decided = event.Event()
        self._event_by_waiter[waiter] = decided
        self.wake()
        try:
            with eventlet.Timeout(MAX_WAIT_S, exception=False):
                decided.wait()
        finally:
            self._event_by_waiter.pop(waiter, None)
            if waiter.decision is host_accounts.Decision.WAIT:
                self._credit.give_up(waiter)

    def run(self) -> None:
        """Exchange with the leader until the task is killed."""
        while True:
            self._wait_until_due()
            if not self.is_needed:
                continue
            try:
                self._exchange()
            except errors.LinkError as error:
                self._check_contact(str(error))
                clock.sleep(RETRY_S)
            else:
                self._check_contact('no answer')

    def _wait_until_due(self) -> None:
        if self.is_needed and self._credit.is_report_due:
            # Other tasks must run even if reports are due all the time.
            clock.sleep(0)
            return
        interval_s = None
        if self.is_needed:
            interval_s = timing.report_interval_s(
                self._credit.contact.hosts, is_active=self._credit.is_active
            )
        with eventlet.Timeout(interval_s, exception=False):
            self._wakes.get()

    def _exchange(self) -> None:
        """Exchange once with the leader, wherever it is.

        Raises:
            errors.LinkError: No leader has answered.
        """
        if self._leadership.term:
            self._exchange_with_own_ledger()
            return
        report = self._credit.report(clock.uptime())
        self._apply(self._ask(report))

    def _exchange_with_own_ledger(self) -> None:
        report = self._credit.report(clock.uptime())
        self._apply(self._own_ledger.answer(report))

    def _ask(self, report: reports.HostReport) -> reports.HostGrants:
        leader = self._leadership.leader
        if leader is None:
            raise errors.LinkError('no leader is known', step='quota')
        link = self._link
        if link is None or link.addressee != leader:
            if link is not None:
                link.close()
            link = self._link = peers.PeerLink(self._host, leader, None)
        message = messages.report_message(report)
        with eventlet.Timeout(ASK_TIMEOUT_S, exception=False):
            answer = link.ask(message, ASK_TIMEOUT_S)
            if isinstance(answer, ttypes.QuotaGrants) and answer.term:
                return messages.grants(answer)
        raise errors.LinkError(
            'the leader does not answer', step='quota', peer=str(leader)
        )

    def _apply(self, grants: reports.HostGrants) -> None:
        for waiter in self._credit.apply(grants, clock.uptime()):
            decided = self._event_by_waiter.pop(waiter, None)
            if decided is not None:
                decided.send(None)

    def _check_contact(self, reason: str) -> None:
        """Log that contact was gained or lost."""
        now = clock.uptime()
        has_contact = self._credit.has_contact(now)
        if has_contact == self._has_contact:
            return
        self._has_contact = has_contact
        contact = self._credit.contact
        if has_contact:
            lost_s = -1 / units.MS_PER_S
            if self._contact_lost_at is not None:
                lost_s = now - self._contact_lost_at
            self._log.write(
                events.QuotaContactGained(
                    self._credit.term,
                    contact.hosts,
                    int(lost_s * units.MS_PER_S),
                )
            )
            return
        self._contact_lost_at = now
        leader = self._leadership.leader
        self._log.write(
            events.QuotaContactLost(
                '' if leader is None else leader.location,
                reason,
                contact.valid_share(now),
                self._credit.term,
            )
        )
