"""Starts gateways as the deploy file says, each with its own settings file."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import socket
import sys
import time
import tomllib
import types
import typing
from collections.abc import Mapping

from review import http

ROOT = pathlib.Path(__file__).resolve().parents[1]
PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')
READY_TIMEOUT_S = 30.0
READY_INTERVAL_S = 0.1
GRACE_S = 8.0
# Bounds of the site gsnpa-plans.
BOUNDS = types.MappingProxyType(
    {
        'drain_ms': 2000,
        'config_ms': 2000,
        'grace_s': int(GRACE_S),
        'budget_ratio': 0.2,
        'budget_extra': 54,
        'budget_window_s': 10,
        'lease_ms': 3000,
        'thaw_ms': 300,
        'version_ms': 5000,
    }
)


class NotReadyError(Exception):
    """A gateway did not become ready."""


def loopback_address() -> str:
    """Return a loopback address that hardly anything else uses."""
    parts = (random.randint(2, 250) for _ in range(3))
    return '127.{}.{}.{}'.format(*parts)


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """One machine that runs the gateway.

    Args:
        name: Name of the machine.
        store_address: Where this machine reaches the store.
        folder: Folder for its settings file and its log.
        bounds: Bounds in its settings.

    Attributes:
        callers: Address for clients.
        process: The process that runs or ran last; None before.
    """

    def __init__(
        self,
        name: str,
        store_address: http.Address,
        folder: pathlib.Path,
        bounds: Mapping[str, typing.Any] = BOUNDS,
    ) -> None:
        self.name = name
        ip = loopback_address()
        self.callers = (ip, free_port(ip))
        self.process: asyncio.subprocess.Process | None = None
        self._ready = (ip, free_port(ip))
        peers = free_port(ip)
        self._settings = folder / f'{name}.ini'
        self._log = folder / f'{name}.log'
        fields = {
            'node_name': name,
            'zone': 'zone-a',
            'ip': ip,
            'port_range': f'{peers},{peers}',
            'heartbeat_ms': 1200,
            'listen.front': _text(self.callers),
            'listen.ready_addr': _text(self._ready),
            'platform.address': _text(store_address),
            'limits.cores': 1,
            'limits.cpu_share': 0.817,
            **{f'bounds.{bound}': value for bound, value in bounds.items()},
        }
        template = (ROOT / _role()['template']).read_text()
        self._settings.write_text(
            PLACEHOLDER.sub(
                lambda found: str(fields.get(found[1], '')), template
            )
        )

    async def start(self) -> None:
        """Start the process and wait until the platform would use it.

        Raises:
            NotReadyError: It did not become ready.
        """
        command = [
            str(self._settings) if word.startswith('/etc/') else word
            for word in _role()['run'].split()
        ]
        command[0] = sys.executable
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['IVYSTEP_NODE_FILE'] = str(self._settings)
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() >= until:
                raise NotReadyError(self.name)
            await asyncio.sleep(READY_INTERVAL_S)

    async def is_ready(self) -> bool:
        """Ask as the platform does whether new connections may come."""
        question = b'GET /ivystep/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
        try:
            channel = await http.Channel.connect(self._ready)
        except OSError:
            return False
        try:
            await channel.send(question)
            answer = await asyncio.wait_for(channel.read_answer(), 1)
        except (OSError, EOFError):
            return False
        finally:
            channel.close()
        return answer.status == 200

    async def stop(self) -> None:
        """Stop the process as the platform does: SIGTERM, later SIGKILL."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


def _role() -> dict[str, typing.Any]:
    """Return the gateway's role in the deploy file."""
    deployed = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deployed['roles']['gateway']


def _text(address: http.Address) -> str:
    return f'{address[0]}:{address[1]}'
