"""Which adapters the engine holds, and which of them are in use.

An adapter is pinned while an attempt runs on it. A pinned adapter is never
evicted, and an adapter that is being evicted accepts no new attempt.
"""

import contextlib
from collections.abc import Generator, Iterable

from ivystep.core import errors, types


class Residency:
    """Adapters of one engine incarnation.

    Args:
        slots: Adapters that the engine can hold.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.loading: types.AdapterRef | None = None
        self._running_by_ref: dict[types.AdapterRef, int] = {}
        self._epoch = 0

    def replace(self, refs: Iterable[types.AdapterRef]) -> None:
        """Forget everything; the engine was restarted or read again.

        Args:
            refs: Adapters that the engine reports now.
        """
        self._epoch += 1
        self._running_by_ref = dict.fromkeys(refs, 0)

    def reconcile(self, refs: Iterable[types.AdapterRef]) -> None:
        """Take over what the same engine incarnation reports.

        Args:
            refs: Adapters that the engine reports now; use counts stay.
        """
        self._running_by_ref = {
            ref: self._running_by_ref.get(ref, 0) for ref in refs
        }

    def add(self, ref: types.AdapterRef) -> None:
        """Record a loaded adapter."""
        self._running_by_ref.setdefault(ref, 0)

    def holds(self, ref: types.AdapterRef) -> bool:
        """Return whether an adapter can take attempts."""
        return ref in self._running_by_ref

    def remove_idle(self, ref: types.AdapterRef) -> None:
        """Take an adapter out of use, before the engine unloads it.

        Args:
            ref: The adapter; one that is absent is ignored.

        Raises:
            errors.InvariantError: The adapter is serving a request.
        """
        if self._running_by_ref.get(ref, 0):
            raise errors.InvariantError(
                f'{ref.lora_name} is serving a request', step='evict'
            )
        self._running_by_ref.pop(ref, None)

    @contextlib.contextmanager
    def pinned(
        self, ref: types.AdapterRef | None
    ) -> Generator[None, None, None]:
        """Keep an adapter from eviction while the block runs.

        Args:
            ref: A resident adapter, or None for a plain service.
        """
        if ref is None:
            yield
            return
        epoch = self._epoch
        self._running_by_ref[ref] += 1
        try:
            yield
        finally:
            if epoch == self._epoch and ref in self._running_by_ref:
                self._running_by_ref[ref] -= 1

    def snapshot(self) -> dict[types.AdapterRef, types.ResidentAdapter]:
        """Return the resident adapters by reference."""
        return {
            ref: types.ResidentAdapter(ref, running)
            for ref, running in self._running_by_ref.items()
        }
