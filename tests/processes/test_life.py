"""Tests the settings and the first and last line of real daemons."""

import pathlib
import signal

from tests.processes import single_daemon


def await_log(system, node, text):
    single_daemon.wait_until(
        lambda: text in single_daemon.read_log(system, node)
    )


def test_settings_are_read_again_and_invalid_ones_are_refused(system, node):
    """Guards against a reload without effect, and one that ends a process."""
    single_daemon.await_service(node)
    path = pathlib.Path(node.arguments[-1])
    valid = path.read_text()
    path.write_text(valid[: len(valid) // 3])
    node.process.send_signal(signal.SIGHUP)
    await_log(system, node, 'reload_failed')
    path.unlink()
    node.process.send_signal(signal.SIGHUP)
    single_daemon.wait_until(
        lambda: single_daemon.read_log(system, node).count('reload_failed') > 1
    )
    assert 'needs_restart' not in single_daemon.read_log(system, node)
    path.write_text(valid)
    node.process.send_signal(signal.SIGHUP)
    await_log(system, node, 'needs_restart')
    assert single_daemon.answers(node)


def test_process_logs_its_start_and_its_end(system, node):
    """Guards against an end of which no log tells the reason."""
    single_daemon.await_service(node)
    assert node.stop() == 0
    text = single_daemon.read_log(system, node)
    assert 'process_started' in text
    assert 'process_ended' in text


def test_invalid_settings_end_the_start_with_2(system, node):
    """Guards against a start with settings that nobody meant."""
    node.stop()
    path = pathlib.Path(node.arguments[-1])
    valid = path.read_text()
    path.write_text(f'{valid}\n[odd]\nkey = 1\n')
    single_daemon.launch(system, node)
    assert node.process.wait(single_daemon.TIMEOUT_S) == 2
    (line,) = single_daemon.read_log(system, node).splitlines()
    assert 'section [odd]' in line
    path.unlink()
    single_daemon.launch(system, node)
    assert node.process.wait(single_daemon.TIMEOUT_S) == 2
    (line,) = single_daemon.read_log(system, node).splitlines()
    assert 'cannot be read' in line
