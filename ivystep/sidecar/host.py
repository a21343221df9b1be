"""Tracks one upstream: health, incarnation, residency and crashes."""

import itertools

import eventlet
from eventlet import event, greenthread, semaphore

from ivystep.core import errors, ids, types
from ivystep.metrics import registry
from ivystep.runtime import clock, logs
from ivystep.settings import models
from ivystep.sidecar import (
    attempts,
    crashes,
    handover,
    interrupts,
    orders,
    ownership,
    residency,
    upstream,
)

# A longer rest is taken for a mistake of the upstream.
MAX_REST_S = 3600.0
UNHEALTHY_AFTER_FAILURES = 2

log = logs.get('sidecar')


class UpstreamHost:
    """One upstream and its state, as known to this sidecar incarnation.

    Args:
        upstream_id: Name of the upstream.
        settings: The [upstream] section.
        metrics: Counts orders and invariant violations.
    """

    def __init__(
        self,
        upstream_id: str,
        settings: models.Upstream,
        metrics: registry.Metrics | None = None,
    ) -> None:
        self.upstream_id = upstream_id
        self.incarnation = ids.new_id('inc')
        self.engine_incarnation = ''
        self.is_engine = settings.kind == 'engine'
        self.is_healthy = False
        self.is_draining = False
        self.setup_version = 0
        self.max_running = settings.max_running
        self._resting_until = 0.0
        self.revision = 0
        self.violations = 0
        self.attempts = attempts.AttemptLog()
        self.residency = residency.Residency(settings.slots)
        self.http = upstream.UpstreamHttp.from_settings(settings)
        self.metrics = metrics or registry.Metrics()
        self.orders = orders.EngineOrders(self, ownership.UncheckedOwner())
        self.interrupts: set[interrupts.AttemptInterrupt] = set()
        self._health_interval_s = settings.health_interval_s
        self._sequence = itertools.count(1)
        self.crashes = crashes.CrashLog()
        self._handover = handover.Handover()
        self._unnamed_numbers = itertools.count(1)
        self._probe_by_incarnation: dict[str, greenthread.GreenThread] = {}
        self._changed = event.Event()
        self._read_lock = semaphore.Semaphore(1)

    def status(self) -> types.UpstreamStatus:
        """Return the status to report to entries."""
        return types.UpstreamStatus(
            upstream_id=self.upstream_id,
            sidecar_incarnation=self.incarnation,
            engine_incarnation=self.engine_incarnation,
            sequence=next(self._sequence),
            healthy=self.is_healthy,
            draining=self.is_draining,
            running=self.attempts.running,
            slots=self.residency.slots,
            max_running=self.max_running,
            resident_by_ref=self.residency.snapshot(),
            loading=self.residency.loading,
            setup_version=self.setup_version,
            crash_fingerprints=self.crashes.fingerprints(),
        )

    @property
    def is_idle(self) -> bool:
        """Whether no attempt and no order is in progress."""
        return not self.attempts.running and not self.orders.is_active

    def rest(self, asked_s: float) -> None:
        """Accept no attempts for as long as the upstream asks for.

        Args:
            asked_s: Duration in seconds; an earlier, longer one still counts.
        """
        until = clock.now() + min(asked_s, MAX_REST_S)
        self._resting_until = max(self._resting_until, until)

    @property
    def rest_s(self) -> float:
        """How much longer the upstream rests, in seconds; 0 if it does not."""
        return max(self._resting_until - clock.now(), 0.0)

    def interrupt_attempts(self) -> None:
        """Interrupt all attempts with an error that states their outcome."""
        for interrupt in tuple(self.interrupts):
            interrupt.interrupt(
                errors.RequestError(
                    'upstream_stopped',
                    'The upstream host stopped before the answer was complete.',
                    status=502,
                    ran=types.ExecutionStatus.UNKNOWN,
                    step='drain',
                    peer=self.upstream_id,
                )
            )

    def wait_for_change(self, revision: int, timeout_s: float) -> None:
        """Wait until the status has changed since the last report.

        Args:
            revision: Value of ``revision`` before the last status was read.
            timeout_s: Longest wait in seconds.
        """
        if self.revision != revision:
            return
        with eventlet.Timeout(timeout_s, exception=False):
            self._changed.wait()

    def notify(self) -> None:
        """Wake the tasks that send the status to entries."""
        self.revision += 1
        changed = self._changed
        self._changed = event.Event()
        changed.send()

    def load(self, order: types.LoadOrder) -> types.LoadResult:
        """Evict the named adapters and load one; see ``EngineOrders``."""
        return self.orders.load(order)

    def monitor(self) -> None:
        """Watch health and incarnation until the task is killed."""
        failures = 0
        while True:
            failures = 0 if self._try_refresh() else failures + 1
            if failures >= UNHEALTHY_AFTER_FAILURES and self.is_healthy:
                log.warning('Upstream %s is unhealthy.', self.upstream_id)
                self.is_healthy = False
                self.notify()
            if self.attempts.running:
                self.metrics.record_batch(
                    self.attempts.running, self.max_running
                )
            clock.sleep(self._health_interval_s)

    def refresh(self) -> bool:
        """Read incarnation and residency from the upstream.

        Returns:
            Whether the upstream answered.
        """
        # One snapshot at a time, so that an older one never replaces a newer.
        with self._read_lock:
            return self._read_upstream()

    def may_evict(self, ref: types.AdapterRef) -> bool:
        """Return whether no attempt can be running on an adapter."""
        return not (
            self.residency.is_in_use(ref) or self._handover.may_be_in_use(ref)
        )

    def confirm_failure(self, incarnation: str) -> bool:
        """Check whether a connection was lost because the upstream failed.

        The first attempt that loses its connection collects the running
        requests, before any of their attempts ends, and starts a probe that
        reads the upstream's identity. The others wait for the same probe.

        Args:
            incarnation: Upstream incarnation that the attempt ran on.

        Returns:
            Whether that incarnation has ended.
        """
        if self.crashes.is_recorded(incarnation):
            return True
        probe = self._probe_by_incarnation.get(incarnation)
        if probe is None:
            running = self.attempts.fingerprints_on(incarnation)
            # A separate task: this one is interrupted if its entry disconnects.
            probe = eventlet.spawn(self._probe, incarnation, running)
            self._probe_by_incarnation[incarnation] = probe
        return probe.wait()

    def mark_unreachable(self) -> None:
        """Accept no attempts until the upstream answers a health check.

        Otherwise an entry could use up all attempts of a request here before
        two health checks have failed.
        """
        if self.is_healthy:
            log.warning('Upstream %s refuses connections.', self.upstream_id)
            self.is_healthy = False
            self.notify()

    def count_violation(self, error: errors.InvariantError) -> None:
        """Log and count an invariant that did not hold.

        Args:
            error: The violation.
        """
        self.violations += 1
        self.metrics.record_invariant_violation()
        log.error('Invariant violated: %s.', error)

    def _read_upstream(self) -> bool:
        orders_before, failures_before = (
            self.orders.revision,
            self.crashes.count,
        )
        try:
            snapshot = self.http.read()
        except errors.PlatformError as error:
            log.debug('Upstream %s: %s.', self.upstream_id, error)
            return False
        if self.crashes.count != failures_before:
            # The snapshot may be of the process that has failed meanwhile.
            return False
        incarnation = snapshot.incarnation or self._unnamed_incarnation()
        if incarnation != self.engine_incarnation:
            self._replace_incarnation(incarnation, snapshot)
        elif (
            orders_before == self.orders.revision and not self.orders.is_active
        ):
            # A snapshot that overlaps an order may predate the order's effect.
            self._reconcile(snapshot)
        self._handover.record_snapshot(snapshot.refs, snapshot.running)
        if not self.is_healthy and not self._handover.blocks_attempts():
            self.is_healthy = True
            self.notify()
        return True

    def _try_refresh(self) -> bool:
        try:
            return self.refresh()
        except Exception:
            # The monitor must keep running; an upstream that it cannot read is
            # reported as unhealthy.
            log.exception(
                'The state of upstream %s cannot be read.', self.upstream_id
            )
            return False

    def _probe(self, incarnation: str, running: tuple[bytes, ...]) -> bool:
        try:
            current = self.http.process().incarnation
        except errors.PlatformError:
            current = None
        finally:
            self._probe_by_incarnation.pop(incarnation)
        # An upstream that answers without an incarnation has not failed.
        if current in {incarnation, ''}:
            return False
        self._record_crash(incarnation, running)
        return True

    def _record_crash(
        self, incarnation: str, running: tuple[bytes, ...]
    ) -> None:
        if not self.crashes.record(incarnation, running):
            return
        log.warning(
            'Upstream %s failed while it was running %s requests.',
            self.upstream_id,
            len(running),
        )
        if incarnation == self.engine_incarnation:
            self.engine_incarnation = ''
            self.is_healthy = False
            self.residency.replace(())
            self._handover.end()
        self.notify()

    def _replace_incarnation(
        self, incarnation: str, snapshot: upstream.UpstreamSnapshot
    ) -> None:
        earlier = self.engine_incarnation
        running = self.attempts.fingerprints_on(earlier)
        if earlier and running:
            # The attempts have not yet detected that their process has ended.
            self._record_crash(earlier, running)
        if earlier:
            self._handover.end()
        log.info(
            'Upstream %s has incarnation %s.', self.upstream_id, incarnation
        )
        self.engine_incarnation = incarnation
        self.residency.replace(snapshot.refs)
        self.notify()

    def _reconcile(self, snapshot: upstream.UpstreamSnapshot) -> None:
        before = self.residency.snapshot()
        self.residency.reconcile(snapshot.refs)
        if self.residency.snapshot().keys() != before.keys():
            self.notify()

    def _unnamed_incarnation(self) -> str:
        if self.engine_incarnation:
            return self.engine_incarnation
        return f'{self.incarnation}-{next(self._unnamed_numbers)}'
