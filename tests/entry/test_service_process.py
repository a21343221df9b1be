"""Tests of plain service calls through real processes."""

import json
import signal

import eventlet
import pytest

from demo import cluster

KEY = 'key-of-depot'
SETUP = {
    'pools': [{'name': 'desk', 'kind': 'service'}],
    'services': [
        {'name': 'stock', 'pool': 'desk', 'non_idempotent_paths': ['/returns']},
    ],
    'accounts': [
        {
            'name': 'depot',
            'applications': [
                {
                    'name': 'app',
                    'key_digests': [cluster.key_digest(KEY)],
                    'services': ['stock'],
                },
            ],
        },
    ],
}


class ServiceDeployment:
    """One entry and one service with its sidecar."""

    def __init__(self, folder):
        self.system = cluster.Cluster(folder)

    def start(self):
        system = self.system
        system.start_platform()
        system.submit(SETUP, 0)
        self.service = system.start_standin(
            'stock', 'service', '--delay-s', '0.4'
        )
        system.start_sidecar(
            'up-1', 'desk', 'dc', self.service.url, kind='service'
        )
        self.entry = system.start_entry('entry-1', 'dc')
        system.await_ready('entry-1')
        with eventlet.Timeout(10):
            while self.call('check', {})[0] == 503:
                eventlet.sleep(0.1)

    def call(self, path, body, **headers):
        response = self.system.http.request(
            'POST',
            f'{self.entry.url}/v1/services/stock/{path}',
            json=body,
            headers={'Authorization': f'Bearer {KEY}', **headers},
        )
        return response.status, response.json()

    def outcome(self, key):
        return self.system.http.request(
            'GET',
            f'{self.entry.url}/v1/requests/{key}',
            headers={'Authorization': f'Bearer {KEY}'},
        ).json()['ran']

    def set_fault(self, mode):
        url = f'{self.service.url}/faults'
        self.system.http.request('POST', url, json={'mode': mode})

    def count_runs(self, body):
        counts = self.system.http.request('GET', f'{self.service.url}/counts')
        return counts.json().get(json.dumps(body, separators=(',', ':')), 0)


@pytest.fixture(scope='module')
def depot(tmp_path_factory):
    one = ServiceDeployment(tmp_path_factory.mktemp('depot'))
    try:
        one.start()
        yield one
    finally:
        one.system.stop()


@pytest.mark.parametrize('mode', ['lost', 'fails', 'refuses'])
def test_non_idempotent_call_is_never_run_twice(depot, mode):
    """Guards against a second run after a lost answer."""
    body = {'garment': mode}
    depot.set_fault(mode)
    status, document = depot.call('returns', body, **{'Idempotency-Key': mode})
    assert (status, document['error']['ran']) == (502, 'unknown')
    depot.set_fault('none')
    status, document = depot.call('returns', body, **{'Idempotency-Key': mode})
    assert (status, document['error']['code']) == (409, 'request_repeated')
    assert document['error']['ran'] == 'unknown'
    assert depot.outcome(mode) == 'unknown'
    assert depot.count_runs(body) == (mode != 'refuses')


def test_non_idempotent_call_runs_once_and_its_outcome_is_recorded(depot):
    """Guards against an outcome that is not recorded."""
    body = {'garment': 'ok'}
    assert depot.call('returns', body, **{'Idempotency-Key': 'ok'})[0] == 200
    with eventlet.Timeout(5):
        while depot.outcome('ok') != 'yes':
            eventlet.sleep(0.05)
    status, document = depot.call('returns', body, **{'Idempotency-Key': 'ok'})
    assert (status, document['error']['ran']) == (409, 'yes')
    assert depot.count_runs(body) == 1


def test_drain_finishes_calls_and_exits_cleanly(depot):
    """Guards against a planned stop that loses calls in progress."""
    calls = [
        eventlet.spawn(depot.call, 'check', {'tag': number})
        for number in range(8)
    ]
    eventlet.sleep(0.2)
    depot.entry.process.send_signal(signal.SIGTERM)
    late = eventlet.spawn(depot.call, 'check', {'tag': 'late'})
    answers = [call.wait()[0] for call in [*calls, late]]
    assert answers == [200] * 9
    assert depot.entry.stop() == 0
