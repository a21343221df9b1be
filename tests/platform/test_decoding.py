"""Tests of decoding rows that the operator and upstreams write."""

import json
import math

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.core import errors, ids
from ivystep.platform import (
    crash_rows,
    operator_config,
    rows,
    stream_rows,
    upstream_entries,
    version_rows,
)
from ivystep.traffic import contracts, upstreams

ENTRY = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'accra-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'models': [{'name': 'daka', 'version': 1, 'adapters': ['a3@2', 'a7@1']}],
    'sequence': 4,
    'born': 1700000000123,
}
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'ficu.example',
            'prefix': '/pufi/',
            'kind': 'stream',
            'timeout_ms': 30000,
            'target_latency_ms': 1000,
            'priority': 1,
            'split': [
                {'service': 'huvo11a', 'weight': 90},
                {'service': 'wuno96b', 'weight': 10},
            ],
            'attempts': 2,
            'resumable': True,
            'gap_target_ms': 300,
            'new_field': {'x': 1},
        },
    ],
    'services': [
        {
            'name': 'huvo11a',
            'health_path': '/health',
            'max_connections': 360,
            'engine': {
                'slots': 64,
                'kv_capacity': 133106,
                'weights_mb': 75500.0,
                'max_adapters': 20,
                'loads_per_s': 2.1,
                'models': [
                    {'name': 'daka', 'weights_mb': 72700.0, 'load_s': 6.0}
                ],
            },
        },
        {'name': 'wuno96b', 'max_connections': 100},
    ],
    'limits': {'max_header_bytes': 99, 'idle_timeout_ms': 15000},
}


def row(document, key='i-7f'):
    content = document
    if not isinstance(document, bytes):
        content = json.dumps(document).encode()
    return rows.StoredRow('servers', key, content, 5)


def test_entry_is_decoded():
    """Guards against requests for an adapter version that is not resident."""
    entry = upstream_entries.decode_entry(row(ENTRY))
    assert entry.address == ('10.128.0.9', 8080)
    assert entry.state is upstreams.UpstreamState.READY
    assert entry.held_model_by_name['daka'].adapter_versions == {
        'a3': 2,
        'a7': 1,
    }
    assert entry.incarnation == 'i-7f/1700000000123'


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'sleeping'},
        {'service': 7},
        {'address': 'ten:80'},
        {'address': '10.0.0.1'},
        {'slots': '64'},
        {'born': 1.5},
        {'models': [{'name': 'daka', 'adapters': 'a3@2'}]},
        {'models': [{'name': 'daka', 'adapters': ['a3@x']}]},
        {'address': '10.0.0.1:70000'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:-80'},
        {'address': '10.0.0.1:8_0'},
        {'address': '10.0.0.1:\uff18\uff10'},
        {'slots': 10**300},
        {'born': 10**300},
        {'born': -1},
        {'remaining_ms': 1e300},
        {'remaining_ms': math.inf},
        {'remaining_ms': math.nan},
        {'models': [{'name': 'daka', 'version': 10**300}]},
        {'models': [{'name': 'daka', 'adapters': ['a3@' + '9' * 300]}]},
        {'models': [{'name': 'daka\r\n'}]},
        {'service': '\ud800'},
        {'version': 'v1\r\nx: y'},
        {'version': 'v' * 300},
        {'zone': 'z' * 300},
    ],
)
def test_malformed_entry_is_refused(change):
    """Guards against requests sent to an address that is not an upstream's."""
    with pytest.raises(errors.SetupError):
        upstream_entries.decode_entry(row({**ENTRY, **change}))


@pytest.mark.parametrize(
    'key', ['', 'i-7f\r\nX: 1', 'i 7f', 'i-\u4e00', 'i-\ud800', 'i' * 300]
)
def test_entry_with_an_id_that_is_no_header_is_refused(key):
    """Guards against an id that breaks requests to its upstream."""
    with pytest.raises(errors.SetupError):
        upstream_entries.decode_entry(row(ENTRY, key))


REPORT = {
    'stage': 'unified',
    'models': [{'name': 'daka', 'version': 1, 'adapters': ['a3@2']}],
    'busy': False,
    'sequence': 2,
    'queued': 1,
    'active': 12,
    'kv_used': 41000,
}


@pytest.mark.parametrize(
    'change',
    [
        {'sequence': 10**300},
        {'sequence': -1},
        {'queued': 10**300},
        {'active': 10**300},
        {'kv_used': 10**300},
        {'coming': ['daka/a3@' + '9' * 300]},
    ],
)
def test_odd_report_is_refused(change):
    """Guards against a task that ends because of a report's numbers."""
    with pytest.raises(errors.LinkError):
        upstream_entries.decode_report(json.dumps(REPORT | change).encode())


@pytest.mark.parametrize('missing', ['models', 'busy', 'sequence'])
def test_report_with_a_missing_field_is_refused(missing):
    """Guards against an engine that is taken for an empty one and overfilled.

    The answer to another call may come once more in place of the report.
    """
    partial = {key: REPORT[key] for key in REPORT if key != missing}
    with pytest.raises(errors.LinkError):
        upstream_entries.decode_report(json.dumps(partial).encode())


ODD_NUMBERS = ('1e999', '9' * 400, '-1e999', 'NaN', '[' * 900 + ']' * 900)


@pytest.mark.parametrize('odd', ODD_NUMBERS)
@pytest.mark.parametrize(
    ('decode', 'document'),
    [
        (
            crash_rows.decode,
            (
                '{"upstream": "i", "incarnation": "i/0", "fingerprint": "00", '
                '"recorded_ms": %s}'
            ),
        ),
        (
            stream_rows.decode,
            '{"service": "s", "software_version": "v", "recorded_ms": %s}',
        ),
        (
            stream_rows.decode,
            (
                '{"service": "s", "software_version": "v", "recorded_ms": 1, '
                '"era": %s}'
            ),
        ),
        (
            version_rows.decode,
            '{"versions": {"v": %s}, "era": 0, "complete_from_ms": 0}',
        ),
        (
            version_rows.decode,
            '{"versions": {}, "era": 0, "complete_from_ms": %s}',
        ),
        (
            operator_config.decode_version,
            '{"model": "m", "adapter": "a", "version": %s}',
        ),
    ],
)
def test_odd_number_in_a_row_is_refused(decode, document, odd):
    """Guards against a feed that ends because of a number in another row."""
    with pytest.raises(errors.SetupError):
        decode(row((document % odd).encode()))


@pytest.mark.parametrize('missing', ['service', 'address', 'slots', 'state'])
def test_entry_with_a_missing_field_is_refused(missing):
    """Guards against a task that ends because of an incomplete entry."""
    partial = {key: ENTRY[key] for key in ENTRY if key != missing}
    with pytest.raises(errors.SetupError):
        upstream_entries.decode_entry(row(partial))


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_only_the_documented_errors(content):
    """Guards against a feed that ends because of bytes that are not JSON."""
    for decode in (
        upstream_entries.decode_entry,
        operator_config.decode_config,
        operator_config.decode_version,
    ):
        with pytest.raises(errors.SetupError):
            decode(row(content))
    with pytest.raises(errors.LinkError):
        upstream_entries.decode_report(content)


def test_deeply_nested_entry_is_refused():
    """Guards against an entry so deeply nested that it exhausts the stack."""
    with pytest.raises(errors.SetupError):
        upstream_entries.decode_entry(row(b'[' * 200000))


def test_unknown_fields_of_a_configuration_are_ignored():
    """Guards against refusing a configuration because it has a new field."""
    config = operator_config.decode_config(row(CONFIG))
    route = config.match('ficu.example', '/pufi/2f')
    assert route.kind is contracts.Repeatability.STREAM
    assert route.is_resumable
    assert route.max_gap_s == pytest.approx(0.3)
    assert [share.weight for share in route.shares] == [90, 10]
    assert config.limits.max_header_bytes == 99
    engine = config.service_by_name['huvo11a'].engine
    assert engine.model_by_name['daka'].load_s == pytest.approx(6.0)


def test_requests_of_an_unknown_kind_run_at_most_once():
    """Guards against repeating a request that may have side effects."""
    changed = json.loads(json.dumps(CONFIG))
    changed['routes'][0].update(kind='odd', resumable=False)
    config = operator_config.decode_config(row(changed))
    route = config.match('ficu.example', '/pufi/')
    assert not route.is_repeatable


def test_required_adapter_version_is_decoded():
    """Guards against answers from an old version of an adapter."""
    required = operator_config.decode_version(
        row({'model': 'daka', 'adapter': 'a3', 'version': 4})
    )
    assert (required.model, required.adapter, required.version) == (
        'daka',
        'a3',
        4,
    )


def test_report_states_the_number_of_accepted_orders():
    """Guards against orders that expect a wrong number of earlier orders."""
    report = upstream_entries.decode_report(
        json.dumps(
            {
                'stage': 'unified',
                'models': ENTRY['models'],
                'busy': False,
                'sequence': 9,
                'coming': ['daka/a9@1'],
                'queued': 1,
                'active': 12,
                'kv_used': 41000,
            }
        ).encode()
    )
    assert report.order_count == 9
    assert report.loading[0].name == 'a9'
    assert report.running == 12


KEYS = ('sk-0f3a91', 'sk-77b2c4')
TENANTS = [
    {
        'name': 'acme',
        'api_keys': [KEYS[0]],
        'priority': 0,
        'unit': 'tokens',
        'plain_tokens': 900,
        'rate_per_s': 74547,
        'burst': 74547.5,
    },
    {'name': 'béta', 'api_keys': [KEYS[1]], 'rate_per_s': None, 'other': 1},
]


def with_tenants(*tenants, **more):
    return row({**CONFIG, 'tenants': tenants, **more})


def test_accounts_are_decoded():
    """Guards against keys and limits that are not in force."""
    config = operator_config.decode_config(with_tenants(*TENANTS))
    acme = config.accounts.find(ids.digest(KEYS[0].encode()))
    assert (acme.name, acme.priority) == ('acme', 0)
    assert acme.quota == contracts.Quota(
        contracts.QuotaUnit.TOKENS, 74547.0, 74547.5, 900.0
    )
    beta = config.accounts.find(ids.digest(KEYS[1].encode()))
    assert (beta.name, beta.priority) == ('béta', None)
    assert beta.quota.unit is contracts.QuotaUnit.REQUESTS
    assert not beta.quota.is_limited


@pytest.mark.parametrize(
    ('tenants', 'are_in_force'), [((), True), (TENANTS, True), (None, False)]
)
def test_accounts_are_in_force_where_they_are_named(tenants, are_in_force):
    """Guards against callers without a key once the last account is removed."""
    config = operator_config.decode_config(row({**CONFIG, 'tenants': tenants}))
    assert (config.accounts is not None) is are_in_force
    assert operator_config.decode_config(row(CONFIG)).accounts is None


@pytest.mark.parametrize('is_public', [True, False])
def test_public_routes_are_decoded(is_public):
    """Guards against a public route that needs a key, or one too many."""
    routes = [{**CONFIG['routes'][0], 'public': is_public}]
    config = operator_config.decode_config(row({**CONFIG, 'routes': routes}))
    assert config.match('ficu.example', '/pufi/').is_public is is_public


@pytest.mark.parametrize(
    'change',
    [
        {'name': 'a\r\nRequest-Id: 1'},
        {'name': ''},
        {'name': 7},
        {'api_keys': KEYS[1]},
        {'api_keys': [[KEYS[0]]]},
        {'api_keys': [KEYS[0], 5]},
        {'api_keys': [KEYS[1]]},
        {'priority': 'high'},
        {'rate_per_s': -1},
        {'burst': 'x'},
    ],
)
def test_malformed_account_is_refused_without_showing_a_key(change):
    """Guards against an API key in the log line of a refused row."""
    broken = with_tenants({**TENANTS[0], **change}, TENANTS[1])
    with pytest.raises(errors.SetupError) as caught:
        operator_config.decode_config(broken)
    text = f'{caught.value} {caught.value!r} {broken!r}'
    assert not any(key in text for key in KEYS)
    assert caught.value.__cause__ is None


def test_truncated_configuration_is_refused_without_showing_a_key():
    """Guards against an excerpt of the row in its error."""
    content = with_tenants(*TENANTS).content
    for end in range(len(content) - 60, len(content)):
        with pytest.raises(errors.SetupError) as caught:
            operator_config.decode_config(row(content[:end]))
        assert not any(key in str(caught.value) for key in KEYS)
