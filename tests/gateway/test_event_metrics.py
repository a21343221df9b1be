"""Tests of the metrics that a gateway derives from its log events."""

import pytest
from prometheus_client import parser

from ivystep.gateway import event_metrics, events, process_events
from ivystep.metrics import registry
from ivystep.stream_origins import events as origin_events


def samples(metrics):
    """Return the value of each sample by metric name and label values."""
    body, _ = metrics.render()
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in parser.text_string_to_metric_families(body.decode())
        for sample in family.samples
    }


@pytest.fixture
def metrics_and_recorder():
    metrics = registry.Metrics()
    return metrics, event_metrics.EventMetrics(metrics)


def placed(permit):
    return events.RequestPlaced(
        'r-1',
        'plans',
        'i-1',
        'm/a1@1',
        1,
        250,
        1,
        15000,
        permit,
        4,
        2,
        '10.9.0.7',
        '3f',
    )


def test_limits_of_upstreams_are_counted(metrics_and_recorder):
    """Guards against overloaded upstreams that do not show in the metrics."""
    metrics, recorder = metrics_and_recorder
    recorder.record(events.UpstreamLimited('i-1', 1.5, 4))
    recorder.record(events.UpstreamLimited('i-1', -1.0, 4))
    published = samples(metrics)
    assert published['ivystep_upstream_changes_total', 'limited'] == 1
    assert published['ivystep_upstream_changes_total', 'unlimited'] == 1


def ended(first_ms, gap_ms):
    return events.RequestEnded(
        'r-1', 'plans', 'answered', 200, 2000, first_ms, gap_ms, 1, 'i-1', 2
    )


def test_latencies_of_answers_are_published_by_route(metrics_and_recorder):
    """Guards against slow answers that do not show in the metrics."""
    metrics, recorder = metrics_and_recorder
    recorder.record(ended(first_ms=180, gap_ms=40))
    recorder.record(ended(first_ms=1500, gap_ms=420))
    published = samples(metrics)
    assert published['ivystep_first_byte_seconds_count', 'plans'] == 2
    assert published['ivystep_first_byte_seconds_bucket', '1.0', 'plans'] == 1
    assert (
        published['ivystep_longest_pause_seconds_bucket', '0.3', 'plans'] == 1
    )


def test_unclear_ends_of_answers_are_counted(metrics_and_recorder):
    """Guards against broken-off streams that do not show in the metrics."""
    metrics, recorder = metrics_and_recorder
    for open_bytes in (0, 7, 9):
        recorder.record(
            events.AnswerEnded(
                'r-1', 'plans', 'i-1', 'until_close', 90, open_bytes
            )
        )
    published = samples(metrics)
    name = 'ivystep_unclear_answer_ends_total'
    assert published[name, 'false', 'until_close'] == 1
    assert published[name, 'true', 'until_close'] == 2


def test_permits_without_a_decision_share_one_label(metrics_and_recorder):
    """Guards against one label value for each peer that is unreachable.

    The permit of a request sent without one contains the peer's address.
    """
    metrics, recorder = metrics_and_recorder
    for permit in ('alone', 'queued', '10.0.0.1:7 cannot be reached', 'x'):
        recorder.record(placed(permit))
    published = samples(metrics)
    assert published['ivystep_permits_total', 'alone'] == 1
    assert published['ivystep_permits_total', 'none'] == 2


def test_event_without_metrics_changes_no_sample(metrics_and_recorder):
    """Guards against an exception on an event type without a handler."""
    metrics, recorder = metrics_and_recorder
    before = samples(metrics)
    recorder.record(process_events.Stopped(0))
    assert samples(metrics) == before


def test_store_calls_are_counted_by_outcome(metrics_and_recorder):
    """Guards against a store outage that does not show in the metrics."""
    metrics, recorder = metrics_and_recorder
    recorder.on_store_call('GET', '200')
    recorder.on_store_call('GET', 'no answer')
    recorder.on_store_call('GET', 'no answer')
    published = samples(metrics)
    assert published['ivystep_store_calls_total', 'GET', 'no answer'] == 2


def test_resumed_streams_are_counted_by_their_origin(metrics_and_recorder):
    """Guards against refusals after a restart that do not show."""
    metrics, recorder = metrics_and_recorder
    recorder.record(
        origin_events.OriginResolved('r-2', 'r-1', 'llm', 'v1', 'row')
    )
    recorder.record(
        origin_events.OriginUnknown('r-2', 'r-1', 'plans', 'store', '')
    )
    recorder.record(origin_events.OriginLate('r-1', 'i-1', 100))
    published = samples(metrics)
    assert published['ivystep_resumed_streams_total', 'row'] == 1
    assert published['ivystep_resumed_streams_total', 'unknown: store'] == 1
    assert published['ivystep_origin_rows_late_total',] == 1


def test_requests_ended_by_a_stop_are_counted_by_their_end(
    metrics_and_recorder,
):
    """Guards against streams cut by a planned stop that do not show."""
    metrics, recorder = metrics_and_recorder
    fields = ('plans', 'i-1', True, -5, True, 9, -1, '', 70, 60)
    for end in ('reset', 'reset', 'refused'):
        recorder.record(events.RequestStopped('r-1', *fields, end))
    published = samples(metrics)
    name = 'ivystep_stopped_requests_total'
    assert {
        key[1:]: count for key, count in published.items() if key[0] == name
    } == {
        ('plans', 'reset', 'true'): 2,
        ('plans', 'refused', 'true'): 1,
    }
