"""The first readings of an engine by a new sidecar.

Attempts of an earlier sidecar may still run in the engine for a moment after
that sidecar died: the engine cancels them when it notices that their
connections are closed. Until then the new sidecar must evict nothing that it
found resident.
"""

from collections.abc import Iterable

from ivystep.core import types
from ivystep.runtime import clock

# The engine's report lags, so one idle reading is not proof.
MIN_IDLE_READINGS = 2
# Longest deadline of an attempt: none can run for longer.
MAX_DEADLINE_S = 600.0
# Attempts are held off for this long, so that the engine becomes idle.
MAX_ATTEMPT_DELAY_S = 5.0


class Handover:
    """Adapters on which an earlier sidecar's attempts may still run."""

    def __init__(self) -> None:
        self._refs: frozenset[types.AdapterRef] | None = None
        self._started = 0.0
        self._idle_readings = 0

    def record_reading(
        self, refs: Iterable[types.AdapterRef], running: int | None
    ) -> None:
        """Take over a reading of the engine.

        Args:
            refs: Adapters that it holds.
            running: Requests that it runs; None if it does not say.
        """
        if self._refs is None:
            self._refs = frozenset(refs)
            self._started = clock.now()
        self._idle_readings = self._idle_readings + 1 if running == 0 else 0
        is_over = self._idle_readings >= MIN_IDLE_READINGS
        if is_over or clock.now() - self._started > MAX_DEADLINE_S:
            self._refs = frozenset()

    def end(self) -> None:
        """End the handover: the engine was restarted."""
        self._refs = frozenset()

    def may_be_in_use(self, ref: types.AdapterRef) -> bool:
        """Return whether an earlier attempt may be using an adapter."""
        return ref in (self._refs or ())

    def delays_attempts(self) -> bool:
        """Return whether attempts should wait for the engine to be idle."""
        return (
            bool(self._refs)
            and clock.now() - self._started < MAX_ATTEMPT_DELAY_S
        )
