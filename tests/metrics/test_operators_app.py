"""Tests of the metrics registry and the operators' HTTP interface."""

import json

from ivystep.metrics import operators_app, registry


def serve(app, path, method='GET'):
    """Call a WSGI application and return its status and body."""
    answers = []
    environ = {'REQUEST_METHOD': method, 'PATH_INFO': path}
    body = b''.join(app(environ, lambda *args: answers.append(args)))
    return answers[0][0], body.decode()


def status(**changes):
    values = {
        'process_id': 'entry-1',
        'role': 'entry',
        'is_ready': True,
        'is_draining': False,
        'setup_version': 7,
        'setup_age_s': 1.5,
    }
    return operators_app.ProcessStatus(**(values | changes))


def test_label_values_are_bounded():
    """Guards against metrics whose size grows with the number of accounts."""
    metrics = registry.Metrics()
    for number in range(1000):
        metrics.record_refusal(f'account-{number}', 'queue_full')
        metrics.change_waiting(f'account-{number}', 1)
    body = metrics.render()[0].decode()
    lines = [line for line in body.splitlines() if 'refusals_total{' in line]
    assert len(lines) == registry.MAX_ACCOUNT_LABELS + 1
    rest = 1000 - registry.MAX_ACCOUNT_LABELS
    assert f'ivystep_waiting_requests{{account="other"}} {rest}' in body


def test_every_metric_is_rendered():
    """Guards against a metric that is recorded but missing on ``/metrics``."""
    metrics = registry.Metrics()
    metrics.record_load_stall('authority', 3)
    metrics.record_batch(4, 16)
    metrics.record_request('authority', 'ok')
    metrics.record_load('loaded')
    metrics.record_eviction()
    metrics.record_retry('authority')
    app = operators_app.OperatorsApp(metrics, status)
    line, body = serve(app, '/metrics')
    assert line == '200 OK'
    for expected in (
        'load_stall_seconds_bucket{account="authority",le="5.0"} 1',
        'load_stall_seconds_bucket{account="authority",le="+Inf"} 1',
        'batch_fill_ratio_sum 0.25',
        'requests_total{account="authority",outcome="ok"} 1',
        'loads_total{outcome="loaded"} 1',
        'evictions_total 1',
        'retries_total{account="authority"} 1',
        'invariant_violations_total 0',
        'setup_version 7',
        'setup_age_seconds 1.5',
    ):
        assert f'ivystep_{expected}' in body


def test_readiness_states_the_reason():
    """Guards against a process that is not ready and does not say why."""
    current = status(is_ready=False, problems=('The setup is behind.',))
    app = operators_app.OperatorsApp(registry.Metrics(), lambda: current)
    assert serve(app, '/readyz') == (
        '503 Service Unavailable',
        'The setup is behind.\n',
    )
    assert json.loads(serve(app, '/status.json')[1])['problems'] == [
        'The setup is behind.'
    ]
    assert serve(app, '/healthz') == ('200 OK', 'alive\n')
    assert serve(app, '/metrics', 'POST')[0].startswith('405')
