"""Fixtures of the tests of processes."""

import signal

import pytest

from demo import cluster, platform
from tests.processes import single_daemon


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """Return a cluster with all stand-ins, and no daemon yet."""
    made = platform.Platform(tmp_path_factory.mktemp('deployment'))
    try:
        made.system.start_platform()
        store = made.system.start_standin('store', 'table').url
        made.write(store, 'op', 'config', dict(platform.CONFIG))
        yield made.system
    finally:
        made.stop()


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Return a cluster with the platform of entry, sidecar and console."""
    made = cluster.Cluster(tmp_path_factory.mktemp('system'))
    try:
        made.start_platform()
        yield made
    finally:
        made.stop()


@pytest.fixture(scope='module', params=single_daemon.ROLES)
def node(system, request):
    """Start a daemon of each kind once."""
    made = single_daemon.start(system, request.param)
    yield made
    made.stop(signal.SIGKILL)
