"""Fixtures of the tests of processes."""

import pytest

from demo import platform


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
