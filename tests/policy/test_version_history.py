"""Tests of which software versions a service had lately."""

from ivystep.policy import version_history

WINDOW_S = 10.0


def test_version_counts_until_the_window_after_its_last_upstream():
    """Guards against a stream whose version is forgotten while it runs."""
    history = version_history.VersionHistory(WINDOW_S)
    for version in ('v1', 'v1', 'v2'):
        history.add(version)
    history.remove('v1', 5.0)
    assert history.recent(100.0) == {'v1', 'v2'}
    history.remove('v1', 100.0)
    assert history.recent(100.0 + WINDOW_S) == {'v1', 'v2'}
    assert history.recent(100.1 + WINDOW_S) == {'v2'}


def test_version_that_returns_is_not_forgotten():
    """Guards against a crashed upstream's version that expires later."""
    history = version_history.VersionHistory(WINDOW_S)
    history.add('v1')
    history.remove('v1', 1.0)
    history.add('v1')
    assert history.recent(100.0) == {'v1'}
