"""Protects attempts of an earlier sidecar after a sidecar restart.

Attempts of an earlier sidecar may still run in the engine for a moment after
that sidecar stopped: the engine cancels them when it detects that their
connections are closed. Until then the new sidecar must not evict any adapter
that it found resident.
"""

from collections.abc import Iterable

from ivystep.core import types
from ivystep.runtime import clock

# The engine's metrics lag, so one idle snapshot is not sufficient.
MIN_IDLE_SNAPSHOTS = 2
# No attempt runs for longer than the longest deadline.
MAX_DEADLINE_S = 600.0
# Longest time for which no attempts are accepted until the engine is idle.
MAX_ATTEMPT_BLOCK_S = 5.0


class Handover:
    """Adapters that attempts of an earlier sidecar may still use."""

    def __init__(self) -> None:
        self._refs: frozenset[types.AdapterRef] | None = None
        self._started = 0.0
        self._idle_snapshots = 0

    def record_snapshot(
        self, refs: Iterable[types.AdapterRef], running: int | None
    ) -> None:
        """Update the handover from a snapshot of the engine.

        Args:
            refs: Adapters that the engine holds.
            running: Requests that it is running; None if not published.
        """
        if self._refs is None:
            self._refs = frozenset(refs)
            self._started = clock.now()
        self._idle_snapshots = self._idle_snapshots + 1 if running == 0 else 0
        is_over = self._idle_snapshots >= MIN_IDLE_SNAPSHOTS
        if is_over or clock.now() - self._started > MAX_DEADLINE_S:
            self._refs = frozenset()

    def end(self) -> None:
        """End the handover because the engine was restarted."""
        self._refs = frozenset()

    def may_be_in_use(self, ref: types.AdapterRef) -> bool:
        """Return whether an earlier attempt may be using an adapter."""
        return ref in (self._refs or ())

    def blocks_attempts(self) -> bool:
        """Return whether no attempts are accepted until the engine is idle."""
        return (
            bool(self._refs)
            and clock.now() - self._started < MAX_ATTEMPT_BLOCK_S
        )
