"""A small deployment: one store, some servers and some gateways."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import time
import typing
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
    Coroutine,
    Mapping,
)

from review import gateways, http, servers, store

HOST = 'plans.example'
PLAIN = 'coop-app'
ENGINES = 'agro-llm'
SHEETS = '/sheets/'
DRAFTS = '/drafts/'
HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTLE_S = 2.0
# Memory of an engine for weights and adapters, and the weights of its model.
ENGINE_MB = 75500.0
MODEL_MB = 72700.0

Models = Mapping[str, float]
Config = dict[str, typing.Any]


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._started_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, line: str, at: float | None = None) -> None:
        """Add a line; its time is now if none is given."""
        when = time.monotonic() if at is None else at
        self._lines.append((when - self._started_at, line))

    def write(self) -> None:
        """Write all lines in the order of their times."""
        self._path.write_text(
            ''.join(f'{at:9.3f} {line}\n' for at, line in sorted(self._lines))
        )


class Deployment:
    """The parts of a deployment.

    Attributes:
        rows: The store.
        servers: The replicas.
        gateways: The machines that run the gateway.
        record: What has happened.
        is_troubled: Whether the case has its disruption.
        bounds: Bounds in the settings of gateways that are added.
    """

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.rows = store.Store()
        self.servers: list[servers.Server] = []
        self.gateways: list[gateways.Gateway] = []
        self.record = record
        self.bounds = dict(gateways.BOUNDS)
        self.is_troubled = os.environ.get('TROUBLE', '1') != '0'
        self._folder = folder
        self._ip = gateways.loopback_address()
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a task until the deployment stops."""
        self._tasks.append(asyncio.create_task(coroutine))

    def new_address(self) -> http.Address:
        """Return a free address for a server."""
        return self._ip, gateways.free_port(self._ip)

    async def add_server(self, server: servers.Server) -> None:
        """Start a replica and write its entry."""
        await http.serve(server.handle, server.address)
        self.servers.append(server)
        self.spawn(server.run(self.rows))

    async def add_gateways(self, first: str, *others: str) -> None:
        """Start gateways; the first one before the others, so that it leads."""
        await self._add_gateway(first)
        await asyncio.gather(*(self._add_gateway(name) for name in others))
        await asyncio.sleep(SETTLE_S)

    def write_config(self, models: Models | None = None) -> None:
        """Write the operator's configuration.

        Args:
            models: Weights in MB of the engines' base models by name; those of
                the only model of the users' sites if None.
        """
        known = models or {servers.MODEL: MODEL_MB}
        self.put_config(_config(known))

    def put_config(self, config: Config) -> None:
        """Write a configuration."""
        self.rows.put('op', 'config', config)

    def leader(self) -> gateways.Gateway:
        """Return the gateway whose lease the store has.

        Raises:
            CannotRunError: There is none.
        """
        row = self.rows.read('ivystep', 'lease/orders')
        holder = row['value']['holder_id'].partition('@')[0] if row else ''
        for gateway in self.gateways:
            if gateway.name == holder:
                return gateway
        raise CannotRunError('no gateway leads')

    def record_orders(self, engine: servers.Engine) -> None:
        """Record the orders that an engine received."""
        for order in engine.orders:
            self.record.add(
                f'{engine.server_id} gets an order of {order.holder} with '
                f'fence number {order.token}: {order.operation} '
                f'{order.target}, {order.status}',
                order.at,
            )

    def record_runs(self) -> set[str]:
        """Record what servers ran, and return the ids of the requests."""
        for server in self.servers:
            for began in server.runs:
                self.record.add(
                    f'{server.server_id} begins to work on {began.request_id}',
                    began.began_at,
                )
        return {run.request_id for one in self.servers for run in one.runs}

    async def stop(self) -> None:
        """End all tasks and processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))

    async def _add_gateway(self, name: str) -> None:
        address = self.new_address()
        await http.serve(self.rows.handle, address)
        gateway = gateways.Gateway(name, address, self._folder, self.bounds)
        self.gateways.append(gateway)
        await gateway.start()


Play = Callable[[Deployment], Awaitable[int]]


def run(play: Play) -> typing.NoReturn:
    """Play a case and end with its exit status.

    The only argument of the command is the path of the record.

    Args:
        play: Returns ``BROKEN`` if the rule was broken and ``HELD`` if not.
    """
    record = Record(pathlib.Path(sys.argv[1]))
    sys.exit(asyncio.run(_run(record, play)))


async def _run(record: Record, play: Play) -> int:
    async with _deployed(record) as deployed:
        try:
            status = await play(deployed)
        except (CannotRunError, gateways.NotReadyError, OSError) as error:
            record.add(f'the case could not run: {error!r}')
            status = NOT_RUN
    record.write()
    words = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}
    sys.stdout.write(f'{words[status]}\n')
    return status


@contextlib.asynccontextmanager
async def _deployed(record: Record) -> AsyncGenerator[Deployment]:
    with tempfile.TemporaryDirectory(prefix='review-') as folder:
        deployed = Deployment(pathlib.Path(folder), record)
        try:
            yield deployed
        finally:
            await deployed.stop()


def _config(models: Models) -> Config:
    common = {'host': HOST, 'attempts': 2}
    stream = {
        **common,
        'kind': 'stream',
        'priority': 1,
        'service': ENGINES,
        'sticky': True,
        'resumable': False,
        'gap_target_ms': 300,
    }
    return {
        'version': 7,
        'routes': [
            {
                **common,
                'name': 'sheets',
                'prefix': SHEETS,
                'kind': 'non_idempotent',
                'timeout_ms': 1500,
                'target_latency_ms': 400,
                'priority': 2,
                'service': PLAIN,
            },
            {
                **stream,
                'name': 'drafts',
                'prefix': DRAFTS,
                'timeout_ms': 30000,
                'target_latency_ms': 1000,
            },
        ],
        'services': [
            {
                'name': PLAIN,
                'health_path': '/health',
                'max_connections': 100,
            },
            {
                'name': ENGINES,
                'health_path': '/health',
                'max_connections': 360,
                'engine': {
                    'slots': servers.Engine.slots,
                    'kv_capacity': 133106,
                    'weights_mb': ENGINE_MB,
                    'max_adapters': servers.MAX_ADAPTERS,
                    'loads_per_s': 2.1,
                    'models': [
                        {
                            'name': name,
                            'weights_mb': weights_mb,
                            'load_s': 6.0,
                            'adapters': 3000,
                            'adapter_mb': 66.0,
                        }
                        for name, weights_mb in models.items()
                    ],
                },
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
