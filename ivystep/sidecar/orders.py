"""Sends load and unload orders to the engine, one at a time.

The engine's state is read after every order, and only the adapters that it
reports count as resident. If the answer to an order is lost, the adapter is
unsettled: it counts neither as absent nor as resident, because the order may
still take effect.
"""

import contextlib
import functools
import typing
from collections.abc import Generator

from eventlet import semaphore

from ivystep.core import errors, types
from ivystep.runtime import logs
from ivystep.sidecar import ownership

# After a longer wait, the planner has most likely made another plan.
LOCK_TIMEOUT_S = 5.0

log = logs.get('sidecar')


class EngineOrders:
    """Executes the orders of planners.

    Args:
        upstream_host: The upstream host.
        owner: Permission to send orders, checked just before each of them.
    """

    def __init__(
        self, upstream_host: typing.Any, owner: ownership.Owner
    ) -> None:
        self.owner = owner
        self.revision = 0
        self.is_active = False
        self._upstream_host = upstream_host
        self._lock = semaphore.Semaphore(1)

    def load(self, order: types.LoadOrder) -> types.LoadResult:
        """Evict the named adapters and load one.

        Args:
            order: The order of the pool's planner.

        Returns:
            The outcome; adapters in use are never evicted.
        """
        outcome = self._load_exclusively(order)
        self._upstream_host.metrics.record_load(outcome.code)
        return outcome

    def _load_exclusively(self, order: types.LoadOrder) -> types.LoadResult:
        if not self._lock.acquire(timeout=LOCK_TIMEOUT_S):
            return types.LoadResult(False, 'busy', 'Another load is running.')
        try:
            return self._refusal(order) or self._execute(order)
        finally:
            self._lock.release()

    def _refusal(self, order: types.LoadOrder) -> types.LoadResult | None:
        upstream_host = self._upstream_host
        if not upstream_host.is_engine:
            return types.LoadResult(
                False, 'not_an_engine', 'The upstream is a plain service.'
            )
        if upstream_host.is_draining:
            return types.LoadResult(
                False, 'draining', 'The upstream is draining.'
            )
        if not upstream_host.engine_incarnation:
            return types.LoadResult(
                False, 'engine_down', 'The engine is not available.'
            )
        if upstream_host.residency.holds(order.ref):
            return types.LoadResult(True, 'resident', 'Already resident.')
        for ref in (order.ref, *order.evict):
            if upstream_host.residency.is_unsettled(ref):
                reason = f'An order for {ref.lora_name} may still take effect.'
                return types.LoadResult(False, 'unsettled', reason)
        for ref in order.evict:
            if not upstream_host.may_evict(ref):
                reason = f'{ref.lora_name} is serving a request.'
                return types.LoadResult(False, 'adapter_in_use', reason)
        # The planner judged the slots by an earlier status.
        if not upstream_host.residency.has_room(order.ref, order.evict):
            return types.LoadResult(False, 'no_slot', 'No slot is free.')
        return None

    def _execute(self, order: types.LoadOrder) -> types.LoadResult:
        upstream_host = self._upstream_host
        incarnation = upstream_host.engine_incarnation
        upstream_host.residency.loading = order.ref
        upstream_host.notify()
        outcome = types.LoadResult(True, 'loaded', 'Loaded.')
        try:
            with self._order_in_progress():
                self._send(order)
        except errors.InvariantError as error:
            upstream_host.count_violation(error)
            outcome = types.LoadResult(False, 'adapter_in_use', str(error))
        except errors.PlatformError as error:
            log.warning('Load of %s failed: %s.', order.ref, error)
            outcome = types.LoadResult(False, _error_code(error), str(error))
        finally:
            self._finish()
        is_same = upstream_host.engine_incarnation == incarnation
        if outcome.ok and not (
            is_same and upstream_host.residency.holds(order.ref)
        ):
            return types.LoadResult(
                False,
                'load_unconfirmed',
                'The engine does not report the adapter.',
            )
        return outcome

    def _finish(self) -> None:
        self._upstream_host.refresh()
        self._upstream_host.residency.loading = None
        self._upstream_host.notify()

    def _send(self, order: types.LoadOrder) -> None:
        upstream_host = self._upstream_host
        # Only adapters that the engine reports are unloaded. The absence of any
        # other would not show that an unload of unknown outcome took effect.
        evicted = [
            ref for ref in order.evict if upstream_host.residency.holds(ref)
        ]
        with upstream_host.residency.evicting(evicted):
            upstream_host.notify()
            for ref in evicted:
                with self._unsettled_on_failure(ref, is_load=False):
                    upstream_host.http.unload(ref, self.owner.token())
                upstream_host.metrics.record_eviction()
        with self._unsettled_on_failure(order.ref, is_load=True):
            upstream_host.http.load(order.ref, order.source, self.owner.token())

    @contextlib.contextmanager
    def _order_in_progress(self) -> Generator[None, None, None]:
        self.revision += 1
        self.is_active = True
        try:
            yield
        finally:
            self.is_active = False
            self.revision += 1

    @contextlib.contextmanager
    def _unsettled_on_failure(
        self, ref: types.AdapterRef, *, is_load: bool
    ) -> Generator[None, None, None]:
        incarnation = self._upstream_host.engine_incarnation
        try:
            yield
        except errors.UncertainWriteError:
            self._mark_unsettled(ref, incarnation, is_load=is_load)
            raise
        except errors.PlatformError:
            # The engine answered or was not reached, so the outcome is known.
            raise
        except BaseException:
            # The task was killed before the engine answered the order.
            self._mark_unsettled(ref, incarnation, is_load=is_load)
            raise

    def _mark_unsettled(
        self, ref: types.AdapterRef, incarnation: str, *, is_load: bool
    ) -> None:
        self._upstream_host.residency.mark_unsettled(
            ref,
            is_load=is_load,
            is_same_process=incarnation
            == self._upstream_host.engine_incarnation,
        )


@functools.singledispatch
def _error_code(error: errors.PlatformError) -> str:
    """Return the code of a failed order for the planner."""
    return 'load_failed'


@_error_code.register
def _fenced_code(error: errors.ConflictError) -> str:
    return 'fenced'


@_error_code.register
def _not_owner_code(error: ownership.NotOwnerError) -> str:
    return 'not_owner'
