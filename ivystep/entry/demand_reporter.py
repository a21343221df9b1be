"""Reports the demand of one entry to the planner of a pool."""

import typing
from collections.abc import Callable

import eventlet
from eventlet import event

from ivystep.core import errors, types
from ivystep.entry import local_demand, planner
from ivystep.runtime import clock, logs

REPORT_INTERVAL_S = 0.1

log = logs.get('pool')


class DemandReporter:
    """The task that reports the demand of a pool.

    Args:
        pool: Name of the pool.
        process_id: Id of this entry.
        demand: The demand at this entry.
        local: The planner at this entry; it always counts arrivals.
        choose_sink: Returns the planner of the pool; see ``pool.ChooseSink``.
        on_forecast: Called for each adapter that is loaded too late for some
            of the waiting requests, with the time at which the demand was
            reported.
        idle_report_s: Time between reports while no request waits, in seconds.
    """

    def __init__(
        self,
        pool: str,
        process_id: str,
        demand: local_demand.LocalDemand,
        local: typing.Any,
        choose_sink: Callable[[str, planner.DemandSink], planner.DemandSink],
        on_forecast: Callable[[types.LoadForecast, float], None],
        idle_report_s: float,
    ) -> None:
        self._pool = pool
        self._process_id = process_id
        self._demand = demand
        self._local = local
        self._choose_sink = choose_sink
        self._on_forecast = on_forecast
        self._idle_report_s = idle_report_s
        self._is_running = False
        self._due = event.Event()

    def start(self) -> None:
        """Start the task unless it runs already."""
        if not self._is_running:
            self._is_running = True
            eventlet.spawn(self._run)

    def wake(self) -> None:
        """Have the task report at once."""
        if not self._due.ready():
            self._due.send()

    def _run(self) -> None:
        """Report demand periodically, or at once after ``wake``."""
        while True:
            self._due = event.Event()
            try:
                self._report_once()
            except Exception:
                # The task must continue, or no adapter would be loaded for
                # waiting requests.
                log.exception('Demand report of pool %s failed.', self._pool)
            interval_s = (
                REPORT_INTERVAL_S
                if self._demand.has_waiting
                else self._idle_report_s
            )
            with eventlet.Timeout(interval_s, exception=False):
                self._due.wait()

    def _report_once(self) -> None:
        if not self._demand:
            return
        sink = self._choose_sink(self._pool, self._local)
        demands = self._demand.collect()
        if sink is not self._local:
            self._local.count_arrivals(demands)
        reported_at = clock.now()
        try:
            forecasts = sink.report_demand(self._process_id, demands)
        except errors.IvystepError as error:
            log.info('Demand of pool %s not reported: %s.', self._pool, error)
            return
        for forecast in forecasts:
            self._on_forecast(forecast, reported_at)
