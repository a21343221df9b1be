"""The gateway daemon."""

import signal
import typing
from collections.abc import Callable, Mapping

import eventlet
from eventlet import wsgi

from ivystep.coordination import retry_budget
from ivystep.core import types
from ivystep.entry import peer_server
from ivystep.gateway import (
    believed,
    callers,
    configuration,
    dispatch,
    engine_link,
    events,
    feeds,
    leadership,
    measures,
    membership,
    model_keeper,
    model_pools,
    news,
    prefill_queues,
    reception,
)
from ivystep.metrics import operators_app, registry
from ivystep.platform import (
    engine_api,
    operator_config,
    readiness,
    rows,
    table,
    upstream_entries,
)
from ivystep.policy import load_times
from ivystep.runtime import clock, drain, event_log
from ivystep.settings import gateway as settings_models
from ivystep.traffic import contracts
from ivystep.wire import listener as wire_listener
from ivystep.wire import tls

BACKLOG = 1024
# Time for which new connections are still accepted after the signal to stop:
# the platform asks for readiness once a second and needs two refusals.
NOTICE_S = 2.6
# Time before the platform ends the process in which answers are broken off.
ABORT_S = 0.4
IDLE_SWEEP_S = 0.5
# Hosts that share the reserve of retries until their number is known.
EXPECTED_HOSTS = 16
# Part of the allowed retries that is used; the rest covers hosts that come and
# go faster than the others hear of them.
RETRY_SHARE = 0.5


class _Versions:
    """``SetupSource`` for peers: a gateway hands no setup on."""

    def __init__(self, config: configuration.Configuration) -> None:
        self._config = config
        self._sections: dict[str, bytes] = {}

    def version(self) -> int:
        """Return the version in force here, 0 if none."""
        return self._config.version

    def announce_version(self, version: int) -> None:
        """Take note of a version; the store's feed brings it."""

    def manifest(self) -> tuple[int, dict[str, str]]:
        """Return no sections."""
        return self._config.version, {}

    def section(self, digest: str) -> bytes | None:
        """Return no section."""
        return self._sections.get(digest)


class GatewayDaemon:
    """All parts of one gateway.

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: settings_models.GatewaySettings) -> None:
        self.settings = settings
        self.is_ready = True
        self._hosts = 0
        self._signals = drain.DrainSignal()
        self._tasks: list[typing.Any] = []
        host = settings.process.id
        self._metrics = registry.Metrics()
        self._measures = measures.Measures(self._metrics)
        self._log = event_log.EventLog('gateway', host, self._measures.observe)
        self._door = callers.Door()
        self._times = load_times.LoadTimes()
        self._budgets = retry_budget.RetryBudgets(
            ratio=settings.bounds.retry_ratio * RETRY_SHARE,
            reserve=self._reserve(EXPECTED_HOSTS),
        )
        self._gates = prefill_queues.PrefillQueues()
        self._api = engine_api.EngineClient()
        self._link_by_upstream: dict[
            believed.Upstream, engine_link.EngineLink
        ] = {}
        self._rows = rows.RowsClient.connect(
            settings.store.url,
            settings.store.timeout_s,
            self._measures.on_store_call,
        )
        self._config = configuration.Configuration(
            self._log, self._on_config, self._on_version
        )
        self._membership = membership.Membership(
            self._log, self._on_change, self._on_removed
        )
        self._board = news.NewsBoard(
            host,
            self._on_news,
            self._own_load,
            self._on_loads,
            self._on_hosts,
        )
        self._duty = leadership.Leadership(
            table.TableClient(
                settings.store.url,
                settings.store.timeout_s,
                on_call=self._measures.on_store_call,
            ),
            host,
            settings.addresses.peers,
            leadership.LeadershipTimings(
                settings.bounds.lease_s, settings.bounds.handover_delay_s
            ),
            board=self._board,
            on_active=self._refresh,
            gates=self._gates,
            log=self._log,
        )
        self._pools = model_pools.ModelPools(
            host,
            settings.process.data_centre,
            self._duty.sink,
            self._link,
            self._may_order,
            self._times,
            self._metrics,
        )
        self._ordering = engine_link.Ordering(
            self._api,
            self._duty.authority,
            self._on_change,
            self._places,
            self._pools.is_cached,
            self._board,
            self._times,
            self._log,
        )
        self._keeper = model_keeper.ModelKeeper(
            self._membership, self._config, self._duty, self._link, self._log
        )
        self._reception = reception.Reception(
            self._config,
            dispatch.Dispatcher(
                self._pools,
                self._membership,
                self._config,
                self._budgets,
                self._on_change,
                self._duty.wait_for_permit,
                self._log,
                settings.bounds.version_s,
            ),
            self._metrics,
            self._log,
        )

    @classmethod
    def from_config(
        cls, settings: settings_models.GatewaySettings
    ) -> typing.Self:
        """Build the gateway that the settings describe."""
        return cls(settings)

    def run(self) -> None:
        """Serve until drained after SIGTERM."""
        self._signals.install()
        signal.signal(signal.SIGHUP, self._on_hangup)
        listener = self.start()
        self._signals.wait()
        self.drain(listener)
        self._log.write(events.Stopped(self._door.requests))

    def start(self) -> typing.Any:
        """Start all tasks and return the listener for callers."""
        self._start_background()
        listener = eventlet.listen(
            self.settings.addresses.callers, backlog=BACKLOG
        )
        self._spawn(callers.serve, listener, self._door, self._reception.answer)
        self._log.write(
            events.Started(
                _text(self.settings.addresses.callers),
                self.settings.process.data_centre,
            )
        )
        return listener

    def drain(self, listener: typing.Any) -> None:
        """Stop without cutting off a request before the platform does.

        Args:
            listener: The listener for callers.
        """
        started = clock.now()
        self.is_ready = False
        self._door.is_closing = True
        self._log.write(
            events.Draining(
                self._door.requests, len(self._door.open_connections)
            )
        )
        self._duty.release()
        clock.sleep(NOTICE_S)
        listener.close()
        end = started + self.settings.bounds.grace_s - ABORT_S
        while self._door.open_connections and clock.now() < end:
            self._door.close_idle()
            clock.sleep(drain.POLL_S)

    def stop(self) -> None:
        """End all tasks at once, for programs that embed a gateway."""
        while self._tasks:
            self._tasks.pop().kill()

    def status(self) -> operators_app.ProcessStatus:
        """Return the status for operators."""
        return operators_app.ProcessStatus(
            process_id=self.settings.process.id,
            role='gateway',
            is_ready=self._takes_connections(),
            is_draining=not self.is_ready,
            setup_version=self._config.version,
            setup_age_s=0.0,
            details={
                'upstreams': len(self._membership.upstream_by_id),
                'requests': self._door.requests,
                'holder': self._duty.holder,
                'hosts': self._hosts,
            },
        )

    def _takes_connections(self) -> bool:
        return self.is_ready and self._config.current is not None

    def _spawn(
        self,
        task: Callable[..., typing.Any],
        *arguments: typing.Any,
        **named: typing.Any,
    ) -> None:
        self._tasks.append(eventlet.spawn(task, *arguments, **named))

    def _start_background(self) -> None:
        addresses = self.settings.addresses
        store = self.settings.store
        self._spawn(
            wsgi.server,
            eventlet.listen(addresses.readiness),
            readiness.ReadinessApp(self._takes_connections),
            log_output=False,
        )
        self._spawn(
            wsgi.server,
            eventlet.listen(addresses.operators),
            operators_app.OperatorsApp(self._metrics, self.status),
            log_output=False,
        )
        self._spawn(
            wire_listener.serve,
            eventlet.listen(addresses.peers),
            None,
            tls.ENTRY_NAME,
            peer_server.PeerServer(
                self.settings.process.id,
                self._planner,
                _Versions(self._config),
                self._board.serve,
                self._gates.answer,
            ).handle,
        )
        self._spawn(
            feeds.TableFeed(
                self._rows,
                operator_config.TABLE,
                self._config,
                self._log,
                wait_s=store.config_wait_s,
                pause_s=0.0,
            ).run
        )
        self._spawn(
            feeds.TableFeed(
                self._rows,
                upstream_entries.TABLE,
                self._membership,
                self._log,
                wait_s=store.config_wait_s,
                pause_s=store.upstream_pause_s,
            ).run
        )
        self._spawn(self._duty.run)
        self._spawn(self._duty.follow)
        self._spawn(self._keeper.run)
        self._spawn(self._sweep)
        self._spawn(self._lead)
        self._spawn(self._measures.watch_loop)

    def _planner(self, name: str) -> typing.Any:
        target = self._pools.named(name)
        return None if target is None else target.planner

    def _may_order(self) -> bool:
        return self._duty.authority() is not None

    def _link(self, upstream: believed.Upstream) -> engine_link.EngineLink:
        link = self._link_by_upstream.get(upstream)
        if link is None:
            link = engine_link.EngineLink(upstream, self._ordering)
            self._link_by_upstream[upstream] = link
        return link

    def _places(self, upstream: believed.Upstream) -> int:
        config = self._config.current
        service = config and config.service_by_name.get(upstream.entry.service)
        if not service or service.engine is None:
            return 0
        models = tuple(upstream.entry.held_model_by_name)
        return service.engine.adapter_places(models)

    def _on_config(self, config: contracts.RouteConfig) -> None:
        self._door.limits = config.limits
        self._pools.configure(config)
        self._refresh()

    def _on_version(self, ref: types.AdapterRef) -> None:
        previous = self._config.previous(ref, self.settings.bounds.version_s)
        if previous is not None:
            self._pools.rename(previous, ref)

    def _on_change(self, upstream: believed.Upstream) -> None:
        known = self._membership.upstream_by_id.get(upstream.upstream_id)
        if known is upstream:
            self._pools.update(upstream)
        if upstream.is_draining:
            self._gates.close(upstream.entry.incarnation)

    def _on_removed(self, upstream: believed.Upstream) -> None:
        self._link_by_upstream.pop(upstream, None)
        self._gates.close(upstream.entry.incarnation)
        self._pools.remove(upstream)

    def _on_news(self, told: news.AdapterNews) -> None:
        if told.is_held and told.ready_in_s > 0:
            eventlet.spawn_after(told.ready_in_s, self._learn, told)
        else:
            self._learn(told)

    def _on_hosts(self, hosts: int) -> None:
        self._hosts = hosts
        self._budgets.limit(self._reserve(hosts))

    def _reserve(self, hosts: int) -> float:
        """Return the retries of a service that this host may save up."""
        return self.settings.bounds.retry_extra * RETRY_SHARE / hosts

    def _own_load(self) -> dict[str, int]:
        return {
            upstream.upstream_id: upstream.in_progress
            for upstream in self._membership.upstream_by_id.values()
            if upstream.in_progress
        }

    def _on_loads(self, running: Mapping[str, int]) -> None:
        for upstream in list(self._membership.upstream_by_id.values()):
            total = running.get(upstream.upstream_id, 0)
            upstream.running_elsewhere = max(total - upstream.in_progress, 0)
            self._on_change(upstream)

    def _learn(self, told: news.AdapterNews) -> None:
        upstream = self._membership.upstream_by_id.get(told.upstream_id)
        if upstream is None:
            return
        now = clock.now()
        if told.is_held:
            upstream.replace_version(told.ref, now)
        else:
            upstream.learn(told.ref, now, is_held=False)
        self._on_change(upstream)

    def _refresh(self) -> None:
        for upstream in list(self._membership.upstream_by_id.values()):
            self._on_change(upstream)

    def _lead(self) -> None:
        """Take over all hosts' loads while this host has the duty."""
        while True:
            clock.sleep(news.HEARTBEAT_S)
            if self._duty.is_leader:
                self._board.lead()

    def _sweep(self) -> None:
        """Close idle connections to upstreams before the upstreams do."""
        while True:
            clock.sleep(IDLE_SWEEP_S)
            for upstream in list(self._membership.upstream_by_id.values()):
                upstream.connections.drop_expired()

    def _on_hangup(self, number: int, frame: typing.Any) -> None:
        # The handler runs inside an arbitrary task.
        eventlet.spawn_after(
            0,
            self._log.write,
            events.Reloaded(self.settings.process.log_level),
        )


def _text(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
