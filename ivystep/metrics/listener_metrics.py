"""Metrics of the listeners of a process, derived from their events."""

import functools
from collections.abc import Callable, Iterable

import aioprometheus

from ivystep.metrics import registry
from ivystep.runtime import event_log, listener_events


class ListenerMetrics:
    """The metrics of the listeners of one process.

    Args:
        metrics: Owns the registry that publishes them.
        purposes: Purposes of the listeners, which the metrics have from the
            start, because an alert needs a sample before the first event.
    """

    def __init__(
        self, metrics: registry.Metrics, purposes: Iterable[str]
    ) -> None:
        self.accept_failures = aioprometheus.Counter(
            'ivystep_accept_failures_total',
            'Connections that could not be accepted, by purpose.',
            registry=metrics.registry,
        )
        self.listeners_lost = aioprometheus.Counter(
            'ivystep_listeners_lost_total',
            'Listening sockets that were opened again, by purpose.',
            registry=metrics.registry,
        )
        self.page_failures = aioprometheus.Counter(
            'ivystep_page_failures_total',
            'Malformed or failed requests for pages of the process.',
            registry=metrics.registry,
        )
        self.unavailable = aioprometheus.Gauge(
            'ivystep_address_unavailable',
            '1 while the process waits for an address, by purpose.',
            registry=metrics.registry,
        )
        for purpose in purposes:
            for counter in (
                self.accept_failures,
                self.listeners_lost,
                self.page_failures,
            ):
                counter.set({'purpose': purpose}, 0)
            self.unavailable.set({'purpose': purpose}, 0)

    def record(self, event: event_log.Event) -> None:
        """Update the metrics for an event.

        Args:
            event: Any event; those that are not of listeners are ignored.
        """
        _record_event(event, self)

    def record_and(
        self, write: Callable[[event_log.Event], None]
    ) -> Callable[[event_log.Event], None]:
        """Return what records an event and then writes it.

        Args:
            write: Writes an event to the log.
        """
        return functools.partial(self._record_and_write, write)

    def _record_and_write(
        self, write: Callable[[event_log.Event], None], event: event_log.Event
    ) -> None:
        self.record(event)
        write(event)


@functools.singledispatch
def _record_event(event: event_log.Event, metrics: ListenerMetrics) -> None:
    """Ignore events that have no metric."""


@_record_event.register
def _record_unavailable(
    event: listener_events.AddressUnavailable, metrics: ListenerMetrics
) -> None:
    metrics.unavailable.set({'purpose': event.purpose}, 1)


@_record_event.register
def _record_opened(
    event: listener_events.AddressOpened, metrics: ListenerMetrics
) -> None:
    metrics.unavailable.set({'purpose': event.purpose}, 0)


@_record_event.register
def _record_lost(
    event: listener_events.ListenerLost, metrics: ListenerMetrics
) -> None:
    metrics.listeners_lost.inc({'purpose': event.purpose})


@_record_event.register
def _record_failed(
    event: listener_events.AcceptFailed, metrics: ListenerMetrics
) -> None:
    metrics.accept_failures.add({'purpose': event.purpose}, event.failures)


@_record_event.register
def _record_page(
    event: listener_events.PageRequestsFailed, metrics: ListenerMetrics
) -> None:
    metrics.page_failures.add({'purpose': event.purpose}, event.failures)
