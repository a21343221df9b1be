"""Tests of the operator's configuration that is in force."""

import json

import hypothesis
from hypothesis import strategies

from ivystep.core import types
from ivystep.gateway.store import configuration
from ivystep.platform import rows
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes


def config_row(version, store_version, **more):
    document = {'version': version, 'routes': [], 'services': [], **more}
    return rows.StoredRow(
        'op', 'config', json.dumps(document).encode(), store_version
    )


def version_row(version, store_version, adapter='a3'):
    """Return the row of a version that was named just now."""
    document = {'model': 'm', 'adapter': adapter, 'version': version}
    return rows.StoredRow(
        'op',
        f'version/m.{adapter}',
        json.dumps(document).encode(),
        store_version,
        written_after=clock.uptime(),
    )


class RecordedConfiguration:
    """A configuration that records its callbacks and events."""

    def __init__(self):
        self.configs = []
        self.versions = []
        self.on_version = lambda newest: None
        self.on_config = lambda config: None
        self.log = fakes.FakeLog()
        self.config = configuration.Configuration(
            self.log,
            self._record_config,
            self._record_version,
        )

    def _record_config(self, config):
        self.configs.append(config.version)
        self.on_config(config)

    def _record_version(self, newest, previous):
        self.versions.append(newest)
        self.on_version(newest)


@hypothesis.given(strategies.lists(strategies.integers(1, 9), max_size=9))
def test_configuration_versions_only_rise(versions):
    """Guards against a late row that restores an older configuration."""
    seen = RecordedConfiguration()
    for store_version, version in enumerate(versions, 1):
        seen.config.apply_row(config_row(version, store_version))
    assert seen.configs == sorted(set(seen.configs))
    assert seen.config.version == max(versions, default=0)


def test_malformed_configuration_is_ignored():
    """Guards against an outage caused by a row that cannot be decoded."""
    recorded = RecordedConfiguration()
    recorded.config.apply_row(config_row(3, 1))
    recorded.config.apply_row(config_row(4, 2, routes='none'))
    assert recorded.config.version == 3
    assert recorded.log.named('entry_ignored')


@clocks.on_virtual_clock
def test_previous_version_of_an_adapter_is_allowed_for_a_bounded_time():
    """Guards against answers of an adapter version that was replaced."""
    recorded = RecordedConfiguration()
    recorded.config.apply_row(version_row(2, 1))
    recorded.config.apply_row(version_row(5, 2))
    newest = recorded.config.newest('m', 'a3')
    assert newest == types.AdapterRef('m', 'a3', 5)
    assert recorded.config.previous(newest, 3.0).version == 2
    clock.sleep(3.0)
    assert recorded.config.previous(newest, 3.0) is None


def test_adapter_versions_only_rise():
    """Guards against a late row that restores an older adapter version."""
    recorded = RecordedConfiguration()
    recorded.config.apply_row(version_row(5, 3))
    recorded.config.apply_row(version_row(4, 2))
    assert recorded.config.newest('m', 'a3').version == 5
    assert [ref.version for ref in recorded.versions] == [5]


def test_adapter_without_a_named_version_has_version_one():
    """Guards against requests that wait for a version that does not exist."""
    assert RecordedConfiguration().config.newest('m', 'a9').version == 1
