"""Enforces the limits of client accounts and applications at one entry.

A request must pass the limits of its account and of its application: a token
bucket for the rate, a maximum number of requests in progress, and a maximum
number of requests that wait for one of those to end. Each account has its own
queue, so that an account at its limits delays only its own requests.
"""

import collections
import dataclasses
from collections.abc import Iterable

import eventlet
from eventlet import event

from ivystep.core import errors
from ivystep.runtime import clock
from ivystep.setup import document

# Bounds of the retry delay sent to callers. Without an upper bound, one slow
# request would keep callers away long after the backlog is gone.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0
# Retry delay before any request of the account has ended.
DEFAULT_RETRY_AFTER_S = 1.0
# Weight of the newest request in the mean duration.
DURATION_WEIGHT = 0.1
# Bytes of request bodies that one account may have in memory.
MAX_HELD_BYTES = 64 * 1048576
IDLE_SWEEP_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitedParty:
    """An account, or an application of an account.

    Attributes:
        name: Account name, and application name or ''.
        limits: Its limits in the setup version that the request uses.
    """

    name: tuple[str, str]
    limits: document.Limits


class _Usage:
    """Current usage of one account or application."""

    def __init__(self, limits: document.Limits) -> None:
        self.running = 0
        self.waiting = 0
        self.tokens = float(limits.burst)
        self.refilled_at = clock.now()

    def refill(self, limits: document.Limits) -> None:
        """Add the tokens earned since the last call."""
        current = clock.now()
        earned = (current - self.refilled_at) * limits.requests_per_s
        self.tokens = min(float(limits.burst), self.tokens + earned)
        self.refilled_at = current

    def is_idle(self, limits: document.Limits) -> bool:
        """Return whether dropping the usage would change no decision."""
        self.refill(limits)
        in_progress = self.running + self.waiting
        return not in_progress and self.tokens >= limits.burst


class _AccountQueue:
    """Requests of one account that wait until others of it end."""

    def __init__(self) -> None:
        self.tickets: collections.deque[Ticket] = collections.deque()
        self.open_tickets = 0
        self.held_bytes = 0
        self.mean_duration_s: float | None = None

    def record_duration(self, duration_s: float) -> None:
        """Add the duration of one request to the moving average."""
        mean_s = self.mean_duration_s
        if mean_s is None:
            self.mean_duration_s = duration_s
        else:
            self.mean_duration_s = mean_s + DURATION_WEIGHT * (
                duration_s - mean_s
            )

    def wait_s(self, ahead: int, concurrency: int) -> float | None:
        """Estimate the wait behind a backlog; None before any request ended."""
        if self.mean_duration_s is None:
            return None
        return self.mean_duration_s * ahead / concurrency


class AccountLimits:
    """Limits of all accounts at this entry.

    Args:
        max_held_bytes: Bytes of request bodies that one account may have in
            memory.
    """

    def __init__(self, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_held_bytes = max_held_bytes
        self._usage_by_name: dict[tuple[str, str], _Usage] = {}
        self._limits_by_name: dict[tuple[str, str], document.Limits] = {}
        self._queue_by_account: dict[str, _AccountQueue] = {}
        self._swept_at = clock.now()

    def admit(
        self, account: LimitedParty, application: LimitedParty
    ) -> 'Ticket':
        """Admit a request if its rate limits and queues allow it.

        Args:
            account: The client account.
            application: The application.

        Returns:
            A ticket that must be closed.

        Raises:
            errors.RefusedError: A limit is reached; the error says after which
                time a retry can succeed.
        """
        self._sweep()
        parties = (account, application)
        for party in parties:
            self._usage(party).refill(party.limits)
        self._apply_limits(parties)
        self._check_rate(parties)
        self._check_queue(parties)
        for party in parties:
            self._usage(party).tokens -= 1
        self._queue_by_account[account.name[0]].open_tickets += 1
        return Ticket(self, parties)

    def start(self, ticket: 'Ticket', deadline: float) -> None:
        """Wait until a ticket may be in progress; see ``Ticket.start``."""
        # Every ticket that could start has been started, so this one does not
        # overtake any that waits.
        if self._can_start(ticket):
            self._begin(ticket)
            return
        self._check_queue(ticket.parties)
        queue = self.queue(ticket)
        wait_s = queue.wait_s(
            len(queue.tickets) + 1, self._concurrency(ticket.parties)
        )
        if wait_s is not None and clock.now() + wait_s > deadline:
            raise _refusal(
                'deadline_unreachable',
                'The requests ahead would take longer than the deadline.',
                self._backlog_s(ticket.parties),
            )
        self._wait(ticket, deadline)

    def end(self, ticket: 'Ticket', duration_s: float | None) -> None:
        """Release what a ticket holds; see ``Ticket.close``."""
        queue = self.queue(ticket)
        queue.open_tickets -= 1
        queue.held_bytes -= ticket.held_bytes
        if duration_s is not None:
            queue.record_duration(duration_s)
            for party in ticket.parties:
                self._usage(party).running -= 1
        self._start_waiting(queue)

    def hold(self, ticket: 'Ticket', size: int) -> None:
        """Count the bytes of a body; see ``Ticket.hold``."""
        queue = self.queue(ticket)
        if queue.held_bytes + size > self._max_held_bytes:
            raise _refusal(
                'queue_full',
                'The account has too many bytes of requests in memory.',
                self._backlog_s(ticket.parties),
            )
        queue.held_bytes += size

    def queue(self, ticket: 'Ticket') -> _AccountQueue:
        """Return the queue of a ticket's account."""
        return self._queue_by_account[ticket.parties[0].name[0]]

    def _apply_limits(self, parties: tuple[LimitedParty, ...]) -> None:
        """Apply the limits of a new request to those that wait, too.

        Args:
            parties: Account and application, with the limits now in force.
        """
        is_changed = False
        for party in parties:
            is_changed |= self._limits(party) != party.limits
            self._limits_by_name[party.name] = party.limits
        if is_changed:
            self._start_waiting(self._queue_by_account[parties[0].name[0]])

    def _limits(self, party: LimitedParty) -> document.Limits:
        """Return the newest limits of a party, perhaps newer than its own."""
        return self._limits_by_name.setdefault(party.name, party.limits)

    def _usage(self, party: LimitedParty) -> _Usage:
        account = party.name[0]
        if account not in self._queue_by_account:
            self._queue_by_account[account] = _AccountQueue()
        usage = self._usage_by_name.get(party.name)
        if usage is None:
            usage = _Usage(self._limits(party))
            self._usage_by_name[party.name] = usage
        return usage

    def _check_rate(self, parties: Iterable[LimitedParty]) -> None:
        waits_s = [
            (1 - self._usage(party).tokens) / party.limits.requests_per_s
            for party in parties
        ]
        if max(waits_s) > 0:
            raise _refusal(
                'rate_limited', 'The rate limit is reached.', max(waits_s)
            )

    def _check_queue(self, parties: tuple[LimitedParty, ...]) -> None:
        for party in parties:
            usage = self._usage(party)
            bounds = self._limits(party)
            is_busy = usage.running >= bounds.concurrency
            if is_busy and usage.waiting >= bounds.queue:
                raise _refusal(
                    'queue_full',
                    'Too many requests are in progress and waiting.',
                    self._backlog_s(parties),
                )

    def _backlog_s(self, parties: tuple[LimitedParty, ...]) -> float:
        """Return the estimated time until a retry could start."""
        queue = self._queue_by_account[parties[0].name[0]]
        wait_s = queue.wait_s(
            len(queue.tickets) + 1, self._concurrency(parties)
        )
        return DEFAULT_RETRY_AFTER_S if wait_s is None else wait_s

    def _concurrency(self, parties: tuple[LimitedParty, ...]) -> int:
        """Return the requests of the parties that may be in progress."""
        return min(self._limits(party).concurrency for party in parties)

    def _can_start(self, ticket: 'Ticket') -> bool:
        return all(
            self._usage(party).running < self._limits(party).concurrency
            for party in ticket.parties
        )

    def _begin(self, ticket: 'Ticket') -> None:
        for party in ticket.parties:
            self._usage(party).running += 1
        ticket.mark_started()

    def _wait(self, ticket: 'Ticket', deadline: float) -> None:
        queue = self.queue(ticket)
        queue.tickets.append(ticket)
        self._count_waiting(ticket, 1)
        try:
            with eventlet.Timeout(max(deadline - clock.now(), 0), TimeoutError):
                ticket.started.wait()
        except TimeoutError as error:
            raise errors.RefusedError(
                'deadline_exceeded',
                'The requests ahead did not end before the deadline.',
                status=503,
                retry_after_s=_clamped(self._backlog_s(ticket.parties)),
                step='limits',
            ) from error
        finally:
            # A ticket that was started just before its wait was interrupted is
            # no longer queued; closing it starts the next one.
            if ticket in queue.tickets:
                queue.tickets.remove(ticket)
                self._count_waiting(ticket, -1)

    def _start_waiting(self, queue: _AccountQueue) -> None:
        for ticket in tuple(queue.tickets):
            if self._can_start(ticket):
                queue.tickets.remove(ticket)
                self._count_waiting(ticket, -1)
                self._begin(ticket)
                ticket.started.send()

    def _count_waiting(self, ticket: 'Ticket', change: int) -> None:
        for party in ticket.parties:
            self._usage(party).waiting += change

    def _sweep(self) -> None:
        """Drop idle parties, so that memory is bounded by the active ones."""
        if clock.now() - self._swept_at < IDLE_SWEEP_S:
            return
        self._swept_at = clock.now()
        for name, usage in tuple(self._usage_by_name.items()):
            if usage.is_idle(self._limits_by_name[name]):
                del self._usage_by_name[name]
                del self._limits_by_name[name]
        active = {account for account, _ in self._usage_by_name}
        for account, queue in tuple(self._queue_by_account.items()):
            if account not in active and not queue.open_tickets:
                del self._queue_by_account[account]


class Ticket:
    """The share of the limits that one request uses.

    Args:
        owner: The limits that issued the ticket.
        parties: Account and application of the request.

    Attributes:
        started: Event that is sent when a waiting request may start.
        held_bytes: Bytes of the request's body.
    """

    def __init__(
        self, owner: AccountLimits, parties: tuple[LimitedParty, ...]
    ) -> None:
        self.parties = parties
        self.started = event.Event()
        self.held_bytes = 0
        self._owner = owner
        self._started_at: float | None = None
        self._is_closed = False

    def hold(self, size: int) -> None:
        """Count the bytes of the request's body until the ticket is closed.

        Args:
            size: Length in bytes.

        Raises:
            errors.RefusedError: The account holds too many bytes.
        """
        self._owner.hold(self, size)
        self.held_bytes += size

    def start(self, deadline: float) -> None:
        """Wait until the request may be in progress.

        Args:
            deadline: Time on the runtime's clock.

        Raises:
            errors.RefusedError: The queue is full, or the request cannot
                start before its deadline.
        """
        self._owner.start(self, deadline)

    def mark_started(self) -> None:
        """Record the start of the request."""
        self._started_at = clock.now()

    def close(self) -> None:
        """Release what the request uses; idempotent."""
        if self._is_closed:
            return
        self._is_closed = True
        duration_s = None
        if self._started_at is not None:
            duration_s = clock.now() - self._started_at
        self._owner.end(self, duration_s)


def _refusal(
    code: str, reason: str, retry_after_s: float
) -> errors.RefusedError:
    return errors.RefusedError(
        code,
        reason,
        status=429,
        retry_after_s=_clamped(retry_after_s),
        step='limits',
    )


def _clamped(retry_after_s: float) -> float:
    return min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
