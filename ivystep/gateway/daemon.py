"""The gateway daemon: builds all parts of a gateway and runs their tasks."""

import typing

from ivystep.core import types
from ivystep.gateway import (
    event_metrics,
    loop_lag,
    process_events,
    servers,
    upstream_changes,
)
from ivystep.gateway.loads import (
    engine_orders,
    leadership,
    model_pools,
    prefill_queues,
    residency_updates,
)
from ivystep.gateway.requests import (
    account_metrics,
    caller_metrics,
    callers,
    crashes,
    dispatch,
    draining,
    limited_upstreams,
    request_access,
    request_handler,
    request_log,
    safeguard,
    shared_state,
    version_choice,
)
from ivystep.gateway.store import (
    configuration,
    configuration_age,
    followed_tables,
    store_contact,
    table_progress,
    version_source,
)
from ivystep.gateway.upstreams import (
    centre_choice,
    host_shares,
    measurements,
    membership,
)
from ivystep.metrics import operators_app, registry
from ivystep.platform import rows
from ivystep.quotas import admission
from ivystep.runtime import (
    background,
    clock,
    drain,
    event_log,
    listeners,
    process,
)
from ivystep.settings import gateway as settings_models
from ivystep.stream_origins import origins
from ivystep.traffic import contracts

EXPIRY_INTERVAL_S = 60.0
# Heartbeat intervals of an outage in which entries of upstreams may expire.
# They do after three of silence, of which one may have passed before it.
INTERVALS_TO_EXPIRE = 2


def run(
    settings: settings_models.GatewaySettings, reload: process.Reload
) -> None:
    """Run a gateway until it has drained after SIGTERM.

    Args:
        settings: The validated settings.
        reload: Called on SIGHUP.
    """
    GatewayDaemon.from_config(settings).run(reload)


class GatewayDaemon:
    """A gateway process.

    Args:
        settings: The validated settings.
    """

    def __init__(self, settings: settings_models.GatewaySettings) -> None:
        self.settings = settings
        self.is_ready = True
        self._callers: listeners.Listener | None = None
        self._shares = host_shares.HostShares.from_config(settings.bounds)
        self._signals = drain.DrainSignal.of_process()
        host = settings.process.id
        self._metrics = registry.Metrics(account_metrics.MAX_ACCOUNT_LABELS)
        self._event_metrics = event_metrics.EventMetrics(self._metrics)
        self._log = event_log.EventLog(
            'gateway', host, self._event_metrics.record
        )
        self._tasks = background.BackgroundTasks(self._log.write)
        self._server_state = shared_state.ServerState.from_config(
            settings.capacity
        )
        caller_metrics.CallerMetrics(self._metrics, self._server_state)
        self._measured = measurements.Measurements.empty()
        self._prefill_queues = prefill_queues.PrefillQueues(
            self._measured.rates
        )
        contact = store_contact.StoreContact(
            INTERVALS_TO_EXPIRE * settings.bounds.heartbeat_s,
            self._event_metrics.on_store_call,
        )
        self._rows = rows.RowsClient.connect(
            settings.store.url, settings.store.timeout_s, contact.on_call
        )
        self._config = configuration.Configuration(
            self._log, self._on_config, self._on_version
        )
        self._origins = origins.StreamOrigins.from_store(self._rows, self._log)
        self._changes = upstream_changes.UpstreamChanges(
            self._origins,
            self._prefill_queues,
            lambda: self._leadership.is_leader,
        )
        self._membership = membership.Membership(
            self._log,
            self._changes.on_change,
            self._changes.on_removed,
            contact,
            settings.bounds.heartbeat_s,
            settings.peer_bounds,
        )
        self._centres = centre_choice.CentreChoice(
            settings,
            self._log,
            self._metrics,
            lambda: self._membership.upstream_by_id.values(),
        )
        self._progress = table_progress.SharedProgress(
            settings.bounds.leader_age_s,
            lambda: self._leadership.is_leader,
            contact.on_not_needed,
        )
        self._residency_updates = residency_updates.ResidencyUpdates(
            host,
            self._changes.on_residency_update,
            self._changes.own_requests,
            self._changes.on_requests_in_progress,
            self._shares.on_host_count,
            lambda: self._leadership.is_leader,
            residency_updates.HeartbeatContents(
                self._progress,
                lambda: self._leadership.renewal(),
                self._measured,
                self._centres.exchange,
            ),
        )
        self._leadership = leadership.Leadership.from_config(
            settings,
            contact.on_call,
            updates=self._residency_updates,
            on_active=self._changes.update_all,
            queues=self._prefill_queues,
            log=self._log,
        )
        self._quotas = admission.QuotaAdmission.from_config(
            host, self._leadership, settings.bounds, self._metrics, self._log
        )
        self._orders = engine_orders.EngineOrders(
            self._config,
            self._membership,
            self._leadership,
            self._residency_updates,
            self._measured.times,
            self._changes.on_change,
            lambda *cached: self._pools.is_cached(*cached),
            self._log,
        )
        self._pools = model_pools.ModelPools(
            host,
            self._centres,
            self._leadership.sink,
            self._orders.link_to,
            self._may_order,
            self._config.is_replaced,
            self._measured,
            self._metrics,
        )
        self._crashes = crashes.Crashes.from_store(self._rows, self._log)
        self._changes.connect(self._membership, self._orders, self._pools)
        self._versions = version_choice.VersionChoice(
            self._config, settings.bounds.version_s
        )
        self._followed = followed_tables.FollowedTables(
            self._rows, settings.store, self._progress, self._log
        )
        self._config_feed = self._followed.feed_of_configuration(self._config)
        config_age = configuration_age.ConfigurationAge(
            self._config,
            self._config_feed,
            self._progress,
            max(settings.bounds.config_age_s, settings.store.longest_read_s),
        )
        self._progress.add_source(config_age)
        self._access = request_access.RequestAccess.from_config(
            settings, self._config, self._log
        )
        self._safeguards = safeguard.Safeguards(
            self._shares.budgets,
            self._crashes,
            limited_upstreams.LimitedUpstreams(
                self._membership.upstream_by_id,
                lambda: self._shares.hosts,
                self._changes.on_change,
                self._log,
            ),
            self._access,
            self._server_state.stop,
        )
        requests_log = request_log.RequestLog(self._log, self._config)
        self._request_handler = request_handler.RequestHandler(
            self._config,
            dispatch.Dispatcher(
                self._pools,
                self._membership,
                self._versions,
                self._safeguards,
                self._changes.on_change,
                self._leadership.wait_for_permit,
                requests_log,
                self._origins,
            ),
            self._metrics,
            requests_log,
            config_age,
            self._quotas,
        )

    @classmethod
    def from_config(
        cls, settings: settings_models.GatewaySettings
    ) -> typing.Self:
        """Build a gateway from its settings."""
        return cls(settings)

    def run(self, reload: process.Reload) -> None:
        """Serve until SIGTERM, then drain.

        Args:
            reload: Called on SIGHUP.
        """
        self._signals.install()
        listener = self.start()
        self._signals.wait(reload)
        self.drain(listener)
        self._log.write(process_events.Stopped(self._server_state.requests))

    def start(self) -> typing.Any:
        """Start all tasks and return the listener for callers."""
        self._start_background()
        self._callers = listeners.Listener.open(
            'callers',
            self.settings.addresses.callers,
            self._log.write,
            self._server_state.plan.backlog,
            self._server_state.plan.unread_bytes,
        )
        self._tasks.spawn(
            callers.serve,
            self._callers,
            self._server_state,
            self._request_handler.handle,
        )
        self._log.write(process_events.memory_event(self._server_state.plan))
        self._log.write(
            process_events.Started(
                _format_address(self.settings.addresses.callers),
                self.settings.process.data_centre,
            )
        )
        return self._callers

    def drain(self, listener: typing.Any) -> None:
        """Drain: let requests in progress end within the grace period.

        Args:
            listener: The listener for callers.
        """
        self.is_ready = False
        draining.Drain(
            self._server_state,
            self._leadership.release,
            self.settings.bounds.grace_s,
            self._log,
            self._signals.delay_s,
        ).run(listener)

    def stop(self) -> None:
        """Kill all tasks; for programs that embed a gateway."""
        self._tasks.kill()

    def status(self) -> operators_app.ProcessStatus:
        """Return the status for operators."""
        return operators_app.ProcessStatus(
            process_id=self.settings.process.id,
            role='gateway',
            is_ready=self._accepts_connections(),
            is_draining=not self.is_ready,
            setup_version=self._config.version,
            setup_age_s=0.0,
            details={
                'upstreams': len(self._membership.upstream_by_id),
                **self._server_state.status(),
                'holder': self._leadership.holder,
                'hosts': self._shares.known_hosts,
                **self._quotas.status(),
            },
        )

    def _accepts_connections(self) -> bool:
        return (
            self.is_ready
            and self._config.current is not None
            and self._callers is not None
            and self._callers.is_open
        )

    def _start_background(self) -> None:
        started = servers.Servers(
            self.settings.addresses, self._tasks.spawn, self._log.write
        )
        started.start_readiness(self._accepts_connections)
        started.start_operators(self._metrics, self.status)
        peers = started.start_peers(
            self.settings.process.id,
            self._planner_for,
            version_source.VersionOnlySource(self._config),
            self._residency_updates.serve,
            self._prefill_queues.answer,
            self._quotas.answer,
        )
        self._follow_tables()
        self._tasks.spawn(self._remove_expired_crashes)
        self._tasks.spawn(self._lead, peers)
        self._tasks.spawn(self._leadership.follow)
        self._tasks.spawn(self._quotas.run)
        self._tasks.spawn(self._orders.run)
        self._tasks.spawn(self._membership.maintain)
        self._tasks.spawn(self._apply_totals_as_leader)
        self._tasks.spawn(loop_lag.measure, self._event_metrics, self._log)

    def _lead(self, peers: listeners.Listener) -> None:
        """Take part in the election once other hosts can connect."""
        peers.wait_until_open()
        self._leadership.run()

    def _follow_tables(self) -> None:
        """Start the feeds of the tables of the store."""
        upstreams_feed = self._followed.feed_of_upstreams(
            self._membership, self._last_needed_version
        )
        crashes_feed = self._followed.feed_of_crashes(self._crashes)
        self._tasks.spawn(self._config_feed.run)
        self._tasks.spawn(crashes_feed.run)
        # A request that crashes upstreams must be known before there are any.
        self._tasks.spawn(
            self._followed.run_after, crashes_feed, upstreams_feed
        )
        self._tasks.spawn(
            self._origins.maintain,
            upstreams_feed,
            lambda: self._leadership.is_leader,
        )

    def _last_needed_version(self) -> int:
        return self._membership.needed_version

    def _planner_for(self, name: str) -> typing.Any:
        target = self._pools.find_by_name(name)
        return None if target is None else target.planner

    def _may_order(self) -> bool:
        return self._leadership.authority() is not None

    def _on_config(self, config: contracts.RouteConfig) -> None:
        self._server_state.limits = config.limits
        longest_bytes = self._server_state.plan.longest_body_bytes
        if config.limits.max_body_bytes > longest_bytes:
            self._log.write(
                process_events.LongBodiesRefused(
                    config.limits.max_body_bytes, longest_bytes
                )
            )
        self._access.on_config(config)
        self._quotas.on_config(config)
        self._pools.configure(config)
        self._origins.configure(config)
        self._changes.update_all()

    def _on_version(
        self, newest: types.AdapterRef, previous: types.AdapterRef
    ) -> None:
        self._pools.transfer_popularity(previous, newest)
        self._versions.waits.on_version(newest)

    def _apply_totals_as_leader(self) -> None:
        """Apply the requests of all hosts while this host is the leader."""
        while True:
            clock.sleep(residency_updates.HEARTBEAT_S)
            if self._leadership.is_leader:
                self._residency_updates.apply_total_requests()
                self._pools.plan_shares()

    def _remove_expired_crashes(self) -> None:
        """Delete old crashes from the store while this host is the leader."""
        while True:
            clock.sleep(EXPIRY_INTERVAL_S)
            if self._leadership.is_leader:
                self._crashes.remove_expired()
                self._origins.remove_abandoned()


def _format_address(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
