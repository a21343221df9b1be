"""The gates of all engines, kept by the host that gives orders.

Every host asks for a permit before it sends a prompt to an engine. A host
that cannot reach the holder of the duty sends without a permit: a pause in
some streams is better than a request that is not answered.
"""

import dataclasses

import eventlet
from eventlet import event

from ivystep.core import errors, units
from ivystep.entry import peers
from ivystep.policy import prefill
from ivystep.runtime import clock
from ivystep.wire.gen import ttypes

# A permit is asked for over one short hop; without an answer for this time
# beyond the request's own, the request is sent without one.
ANSWER_MARGIN_S = 0.1
MAX_WAIT_S = 2.0
# A better request than the one that waits may come meanwhile.
MAX_STEP_S = 0.02


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A ticket with the event that ends its wait."""

    ticket: prefill.Ticket
    permitted: event.Event


class _EngineQueue:
    """The requests that wait for one engine, and the task that sends them."""

    def __init__(self) -> None:
        self.gate = prefill.Gate()
        self._waiting: list[_Waiting] = []
        self._is_running = False

    def wait(self, ticket: prefill.Ticket) -> None:
        """Wait until a request may be sent, or its time is over."""
        now = clock.now()
        if not self._waiting and not self.gate.opens_in_s(ticket, now):
            self.gate.pass_through(ticket, now)
            return
        waiting = _Waiting(ticket, event.Event())
        self._waiting.append(waiting)
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        try:
            with eventlet.Timeout(
                max(ticket.start_by - now, 0), exception=False
            ):
                waiting.permitted.wait()
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def _run(self) -> None:
        while self._waiting:
            now = clock.now()
            tickets = [waiting.ticket for waiting in self._waiting]
            chosen = prefill.choose(tickets, now)
            wait_s = self.gate.opens_in_s(chosen, now)
            if wait_s > 0:
                clock.sleep(min(wait_s, MAX_STEP_S))
                continue
            waiting = self._waiting.pop(tickets.index(chosen))
            self.gate.pass_through(chosen, now)
            waiting.permitted.send()
        self._is_running = False


class PrefillGates:
    """The gates of the engines at this host."""

    def __init__(self) -> None:
        self._queue_by_engine: dict[str, _EngineQueue] = {}

    def wait(self, engine: str, ticket: prefill.Ticket) -> None:
        """Wait until a request may be sent to an engine.

        Args:
            engine: Incarnation of the engine.
            ticket: The request.
        """
        queue = self._queue_by_engine.get(engine)
        if queue is None:
            queue = _EngineQueue()
            self._queue_by_engine[engine] = queue
        queue.wait(ticket)

    def forget(self, engine: str) -> None:
        """Forget an engine that has gone."""
        self._queue_by_engine.pop(engine, None)

    def answer(self, message: ttypes.PermitRequest) -> ttypes.Permit:
        """Answer another host's request for a permit."""
        now = clock.now()
        self.wait(
            message.engine,
            prefill.Ticket(
                message.tokens,
                now + message.aim_within_ms / units.MS_PER_S,
                now + message.start_within_ms / units.MS_PER_S,
                message.value_rate,
                message.max_gap_ms / units.MS_PER_S,
                message.tokens_per_s,
            ),
        )
        return ttypes.Permit(message.engine)


def ask(link: peers.PeerLink, engine: str, ticket: prefill.Ticket) -> str:
    """Ask another host for a permit.

    Args:
        link: Connection to the holder of the duty.
        engine: Incarnation of the engine.
        ticket: The request.

    Returns:
        Empty, or why the request is sent without a permit.
    """
    now = clock.now()
    wait_s = min(max(ticket.start_by - now, 0.0), MAX_WAIT_S)
    message = ttypes.PermitRequest(
        engine=engine,
        tokens=ticket.tokens,
        aim_within_ms=int((ticket.aim_at - now) * units.MS_PER_S),
        start_within_ms=int(wait_s * units.MS_PER_S),
        value_rate=ticket.value_rate,
        max_gap_ms=int(ticket.max_gap_s * units.MS_PER_S),
        tokens_per_s=ticket.tokens_per_s,
    )
    try:
        link.ask(message, wait_s + ANSWER_MARGIN_S)
    except errors.LinkError as error:
        return str(error)
    return ''
