"""Tests daemons in poor surroundings, each one started anew."""

import os
import pathlib
import resource
import subprocess

import pytest

from ivystep.core import units
from tests.processes import single_daemon

ADDRESS_SPACE_BYTES = 300 * units.MIB
NO_HOME = {
    name: text
    for name, text in os.environ.items()
    if name not in {'HOME', 'LANG', 'LC_ALL', 'LC_CTYPE', 'PYTHONUTF8'}
}
LOCALE_C = NO_HOME | {'LC_ALL': 'C', 'LANG': 'C', 'HOME': '/nonexistent'}


def limit_address_space():
    resource.setrlimit(
        resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES, ADDRESS_SPACE_BYTES)
    )


@pytest.mark.parametrize(
    'surroundings',
    [
        {'env': NO_HOME},
        {'env': LOCALE_C},
        {'preexec_fn': limit_address_space},
    ],
    ids=['no home', 'locale C', 'address space of 300 MB'],
)
def test_daemon_starts_and_stops_in_poor_surroundings(
    system, node, surroundings
):
    """Guards against a process that does not start where little is set."""
    node.stop()
    with (system.folder / f'{node.name}.log').open('wb') as log:
        node.process = subprocess.Popen(
            node.arguments, stdout=log, stderr=log, **surroundings
        )
    single_daemon.await_service(node)
    assert single_daemon.answers(node)
    assert node.stop() == 0
    assert 'process_ended' in single_daemon.read_log(system, node)


def test_settings_that_cannot_be_read_end_the_start_with_2(system, node):
    """Guards against a start without settings, and one that ends in a trace."""
    path = pathlib.Path(node.arguments[-1])
    valid = path.read_bytes()
    path.unlink()
    path.mkdir()
    try:
        single_daemon.launch(system, node)
        assert node.process.wait(single_daemon.TIMEOUT_S) == 2
    finally:
        path.rmdir()
        path.write_bytes(valid)
    (line,) = single_daemon.read_log(system, node).splitlines()
    assert 'cannot be read' in line
