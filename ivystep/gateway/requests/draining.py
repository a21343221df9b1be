"""Drains a gateway: lets requests in progress end before the process exits.

The platform kills the process after a fixed time, whatever the store does. So
no step waits for a call to the store: those run beside, and are given up as the
process exits.
"""

import typing
from collections.abc import Callable

import eventlet

from ivystep.core import units
from ivystep.gateway import process_events
from ivystep.gateway.requests import (
    planned_stop,
    shared_state,
)
from ivystep.runtime import (
    background,
    clock,
    connection_limit,
    drain,
    event_log,
)
from ivystep.runtime import process_events as life_events

# Time for which new connections are still accepted after SIGTERM. The platform
# probes readiness once a second and stops routing after two failed probes.
ACCEPT_AFTER_SIGTERM_S = 2.6
# Requests still in progress are ended this long before the platform kills
# the process.
ABORT_MARGIN_S = 0.4
# Time before that in which the kernel takes over what upstreams have completed
# and callers read slowly.
TAKE_OVER_S = 0.5
# Time in which the answers of the ended requests are sent.
FLUSH_S = 0.15


class Drain:
    """The drain of one gateway.

    Args:
        server_state: The connections of callers.
        release: Gives up what other hosts wait for; may wait for the store.
        grace_s: Time in seconds after which the platform kills the process.
        delay_s: Time in seconds by which the drain starts after its signal.
        log: Event log of the drain.
    """

    def __init__(
        self,
        server_state: shared_state.ServerState,
        release: Callable[[], None],
        grace_s: float,
        log: event_log.EventLog,
        delay_s: float = 0.0,
    ) -> None:
        self._server_state = server_state
        self._stop = server_state.stop
        self._release = release
        self._grace_s = grace_s
        self._log = log
        self._delay_s = delay_s

    def run(self, listener: typing.Any) -> None:
        """Let requests in progress end within the grace period.

        Args:
            listener: The listener for callers.
        """
        started = clock.now()
        signalled = started - self._delay_s
        end = signalled + self._grace_s - ABORT_MARGIN_S
        closes_at = min(started + ACCEPT_AFTER_SIGTERM_S, end - TAKE_OVER_S)
        self._server_state.is_closing = True
        self._stop.begin(
            planned_stop.StopTimes(
                signalled_at=signalled,
                sends_until=signalled + ACCEPT_AFTER_SIGTERM_S,
                closes_at=closes_at,
                ends_at=end,
            )
        )
        self._log.write(
            process_events.Draining(
                self._server_state.requests,
                len(self._server_state.open_connections),
            )
        )
        released = eventlet.spawn(self._release)
        self._wait_for_close(closes_at)
        listener.close()
        # The task that accepts takes the connections that were queued.
        clock.sleep(drain.POLL_S)
        self._log.write(
            process_events.ListenerClosed(
                int((clock.now() - started) * units.MS_PER_S),
                self._server_state.requests,
                len(self._server_state.open_connections),
            )
        )
        self._wait_for_callers(end - TAKE_OVER_S)
        self._server_state.grow_send_buffers()
        self._wait_for_callers(end)
        self._stop.end_due()
        self._server_state.close_idle()
        self._server_state.refuse_incomplete()
        # A busy event loop comes here late, and the answers are sent later.
        self._wait_for_callers(max(end, clock.now()) + FLUSH_S)
        with eventlet.Timeout(max(end - clock.now(), 0), exception=False):
            self._await_release(released)

    def _wait_for_close(self, closes_at: float) -> None:
        """Refuse what cannot be sent any more until the listener closes."""
        while clock.now() < closes_at:
            self._stop.end_due()
            clock.sleep(min(drain.POLL_S, closes_at - clock.now()))

    def _wait_for_callers(self, until: float) -> None:
        """Wait until all connections are closed, or until a time."""
        while self._server_state.open_connections and clock.now() < until:
            self._server_state.close_idle(connection_limit.MIN_IDLE_S)
            self._stop.end_due()
            clock.sleep(drain.POLL_S)

    def _await_release(self, released: typing.Any) -> None:
        """Wait for the release, whose errors must not end the drain."""
        try:
            released.wait()
        except Exception as error:
            self._log.write(
                life_events.TaskFailed(
                    'release',
                    background.describe(error),
                    background.place(error),
                )
            )
