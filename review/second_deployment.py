"""Starts the store's stand-in and gateways with the deploy file's commands."""

import base64
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess  # ruff: ignore[suspicious-subprocess-import]
import time
import tomllib
import typing

from review import second_record as record

ROOT = pathlib.Path(__file__).parents[1]
LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
CALL_TIMEOUT_S = 2.0
READY_STATUS = 200
SETTINGS_PATH = '/etc/ivystep/local.toml'
PLACEHOLDER = re.compile(r'\{\{([a-z_.]+)\}\}')
# Bounds of the sheet of the deployment gsnpa-plans.
BOUNDS: typing.Final = (
    ('lease_ms', 3000),
    ('thaw_ms', 300),
    ('version_ms', 5000),
    ('config_ms', 2000),
    ('drain_ms', 2000),
    ('grace_s', 8),
    ('budget_ratio', 0.2),
    ('budget_extra', 54),
    ('budget_window_s', 10),
)


class StartError(Exception):
    """A process did not start."""


@dataclasses.dataclass(slots=True)
class Gateway:
    """A gateway process.

    Attributes:
        callers: Address for callers.
        readiness: Address for readiness checks.
    """

    name: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    command: tuple[str, ...]
    process: subprocess.Popen[bytes]


class Deployment:
    """The processes of a small deployment on loopback addresses.

    Args:
        folder: Temporary folder for settings and logs.
        recorded: Record of the case.
    """

    def __init__(self, folder: pathlib.Path, recorded: record.Record) -> None:
        self._folder = folder
        self._record = recorded
        self._processes: list[subprocess.Popen[bytes]] = []
        self._store = (LOOPBACK, free_port())

    def start_store(self) -> None:
        """Start the project's stand-in of the platform's store."""
        command = ('python3', '-m', 'standins', 'table', str(self._store[1]))
        self._launch('store', command)
        _wait_for(lambda: _accepts(self._store), 'the store')

    def start_gateway(self, name: str, zone: str = 'accra-a') -> Gateway:
        """Start a gateway; ``wait_until_ready`` waits for it.

        Args:
            name: Name of its machine.
            zone: Its zone.
        """
        callers, readiness, peers, metrics = (free_port() for _ in range(4))
        path = self._folder / f'{name}.ini'
        path.write_text(
            _render(
                {
                    'node_name': name,
                    'zone': zone,
                    'ip': LOOPBACK,
                    'listen.front': f'{LOOPBACK}:{callers}',
                    'listen.ready_addr': f'{LOOPBACK}:{readiness}',
                    'port_range': f'{peers},{peers}',
                    'platform.address': f'{LOOPBACK}:{self._store[1]}',
                    'heartbeat_ms': '1200',
                    'limits.cores': '1',
                    'limits.cpu_share': '0.817',
                    'limits.max_fds': '4100',
                    'limits.memory_mb': '300',
                    **{f'bounds.{key}': str(text) for key, text in BOUNDS},
                }
            ).replace('metrics_port = 9464', f'metrics_port = {metrics}'),
            encoding='utf-8',
        )
        command = tuple(
            str(path) if word == SETTINGS_PATH else word
            for word in _deploy_command()
        )
        return Gateway(
            name,
            (LOOPBACK, callers),
            (LOOPBACK, readiness),
            command,
            self._launch(name, command),
        )

    def restart(self, gateway: Gateway) -> None:
        """Start a gateway that has ended with the same settings."""
        gateway.process = self._launch(gateway.name, gateway.command)

    def wait_until_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway answers readiness checks with 200."""
        _wait_for(lambda: _is_ready(gateway.readiness), gateway.name)

    def write(self, table: str, key: str, document: typing.Any) -> None:
        """Write a row as the operator or a replica does.

        Args:
            table: Name of the table.
            key: Key of the row.
            document: Its content; None deletes the row.
        """
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._call_store('/write', {'table': table, 'key': key, 'value': value})

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for ended in self._processes:
            ended.wait(STOP_TIMEOUT_S)

    def _call_store(self, path: str, document: typing.Any) -> None:
        connection = http.client.HTTPConnection(
            *self._store, timeout=CALL_TIMEOUT_S
        )
        with contextlib.closing(connection):
            connection.request('POST', path, json.dumps(document))
            connection.getresponse().read()

    def _launch(
        self, name: str, command: tuple[str, ...]
    ) -> subprocess.Popen[bytes]:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self._folder / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(  # ruff: ignore[subprocess-without-shell-equals-true]
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._processes.append(process)
        self._record.write('case', f'started {name}')
        return process


def free_port() -> int:
    """Return a port that is free on the loopback address."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def _deploy_command() -> list[str]:
    document = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return str(document['roles']['gateway']['run']).split(' ')


def _render(text_by_name: dict[str, str]) -> str:
    """Fill in the template of the settings as the platform does."""
    template = (ROOT / 'deploy' / 'gateway.ini').read_text()
    return PLACEHOLDER.sub(
        lambda found: text_by_name.get(found.group(1), ''), template
    )


def _accepts(address: tuple[str, int]) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(address) == 0


def _is_ready(address: tuple[str, int]) -> bool:
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    with contextlib.closing(connection):
        try:
            connection.request('GET', '/ivystep/readiness')
            return connection.getresponse().status == READY_STATUS
        except OSError:
            return False


def _wait_for(is_done: typing.Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while not is_done():
        if time.monotonic() > deadline:
            raise StartError(f'{what} did not start in time')
        time.sleep(POLL_S)
