"""Tracks which adapters the engine holds and which of them are in use.

An adapter is pinned while an attempt runs on it. A pinned adapter is never
evicted, and an adapter that is being evicted accepts no new attempt. Pins
last until their attempts end, whatever the engine reports meanwhile.
"""

import collections
import contextlib
import dataclasses
from collections.abc import Collection, Generator, Iterable

from ivystep.core import errors, types
from ivystep.runtime import clock

# An engine may execute an order after the connection was lost. A load takes
# seconds; after this time the order is assumed to be finished.
SETTLE_TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnsettledOrder:
    """An order that may still take effect.

    Attributes:
        is_load: Whether the order was a load.
        expires_at: Time from which the engine's report is trusted again.
        is_same_process: Whether the engine is known to have been the same
            process since before the order. A new process starts without the
            adapter and may execute the order later, so that a missing adapter
            does not show that an unload has taken effect.
    """

    is_load: bool
    expires_at: float
    is_same_process: bool

    def is_confirmed_by(self, *, is_reported: bool) -> bool:
        """Return whether a report shows that the order has taken effect."""
        if self.is_load:
            return is_reported
        return self.is_same_process and not is_reported


class Residency:
    """Adapters of one engine.

    Args:
        slots: Number of adapters that the engine can hold.
    """

    def __init__(self, slots: int) -> None:
        self.loading: types.AdapterRef | None = None
        self._slots = slots
        self._resident: set[types.AdapterRef] = set()
        self._running_by_ref: collections.Counter[types.AdapterRef] = (
            collections.Counter()
        )
        self._unloading: set[types.AdapterRef] = set()
        self._unsettled_by_ref: dict[types.AdapterRef, UnsettledOrder] = {}

    @property
    def slots(self) -> int:
        """Slots that orders can use; an unsettled adapter may take one."""
        return max(self._slots - len(self._unsettled_by_ref), 0)

    def replace(self, refs: Iterable[types.AdapterRef]) -> None:
        """Replace the adapters by those of a new engine incarnation.

        Args:
            refs: Adapters that it reports.
        """
        self._resident = set(refs)
        # An order sent just before the restart may have reached either process;
        # one from before an earlier restart can no longer take effect.
        self._unsettled_by_ref = {
            ref: dataclasses.replace(order, is_same_process=False)
            for ref, order in self._unsettled_by_ref.items()
            if order.is_same_process
        }

    def reconcile(self, refs: Iterable[types.AdapterRef]) -> None:
        """Update the adapters from a report of the same engine incarnation.

        Args:
            refs: Adapters that the engine reports now.
        """
        reported = set(refs)
        current = clock.now()
        for ref, order in list(self._unsettled_by_ref.items()):
            is_over = order.is_confirmed_by(is_reported=ref in reported)
            if is_over or current >= order.expires_at:
                self._unsettled_by_ref.pop(ref)
        self._resident = reported

    def holds(self, ref: types.AdapterRef) -> bool:
        """Return whether an adapter can take attempts."""
        return (
            ref in self._resident
            and ref not in self._unloading
            and ref not in self._unsettled_by_ref
        )

    def has_room(
        self, ref: types.AdapterRef, evict: Collection[types.AdapterRef]
    ) -> bool:
        """Return whether an adapter fits after an eviction.

        Args:
            ref: The adapter to load.
            evict: Adapters to evict; those that are gone free no slot.
        """
        settled = self._resident.difference(evict, self._unsettled_by_ref)
        return len(settled | {ref}) <= self.slots

    def is_unsettled(self, ref: types.AdapterRef) -> bool:
        """Return whether an order for an adapter may still take effect."""
        return ref in self._unsettled_by_ref

    def is_in_use(self, ref: types.AdapterRef) -> bool:
        """Return whether an attempt runs on an adapter."""
        return self._running_by_ref[ref] > 0

    def mark_unsettled(
        self,
        ref: types.AdapterRef,
        *,
        is_load: bool,
        is_same_process: bool,
    ) -> None:
        """Record that the outcome of an order is unknown.

        Args:
            ref: The adapter; it takes no attempts until it is settled.
            is_load: Whether the order was a load.
            is_same_process: Whether no restart of the engine has been seen
                since before the order.
        """
        self._unsettled_by_ref[ref] = UnsettledOrder(
            is_load, clock.now() + SETTLE_TIMEOUT_S, is_same_process
        )

    @contextlib.contextmanager
    def evicting(
        self, refs: Collection[types.AdapterRef]
    ) -> Generator[None, None, None]:
        """Accept no attempts on adapters while the engine unloads them.

        Args:
            refs: The adapters. They count as absent afterwards, unless the
                engine reports them again.

        Raises:
            errors.InvariantError: One of them is serving a request.
        """
        for ref in refs:
            if self.is_in_use(ref):
                raise errors.InvariantError(
                    f'{ref.lora_name} is serving a request', step='evict'
                )
        self._unloading.update(refs)
        try:
            yield
        finally:
            self._unloading.difference_update(refs)
            self._resident.difference_update(refs)

    @contextlib.contextmanager
    def pinned(
        self, ref: types.AdapterRef | None
    ) -> Generator[None, None, None]:
        """Prevent the eviction of an adapter while the block runs.

        Args:
            ref: A resident adapter, or None for a plain service.
        """
        if ref is None:
            yield
            return
        self._running_by_ref[ref] += 1
        try:
            yield
        finally:
            self._running_by_ref[ref] -= 1
            if not self._running_by_ref[ref]:
                self._running_by_ref.pop(ref)

    def snapshot(self) -> dict[types.AdapterRef, types.ResidentAdapter]:
        """Return the adapters that can take attempts, by reference."""
        return {
            ref: types.ResidentAdapter(ref, self._running_by_ref[ref])
            for ref in sorted(self._resident)
            if self.holds(ref)
        }
