"""Tests of the ``explain`` subcommand and of the page on log lines."""

import json
import pathlib

import pytest

from ivystep.cli import explain, log_events
from ivystep.core import errors


def line(message, host='host-1', **fields):
    return json.dumps({'message': message, 'host': host, **fields})


LINES = [
    line('upstream_changed', upstream='i-1', change='added'),
    line('upstream_changed', upstream='i-9', change='added'),
    line('upstream_changed', 'host-2', upstream='i-1', change='removed'),
    '12.5 host-1 ' + line('request_placed', request_id='r-1', upstream='i-1'),
    'not a log line {',
    line('request_placed', request_id='r-2', upstream='i-1'),
    line('order_given', upstream='i-1', operation='load'),
    line('attempt_failed', request_id='r-1', upstream='i-1', ran='unknown'),
    line('request_failed', request_id='r-1', code='upstream_lost'),
    line('upstream_changed', upstream='i-1', change='removed'),
]


def test_explanation_has_changes_that_the_host_of_the_request_saw():
    """Guards against an explanation that omits the cause of a failure."""
    found = explain.explain_request('r-1', explain.parse_lines(LINES))
    assert [(one.fields['message'], one.position) for one in found] == [
        ('upstream_changed', 0),
        ('request_placed', 3),
        ('order_given', 6),
        ('attempt_failed', 7),
        ('request_failed', 8),
    ]


def test_explanation_has_orders_that_other_hosts_gave_for_the_adapter():
    """Guards against an explanation without the orders of the leader.

    The request waited for a load that never came; its own host logged only
    its end.
    """
    lines = [
        line('started', time='2026-07-17T06:00:00+00:00'),
        line('duty_changed', 'host-2', change='ended'),
        line('order_given', 'host-2', target='m/a7@1', upstream='i-1'),
        line('other', time='2026-07-17T06:00:01+00:00'),
        line('order_given', 'host-2', target='m/a7@1', upstream='i-2'),
        line('order_given', 'host-2', target='m/a8@1', upstream='i-3'),
        line('dependency_lost', dependency='holder/10.0.0.2:1'),
        line(
            'request_failed',
            request_id='r-1',
            adapter='m/a7',
            elapsed_ms=3800,
            time='2026-07-17T06:00:04+00:00',
        ),
    ]
    found = explain.explain_request('r-1', explain.parse_lines(lines))
    assert [one.position for one in found] == [1, 2, 4, 6, 7]


@pytest.mark.parametrize(
    ('code', 'expected'), [('unknown_key', [0, 2, 4]), ('upstream_full', [4])]
)
def test_refused_key_is_explained_by_the_configurations_of_its_host(
    code, expected
):
    """Guards against a 401 that does not tell which keys were in force."""
    lines = [
        line('config_adopted', version=7, accounts=16),
        line('config_adopted', 'host-2', version=8, accounts=17),
        line('entry_ignored', key='config', reason='malformed'),
        line('entry_ignored', key='i-1', reason='malformed'),
        line('request_failed', request_id='r-1', code=code, account=''),
    ]
    found = explain.explain_request('r-1', explain.parse_lines(lines))
    assert [one.position for one in found] == expected


def test_unknown_request_is_an_error():
    """Guards against empty output for a mistyped request id."""
    with pytest.raises(errors.SettingsError, match='r-9'):
        explain.explain_request('r-9', explain.parse_lines(LINES))


def test_command_reads_several_files(tmp_path, capsys):
    """Guards against an explanation from the log of one host only."""
    first, second = tmp_path / 'a', tmp_path / 'b'
    first.write_text('\n'.join(LINES[:4]))
    second.write_text('\n'.join(LINES[4:]))
    explain.Explain('r-1', [first, second])()
    assert 'code=upstream_lost' in capsys.readouterr().out


def test_page_on_log_lines_is_up_to_date():
    """Guards against a page that differs from the event classes."""
    root = pathlib.Path(__file__).parents[2]
    page = (root / 'docs' / 'log-events.md').read_text()
    assert page == log_events.render()
