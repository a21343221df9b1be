"""Tests daemons that are started without standard descriptors or a reader."""

import os
import pathlib
import re
import signal
import subprocess

import pytest

from tests.processes import single_daemon

CLOSED = {
    'output': ('>&-', (1,)),
    'input and output': ('<&- >&-', (0, 1)),
    'all': ('<&- >&- 2>&-', (0, 1, 2)),
}
DROPPED = re.compile(r'^ivystep_log_lines_dropped_total\S* (\d+)', re.MULTILINE)


def relaunch(node, redirections, **options):
    """Start a daemon with other standard descriptors."""
    node.stop(signal.SIGKILL)
    node.process = subprocess.Popen(
        ('sh', '-c', f'exec "$@" {redirections}', 'sh', *node.arguments),
        **options,
    )


@pytest.mark.parametrize('closed', CLOSED)
def test_daemon_without_standard_descriptors_serves(node, closed):
    """Guards against a failed start, and sockets with their numbers."""
    redirections, numbers = CLOSED[closed]
    relaunch(node, redirections, stderr=subprocess.DEVNULL)
    single_daemon.await_service(node)
    assert single_daemon.answers(node)
    folder = pathlib.Path(f'/proc/{node.process.pid}/fd')
    assert {os.readlink(folder / str(number)) for number in numbers} == {
        os.devnull
    }
    if node.name == 'gateway':
        metrics = single_daemon.HTTP.request(
            'GET', f'{node.operators_url}/metrics'
        )
        assert int(DROPPED.search(metrics.data.decode())[1]) > 0
    assert node.stop() == 0


def test_daemon_serves_while_nobody_reads_its_log(node):
    """Guards against a process that waits for the reader of its log."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            single_daemon.UNPATCHED_OS.write(writing, b'x' * 4096)
    except BlockingIOError:
        os.set_blocking(writing, True)
    relaunch(node, '', stdout=writing, stderr=writing)
    os.close(writing)
    single_daemon.await_service(node)
    assert single_daemon.answers(node)
    assert node.stop() == 0
    os.close(reading)


def test_daemon_serves_after_the_reader_of_its_log_has_gone(node):
    """Guards against a process that a broken pipe ends."""
    reading, writing = os.pipe()
    relaunch(node, '', stdout=writing, stderr=writing)
    os.close(writing)
    os.close(reading)
    single_daemon.await_service(node)
    assert single_daemon.answers(node)
    node.process.send_signal(signal.SIGHUP)
    assert single_daemon.answers(node)
    assert node.stop() == 0
