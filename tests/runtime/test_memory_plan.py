"""Tests how the memory of a gateway is shared out."""

import pytest

from ivystep.core import units
from ivystep.runtime import memory_plan

MEGABYTE = memory_plan.MEGABYTE
LONGEST_BODY = 4 * units.MIB


@pytest.mark.parametrize('memory_mb', [160, 200, 232, 300, 552])
@pytest.mark.parametrize('allowed', [16, 218, 1706, 3497, 500000])
def test_parts_fit_the_memory(memory_mb, allowed):
    """Guards against a term that is left out, or machines too small."""
    plan = memory_plan.MemoryPlan.from_capacity(memory_mb * MEGABYTE, allowed)
    assert plan.fits
    assert plan.sum_bytes <= memory_mb * MEGABYTE
    assert plan.connections + plan.left_out == allowed
    assert plan.unread_bytes >= memory_plan.MIN_UNREAD_BYTES
    assert plan.longest_body_bytes >= LONGEST_BODY


@pytest.mark.parametrize('memory_mb', [160, 200, 232, 300])
def test_connections_of_a_site_are_not_left_out(memory_mb):
    """Guards against fewer connections than descriptors on small machines."""
    plan = memory_plan.MemoryPlan.from_capacity(memory_mb * MEGABYTE, 1706)
    assert not plan.left_out


@pytest.mark.parametrize(
    'part',
    [
        {'connections': 1},
        {'backlog': 1},
        {'unread_bytes': 1},
        {'requests_bytes': 1},
    ],
    ids=lambda part: next(iter(part)),
)
def test_each_part_counts(part):
    """Guards against a sum without one of its terms."""
    plan = memory_plan.MemoryPlan(300 * MEGABYTE, 1000)
    name, more = next(iter(part.items()))
    grown = memory_plan.MemoryPlan(
        **{
            'memory_bytes': plan.memory_bytes,
            'connections': plan.connections,
            name: getattr(plan, name) + more,
        }
    )
    assert grown.sum_bytes > plan.sum_bytes


def test_memory_below_the_least_is_told():
    """Guards against a gateway that starts where it cannot stay."""
    plan = memory_plan.MemoryPlan.from_capacity(64 * MEGABYTE, 1000)
    assert not plan.fits
    assert plan.connections == memory_plan.MIN_CONNECTIONS
