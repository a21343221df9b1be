"""Tests of the quotas of accounts at a complete gateway."""

import eventlet

from tests.gateway import harness

KEY = 'sk-0f3a91'
HEADERS = (f'Credential: {KEY}',)


def config(**quota):
    account = {'name': 'acme', 'api_keys': [KEY], **quota}
    return {'routes': [*harness.ROUTES], 'tenants': [account]}


def answer_at_once(_, headers):
    return harness.ok_answer(headers)


def wait_for_contact(gateway):
    with eventlet.Timeout(5):
        while not gateway.daemon.status().details['quota_contact']:
            eventlet.sleep(0.01)


def statuses(gateway, count, *headers):
    return [
        gateway.send('/read/2f', headers=[*HEADERS, *headers]).status
        for _ in range(count)
    ]


def test_requests_over_the_limit_are_answered_429(build):
    """Guards against a limit that is read and never kept."""
    gateway, (upstream,) = build(
        answer_at_once, config=config(rate_per_s=0.1, burst=3)
    )
    wait_for_contact(gateway)
    assert statuses(gateway, 5) == [200, 200, 200, 429, 429]
    assert len(upstream.requests) == 3
    refused = gateway.send('/read/2f', headers=HEADERS)
    assert 5 < float(refused.headers['retry-after']) <= 10


def test_limit_of_tokens_counts_the_tokens_of_a_request(build):
    """Guards against requests of different sizes that cost the same."""
    limits = {'unit': 'tokens', 'plain_tokens': 100}
    gateway, _ = build(
        answer_at_once, config=config(rate_per_s=1, burst=1000, **limits)
    )
    wait_for_contact(gateway)
    assert statuses(gateway, 1, 'Token-Count: 700,200') == [200]
    assert statuses(gateway, 2) == [200, 429]


def test_account_without_a_limit_needs_no_leader(build):
    """Guards against refusals by quotas that nobody has asked for."""
    gateway, _ = build(answer_at_once, config=config())
    assert statuses(gateway, 20) == [200] * 20
    assert not gateway.daemon.status().details['quota_contact']


def test_two_hosts_share_one_limit(build, build_peer):
    """Guards against a limit that each host grants by itself."""
    gateway, (upstream,) = build(
        answer_at_once, config=config(rate_per_s=0.1, burst=4)
    )
    wait_for_contact(gateway)
    other = build_peer(gateway, 'host-2')
    wait_for_contact(other)
    assert statuses(gateway, 1) == [200]
    assert statuses(other, 3) == [200] * 3
    assert statuses(other, 1) + statuses(gateway, 1) == [429, 429]
    assert len(upstream.requests) == 4
    assert other.daemon.status().details['quota_hosts'] == 2
