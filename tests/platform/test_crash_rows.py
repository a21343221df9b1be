"""Tests of the rows on crashes."""

import pytest

from ivystep.platform import crash_rows, rows


def test_row_is_read_as_it_was_written():
    """Guards against crashes that other hosts cannot read."""
    crash = crash_rows.Crash(b'\x00\xff' * 16, 'i-1', 'i-1/5', 1700000000.25)
    write = crash_rows.encode(crash)
    stored = rows.StoredRow(write.table, write.key, write.content, 7)
    assert crash_rows.decode(stored) == crash
    assert crash_rows.encode_removal(crash).key == write.key


def test_incarnations_of_one_upstream_have_different_rows():
    """Guards against two crashes of one upstream that count once."""
    keys = {
        crash_rows.Crash(b'f', 'i-1', incarnation, 1.0).key
        for incarnation in ('i-1/1', 'i-1/2')
    }
    assert len(keys) == 2


@pytest.mark.parametrize('has_begun', [True, False])
def test_crash_on_a_part_survives_its_encoding(has_begun):
    """Guards against a part that the other hosts do not learn of."""
    crash = crash_rows.PartCrash(
        '5c1e', 'i-1', 'i-1/5', 1700000000.25, has_begun
    )
    write = crash_rows.encode(crash)
    stored = rows.StoredRow(crash_rows.TABLE, write.key, write.content, 1)
    assert crash_rows.decode(stored) == crash
    assert crash_rows.encode_removal(crash).key == write.key
