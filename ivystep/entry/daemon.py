"""Runs the entry daemon: the server for callers and background tasks."""

import typing
from collections.abc import Callable

import eventlet

from ivystep.coordination import claims, retry_budget
from ivystep.core import types, units
from ivystep.entry import (
    api,
    connections,
    dispatch,
    isolation,
    membership,
    peer_server,
    peers,
    pools,
    progress,
    setup_exchange,
)
from ivystep.metrics import listener_metrics, operators_app, registry
from ivystep.platform import hosts, objects, table
from ivystep.runtime import (
    background,
    clock,
    descriptor_limit,
    drain,
    listeners,
    logs,
    page_server,
    process,
)
from ivystep.settings import models
from ivystep.setup import poller, store
from ivystep.wire import listener as wire_listener
from ivystep.wire import tls

MAX_CONNECTIONS = 2048
# Time for aborted requests to send their last answer: the revocation of an
# attempt takes up to 1 s, the close of a connection up to 2 s.
ABORT_GRACE_S = 4.0
CONFIGURE_INTERVAL_S = 0.2
# Bytes that the kernel holds unread for one connection. Without a bound, those
# of a few hundred callers exceed the memory of all else.
UNREAD_BYTES = 32 * units.KIB
LISTENER_PURPOSES = ('callers', 'operators', 'peers')

log = logs.get('entry')


class DrainDeadline(typing.Protocol):
    """The part of ``drain.DrainSignal`` that the drain uses."""

    @property
    def delay_s(self) -> float:
        """Time in seconds from the signal to the start of the drain."""

    def finish(self, is_idle: Callable[[], bool], deadline_s: float) -> bool:
        """Wait until idle; return False if the deadline passes first."""


def run(settings: models.EntrySettings, reload: process.Reload) -> None:
    """Run an entry until it has drained after SIGTERM.

    Args:
        settings: The validated settings.
        reload: Called on SIGHUP.
    """
    EntryDaemon.from_config(settings).run(reload)


class EntryDaemon:
    """One entry and its components.

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: models.EntrySettings) -> None:
        platform = settings.platform
        self.settings = settings
        self.is_ready = True
        self._callers: listeners.Listener | None = None
        self._tasks = background.BackgroundTasks(logs.event_writer('entry'))
        rows = table.TableClient(platform.table_url, platform.timeout_s)
        self.setup = store.SetupStore(
            rows,
            objects.ObjectsClient(platform.objects_url, platform.timeout_s),
        )
        self.metrics = registry.Metrics()
        self._report = listener_metrics.ListenerMetrics(
            self.metrics, LISTENER_PURPOSES
        ).record_and(logs.event_writer('entry'))
        self.exchange = setup_exchange.SetupExchange(self.setup)
        self.contexts = tls.TlsContexts(settings.tls.files)
        self.peers = peers.Peers(
            settings.process.id,
            self.contexts,
            self.exchange.version,
            self.exchange.announce_version,
        )
        suspects = isolation.Isolation()
        self.pools = pools.Pools(
            settings.process.id,
            settings.process.data_centre,
            self.peers.sink,
            suspects,
            self._on_status,
            self.metrics,
        )
        self.membership = membership.Membership(
            settings.process.id,
            hosts.HostsClient(platform.hosts_url, platform.timeout_s),
            self.contexts,
            self.pools,
            self.peers,
        )
        self.server_state = connections.ServerState(
            settings.requests.read_timeout_s
        )
        self.in_progress = progress.RequestRegistry()
        self.api = api.CallerApi(
            self.setup.current_for_request,
            dispatch.Dispatcher(
                self.pools,
                retry_budget.RetryBudgets(),
                suspects,
                self.metrics,
            ),
            claims.ClaimLog(rows, settings.process.id),
            self.in_progress,
            settings.requests,
            self.metrics,
        )

    @classmethod
    def from_config(cls, settings: models.EntrySettings) -> typing.Self:
        """Build the entry that the settings describe."""
        return cls(settings)

    def run(self, reload: process.Reload) -> None:
        """Serve until SIGTERM or SIGINT, then drain.

        Args:
            reload: Called on SIGHUP.
        """
        signals = drain.DrainSignal.of_process()
        signals.install()
        self._start_background()
        self._callers = self._listen('callers', self.settings.listen)
        server = eventlet.spawn(
            connections.serve,
            self._callers,
            self.api,
            self.server_state,
            min(MAX_CONNECTIONS, descriptor_limit.caller_connections()),
        )
        log.info('Entry %s is serving callers.', self.settings.process.id)
        signals.wait(reload)
        log.info('Entry %s is draining.', self.settings.process.id)
        self.drain(server, self._callers, signals)
        log.info('Entry %s stopped.', self.settings.process.id)

    def drain(
        self, server: typing.Any, listener: typing.Any, signals: DrainDeadline
    ) -> None:
        """Stop without interrupting a request before the drain deadline.

        Readiness fails first, while the listener stays open for as long as
        load balancers need to notice it.

        Args:
            server: The task that accepts callers.
            listener: Its listening socket.
            signals: Tells when the remaining requests must end.
        """
        self.is_ready = False
        self.server_state.is_closing = True
        clock.sleep(self.settings.drain.notice_s)
        self.close_listener(server, listener)
        deadline_s = self.settings.drain.deadline_s
        self.in_progress.require_end_by(
            clock.now() + deadline_s - signals.delay_s
        )
        if not signals.finish(self._is_idle, deadline_s):
            self.in_progress.on_drain_deadline()
            abort_deadline = clock.now() + ABORT_GRACE_S
            while not self._is_idle() and clock.now() < abort_deadline:
                clock.sleep(drain.POLL_S)

    def close_listener(self, server: typing.Any, listener: typing.Any) -> None:
        """Accept no more connections and close idle ones.

        The steps do not yield to other tasks, so that no connection is
        accepted by the kernel and then reset.

        Args:
            server: The task that accepts callers.
            listener: Its listening socket.
        """
        self.server_state.is_closing = True
        self.server_state.mark_busy_connections()
        listener.close()
        server.kill()

    def status(self) -> operators_app.ProcessStatus:
        """Return the status for operators."""
        interval_s = self.settings.platform.poll_interval_s
        return operators_app.ProcessStatus(
            process_id=self.settings.process.id,
            role='entry',
            is_ready=self._accepts_connections(),
            is_draining=not self.is_ready,
            setup_version=self.exchange.version(),
            setup_age_s=self.setup.age_s,
            problems=tuple(self.setup.problems(interval_s)),
            details={'pools': len(self.pools)},
        )

    def _accepts_connections(self) -> bool:
        return (
            self.is_ready
            and self.setup.latest is not None
            and self._callers is not None
            and self._callers.is_open
        )

    def _listen(
        self, purpose: str, address: models.Listen
    ) -> listeners.Listener:
        return listeners.Listener.open(
            purpose,
            address.socket_address,
            self._report,
            unread_bytes=UNREAD_BYTES,
        )

    def _is_idle(self) -> bool:
        return self.in_progress.is_idle and self.server_state.is_empty

    def _start_background(self) -> None:
        settings = self.settings
        interval_s = settings.platform.poll_interval_s
        setup_poller = poller.SetupPoller(
            self.setup,
            interval_s,
            read_timeout_s=settings.platform.timeout_s,
        )
        self._tasks.spawn(setup_poller.run)
        self._tasks.spawn(self._configure_pools)
        self._tasks.spawn(self.membership.follow, interval_s)
        self._tasks.spawn(self.peers.spread_version)
        self._tasks.spawn(self.exchange.follow_peers, self.peers.reachable)
        self._tasks.spawn(
            wire_listener.serve,
            self._listen('peers', settings.peers),
            self.contexts,
            tls.ENTRY_NAME,
            peer_server.PeerServer(
                settings.process.id, self.pools.planner, self.exchange
            ).handle,
        )
        operators = page_server.PageServer(
            self._listen('operators', settings.operators),
            operators_app.OperatorsApp(self.metrics, self.status),
        )
        self._tasks.spawn(operators.run)

    def _on_status(self, status: types.UpstreamStatus) -> None:
        self.exchange.announce_version(status.setup_version)

    def _configure_pools(self) -> None:
        configured_version = 0
        while True:
            latest = self.setup.latest
            if latest is not None and latest.version > configured_version:
                self.pools.configure(latest)
                configured_version = latest.version
            clock.sleep(CONFIGURE_INTERVAL_S)
