"""Tests how many connections of callers a process takes."""

import resource

import pytest

from ivystep.runtime import descriptor_limit


@pytest.mark.parametrize(
    ('limit', 'max_fds', 'connections'),
    [
        (128, 0, 32),
        (1024, 0, 448),
        (20000, 0, 8750),
        (20000, 1200, 437),
        (1024, 100000, 448),
        (1024, 210, 16),
        (20, 0, 16),
        (resource.RLIM_INFINITY, 0, 458752),
    ],
)
def test_callers_leave_descriptors_for_all_else(
    monkeypatch, limit, max_fds, connections
):
    """Guards against callers that use up what the store and probes need."""
    monkeypatch.setattr(resource, 'getrlimit', lambda kind: (limit, limit))
    assert descriptor_limit.caller_connections(max_fds) == connections
