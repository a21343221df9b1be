"""Tests the metrics of listeners."""

from ivystep.metrics import listener_metrics, registry
from ivystep.runtime import listener_events


def test_events_of_listeners_are_counted():
    """Guards against a port in trouble that only a log line tells."""
    metrics = registry.Metrics()
    written = []
    record = listener_metrics.ListenerMetrics(
        metrics, ('callers', 'peers')
    ).record_and(written.append)
    callers = ('callers', '127.0.0.1:1', 'error')
    record(listener_events.AddressUnavailable(*callers))
    record(listener_events.AddressUnavailable('peers', '127.0.0.1:2', ''))
    record(listener_events.AddressOpened('peers', '127.0.0.1:2', 9))
    record(listener_events.AcceptFailed(*callers, 5))
    record(listener_events.AcceptFailed(*callers, 2))
    record(listener_events.ListenerLost(*callers))
    record(listener_events.PageRequestsFailed(*callers, 3))
    body = metrics.render()[0].decode()
    for name, callers_value, peers_value in (
        ('address_unavailable', 1, 0),
        ('accept_failures_total', 7, 0),
        ('listeners_lost_total', 1, 0),
        ('page_failures_total', 3, 0),
    ):
        assert f'ivystep_{name}{{purpose="callers"}} {callers_value}' in body
        assert f'ivystep_{name}{{purpose="peers"}} {peers_value}' in body
    assert len(written) == 7
