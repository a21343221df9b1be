"""Tests of the first and last line of a process and of its settings."""

import functools
import logging

import pytest

from ivystep.core import errors
from ivystep.runtime import process
from ivystep.settings import ini, models
from tests.cli.test_commands import ENTRY_INI

VALID = """
[process]
id = entry-1
data_centre = lier-a
log_level = {level}
[platform]
table_url = http://127.0.0.1:1
objects_url = http://127.0.0.1:1
hosts_url = http://127.0.0.1:1
[tls]
authority = a
certificate = b
key = c
[listen]
address = 127.0.0.1
port = {port}
[operators]
address = 127.0.0.1
port = 2
[peers]
address = 127.0.0.1
port = 3
"""


@pytest.fixture
def settings(tmp_path):
    """Write valid settings of an entry; keep the log level of the tests."""
    level = logging.getLogger().level
    path = tmp_path / 'entry.ini'
    path.write_text(VALID.format(level='INFO', port=1))
    yield path
    logging.getLogger().setLevel(level)


def make(path):
    load = functools.partial(ini.load, str(path), models.EntrySettings)
    return process.Process('entry', load)


def test_reload_applies_the_log_level_and_names_the_rest(settings):
    """Guards against a change of settings without effect and without a word."""
    life = make(settings)
    settings.write_text(VALID.format(level='ERROR', port=7))
    event = life.reload()
    assert logging.getLogger().level == logging.ERROR
    assert (event.name, event.log_level) == ('reloaded', 'ERROR')
    assert event.needs_restart == 'listen.port'


@pytest.mark.parametrize('text', [None, '', ENTRY_INI, VALID[:60]])
def test_reload_of_an_invalid_file_keeps_the_settings(settings, text):
    """Guards against a process that half-written settings end or change."""
    life = make(settings)
    level = logging.getLogger().level
    if text is None:
        settings.unlink()
    else:
        settings.write_text(text)
    event = life.reload()
    assert event.name == 'reload_failed'
    assert str(settings) in event.problem
    assert logging.getLogger().level == level


def run(path, serve):
    written = []
    life = make(path)
    try:
        life.run(serve, written.append)
    except Exception as error:
        return written, error
    return written, None


def test_process_that_drained_says_so_at_its_end(settings):
    """Guards against an end that looks like a crash."""
    (started, ended), error = run(settings, lambda *_: None)
    assert error is None
    assert (started.name, started.role) == ('process_started', 'entry')
    assert started.version
    assert started.machine
    assert (ended.name, ended.reason) == ('process_ended', 'signal')
    assert ended.exit_code == 0


@pytest.mark.parametrize(
    ('raised', 'exit_code'),
    [(OverflowError('odd'), 1), (errors.SettingsError('odd'), 2)],
)
def test_process_that_an_error_ends_says_so(settings, raised, exit_code):
    """Guards against an end without a line that names its cause."""

    def serve(*_):
        raise raised

    (_, ended), error = run(settings, serve)
    assert error is raised
    assert ended.reason == type(raised).__name__
    assert (ended.exit_code, ended.error) == (exit_code, 'odd')
    assert ended.place.startswith('test_process.py:')
