"""Plays the starts and stops of one seed."""

import base64
import json
import pathlib
import random
import signal

from demo import cluster, platform
from soak import deployment, oracle
from soak.starts import daemon, disturbances

ROUNDS = 8
COMMANDS = ('gateway', 'entry', 'sidecar', 'console')


def play(folder: pathlib.Path, seed: int, rounds: int) -> list[str]:
    """Start and stop daemons; return a line for each failure.

    Args:
        folder: Folder for settings and logs.
        seed: Seed of the random choices.
        rounds: Number of disturbances; the commands take turns.
    """
    choices = random.Random(seed)
    system = cluster.Cluster(folder)
    failures = []
    try:
        system.start_platform()
        daemon_by_command = _daemons(system, folder)
        for number in range(rounds):
            command = COMMANDS[number % len(COMMANDS)]
            drawn = choices.choice(disturbances.ALL)
            scene = disturbances.Scene(
                system, daemon_by_command[command], choices
            )
            failures.extend(
                f'round {number}, {command}, {drawn.__name__}: {found}'
                for found in _play_round(scene, drawn)
            )
    finally:
        system.stop()
    return [*failures, *oracle.fault_lines(folder)]


def _play_round(
    scene: disturbances.Scene, drawn: disturbances.Disturbance
) -> list[str]:
    try:
        drawn(scene)
    except disturbances.DaemonError as error:
        found = [str(error)]
    else:
        found = [scene.daemon.await_ready(disturbances.READY_S)]
    found.append(scene.daemon.stop())
    return [line for line in found if line]


def _daemons(
    system: cluster.Cluster, folder: pathlib.Path
) -> dict[str, daemon.Daemon]:
    """Return one stopped daemon of each command, by the command."""
    table = system.node_by_name['table'].url
    row = json.dumps(dict(platform.CONFIG)).encode()
    write = {
        'table': 'op',
        'key': 'config',
        'value': base64.b64encode(row).decode(),
    }
    system.http.request('POST', f'{table}/write', body=json.dumps(write))
    system.submit(deployment.setup_document(), 0)
    with system.parallel():
        system.start_upstream('sidecar', 'base', 'lier-a')
        system.start_entry('entry', 'lier-a')
        system.start_gateway('gateway', 'lier-a', table)
        system.start_console('console')
    return {
        name: _stopped(system.node_by_name[name], folder) for name in COMMANDS
    }


def _stopped(node: cluster.Node, folder: pathlib.Path) -> daemon.Daemon:
    """Return a daemon whose process is ended."""
    node.stop(signal.SIGKILL)
    return daemon.Daemon(node, folder)
