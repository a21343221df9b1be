"""Metrics of a gateway, derived from its log events.

Events are counted before the log's rate limit is applied, so the metrics also
include the events whose log lines are left out.
"""

import functools

import aioprometheus

from ivystep.core import units
from ivystep.gateway import events, process_events
from ivystep.gateway.loads import leader_events
from ivystep.metrics import listener_metrics, registry
from ivystep.runtime import event_log
from ivystep.runtime import process_events as life_events
from ivystep.stream_origins import events as origin_events

MAX_ROUTE_LABELS = 200
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0, 16.0)
LISTENER_PURPOSES = ('callers', 'readiness', 'operators', 'peers')
LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)


class EventMetrics:
    """The metrics of one gateway.

    Args:
        metrics: Owns the registry that publishes them.
    """

    def __init__(self, metrics: registry.Metrics) -> None:
        self._metrics = metrics
        self.listeners = listener_metrics.ListenerMetrics(
            metrics, LISTENER_PURPOSES
        )
        self._routes = registry.BoundedLabel(MAX_ROUTE_LABELS)
        self.placement_wait_s = self._histogram(
            'placement_wait', 'Time from reading a request to sending it on.'
        )
        self.first_byte_s = self._histogram(
            'first_byte', 'Time to the first byte of an answer.'
        )
        self.longest_pause_s = self._histogram(
            'longest_pause', 'Longest time between two parts of an answer.'
        )
        self.answer_s = self._histogram(
            'answer', 'Time to the last byte of an answer.'
        )
        self.order_s = self._histogram(
            'order', 'Time until an engine answers an order.'
        )
        self.timer_lag_s = self._histogram(
            'loop_lag',
            'Time by which a timer of the process is late.',
            LAG_BUCKETS_S,
        )
        self.permits = self._counter('permits', 'Prompts sent, by permit.')
        self.failed_attempts = self._counter(
            'failed_attempts', 'Attempts without a complete answer, by step.'
        )
        self.stopped_requests = self._counter(
            'stopped_requests',
            'Requests ended by a planned stop, by their end for the caller.',
        )
        self.answer_ends = self._counter(
            'unclear_answer_ends',
            'Answers without a length and streams cut inside an event.',
        )
        self.orders = self._counter('orders', 'Orders to engines, by outcome.')
        self.upstream_changes = self._counter(
            'upstream_changes', 'Changes of what is believed of upstreams.'
        )
        self.dependencies_lost = self._counter(
            'dependencies_lost', 'Dependencies that were lost, by kind.'
        )
        self.resumed_streams = self._counter(
            'resumed_streams',
            'Streams that callers resume, by how their origin is known.',
        )
        self.origin_rows_late = self._counter(
            'origin_rows_late', 'Streams whose first event came before its row.'
        )
        self.store_calls = self._counter(
            'store_calls', 'Calls to the store, by method and status.'
        )
        self.failed_tasks = self._counter(
            'failed_tasks', 'Errors that a background task does not handle.'
        )
        self.config_version = self._gauge(
            'config_version', 'Version of the configuration in force.'
        )
        self.is_leader = self._gauge(
            'gives_orders', 'Whether this host holds the duty to give orders.'
        )

    def record(self, event: event_log.Event) -> None:
        """Update the metrics for an event.

        Args:
            event: Any event of the gateway.
        """
        _record_event(event, self)
        self.listeners.record(event)

    def on_store_call(self, method: str, outcome: str) -> None:
        """Count a call to the store.

        Args:
            method: HTTP method.
            outcome: Status, or ``no answer``.
        """
        self.store_calls.inc({'method': method, 'outcome': outcome})

    def route(self, name: str) -> dict[str, str]:
        """Return the label of a route; the number of labels is limited."""
        return {'route': self._routes.value_for(name)}

    def _histogram(
        self,
        name: str,
        text: str,
        buckets: tuple[float, ...] = LATENCY_BUCKETS_S,
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f'ivystep_{name}_seconds',
            text,
            registry=self._metrics.registry,
            buckets=buckets,
        )

    def _counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f'ivystep_{name}_total', text, registry=self._metrics.registry
        )

    def _gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            f'ivystep_{name}', text, registry=self._metrics.registry
        )


@functools.singledispatch
def _record_event(event: event_log.Event, metrics: EventMetrics) -> None:
    """Ignore events that have no metric."""


@_record_event.register
def _record_placed(event: events.RequestPlaced, metrics: EventMetrics) -> None:
    placement_wait_s = event.waited_ms / units.MS_PER_S
    metrics.placement_wait_s.observe(
        metrics.route(event.route), placement_wait_s
    )
    if event.permit:
        is_granted = event.permit in events.GRANTED_PERMITS
        metrics.permits.inc({'permit': event.permit if is_granted else 'none'})


@_record_event.register
def _record_failed(event: events.AttemptFailed, metrics: EventMetrics) -> None:
    metrics.failed_attempts.inc(
        {
            'step': event.step,
            'ran': event.ran,
            'has_retry': str(event.has_retry).lower(),
        }
    )


@_record_event.register
def _record_ended(event: events.RequestEnded, metrics: EventMetrics) -> None:
    route = metrics.route(event.route)
    first_s = event.first_ms / units.MS_PER_S
    metrics.first_byte_s.observe(route, first_s)
    metrics.longest_pause_s.observe(route, event.gap_ms / units.MS_PER_S)
    metrics.answer_s.observe(route, event.elapsed_ms / units.MS_PER_S)


@_record_event.register
def _record_stopped(
    event: events.RequestStopped, metrics: EventMetrics
) -> None:
    is_resumable = str(event.is_resumable).lower()
    metrics.stopped_requests.inc(
        {
            **metrics.route(event.route),
            'end': event.end,
            'is_resumable': is_resumable,
        }
    )


@_record_event.register
def _record_answer_end(
    event: events.AnswerEnded, metrics: EventMetrics
) -> None:
    is_cut = str(event.open_event_bytes > 0).lower()
    metrics.answer_ends.inc({'framing': event.framing, 'is_cut': is_cut})


@_record_event.register
def _record_order(
    event: leader_events.OrderGiven, metrics: EventMetrics
) -> None:
    metrics.orders.inc({'operation': event.operation, 'outcome': event.outcome})
    metrics.order_s.observe({}, event.elapsed_ms / units.MS_PER_S)


@_record_event.register
def _record_upstream(
    event: events.UpstreamChanged, metrics: EventMetrics
) -> None:
    metrics.upstream_changes.inc({'change': event.change})


@_record_event.register
def _record_limited(
    event: events.UpstreamLimited, metrics: EventMetrics
) -> None:
    change = 'limited' if event.limit_per_s >= 0 else 'unlimited'
    metrics.upstream_changes.inc({'change': change})


@_record_event.register
def _record_lost(event: events.DependencyLost, metrics: EventMetrics) -> None:
    kind, _, _ = event.dependency.partition('/')
    metrics.dependencies_lost.inc({'kind': kind})


@_record_event.register
def _record_task(event: life_events.TaskFailed, metrics: EventMetrics) -> None:
    metrics.failed_tasks.inc({'task': event.task})


@_record_event.register
def _record_row(event: process_events.RowFailed, metrics: EventMetrics) -> None:
    metrics.failed_tasks.inc({'task': f'rows of {event.table}'})


@_record_event.register
def _record_config(event: events.ConfigAdopted, metrics: EventMetrics) -> None:
    metrics.config_version.set({}, event.version)


@_record_event.register
def _record_leadership(
    event: leader_events.DutyChanged, metrics: EventMetrics
) -> None:
    metrics.is_leader.set({}, int(event.change == 'acquired'))


@_record_event.register
def _record_resolved(
    event: origin_events.OriginResolved, metrics: EventMetrics
) -> None:
    metrics.resumed_streams.inc({'origin': event.source})


@_record_event.register
def _record_unknown(
    event: origin_events.OriginUnknown, metrics: EventMetrics
) -> None:
    metrics.resumed_streams.inc({'origin': f'unknown: {event.reason}'})


@_record_event.register
def _record_late(
    event: origin_events.OriginLate, metrics: EventMetrics
) -> None:
    metrics.origin_rows_late.inc({})
