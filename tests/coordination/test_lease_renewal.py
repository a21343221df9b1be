"""Tests what a process concludes from a renewal that it was told of."""

import pytest

from ivystep.coordination import lease_renewal, lease_row
from ivystep.platform import table
from ivystep.runtime import clock, virtual_hub


@pytest.mark.parametrize(('age_s', 'is_recent'), [(1.9, True), (2.1, False)])
def test_renewal_is_recent_for_half_of_the_lease(age_s, is_recent):
    """Guards against relying on a holder that has ended."""

    def scenario():
        renewal = lease_renewal.Renewal(7, 12, clock.uptime())
        clock.sleep(age_s)
        return renewal.is_recent(4.0)

    assert virtual_hub.run(scenario) == is_recent


def test_only_the_row_of_the_renewal_is_its_own():
    """Guards against a later row that is taken for the one told of."""
    record = lease_row.Record(
        token=7,
        holder_id='h-1',
        duration_s=4.0,
        write_id='w-1',
        is_released=False,
    )
    renewal = lease_renewal.Renewal(7, 12, 0.0)
    rows = [
        table.Row('key', record.to_value(), version) for version in (12, 13)
    ]
    assert [renewal.has_written(row) for row in rows] == [True, False]
