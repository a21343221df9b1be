"""Tests that the examples print what their documentation says."""

import pytest

from examples import claim, hold_lease, limit_retries, update_row

OUTPUT_BY_EXAMPLE = {
    claim: [
        'The dosage for plot 4 is issued.',
        'The repeat is told: ran yes, 200.',
        'The key matches another plot: False.',
    ],
    hold_lease: [
        'The first controller holds the lease: True.',
        'The first controller holds the lease: False.',
        'The second one may stamp: True.',
        'The first one may stamp: False.',
    ],
    update_row: ['3 writers counted 3.'],
    limit_retries: ['100 failing requests were sent 114 times.'],
}


@pytest.mark.parametrize('example', OUTPUT_BY_EXAMPLE)
def test_example_prints_what_its_page_says(example, capsys):
    """Guards against examples that no longer run as documented."""
    example.main()
    lines = capsys.readouterr().out.splitlines()
    assert lines == OUTPUT_BY_EXAMPLE[example]
