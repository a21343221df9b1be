"""Load and unload orders to the engine, one at a time.

The engine is read after every order, and only what it reports counts. An
order whose answer was lost leaves its adapter unsettled: neither absent nor
present.
"""

import contextlib
import functools
import typing
from collections.abc import Generator

from eventlet import semaphore

from ivystep.core import errors, types
from ivystep.runtime import logs
from ivystep.sidecar import ownership

# A planner that has waited longer has most likely made another plan.
MAX_WAIT_S = 5.0

log = logs.get('sidecar')


class EngineOrders:
    """Carries out the orders of planners.

    Args:
        beside: The upstream host.
        owner: Permission to give orders, asked just before each of them.
    """

    def __init__(self, beside: typing.Any, owner: ownership.Owner) -> None:
        self.owner = owner
        self.count = 0
        self.is_active = False
        self._beside = beside
        self._turn = semaphore.Semaphore(1)

    def load(self, order: types.LoadOrder) -> types.LoadResult:
        """Evict the named adapters and load one.

        Args:
            order: The order of the pool's planner.

        Returns:
            The outcome; adapters in use are never evicted.
        """
        outcome = self._in_turn(order)
        self._beside.metrics.record_load(outcome.code)
        return outcome

    def _in_turn(self, order: types.LoadOrder) -> types.LoadResult:
        if not self._turn.acquire(timeout=MAX_WAIT_S):
            return types.LoadResult(False, 'busy', 'Another load is running.')
        try:
            return self._refusal(order) or self._carry_out(order)
        finally:
            self._turn.release()

    def _refusal(self, order: types.LoadOrder) -> types.LoadResult | None:
        beside = self._beside
        if not beside.is_engine:
            return types.LoadResult(False, 'not_an_engine', 'A plain service.')
        if beside.is_draining:
            return types.LoadResult(False, 'draining', 'The host is leaving.')
        if not beside.engine_incarnation:
            return types.LoadResult(False, 'engine_down', 'No engine.')
        if beside.residency.holds(order.ref):
            return types.LoadResult(True, 'resident', 'Already resident.')
        for ref in (order.ref, *order.evict):
            if beside.residency.is_unsettled(ref):
                reason = f'An earlier order for {ref.lora_name} is unsettled.'
                return types.LoadResult(False, 'unsettled', reason)
        for ref in order.evict:
            if not beside.may_evict(ref):
                reason = f'{ref.lora_name} is serving a request.'
                return types.LoadResult(False, 'adapter_in_use', reason)
        return None

    def _carry_out(self, order: types.LoadOrder) -> types.LoadResult:
        beside = self._beside
        incarnation = beside.engine_incarnation
        beside.residency.loading = order.ref
        beside.notify()
        outcome = types.LoadResult(True, 'loaded', 'Loaded.')
        try:
            with self._active():
                self._send(order)
        except errors.InvariantError as error:
            beside.count_violation(error)
            outcome = types.LoadResult(False, 'adapter_in_use', str(error))
        except errors.PlatformError as error:
            log.warning('Load of %s failed: %s.', order.ref, error)
            outcome = types.LoadResult(False, _code(error), str(error))
        finally:
            self._finish()
        is_same = beside.engine_incarnation == incarnation
        if outcome.ok and not (is_same and beside.residency.holds(order.ref)):
            return types.LoadResult(
                False, 'load_unconfirmed', 'The engine does not report it.'
            )
        return outcome

    def _finish(self) -> None:
        self._beside.refresh()
        self._beside.residency.loading = None
        self._beside.notify()

    def _send(self, order: types.LoadOrder) -> None:
        beside = self._beside
        # Only what the engine reports is unloaded: the absence of any other
        # adapter would not show later that an uncertain unload is over.
        evicted = [ref for ref in order.evict if beside.residency.holds(ref)]
        with beside.residency.evicting(evicted):
            beside.notify()
            for ref in evicted:
                with self._settling(ref, becomes_resident=False):
                    beside.http.unload(ref, self.owner.token())
                beside.metrics.record_eviction()
        with self._settling(order.ref, becomes_resident=True):
            beside.http.load(order.ref, order.source, self.owner.token())

    @contextlib.contextmanager
    def _active(self) -> Generator[None, None, None]:
        self.count += 1
        self.is_active = True
        try:
            yield
        finally:
            self.is_active = False
            self.count += 1

    @contextlib.contextmanager
    def _settling(
        self, ref: types.AdapterRef, *, becomes_resident: bool
    ) -> Generator[None, None, None]:
        incarnation = self._beside.engine_incarnation
        try:
            yield
        except errors.UncertainWriteError:
            self._unsettle(ref, incarnation, becomes_resident=becomes_resident)
            raise
        except errors.PlatformError:
            # The engine has answered, or was not reached: the order is over.
            raise
        except BaseException:
            # The task was ended while the order was on its way.
            self._unsettle(ref, incarnation, becomes_resident=becomes_resident)
            raise

    def _unsettle(
        self, ref: types.AdapterRef, incarnation: str, *, becomes_resident: bool
    ) -> None:
        self._beside.residency.unsettle(
            ref,
            becomes_resident=becomes_resident,
            is_same_process=incarnation == self._beside.engine_incarnation,
        )


@functools.singledispatch
def _code(error: errors.PlatformError) -> str:
    """Return the code of a failed order for the planner."""
    return 'load_failed'


@_code.register
def _fenced(error: errors.ConflictError) -> str:
    return 'fenced'


@_code.register
def _not_owner(error: ownership.NotOwnerError) -> str:
    return 'not_owner'
