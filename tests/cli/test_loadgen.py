"""Tests of the load generator against a fake entry."""

import itertools
import json

import pytest

from ivystep.cli import load_generator, main
from tests import serving

METRICS = (
    'ivystep_load_stall_seconds_sum{{account="a"}} {0}\n'
    'ivystep_load_stall_seconds_count{{account="a"}} {1}\n'
    'ivystep_load_stall_seconds_count{{account="other"}} {1}\n'
    'ivystep_batch_fill_ratio_sum {0}\n'
    'ivystep_batch_fill_ratio_count 0\n'
)


class FakeEntry:
    """Refuses every fourth request; its metrics grow with each read."""

    def __init__(self):
        self.models = []
        self.keys = set()
        self._reads = itertools.count(1)

    def handle(self, environ):
        if environ['PATH_INFO'] == '/metrics':
            number = next(self._reads)
            return 200, METRICS.format(number * 3, number * 2).encode()
        self.keys.add(environ['HTTP_AUTHORIZATION'])
        body = json.loads(environ['wsgi.input'].read())
        self.models.append(body['model'])
        if len(self.models) % 4 == 0:
            return 404, {'error': {'code': 'model_not_found'}}
        return 200, {}


def test_report_counts_every_request(tmp_path, capsys):
    """Guards against a report that omits refusals or load stalls."""
    key_file = tmp_path / 'key'
    key_file.write_text('secret\n', encoding='utf-8')
    entry = FakeEntry()
    with serving.serve(entry.handle) as port:
        url = f'http://127.0.0.1:{port}'
        main.main(
            (
                *('loadgen', 'letters', 'notes', '--key-file', str(key_file)),
                *('--url', url, '--operators-url', f'{url}/'),
                *('--requests', '40', '--concurrency', '4'),
            )
        )
    text = capsys.readouterr().out
    assert text.startswith('requests: 40 in ')
    assert '  ok: 30\n  model_not_found: 10\nlatency: p50 ' in text
    assert 'mean load stall (s): 0.750\n' in text
    assert 'mean batch efficiency: not reported\n' in text
    assert entry.models.count('notes') == 20
    assert entry.keys == {'Bearer secret'}


@pytest.mark.parametrize(
    ('percent', 'expected'), [(0, 1), (50, 2), (95, 4), (100, 4)]
)
def test_percentiles_are_measured_values(percent, expected):
    """Guards against a percentile beyond the samples or between two."""
    assert load_generator.percentile([1, 2, 3, 4], percent) == expected


def test_number_of_requests_is_bounded(tmp_path, capsys):
    """Guards against a mistyped number that overloads an entry."""
    with pytest.raises(SystemExit) as caught:
        main.main(('loadgen', 'a', '--key-file', 'k', '--requests', '9999999'))
    assert caught.value.code == 2
    assert '--requests must be from 1 to 100000' in capsys.readouterr().err
