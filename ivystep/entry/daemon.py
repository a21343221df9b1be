"""The entry daemon."""

import typing
from collections.abc import Callable, Iterable

import eventlet
from eventlet import wsgi

from ivystep.coordination import claims, retry_budget
from ivystep.core import errors
from ivystep.entry import api, connections, dispatch, membership, progress
from ivystep.platform import hosts, objects, table
from ivystep.runtime import clock, drain, logs
from ivystep.settings import models
from ivystep.setup import store
from ivystep.wire import tls

MAX_CONNECTIONS = 2048
# Time in which requests that were told to give up send their last answer:
# a revocation takes up to 1 s, the close of a connection up to 2 s.
ABORT_GRACE_S = 4.0

log = logs.get('entry')


class Deadline(typing.Protocol):
    """What the drain needs of ``drain.DrainSignal``."""

    def finish(self, is_idle: Callable[[], bool], deadline_s: float) -> bool:
        """Wait until all is idle; False at the deadline."""


class EntryDaemon:
    """All parts of one entry.

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: models.EntrySettings) -> None:
        platform = settings.platform
        self.settings = settings
        self.is_ready = True
        rows = table.TableClient(platform.table_url, platform.timeout_s)
        self.setup = store.SetupStore(
            rows,
            objects.ObjectsClient(platform.objects_url, platform.timeout_s),
        )
        self._pool_by_name: dict[str, typing.Any] = {}
        self.membership = membership.Membership(
            settings.process.id,
            hosts.HostsClient(platform.hosts_url, platform.timeout_s),
            tls.TlsContexts(settings.tls.files),
            self._pool_by_name,
        )
        self.door = connections.Door(settings.requests.read_timeout_s)
        self.in_progress = progress.Progress()
        self.api = api.CallerApi(
            lambda: self.setup.current,
            dispatch.Dispatcher(
                self._pool_by_name, retry_budget.RetryBudgets()
            ),
            claims.ClaimLog(rows, settings.process.id),
            self.in_progress,
            settings.requests,
        )

    @classmethod
    def from_config(cls, settings: models.EntrySettings) -> typing.Self:
        """Build the entry that the settings describe."""
        return cls(settings)

    def run(self) -> None:
        """Serve until drained after SIGTERM."""
        signals = drain.DrainSignal()
        signals.install()
        interval_s = self.settings.platform.poll_interval_s
        eventlet.spawn(self._follow_setup, interval_s)
        eventlet.spawn(self.membership.follow, interval_s)
        operators = eventlet.listen(self.settings.operators.socket_address)
        eventlet.spawn(
            wsgi.server, operators, self._operators_app, log_output=False
        )
        listener = eventlet.listen(self.settings.listen.socket_address)
        server = eventlet.spawn(
            connections.serve,
            listener,
            self.api,
            self.door,
            MAX_CONNECTIONS,
        )
        log.info('Entry %s serves callers.', self.settings.process.id)
        signals.wait()
        log.info('Entry %s drains.', self.settings.process.id)
        self.drain(server, listener, signals)
        log.info('Entry %s stopped.', self.settings.process.id)

    def drain(
        self, server: typing.Any, listener: typing.Any, signals: Deadline
    ) -> None:
        """Stop without interrupting a request before the drain deadline.

        Readiness fails first, while the listener stays open for as long as
        load balancers need to notice.

        Args:
            server: The task that accepts callers.
            listener: Its listening socket.
            signals: Tells when the remaining requests must end.
        """
        self.is_ready = False
        self.door.is_closing = True
        clock.sleep(self.settings.drain.notice_s)
        self.close_listener(server, listener)
        if not signals.finish(self._is_idle, self.settings.drain.deadline_s):
            self.in_progress.on_drain_deadline()
            give_up = clock.now() + ABORT_GRACE_S
            while not self._is_idle() and clock.now() < give_up:
                clock.sleep(drain.POLL_S)

    def close_listener(self, server: typing.Any, listener: typing.Any) -> None:
        """Accept no more connections and close idle ones.

        No other task runs between these steps, so that no connection is
        accepted by the kernel and then reset.

        Args:
            server: The task that accepts callers.
            listener: Its listening socket.
        """
        self.door.is_closing = True
        self.door.keep_arrived()
        listener.close()
        server.kill()

    def _is_idle(self) -> bool:
        return self.in_progress.is_idle and self.door.is_empty

    def _follow_setup(self, interval_s: float) -> None:
        while True:
            try:
                self.setup.refresh()
            except errors.IvystepError as error:
                log.warning('Setup not read: %s.', error)
            clock.sleep(interval_s)

    def _operators_app(
        self,
        environ: dict[str, typing.Any],
        start_response: Callable[..., typing.Any],
    ) -> Iterable[bytes]:
        current = self.setup.current
        is_ready = self.is_ready and current is not None
        if environ['PATH_INFO'] == '/readyz' and not is_ready:
            start_response('503 Service Unavailable', [])
            return [b'not ready\n']
        start_response('200 OK', [('Content-Type', 'text/plain')])
        version = 0 if current is None else current.version
        return [f'setup_version {version}\n'.encode()]
