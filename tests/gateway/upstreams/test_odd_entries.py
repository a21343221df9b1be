"""Tests of entries of upstreams that another program has left in the store."""

import json

import eventlet
import pytest

from tests.gateway import fakes, harness

NESTED = '[' * 900 + ']' * 900
DEEPLY_NESTED = '[' * 100_000
HUGE = '9' * 400
LONGEST_NUMBER = '9' * 4300
TOO_LONG_NUMBER = '9' * 5000
ENTRY = {
    'service': 'app',
    'address': '127.0.0.1:9',
    'zone': 'accra-a',
    'slots': 4,
    'state': 'ready',
    'version': 'v1',
}
ODD_FIELDS = {
    'deeply nested': f'"models": {DEEPLY_NESTED}',
    'nested': f'"models": {NESTED}',
    'nested service': f'"service": {NESTED}',
    'nested and unknown': f'"more": {NESTED}',
    'huge slots': f'"slots": {HUGE}',
    'longest slots': f'"slots": {LONGEST_NUMBER}',
    'too long slots': f'"slots": {TOO_LONG_NUMBER}',
    'slots as a huge float': '"slots": 1e999',
    'huge start': f'"born": {HUGE}',
    'longest start': f'"born": {LONGEST_NUMBER}',
    'negative start': '"born": -1',
    'huge time': '"remaining_ms": 1e308',
    'infinite time': '"state": "draining", "remaining_ms": Infinity',
    'no time': '"state": "draining", "remaining_ms": NaN',
    'huge model version': f'"models": [{{"name": "m", "version": {HUGE}}}]',
    'huge adapter version': (
        f'"models": [{{"name": "m", "adapters": ["a@{HUGE}"]}}]'
    ),
    'port out of range': '"address": "127.0.0.1:70000"',
    'huge port': f'"address": "127.0.0.1:{HUGE}"',
    'negative port': '"address": "127.0.0.1:-1"',
    'no port': '"address": "127.0.0.1:0"',
    'lone surrogate': r'"service": "\ud800"',
    'lone surrogate as version': r'"version": "\ud800"',
    'line break in version': r'"version": "v1\r\nx: y"',
    'long version': '"version": "{}"'.format('v' * 100_000),
    'long service': '"service": "{}"'.format('s' * 100_000),
}
ODD_KEYS = ('i-9\r\nX-Odd: 1', 'i-\u4e00', 'i-\ud800', '', 'i' * 100_000)


def odd_document(odd):
    """Return an entry in which the last field of a name counts."""
    fields = json.dumps(ENTRY).removesuffix('}')
    return f'{fields}, {odd}}}'.encode()


def check_follows(gateway, upstream):
    """Check that requests are served and that an upstream is added."""
    for number in range(6):
        answer = gateway.send('/read/2f', f'r-{number}')
        assert answer.is_complete
        assert answer.status in {200, 503}
    before = gateway.daemon.status().details['upstreams']
    gateway.add(upstream)
    gateway.wait_for(before + 1)
    served = [gateway.send('/read/2f', f's-{n}').status for n in range(6)]
    assert 200 in served


@pytest.fixture
def gateway_and_other(build, stack):
    def answer(_, headers):
        return harness.ok_answer(headers)

    gateway, _ = build(answer)
    other = harness.ScriptedUpstream(answer, 'i-other')
    stack.callback(other.close)
    return gateway, other


@pytest.mark.parametrize('odd', ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_odd_entry_does_not_keep_a_host_from_the_others(gateway_and_other, odd):
    """Guards against a host that ends, stops to follow the upstreams or cuts
    requests off because of one entry that another program has written.
    """
    gateway, other = gateway_and_other
    gateway.store.write(
        'servers', 'i-odd', fakes.encoded_bytes(odd_document(odd))
    )
    eventlet.sleep(0.1)
    check_follows(gateway, other)


@pytest.mark.parametrize('key', ODD_KEYS, ids=ascii)
def test_odd_key_does_not_keep_a_host_from_the_others(gateway_and_other, key):
    """Guards against the same with a key that cannot be sent in a header."""
    gateway, other = gateway_and_other
    gateway.store.write('servers', key, fakes.encoded(ENTRY))
    eventlet.sleep(0.1)
    check_follows(gateway, other)


@pytest.mark.parametrize('odd', ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_host_starts_beside_an_odd_entry(gateway_and_other, stack, odd):
    """Guards against a host that ends again and again as it starts."""
    first, other = gateway_and_other
    first.store.write('servers', 'i-0', fakes.encoded_bytes(odd_document(odd)))
    eventlet.sleep(0.05)
    gateway = harness.GatewayHarness(stack, host='host-2', peer=first)
    with eventlet.Timeout(5):
        while gateway.send('/read/2f').status != 200:
            eventlet.sleep(0.05)
    check_follows(gateway, other)
