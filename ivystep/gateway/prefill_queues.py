"""The gates of all engines, kept by the host that gives orders.

Every host asks for a permit before it sends a prompt to an engine. A host
that cannot reach the holder of the duty sends without a permit: a pause in
some streams is better than a request that is not answered.
"""

import collections
import dataclasses
import math

import eventlet
from eventlet import event

from ivystep.core import errors, units
from ivystep.entry import peers
from ivystep.policy import prefill
from ivystep.runtime import clock
from ivystep.wire.gen import ttypes

# The holder is asked again after this time, so that a host notices soon that
# the holder does not answer any more.
ASK_S = 0.5
# A permit is asked for over one short hop; without an answer for this time
# beyond its wait, the request is sent without one.
ANSWER_MARGIN_S = 0.1
# A better request than the one that waits may come meanwhile.
MAX_STEP_S = 0.02
# Engines that have left and are remembered; each start has its own name.
MAX_CLOSED = 256


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A ticket with the event that ends its wait."""

    ticket: prefill.Ticket
    permitted: event.Event


class _EngineQueue:
    """The requests that wait for one engine, and the task that sends them."""

    def __init__(self) -> None:
        self.gate = prefill.PrefillPacer()
        self._waiting: list[_Waiting] = []
        self._is_running = False

    def wait(self, ticket: prefill.Ticket, longest_s: float) -> prefill.Permit:
        """Wait until a request may be sent, or its time is over."""
        now = clock.now()
        if not self._waiting and not self.gate.delay_s(ticket, now):
            return self._pass_through(ticket, now)
        waiting = _Waiting(ticket, event.Event())
        self._waiting.append(waiting)
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        try:
            wait_s = min(max(ticket.start_by - now, 0.0), longest_s)
            with eventlet.Timeout(wait_s, exception=False):
                return waiting.permitted.wait()
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        return prefill.Permit(prefill.PermitDecision.NOT_YET)

    def close(self) -> None:
        """End all waits."""
        while self._waiting:
            waiting = self._waiting.pop()
            waiting.permitted.send(
                prefill.Permit(prefill.PermitDecision.CLOSED)
            )

    def _pass_through(
        self, ticket: prefill.Ticket, now: float
    ) -> prefill.Permit:
        is_alone = self.gate.is_idle(now)
        self.gate.record_sent(ticket, now)
        return prefill.Permit(
            prefill.PermitDecision.ALONE
            if is_alone
            else prefill.PermitDecision.QUEUED
        )

    def _run(self) -> None:
        while self._waiting:
            now = clock.now()
            tickets = [waiting.ticket for waiting in self._waiting]
            chosen = prefill.choose(tickets, now)
            wait_s = self.gate.delay_s(chosen, now)
            if wait_s > 0:
                clock.sleep(min(wait_s, MAX_STEP_S))
                continue
            waiting = self._waiting.pop(tickets.index(chosen))
            waiting.permitted.send(self._pass_through(chosen, now))
        self._is_running = False


class PrefillQueues:
    """The gates of the engines at this host."""

    def __init__(self) -> None:
        self._queue_by_engine: dict[str, _EngineQueue] = {}
        self._closed: collections.deque[str] = collections.deque(
            maxlen=MAX_CLOSED
        )

    def wait(
        self,
        engine: str,
        ticket: prefill.Ticket,
        longest_s: float = math.inf,
    ) -> prefill.Permit:
        """Wait until a request may be sent to an engine.

        Args:
            engine: Incarnation of the engine.
            ticket: The request.
            longest_s: Longest wait in seconds, if the time of the request is
                not over before.

        Returns:
            The permit, or that there is none yet after that time.
        """
        if engine in self._closed:
            return prefill.Permit(prefill.PermitDecision.CLOSED)
        queue = self._queue_by_engine.get(engine)
        if queue is None:
            queue = _EngineQueue()
            self._queue_by_engine[engine] = queue
        return queue.wait(ticket, longest_s)

    def close(self, engine: str) -> None:
        """End all waits for an engine that takes no new work."""
        if engine not in self._closed:
            self._closed.append(engine)
        queue = self._queue_by_engine.pop(engine, None)
        if queue is not None:
            queue.close()

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
                message.tokens_per_s,
            ),
            message.wait_ms / units.MS_PER_S,
        )
        return ttypes.Permit(message.engine, permit.decision.value)


def ask(
    link: peers.PeerLink, engine: str, ticket: prefill.Ticket
) -> prefill.Permit:
    """Ask another host for a permit.

    Args:
        link: Connection to the holder of the duty.
        engine: Incarnation of the engine.
        ticket: The request.

    Returns:
        The permit; of unknown leave if the holder does not answer.
    """
    permit = prefill.Permit(prefill.PermitDecision.NOT_YET)
    while permit.decision is prefill.PermitDecision.NOT_YET:
        left_s = ticket.start_by - clock.now()
        if left_s <= 0:
            break
        message = _message(engine, ticket, min(left_s, ASK_S))
        try:
            answer = link.ask(
                message, message.wait_ms / units.MS_PER_S + ANSWER_MARGIN_S
            )
        except errors.LinkError as error:
            return prefill.Permit(prefill.PermitDecision.UNKNOWN, str(error))
        permit = prefill.Permit(prefill.PermitDecision(answer.leave))
    return permit


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
    )
