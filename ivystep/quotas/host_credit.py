"""A host's credit for all accounts: spending, refunds, expiry and fallback.

A request that finds credit costs a few additions. A request of an account that
is over its limit is refused without asking the leader. Designed for 1,000
requests per second at one host, and for a few hundred accounts active at once.
"""

import math

from ivystep.quotas import host_accounts, reports, timing

Decision = host_accounts.Decision
# Time after which unused credit is returned, and a quiet account forgotten.
RETURN_AFTER_S = 1.0
FORGET_AFTER_S = 2.0
# Spending, as a part of the burst, that is reported at once.
URGENT_SHARE = 0.5
# Time for which the leader's word counts that an account has no limit.
UNLIMITED_S = 0.5


class Contact:
    """This host's contact with the leader, and its fallback share.

    Attributes:
        share: Share of each limit that may be used without a leader.
        hosts: Number of hosts as last told; 0 if none was.
    """

    def __init__(self, window_s: float) -> None:
        self.share = 0.0
        self.hosts = 0
        self._window_s = window_s
        self._sent_at = -math.inf
        self._answered_at = -math.inf

    def on_answer(
        self, grants: reports.HostGrants, sent_at: float, now: float
    ) -> None:
        """Record an answer to a report that was sent at ``sent_at``."""
        self.share = grants.share
        self.hosts = grants.hosts
        self._sent_at = sent_at
        self._answered_at = now

    def is_credit_valid(self, now: float) -> bool:
        """Return whether credit of this contact can still be spent."""
        return now < self._sent_at + timing.CREDIT_LIFE_S

    def valid_share(self, now: float) -> float:
        """Return the share to bring to another leader."""
        return self.share if now < self._sent_at + self._window_s else 0.0

    @property
    def fallback_from(self) -> float:
        """Uptime from which the fallback share accumulates."""
        return self._answered_at + timing.FALLBACK_AFTER_S


class Fallback:
    """Buckets of the fallback share, for one loss of contact."""

    def __init__(self) -> None:
        self._since = -math.inf
        self._level_by_account: dict[str, float] = {}
        self._counted_at_by_account: dict[str, float] = {}

    def is_active(self, contact: Contact, now: float) -> bool:
        """Return whether this host may use a share."""
        return contact.valid_share(now) > 0 and now >= contact.fallback_from

    def try_spend(
        self,
        name: str,
        limit: reports.Limit,
        cost: int,
        contact: Contact,
        now: float,
    ) -> float:
        """Use the fallback share.

        Returns:
            Zero if the cost was spent, else the time until it can be.
        """
        if contact.fallback_from != self._since:
            self._since = contact.fallback_from
            self._level_by_account.clear()
            self._counted_at_by_account.clear()
        if not self.is_active(contact, now):
            return host_accounts.UNKNOWN_RETRY_S
        share = contact.share
        rate_per_s = limit.rate_per_s * share
        counted_at = self._counted_at_by_account.get(name, self._since)
        level = min(
            self._level_by_account.get(name, 0.0)
            + rate_per_s * (now - counted_at),
            # A host's part of the burst may be less than one request.
            max(limit.burst * share, cost),
        )
        is_enough = level >= cost
        self._level_by_account[name] = level - cost * is_enough
        self._counted_at_by_account[name] = now
        if is_enough:
            return 0.0
        return min((cost - level) / rate_per_s, host_accounts.UNKNOWN_RETRY_S)


class HostCredit:
    """Decides on requests with the credit that the leader grants.

    Args:
        host: Name of this host.
        incarnation: Larger than in earlier processes of this host.
        window_s: Time for which the fallback share is valid.

    Attributes:
        contact: Contact with the leader.
        term: Fencing token of the leader that answered last.
    """

    def __init__(self, host: str, incarnation: int, window_s: float) -> None:
        self._host = host
        self._incarnation = incarnation
        self.contact = Contact(window_s)
        self.term = 0
        self._fallback = Fallback()
        self._account_by_name: dict[str, host_accounts.Account] = {}
        self._sequence = 0
        self._answered = 0
        self._sent_at = -math.inf
        self._is_answer_due = False
        self._is_urgent = False

    @property
    def is_active(self) -> bool:
        """Whether accounts have had requests lately."""
        return bool(self._account_by_name)

    @property
    def is_report_due(self) -> bool:
        """Whether the next report cannot wait for its time."""
        return self._is_urgent or any(
            not one.waiting[-1].sequence
            for one in self._account_by_name.values()
            if one.waiting
        )

    @property
    def account_names(self) -> tuple[str, ...]:
        """Accounts that have had requests lately."""
        return tuple(self._account_by_name)

    def has_contact(self, now: float) -> bool:
        """Return whether credit of the leader can be spent."""
        return bool(self._answered) and self.contact.is_credit_valid(now)

    def held(self, account: str) -> int:
        """Return the credit held for an account."""
        found = self._account_by_name.get(account)
        return 0 if found is None else max(found.held, 0)

    def decide(
        self, account: str, limit: reports.Limit, cost: int, now: float
    ) -> host_accounts.Waiter:
        """Decide on a request.

        Args:
            account: Name of the account.
            limit: Its limit, as this host knows it.
            cost: Cost of the request.
            now: Current uptime in seconds.

        Returns:
            The decision. If it is to wait, an answer of the leader decides.
        """
        self._void_if_expired(now)
        found = self._account(account)
        found.used_at = now
        found.is_closing = False
        found.burst = limit.burst
        found.demand.add(cost, now)
        waiter = host_accounts.Waiter(account, cost)
        if self._answered:
            self._decide_with_credit(found, waiter, now)
        else:
            self._decide_without_leader(found, limit, waiter, now)
        if waiter.decision is Decision.WAIT:
            found.waiting.append(waiter)
        return waiter

    def give_up(self, waiter: host_accounts.Waiter) -> None:
        """Refuse a request that has waited for too long."""
        found = self._account_by_name.get(waiter.account)
        if found is not None and waiter in found.waiting:
            found.waiting.remove(waiter)
        waiter.decision = Decision.REFUSED

    def refund(self, account: str, cost: int) -> None:
        """Take back the charge for a request that has not run."""
        found = self._account_by_name.get(account)
        if found is not None and self._answered:
            found.refund(min(cost, found.spent - found.refunded))

    def void_account(self, account: str) -> None:
        """Return the credit of an account whose limit has changed."""
        found = self._account_by_name.get(account)
        if found is not None:
            found.return_credit()
            found.unlimited_until = found.told_at = -math.inf

    def report(self, now: float) -> reports.HostReport:
        """Return the next report to the leader.

        Args:
            now: Current uptime in seconds, before the report is sent.
        """
        self._void_if_expired(now)
        self._return_unused(now)
        self._sequence += 1
        self._sent_at = now
        self._is_answer_due = True
        self._is_urgent = False
        return reports.HostReport(
            self._host,
            self._incarnation,
            self._sequence,
            self._answered,
            self.term,
            self.contact.valid_share(now),
            self.contact.hosts,
            tuple(
                one.report(self._sequence, now)
                for one in self._account_by_name.values()
                if _is_to_report(one)
            ),
        )

    def apply(
        self, grants: reports.HostGrants, now: float
    ) -> list[host_accounts.Waiter]:
        """Apply an answer of the leader.

        Args:
            grants: The answer. One to an earlier report is ignored.
            now: Current uptime in seconds.

        Returns:
            Waiting requests on which a decision was made.
        """
        if not self._is_valid(grants, now):
            return []
        self._is_answer_due = False
        is_known = (
            grants.term == self.term and grants.incarnation == self._incarnation
        )
        if not is_known:
            self.term = grants.term
            self._start_incarnation(grants.incarnation)
            self._is_urgent = True
            return []
        # Only the next report tells the leader that this host has contact.
        self._is_urgent |= not self._answered
        self._answered = grants.sequence
        self.contact.on_answer(grants, self._sent_at, now)
        decided = []
        for one in grants.accounts:
            found = self._account_by_name.get(one.account)
            if found is not None:
                decided += self._apply_account(found, one, now)
        return decided

    def _is_valid(self, grants: reports.HostGrants, now: float) -> bool:
        return (
            self._is_answer_due
            and grants.sequence == self._sequence
            and grants.term >= max(self.term, 1)
            and now < self._sent_at + timing.CREDIT_LIFE_S
        )

    def _decide_with_credit(
        self,
        found: host_accounts.Account,
        waiter: host_accounts.Waiter,
        now: float,
    ) -> None:
        if now < found.unlimited_until:
            waiter.decision = Decision.ADMITTED
        elif not found.waiting and found.held >= waiter.cost:
            self._spend(found, waiter, now)
        # Only the leader can make room for a request larger than the burst.
        elif waiter.cost <= found.burst and found.is_over_limit(
            waiter.cost, now
        ):
            waiter.decision = Decision.REFUSED
            waiter.retry_after_s = found.retry_after_s(waiter.cost, now)

    def _spend(
        self,
        found: host_accounts.Account,
        waiter: host_accounts.Waiter,
        now: float,
    ) -> None:
        found.spend(waiter.cost, now)
        waiter.is_charged = True
        waiter.decision = Decision.ADMITTED
        # The bucket does not refill while its burst is granted and not
        # reported as spent.
        unreported = found.spent - found.told_spent
        self._is_urgent |= unreported >= URGENT_SHARE * found.burst

    def _decide_without_leader(
        self,
        found: host_accounts.Account,
        limit: reports.Limit,
        waiter: host_accounts.Waiter,
        now: float,
    ) -> None:
        wait_s = self._fallback.try_spend(
            found.name, limit, waiter.cost, self.contact, now
        )
        waiter.retry_after_s = max(wait_s, host_accounts.MIN_RETRY_S)
        if not wait_s:
            found.fallback += waiter.cost
            waiter.is_charged = True
            waiter.decision = Decision.ADMITTED
        elif self._fallback.is_active(self.contact, now):
            waiter.decision = Decision.REFUSED

    def _apply_account(
        self,
        found: host_accounts.Account,
        grant: reports.AccountGrant,
        now: float,
    ) -> list[host_accounts.Waiter]:
        if found.is_closing:
            del self._account_by_name[found.name]
            return []
        if not grant.is_limited:
            found.void()
            found.unlimited_until = now + UNLIMITED_S
        else:
            if grant.granted > found.granted:
                found.spent_at = now
            found.granted = grant.granted
            found.acknowledged = found.told
            found.is_asked = False
            found.fallback = 0
            found.level = grant.level
            found.rate_per_s = grant.rate_per_s
            found.told_at = now
        return self._serve_waiting(found, now)

    def _serve_waiting(
        self, found: host_accounts.Account, now: float
    ) -> list[host_accounts.Waiter]:
        decided = []
        if (
            found.waiting
            and found.waiting[0].sequence
            and found.level < found.demand.unit
        ):
            # The next regular report brings what has accumulated. Asking for
            # each request of an account over its limit would load the leader.
            found.denied_until = now + timing.REPORT_INTERVAL_S
        while found.waiting and found.waiting[0].sequence:
            waiter = found.waiting.popleft()
            decided.append(waiter)
            if now < found.unlimited_until:
                waiter.decision = Decision.ADMITTED
            elif found.held >= waiter.cost:
                self._spend(found, waiter, now)
            else:
                found.denied_until = now + timing.REPORT_INTERVAL_S
                waiter.decision = Decision.REFUSED
                waiter.retry_after_s = found.retry_after_s(waiter.cost, now)
        return decided

    def _return_unused(self, now: float) -> None:
        """Return unused credit, and close accounts that are quiet."""
        for found in list(self._account_by_name.values()):
            if found.held > 0 and now > found.spent_at + RETURN_AFTER_S:
                found.return_credit()
            is_quiet = now > found.used_at + FORGET_AFTER_S
            if not is_quiet or found.waiting:
                continue
            if self._answered:
                found.is_closing = found.is_closing or found.is_settled
            elif not found.fallback:
                del self._account_by_name[found.name]

    def _account(self, name: str) -> host_accounts.Account:
        found = self._account_by_name.get(name)
        if found is None:
            found = host_accounts.Account(name)
            self._account_by_name[name] = found
        return found

    def _void_if_expired(self, now: float) -> None:
        if self._answered and not self.contact.is_credit_valid(now):
            self._start_incarnation(self._incarnation + 1)

    def _start_incarnation(self, smallest: int) -> None:
        """Void all credit, and forget the totals."""
        self._incarnation = max(self._incarnation + 1, smallest)
        self._answered = 0
        self._is_answer_due = False
        for found in self._account_by_name.values():
            found.void()
            for waiter in found.waiting:
                waiter.sequence = 0


def _is_to_report(found: host_accounts.Account) -> bool:
    return found.wanted > 0 or found.is_closing or not found.is_settled
