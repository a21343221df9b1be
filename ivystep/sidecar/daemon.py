"""Runs the sidecar process: listeners, health monitor, lease and drain."""

import eventlet

from ivystep.metrics import listener_metrics, operators_app, registry
from ivystep.platform import table
from ivystep.runtime import (
    background,
    clock,
    drain,
    listeners,
    logs,
    page_server,
    process,
)
from ivystep.settings import models
from ivystep.sidecar import host, ownership, server
from ivystep.wire import listener, tls

# Time for interrupted attempts to send their outcome to their entries.
INTERRUPT_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02
LISTENER_PURPOSES = ('entries', 'operators')

log = logs.get('sidecar')


def run(settings: models.SidecarSettings, reload: process.Reload) -> None:
    """Run a sidecar until it has drained after SIGTERM.

    Args:
        settings: The validated settings.
        reload: Called on SIGHUP.
    """
    SidecarDaemon(settings).run(reload)


class SidecarDaemon:
    """Creates and runs the parts of one sidecar.

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: models.SidecarSettings) -> None:
        self.settings = settings
        self.metrics = registry.Metrics()
        self._report = listener_metrics.ListenerMetrics(
            self.metrics, LISTENER_PURPOSES
        ).record_and(logs.event_writer('sidecar'))
        self.upstream_host = host.UpstreamHost(
            settings.process.id, settings.upstream, self.metrics
        )
        self._entries: listeners.Listener | None = None
        self._tasks = background.BackgroundTasks(logs.event_writer('sidecar'))
        self._has_lease_task = False
        self._owner: ownership.LeaseOwner | None = None
        if self.upstream_host.is_engine:
            self._owner = self._lease_owner()
            self.upstream_host.orders.owner = self._owner

    def run(self, reload: process.Reload) -> None:
        """Serve until drained after SIGTERM.

        Args:
            reload: Called on SIGHUP.
        """
        signals = drain.DrainSignal.of_process()
        signals.install()
        contexts = tls.TlsContexts(self.settings.tls.files)
        self._entries = self._listen('entries', self.settings.listen)
        self._serve_operators(
            self._listen('operators', self.settings.operators)
        )
        eventlet.spawn(self._serve_entries, self._entries, contexts)
        signals.wait(reload)
        self._drain(signals)
        self._tasks.kill()
        if self._has_lease_task and self._owner is not None:
            self._owner.release()
        self._entries.close()
        log.info('Sidecar %s stopped.', self.upstream_host.upstream_id)

    def status(self) -> operators_app.ProcessStatus:
        """Return the status for operators."""
        upstream_host = self.upstream_host
        problems = []
        if not upstream_host.is_healthy:
            problems.append('The upstream does not answer its health check.')
        if not self._is_open():
            problems.append('The address for entries is not available.')
        if upstream_host.is_draining:
            problems.append('The sidecar is stopping.')
        return operators_app.ProcessStatus(
            process_id=upstream_host.upstream_id,
            role='sidecar',
            is_ready=upstream_host.is_healthy and self._is_open(),
            is_draining=upstream_host.is_draining,
            setup_version=upstream_host.setup_version,
            setup_age_s=0.0,
            problems=tuple(problems),
            details={
                'running': upstream_host.attempts.running,
                'resident': len(upstream_host.residency.snapshot()),
                'invariant_violations': upstream_host.violations,
            },
        )

    def _is_open(self) -> bool:
        return self._entries is not None and self._entries.is_open

    def _listen(
        self, purpose: str, address: models.Listen
    ) -> listeners.Listener:
        return listeners.Listener.open(
            purpose, address.socket_address, self._report
        )

    def _serve_entries(
        self, entries: listeners.Listener, contexts: tls.TlsContexts
    ) -> None:
        """Serve entries once they can connect, and take the lease then."""
        entries.wait_until_open()
        self._tasks.spawn(self.upstream_host.monitor)
        if self._owner is not None and not self.upstream_host.is_draining:
            self._has_lease_task = True
            self._tasks.spawn(self._owner.hold)
        log.info(
            'Sidecar %s is serving as incarnation %s.',
            self.upstream_host.upstream_id,
            self.upstream_host.incarnation,
        )
        self._tasks.spawn(
            listener.serve,
            entries,
            contexts,
            tls.ENTRY_NAME,
            server.SidecarServer(self.upstream_host).serve,
        )

    def _drain(self, signals: drain.DrainSignal) -> None:
        upstream_host = self.upstream_host
        log.info('Sidecar %s is draining.', upstream_host.upstream_id)
        upstream_host.is_draining = True
        upstream_host.notify()
        # Entries get notice_s to route their requests elsewhere. The wait
        # counts towards the deadline, so that a second signal ends it too.
        notice_end = clock.now() + self.settings.drain.notice_s
        is_done = signals.finish(
            lambda: clock.now() >= notice_end and upstream_host.is_idle,
            self.settings.drain.deadline_s,
        )
        if is_done:
            return
        upstream_host.interrupt_attempts()
        deadline = clock.now() + INTERRUPT_TIMEOUT_S
        while upstream_host.attempts.running and clock.now() < deadline:
            clock.sleep(POLL_INTERVAL_S)

    def _lease_owner(self) -> ownership.LeaseOwner:
        platform = self.settings.platform
        return ownership.LeaseOwner.from_table(
            table.TableClient(platform.table_url, platform.timeout_s),
            self.upstream_host.upstream_id,
            self.upstream_host.incarnation,
            self.settings.upstream.lease_s,
            checks_fencing=self.settings.upstream.checks_fencing,
        )

    def _serve_operators(self, operators: listeners.Listener) -> None:
        app = operators_app.OperatorsApp(self.metrics, self.status)
        self._tasks.spawn(page_server.PageServer(operators, app).run)
