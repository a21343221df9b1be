"""Tracks the loads of a pool that are in progress or have just ended."""

import math

from ivystep.core import types
from ivystep.entry import load_estimate

# An adapter is not evicted for this time after its load, so that the entries
# can learn of it and send the waiting requests.
KEEP_AFTER_LOAD_S = 0.5


class LoadProgress:
    """The loads that were ordered and those that have just succeeded.

    Args:
        estimate: Expected duration of a load. A load that takes several times
            as long is overdue and no longer counts as in progress.
    """

    def __init__(self, estimate: load_estimate.LoadEstimate) -> None:
        self._estimate = estimate
        self._started_by_ref: dict[types.AdapterRef, float] = {}
        self._loaded_at: dict[types.AdapterRef, float] = {}

    @property
    def has_unfinished(self) -> bool:
        """Whether any load has not ended, including overdue ones."""
        return bool(self._started_by_ref)

    def record_start(self, ref: types.AdapterRef, now: float) -> None:
        """Record that a load was ordered.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        self._started_by_ref[ref] = now

    def record_end(self, ref: types.AdapterRef, started: float) -> None:
        """Record that a load ended, unless a later one has replaced it.

        Args:
            ref: The adapter.
            started: Time at which this load was ordered.
        """
        if self._started_by_ref.get(ref) == started:
            del self._started_by_ref[ref]

    def record_loaded(self, ref: types.AdapterRef, now: float) -> None:
        """Record that an adapter was loaded.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        for earlier, loaded_at in list(self._loaded_at.items()):
            if loaded_at < now - KEEP_AFTER_LOAD_S:
                del self._loaded_at[earlier]
        self._loaded_at[ref] = now

    def is_loading(self, ref: types.AdapterRef, now: float) -> bool:
        """Return whether a load of an adapter is in progress.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        if not self._started_by_ref:
            return False
        started = self._started_by_ref.get(ref, -math.inf)
        return now - started < self._estimate.overdue_s

    def is_any_loading(self, now: float) -> bool:
        """Return whether any load is in progress.

        Args:
            now: Current time in seconds.
        """
        return bool(self._in_progress(now))

    def is_recently_loaded(self, ref: types.AdapterRef, now: float) -> bool:
        """Return whether an adapter was loaded a moment ago.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        if not self._loaded_at:
            return False
        return now - self._loaded_at.get(ref, -math.inf) < KEEP_AFTER_LOAD_S

    def busy_s(self, now: float) -> float:
        """Return the time until the loads in progress should end, in seconds.

        Args:
            now: Current time in seconds.
        """
        load_s = self._estimate.load_s
        return max((0, *(at + load_s - now for at in self._in_progress(now))))

    def _in_progress(self, now: float) -> list[float]:
        """Return the starting times of the loads that are not overdue."""
        overdue_s = self._estimate.overdue_s
        return [
            at for at in self._started_by_ref.values() if now - at < overdue_s
        ]
