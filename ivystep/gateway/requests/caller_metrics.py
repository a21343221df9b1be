"""Metrics of callers' connections and of the memory that they may take."""

import aioprometheus

from ivystep.gateway.requests import shared_state
from ivystep.metrics import registry


class CallerMetrics:
    """Shows which bounds refuse requests, and how far the others are reached.

    Args:
        metrics: Owns the registry that publishes them.
        state: State shared by all callers' connections.
    """

    def __init__(
        self, metrics: registry.Metrics, state: shared_state.ServerState
    ) -> None:
        self._state = state
        self._refusals = aioprometheus.Counter(
            'ivystep_refused_unread_requests_total',
            'Requests refused before they were read in full, by bound.',
            registry=metrics.registry,
        )
        self._ends = aioprometheus.Counter(
            'ivystep_ended_caller_connections_total',
            'Connections ended as their callers took no answer, by reason.',
            registry=metrics.registry,
        )
        self._connections = aioprometheus.Gauge(
            'ivystep_caller_connections',
            'Open connections of callers.',
            registry=metrics.registry,
        )
        self._buffered = aioprometheus.Gauge(
            'ivystep_buffered_request_bytes',
            'Bytes of the requests that are received, wait or run.',
            registry=metrics.registry,
        )
        planned = aioprometheus.Gauge(
            'ivystep_planned_memory_bytes',
            'Memory that each part may take, and all of it as "limit".',
            registry=metrics.registry,
        )
        for part, planned_bytes in state.plan.bytes_by_part.items():
            planned.set({'part': part}, planned_bytes)
        planned.set({'part': 'limit'}, state.plan.memory_bytes)
        metrics.update_before_render(self._update)

    def _update(self) -> None:
        self._connections.set({}, len(self._state.open_connections))
        for reason, count in self._state.count_by_caller_end.items():
            self._ends.set({'reason': reason.value}, count)
        self._buffered.set({}, self._state.buffered.used_bytes)
        for refused, count in self._state.count_by_refusal.items():
            self._refusals.set(
                {'status': str(refused.status), 'code': refused.code}, count
            )
