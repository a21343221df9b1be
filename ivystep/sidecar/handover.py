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
IDLE_READINGS = 2
# Longest deadline of an attempt: none can run for longer.
MAX_REQUEST_S = 600.0
# Attempts are held off for this long, so that the engine becomes idle.
HOLD_OFF_S = 5.0


class Handover:
    """Adapters on which an earlier sidecar's attempts may still run."""

    def __init__(self) -> None:
        self._refs: frozenset[types.AdapterRef] | None = None
        self._begun = 0.0
        self._idle_readings = 0

    def observe(
        self, refs: Iterable[types.AdapterRef], running: int | None
    ) -> None:
        """Take over a reading of the engine.

        Args:
            refs: Adapters that it holds.
            running: Requests that it runs; None if it does not say.
        """
        if self._refs is None:
            self._refs = frozenset(refs)
            self._begun = clock.now()
        self._idle_readings = self._idle_readings + 1 if running == 0 else 0
        is_over = self._idle_readings >= IDLE_READINGS
        if is_over or clock.now() - self._begun > MAX_REQUEST_S:
            self._refs = frozenset()

    def forget(self) -> None:
        """End the handover: the engine was restarted."""
        self._refs = frozenset()

    def covers(self, ref: types.AdapterRef) -> bool:
        """Return whether an earlier attempt may be using an adapter."""
        return ref in (self._refs or ())

    def holds_off(self) -> bool:
        """Return whether attempts should wait for the engine to be idle."""
        return bool(self._refs) and clock.now() - self._begun < HOLD_OFF_S
