"""The upstream host: its upstream, what it holds, and its status."""

import itertools

import eventlet
from eventlet import event, semaphore

from ivystep.core import errors, ids, types
from ivystep.runtime import clock, logs
from ivystep.settings import models
from ivystep.sidecar import attempts, residency, upstream

MAX_CRASH_FINGERPRINTS = 256
CRASH_RETENTION_S = 3600.0
UNHEALTHY_AFTER_FAILURES = 2

log = logs.get('sidecar')


class UpstreamHost:
    """One upstream and its state, owned by this sidecar incarnation."""

    def __init__(self, upstream_id: str, settings: models.Upstream) -> None:
        self.upstream_id = upstream_id
        self.incarnation = ids.new_id('inc')
        self.engine_incarnation = ''
        self.is_healthy = False
        self.is_draining = False
        self.setup_version = 0
        self.max_running = settings.max_running
        self.fencing_token = 0
        self.attempts = attempts.AttemptLog()
        self.residency = residency.Residency(settings.slots)
        self.http = upstream.UpstreamHttp(settings.url, settings.max_running)
        self._is_engine = settings.kind == 'engine'
        self._health_interval_s = settings.health_interval_s
        self._sequence = itertools.count(1)
        self._crashes: list[tuple[float, bytes]] = []
        self._changed = event.Event()
        self._load_lock = semaphore.Semaphore(1)

    @classmethod
    def from_config(cls, settings: models.SidecarSettings) -> 'UpstreamHost':
        """Build the host that a sidecar's settings describe."""
        return cls(settings.process.id, settings.upstream)

    def status(self) -> types.UpstreamStatus:
        """Return the status to report to entries."""
        horizon = clock.now() - CRASH_RETENTION_S
        kept = [crash for crash in self._crashes if crash[0] > horizon]
        self._crashes = kept
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
            crash_fingerprints=tuple(
                fingerprint for _, fingerprint in self._crashes
            ),
        )

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the status changes.

        Args:
            timeout_s: Longest wait in seconds.
        """
        with eventlet.Timeout(timeout_s, exception=False):
            self._changed.wait()

    def notify(self) -> None:
        """Wake the tasks that report the status."""
        changed = self._changed
        self._changed = event.Event()
        changed.send()

    def load(self, order: types.LoadOrder) -> types.LoadResult:
        """Evict the named adapters and load one.

        Args:
            order: The order of the pool's planner.

        Returns:
            The outcome; adapters in use are never evicted.
        """
        with self._load_lock:
            if self.residency.holds(order.ref):
                return types.LoadResult(True, 'resident', 'Already resident.')
            self.residency.loading = order.ref
            self.notify()
            try:
                self._evict_and_load(order)
            except errors.InvariantError as error:
                return types.LoadResult(False, 'adapter_in_use', str(error))
            except errors.PlatformError as error:
                log.warning('Load of %s failed: %s.', order.ref, error)
                self.refresh()
                return types.LoadResult(False, 'load_failed', str(error))
            finally:
                self.residency.loading = None
                self.notify()
        return types.LoadResult(True, 'loaded', 'Loaded.')

    def monitor(self) -> None:
        """Watch the upstream's health and incarnation until killed."""
        failures = 0
        while True:
            failures = 0 if self.refresh() else failures + 1
            if failures >= UNHEALTHY_AFTER_FAILURES and self.is_healthy:
                log.warning('Upstream %s is unhealthy.', self.upstream_id)
                self.is_healthy = False
                self.notify()
            clock.sleep(self._health_interval_s)

    def refresh(self) -> bool:
        """Read incarnation and residency from the upstream.

        Returns:
            Whether the upstream answered.
        """
        try:
            incarnation = self.http.incarnation()
            refs = self.http.resident() if self._is_engine else set()
        except errors.PlatformError:
            return False
        if incarnation != self.engine_incarnation:
            self._adopt(incarnation, refs)
        elif self.residency.loading is None:
            self.residency.reconcile(refs)
        if not self.is_healthy:
            self.is_healthy = True
            self.notify()
        return True

    def record_crash(self, engine_incarnation: str) -> None:
        """Keep the fingerprints that were running when the engine failed.

        Args:
            engine_incarnation: Incarnation that failed; each is counted once.
        """
        if engine_incarnation != self.engine_incarnation:
            return
        current = clock.now()
        self.engine_incarnation = ''
        self.is_healthy = False
        self.residency.replace(())
        for fingerprint in self.attempts.running_fingerprints:
            self._crashes.append((current, fingerprint))
        del self._crashes[:-MAX_CRASH_FINGERPRINTS]
        log.warning('Upstream %s failed.', self.upstream_id)
        self.notify()

    def _evict_and_load(self, order: types.LoadOrder) -> None:
        engine = self.engine_incarnation
        for ref in order.evict:
            self.residency.remove_idle(ref)
            self.notify()
            self.http.unload(ref, self.fencing_token)
        self.http.load(order.ref, order.source, self.fencing_token)
        if engine != self.engine_incarnation:
            raise errors.UnavailableError(
                'the engine was restarted', step='load'
            )
        self.residency.add(order.ref)

    def _adopt(self, incarnation: str, refs: set[types.AdapterRef]) -> None:
        log.info(
            'Upstream %s has incarnation %s.', self.upstream_id, incarnation
        )
        self.engine_incarnation = incarnation
        self.residency.replace(refs)
        self.notify()
