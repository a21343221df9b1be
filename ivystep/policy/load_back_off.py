"""Pauses between the attempts to load an adapter whose loads fail."""

from ivystep.core import types

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class BackOff:
    """Exponential back-off of adapters whose loads fail."""

    def __init__(self) -> None:
        # Number of consecutive failures and time of the next try.
        self._failure_by_ref: dict[types.AdapterRef, tuple[int, float]] = {}

    def record_failure(self, ref: types.AdapterRef, now: float) -> float:
        """Record a failed load.

        Args:
            ref: The adapter.
            now: Current time in seconds.

        Returns:
            Time in seconds until the next try.
        """
        count = self._failure_by_ref.get(ref, (0, 0.0))[0] + 1
        pause_s = min(FIRST_BACKOFF_S * 2 ** (count - 1), MAX_BACKOFF_S)
        self._failure_by_ref[ref] = (min(count, 16), now + pause_s)
        return pause_s

    def record_success(self, ref: types.AdapterRef) -> None:
        """Reset the back-off of an adapter that was loaded."""
        self._failure_by_ref.pop(ref, None)

    def remaining_s(self, ref: types.AdapterRef, now: float) -> float:
        """Return the time until an adapter may be loaded again, or 0.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        failure = self._failure_by_ref.get(ref)
        if failure is None:
            return 0.0
        if now > failure[1] + MAX_BACKOFF_S:
            del self._failure_by_ref[ref]
        return max(failure[1] - now, 0.0)
