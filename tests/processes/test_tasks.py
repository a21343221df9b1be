"""Tests that daemons start their background tasks again."""

import configparser

import eventlet
import pytest

from demo import cluster
from ivystep.entry import daemon as entry_daemon
from ivystep.runtime import background
from ivystep.settings import ini, models
from ivystep.sidecar import daemon as sidecar_daemon
from ivystep.wire import tls
from tests.gateway import harness


@pytest.fixture
def write_settings(tmp_path):
    """Return a function that writes settings without a platform."""
    system = cluster.Cluster(tmp_path)

    def write(certificate, **sections):
        pem = str(tmp_path / f'{certificate}.pem')
        nowhere = f'http://{system.address}:{harness.unused_port()}'
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(
            {
                'process': {'id': 'host-1', 'data_centre': 'lier-a'},
                'tls': {
                    'authority': str(tmp_path / 'ca.pem'),
                    'certificate': pem,
                    'key': pem,
                },
                'platform': {
                    'table_url': nowhere,
                    'objects_url': nowhere,
                    'hosts_url': nowhere,
                },
                **{
                    name: {'address': '127.0.0.1', 'port': 0}
                    for name in ('listen', 'operators')
                },
                **sections,
            }
        )
        path = tmp_path / 'settings.ini'
        with path.open('w') as stream:
            parser.write(stream)
        return str(path)

    return write


class Failing:
    """A task that ends by an error at its first start."""

    def __init__(self):
        self.starts = 0

    def __call__(self, *_):
        self.starts += 1
        if self.starts == 1:
            raise OverflowError('odd')
        eventlet.sleep(60)

    def wait_for_restart(self):
        with eventlet.Timeout(10 * background.RESTART_PAUSE_S):
            while self.starts < 2:
                eventlet.sleep(0.01)


def test_entry_starts_each_task_again(write_settings, monkeypatch):
    """Guards against an entry that goes on without one of its tasks."""
    path = write_settings(
        tls.ENTRY_NAME, peers={'address': '127.0.0.1', 'port': 0}
    )
    entry = entry_daemon.EntryDaemon.from_config(
        ini.load(path, models.EntrySettings)
    )
    failing = {
        (owner, name): Failing()
        for owner, name in (
            (entry_daemon.poller.SetupPoller, 'run'),
            (entry, '_configure_pools'),
            (entry.membership, 'follow'),
            (entry.peers, 'spread_version'),
            (entry.exchange, 'follow_peers'),
            (entry_daemon.wire_listener, 'serve'),
            (entry_daemon.page_server.PageServer, 'run'),
        )
    }
    for (owner, name), task in failing.items():
        monkeypatch.setattr(owner, name, task)
    entry._start_background()
    for task in failing.values():
        task.wait_for_restart()


def test_sidecar_starts_each_task_again(write_settings, monkeypatch):
    """Guards against a sidecar that goes on without its lease or its checks."""
    path = write_settings(
        tls.SIDECAR_NAME, upstream={'url': 'http://127.0.0.1:1'}
    )
    sidecar = sidecar_daemon.SidecarDaemon(
        ini.load(path, models.SidecarSettings)
    )
    failing = {
        (owner, name): Failing()
        for owner, name in (
            (sidecar.upstream_host, 'monitor'),
            (sidecar._owner, 'hold'),
            (sidecar_daemon.listener, 'serve'),
        )
    }
    for (owner, name), task in failing.items():
        monkeypatch.setattr(owner, name, task)
    entries = sidecar._listen('entries', sidecar.settings.listen)
    sidecar._serve_entries(entries, None)
    for task in failing.values():
        task.wait_for_restart()
