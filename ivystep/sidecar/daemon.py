"""The sidecar daemon."""

import typing

import eventlet
from eventlet import wsgi

from ivystep.metrics import operators_app, registry
from ivystep.platform import table
from ivystep.runtime import clock, drain, logs
from ivystep.settings import models
from ivystep.sidecar import host, ownership, server
from ivystep.wire import listener, tls

CUT_OFF_S = 2.0
POLL_S = 0.02

log = logs.get('sidecar')


def run(settings: models.SidecarSettings) -> None:
    """Run a sidecar until it has drained after SIGTERM.

    Args:
        settings: The validated settings.
    """
    SidecarDaemon(settings).run()


class SidecarDaemon:
    """All parts of one sidecar.

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: models.SidecarSettings) -> None:
        self.settings = settings
        self.metrics = registry.Metrics()
        self.beside = host.UpstreamHost(
            settings.process.id, settings.upstream, self.metrics
        )
        self._owner: ownership.LeaseOwner | None = None
        if self.beside.is_engine:
            self._owner = self._lease_owner()
            self.beside.orders.owner = self._owner

    def run(self) -> None:
        """Serve until drained after SIGTERM."""
        signals = drain.DrainSignal()
        signals.install()
        contexts = tls.TlsContexts(self.settings.tls.files)
        entries = eventlet.listen(self.settings.listen.socket_address)
        operators = eventlet.listen(self.settings.operators.socket_address)
        self._serve_operators(operators)
        eventlet.spawn(self.beside.monitor)
        keeper = self._owner.start() if self._owner else None
        eventlet.spawn(
            listener.serve,
            entries,
            contexts,
            tls.ENTRY_NAME,
            server.SidecarServer(self.beside).serve,
        )
        log.info(
            'Sidecar %s serves incarnation %s.',
            self.beside.upstream_id,
            self.beside.incarnation,
        )
        signals.wait()
        self._drain(signals)
        if keeper is not None and self._owner is not None:
            keeper.kill()
            self._owner.release()
        entries.close()
        log.info('Sidecar %s stopped.', self.beside.upstream_id)

    def status(self) -> operators_app.ProcessStatus:
        """Return the status for operators."""
        beside = self.beside
        problems = []
        if not beside.is_healthy:
            problems.append('The upstream does not answer its health check.')
        if beside.is_draining:
            problems.append('The sidecar is stopping.')
        return operators_app.ProcessStatus(
            process_id=beside.upstream_id,
            role='sidecar',
            is_ready=beside.is_healthy,
            is_draining=beside.is_draining,
            setup_version=beside.setup_version,
            setup_age_s=0.0,
            problems=tuple(problems),
            details={
                'running': beside.attempts.running,
                'resident': len(beside.residency.snapshot()),
                'invariant_violations': beside.violations,
            },
        )

    def _drain(self, signals: drain.DrainSignal) -> None:
        beside = self.beside
        log.info('Sidecar %s drains.', beside.upstream_id)
        beside.is_draining = True
        beside.notify()
        # Entries get the time of the notice to place their requests elsewhere.
        # It counts towards the deadline, so that a second signal ends it too.
        noticed = clock.now() + self.settings.drain.notice_s
        is_done = signals.finish(
            lambda: clock.now() >= noticed and beside.is_idle,
            self.settings.drain.deadline_s,
        )
        if is_done:
            return
        beside.cut_off()
        deadline = clock.now() + CUT_OFF_S
        while beside.attempts.running and clock.now() < deadline:
            clock.sleep(POLL_S)

    def _lease_owner(self) -> ownership.LeaseOwner:
        platform = self.settings.platform
        return ownership.LeaseOwner.from_table(
            table.TableClient(platform.table_url, platform.timeout_s),
            self.beside.upstream_id,
            self.beside.incarnation,
            self.settings.upstream.lease_s,
            checks_fencing=self.settings.upstream.checks_fencing,
        )

    def _serve_operators(self, operators: typing.Any) -> None:
        app = operators_app.OperatorsApp(self.metrics, self.status)
        eventlet.spawn(
            wsgi.server, operators, app, log_output=False, debug=False
        )
