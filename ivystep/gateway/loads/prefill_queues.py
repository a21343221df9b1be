"""Queues prompts per engine on the leader until they may be sent.

Every host requests a permit from the leader before it sends a prompt to an
engine. A host that cannot reach the leader sends without a permit: a pause in
some streams is better than an unanswered request.
"""

import collections
import dataclasses
import math

import eventlet
from eventlet import event

from ivystep.core import errors, units
from ivystep.entry import peers
from ivystep.fair_shares import max_min
from ivystep.prefill import prefill, prefill_forecast, prefill_rates
from ivystep.runtime import clock, logs
from ivystep.wire.gen import ttypes

# Longest wait of one permit request, so that a host soon notices that the
# leader has failed.
MAX_PERMIT_WAIT_S = 0.5
# Time-out of a permit request in addition to its wait, for one short network
# hop. The prompt is then sent without a permit.
PERMIT_TIMEOUT_MARGIN_S = 0.1
# Longest sleep, since a request of higher value may arrive meanwhile.
MAX_SLEEP_S = 0.02
# Closed engines that are remembered; each incarnation has its own name.
MAX_CLOSED_ENGINES = 256
# Time between two forecasts for the requests that wait for an engine.
CHECK_INTERVAL_S = 0.05


log = logs.get('prefill')


@dataclasses.dataclass(slots=True)
class _QueuedTicket:
    """A ticket with the event that ends its wait."""

    ticket: prefill.Ticket
    permitted: event.Event


class _EngineQueue:
    """Queue of the requests for one engine, and the task that permits them."""

    def __init__(self) -> None:
        self.pacer = prefill.PrefillPacer()
        self._timely_shares = prefill_forecast.TimelyShares()
        self._shares = max_min.FairShares()
        self._waiting: list[_QueuedTicket] = []
        self._is_running = False
        self._checked_at = -math.inf

    def wait(
        self, ticket: prefill.Ticket, max_wait_s: float, *, is_new: bool
    ) -> prefill.Permit:
        """Wait until a request may be sent, or is refused, or a time-out.

        Args:
            ticket: The request.
            max_wait_s: Longest wait in seconds.
            is_new: Whether the request has not waited here before.
        """
        now = clock.now()
        if is_new:
            self._record_new(ticket, now)
        if not self._waiting and not self.pacer.delay_s(ticket, now):
            return self._grant(ticket, now)
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            if self._is_idle(now) and ticket.start_by >= now:
                # A pause in some streams is better than a refusal.
                return self._grant(ticket, now)
            return refusal
        queued = _QueuedTicket(ticket, event.Event())
        self._waiting.append(queued)
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        try:
            wait_s = min(max(ticket.start_by - now, 0.0), max_wait_s)
            with eventlet.Timeout(wait_s, exception=False):
                return queued.permitted.wait()
        finally:
            if queued in self._waiting:
                self._waiting.remove(queued)
        return prefill.Permit(prefill.PermitDecision.NOT_YET)

    def close(self) -> None:
        """End all waits."""
        while self._waiting:
            queued = self._waiting.pop()
            queued.permitted.send(prefill.Permit(prefill.PermitDecision.CLOSED))

    def _is_idle(self, now: float) -> bool:
        return not self._waiting and self.pacer.is_idle(now)

    def _refusal(
        self, ticket: prefill.Ticket, now: float
    ) -> prefill.Permit | None:
        """Return a refusal if a request cannot be sent in time."""
        tier_by_account = self._shares.tiers(now)
        tier = tier_by_account.get(ticket.account, 0)
        expected = prefill_forecast.forecast(
            ticket,
            (one.ticket for one in self._waiting if one.ticket is not ticket),
            free_in_s=self.pacer.delay_s(ticket, now),
            timely_share=self._timely_shares.share_before(
                tier, tier_by_account, now
            ),
            now=now,
            tier_by_account=tier_by_account,
        )
        if expected.is_possible:
            return None
        return prefill.Permit(
            prefill.PermitDecision.REFUSED,
            retry_after_s=expected.retry_after_s,
        )

    def _refuse_late_without_room(self, now: float) -> None:
        """Refuse waiting requests that became late and find no room."""
        if now < self._checked_at + CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for queued in list(self._waiting):
            if prefill.is_timely(queued.ticket, now):
                continue
            refusal = self._refusal(queued.ticket, now)
            if refusal is not None:
                self._waiting.remove(queued)
                queued.permitted.send(refusal)

    def _record_new(self, ticket: prefill.Ticket, now: float) -> None:
        """Record the time that a request asks for which has just arrived."""
        occupied_s = prefill_forecast.occupied_s(ticket)
        if prefill.is_timely(ticket, now):
            self._timely_shares.add(ticket.account, occupied_s, now)
        if ticket.account:
            self._shares.record_asked(ticket.account, occupied_s, now)

    def _grant(self, ticket: prefill.Ticket, now: float) -> prefill.Permit:
        is_alone = self.pacer.is_idle(now)
        if ticket.account:
            self._shares.record_used(
                ticket.account, prefill_forecast.occupied_s(ticket), now
            )
        self.pacer.record_sent(ticket, now)
        return prefill.Permit(
            prefill.PermitDecision.ALONE
            if is_alone
            else prefill.PermitDecision.QUEUED
        )

    def _run(self) -> None:
        try:
            self._permit_waiting()
        except Exception:
            # The hosts ask again for those that wait.
            log.exception('The queue of an engine failed.')
        finally:
            self._is_running = False

    def _permit_waiting(self) -> None:
        while self._waiting:
            now = clock.now()
            self._refuse_late_without_room(now)
            if not self._waiting:
                break
            tickets = [queued.ticket for queued in self._waiting]
            chosen = prefill.choose(tickets, now, self._shares.tiers(now))
            wait_s = self.pacer.delay_s(chosen, now)
            if wait_s > 0:
                clock.sleep(min(wait_s, MAX_SLEEP_S))
                continue
            queued = self._waiting.pop(tickets.index(chosen))
            queued.permitted.send(self._grant(chosen, now))


class PrefillQueues:
    """Prefill queues by engine.

    Args:
        rates: Prefill rates of the engines, as all hosts measure them.
    """

    def __init__(self, rates: prefill_rates.PrefillRates) -> None:
        self._rates = rates
        self._queue_by_engine: dict[str, _EngineQueue] = {}
        self._closed_engines: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def wait(
        self,
        engine: str,
        ticket: prefill.Ticket,
        max_wait_s: float = math.inf,
        *,
        is_new: bool = True,
    ) -> prefill.Permit:
        """Wait until a request may be sent to an engine.

        Args:
            engine: Incarnation of the engine.
            ticket: The request.
            max_wait_s: Longest wait in seconds. The wait also ends at the
                request's latest start.
            is_new: Whether the request has not waited here before.

        Returns:
            The permit; its decision is ``NOT_YET`` after the longest wait.
        """
        if engine in self._closed_engines:
            return prefill.Permit(prefill.PermitDecision.CLOSED)
        queue = self._queue_by_engine.get(engine)
        if queue is None:
            queue = _EngineQueue()
            self._queue_by_engine[engine] = queue
        return queue.wait(ticket, max_wait_s, is_new=is_new)

    def close(self, engine: str) -> None:
        """End all waits for an engine that takes no new work."""
        self._closed_engines[engine] = None
        if len(self._closed_engines) > MAX_CLOSED_ENGINES:
            self._closed_engines.popitem(last=False)
        queue = self._queue_by_engine.pop(engine, None)
        if queue is not None:
            queue.close()

    def reopen(self, engine: str) -> None:
        """Give permits for an engine again whose entry is back."""
        self._closed_engines.pop(engine, None)

    def answer(self, message: ttypes.PermitRequest) -> ttypes.Permit:
        """Answer another host's request for a permit."""
        now = clock.now()
        permit = self.wait(
            message.engine,
            prefill.Ticket(
                message.tokens,
                now + message.aim_within_ms / units.MS_PER_S,
                now + message.start_within_ms / units.MS_PER_S,
                message.value_rate,
                message.max_gap_ms / units.MS_PER_S,
                self._rates.tokens_per_s(message.engine),
                account=message.account or '',
                priority=message.priority or 0,
            ),
            message.wait_ms / units.MS_PER_S,
            is_new=not message.is_repeated,
        )
        retry_after_s = permit.retry_after_s
        return ttypes.Permit(
            message.engine,
            permit.decision.value,
            None
            if retry_after_s is None
            else int(retry_after_s * units.MS_PER_S),
        )


def request_permit(
    link: peers.PeerLink, engine: str, ticket: prefill.Ticket
) -> prefill.Permit:
    """Request a permit from the leader.

    Args:
        link: Connection to the leader.
        engine: Incarnation of the engine.
        ticket: The request.

    Returns:
        The permit; its decision is ``UNKNOWN`` if the leader does not answer.
    """
    permit = prefill.Permit(prefill.PermitDecision.NOT_YET)
    is_repeated = False
    while permit.decision is prefill.PermitDecision.NOT_YET:
        remaining_s = ticket.start_by - clock.now()
        if remaining_s <= 0:
            break
        message = _message(engine, ticket, min(remaining_s, MAX_PERMIT_WAIT_S))
        message.is_repeated = is_repeated
        is_repeated = True
        try:
            answer = link.ask(
                message,
                message.wait_ms / units.MS_PER_S + PERMIT_TIMEOUT_MARGIN_S,
            )
        except errors.LinkError as error:
            return prefill.Permit(prefill.PermitDecision.UNKNOWN, str(error))
        permit = _permit(answer)
    return permit


def _permit(answer: ttypes.Permit) -> prefill.Permit:
    retry_after_s = None
    if answer.retry_after_ms is not None:
        retry_after_s = answer.retry_after_ms / units.MS_PER_S
    return prefill.Permit(
        prefill.PermitDecision(answer.leave), retry_after_s=retry_after_s
    )


def _message(
    engine: str, ticket: prefill.Ticket, wait_s: float
) -> ttypes.PermitRequest:
    now = clock.now()
    return ttypes.PermitRequest(
        engine=engine,
        tokens=ticket.tokens,
        aim_within_ms=int((ticket.target_start_by - now) * units.MS_PER_S),
        start_within_ms=int((ticket.start_by - now) * units.MS_PER_S),
        value_rate=ticket.value_rate,
        max_gap_ms=int(ticket.max_gap_s * units.MS_PER_S),
        tokens_per_s=ticket.tokens_per_s,
        wait_ms=int(wait_s * units.MS_PER_S),
        account=ticket.account or None,
        priority=ticket.priority if ticket.account else None,
    )
