"""Demo of gateways with the platform's store and engines as processes."""

import base64
import collections
import json
import pathlib
import tempfile
import time
import types
import typing

import eventlet
import urllib3

from demo import cluster
from standins import platform_engine

HOST = 'plans.example'
ADAPTERS = 6
REQUESTS = 60
READY_TIMEOUT_S = 10.0
POLL_S = 0.05
CONFIG = types.MappingProxyType(
    {
        'version': 1,
        'routes': [
            {
                'name': 'plans',
                'host': HOST,
                'prefix': '/plans/',
                'kind': 'stream',
                'timeout_ms': 10000,
                'target_latency_ms': 1000,
                'priority': 1,
                'service': platform_engine.SERVICE,
                'attempts': 1,
                'gap_target_ms': 300,
            },
        ],
        'services': [
            {
                'name': platform_engine.SERVICE,
                'max_connections': 100,
                'engine': {
                    'slots': 8,
                    'weights_mb': 10000.0,
                    'max_adapters': 4,
                    'loads_per_s': 2.0,
                    'models': [
                        {
                            'name': platform_engine.MODEL,
                            'weights_mb': 1000.0,
                            'adapter_mb': 1.0,
                        }
                    ],
                },
            }
        ],
    }
)


class Platform:
    """The processes of a store, engines and gateways.

    Args:
        folder: Folder for settings and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.system = cluster.Cluster(folder)
        self.engines: list[cluster.Node] = []
        self.gateways: list[cluster.Node] = []
        self._http = urllib3.PoolManager(
            retries=False, timeout=10.0, maxsize=16
        )

    def start(self, engines: int = 3, gateways: int = 2) -> None:
        """Start all processes and wait until the gateways are ready."""
        store = self.system.start_standin('store', 'table').url
        self.write(store, 'op', 'config', dict(CONFIG))
        with self.system.parallel():
            self.engines = [
                self.system.start_platform_engine(f'engine-{number}', store)
                for number in range(engines)
            ]
            self.gateways = [
                self.system.start_gateway(f'gateway-{number}', 'accra-a', store)
                for number in range(gateways)
            ]
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(
            self.knows_upstreams(gateway, engines) for gateway in self.gateways
        ):
            if time.monotonic() > deadline:
                raise RuntimeError('gateways did not find all engines in time')
            time.sleep(POLL_S)

    def write(
        self, store: str, table: str, key: str, document: typing.Any
    ) -> None:
        """Write a row on behalf of the operator."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = json.dumps({'table': table, 'key': key, 'value': value})
        self._http.request('POST', f'{store}/write', body=body)

    def call(
        self, number: int, gateway: cluster.Node, events: int = 5
    ) -> urllib3.BaseHTTPResponse:
        """Request a stream of events from one of the adapters."""
        adapter = f'{platform_engine.MODEL}/a{number % ADAPTERS}'
        return self._http.request(
            'POST',
            f'{gateway.url}/plans/field-{number}',
            body=b'{}',
            headers={
                'Host': HOST,
                'Request-Id': f'request-{number}',
                'Model': adapter,
                'Token-Count': '400,80',
                'Deadline-Ms': '9000',
                'X-Events': str(events),
            },
        )

    def observations(self) -> list[dict[str, typing.Any]]:
        """Return the runs and orders that each live engine recorded."""
        return [
            self._http.request('GET', f'{engine.url}/seen').json()
            for engine in self.engines
            if engine.process.poll() is None
        ]

    def knows_upstreams(self, gateway: cluster.Node, engines: int) -> bool:
        """Return whether a gateway has found a number of engines."""
        try:
            status = self._http.request(
                'GET', f'{gateway.operators_url}/status.json'
            ).json()
        except urllib3.exceptions.HTTPError:
            return False
        return status['details']['upstreams'] == engines

    def stop(self) -> None:
        """Stop all processes."""
        self.system.stop()


def run(folder: pathlib.Path) -> None:
    """Send requests through two gateways and print the statuses.

    Args:
        folder: Folder for settings and logs.

    Raises:
        RuntimeError: A request failed, or an engine had more adapters than
            slots.
    """
    platform = Platform(folder)
    try:
        platform.start()
        pool = eventlet.GreenPool(8)
        answers = pool.starmap(
            platform.call,
            [
                (number, platform.gateways[number % 2])
                for number in range(REQUESTS)
            ],
        )
        statuses = collections.Counter(answer.status for answer in answers)
        print(f'{REQUESTS} requests through 2 gateways: {dict(statuses)}')
        engine_observations = platform.observations()
        for number, one in enumerate(engine_observations):
            runs = sum(one['runs'].values())
            print(f'engine-{number}: {runs} runs, {len(one["holders"])} orders')
        if statuses != {200: REQUESTS}:
            raise RuntimeError('not every request succeeded')
        if any(engine['overfilled'] for engine in engine_observations):
            raise RuntimeError('an engine had more adapters than slots')
    finally:
        platform.stop()


def main() -> None:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix='ivystep-demo-') as folder:
        run(pathlib.Path(folder))


if __name__ == '__main__':
    eventlet.monkey_patch()
    main()
