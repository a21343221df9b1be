"""Tests of what a service's row says, and what is written to it."""

import pytest

from ivystep.platform import version_rows
from ivystep.stream_origins import service_versions

RETENTION_S = service_versions.RETENTION_S
NOW_S = 5000.0


def view(gone_s_by_version=None, era=0, row_era=0, complete_from_s=0.0):
    versions = None
    if gone_s_by_version is not None:
        versions = version_rows.ServiceVersions(
            gone_s_by_version, row_era, complete_from_s
        )
    return service_versions.StoreView(versions, 7, era, NOW_S)


def host(*present, recent=(), **more):
    return service_versions.HostView(
        frozenset(present), frozenset((*present, *recent)), **more
    )


@pytest.mark.parametrize(
    ('seen', 'is_complete'),
    [
        (view(), True),
        (view(era=1), False),
        (view({'v1': None}), True),
        (view({'v1': None}, era=1), False),
        (view({'v1': None}, era=1, row_era=1), True),
        (view({'v1': None}, complete_from_s=NOW_S + 1), False),
        (view({'v1': None}, complete_from_s=NOW_S), True),
    ],
)
def test_row_is_complete_only_if_its_era_has_known_all(seen, is_complete):
    """Guards against a copy of the store that is taken for the whole truth."""
    assert seen.is_complete is is_complete


@pytest.mark.parametrize(
    ('gone_s', 'is_possible'),
    [(None, True), (NOW_S - RETENTION_S + 1, True), (NOW_S - 61, False)],
)
def test_version_is_possible_for_the_retention_time(gone_s, is_possible):
    """Guards against a stream of a version that has just left."""
    assert ('v1' in view({'v1': gone_s}).possible) is is_possible


def test_first_version_of_an_intact_store_is_complete():
    """Guards against refusals after the first start of all."""
    wanted = service_versions.update(view(), host('v1'))
    assert wanted == version_rows.ServiceVersions({'v1': None}, 0, 0.0)


def test_version_that_returns_serves_again():
    """Guards against a version that is removed while it has upstreams."""
    wanted = service_versions.update(view({'v1': NOW_S - 9}), host('v1'))
    assert wanted.gone_s_by_version == {'v1': None}


def test_nothing_is_written_without_news():
    """Guards against a write by each host that starts."""
    seen = view({'v1': None, 'v2': NOW_S - 5})
    assert service_versions.update(seen, host('v1')) == seen.versions
    assert service_versions.update(view(), host()) is None


@pytest.mark.parametrize('row', [None, {'v1': None, 'v0': 1.0}])
def test_row_of_an_earlier_era_counts_as_incomplete(row):
    """Guards against versions that a copy of the store lacks."""
    wanted = service_versions.update(view(row, era=2), host('v2'))
    assert wanted.era == 2
    assert wanted.complete_from_s == NOW_S + RETENTION_S
    expected = {'v1': None, 'v0': NOW_S} if row else {}
    assert wanted.gone_s_by_version == {**expected, 'v2': None}


def test_host_that_knows_more_completes_the_row():
    """Guards against a minute of refusals after each restoration."""
    wanted = service_versions.update(
        view({'v1': None}, era=1), host('v1', recent=['v0'], is_whole=True)
    )
    assert not wanted.complete_from_s
    assert wanted.gone_s_by_version == {'v1': None, 'v0': NOW_S}


def test_only_the_leader_records_that_versions_have_gone():
    """Guards against a host without upstreams that removes their versions."""
    seen = view({'v1': None, 'v2': None, 'v0': NOW_S - RETENTION_S})
    assert service_versions.update(seen, host('v2')) == seen.versions
    wanted = service_versions.update(seen, host('v2', may_remove=True))
    assert wanted.gone_s_by_version == {'v1': NOW_S, 'v2': None}
