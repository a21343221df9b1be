"""Stand-in of a platform engine that registers itself in the store.

Follows the platform's protocol: each load or unload order states the expected
number of accepted orders, reports lag behind the engine's state, and a request
for an adapter that is not resident is refused with 421. ``GET /seen`` returns
the number of runs of each request and the leaders that sent orders.
"""

import base64
import json
import time
import typing
from collections.abc import Iterator

import eventlet
import urllib3

from standins import web

MODEL = 'base'
SERVICE = 'llm'
HEARTBEAT_S = 0.5
REPORT_LAG_S = 0.2
MAX_PARALLEL_LOADS = 4
State = dict[str, typing.Any]
NOT_RUN = (('Not-Executed', '1'),)


class PlatformEngine:
    """An engine with simulated adapters and completions.

    Args:
        upstream_id: Id of the engine.
        address: IP address and port of the engine.
        store_url: URL of the store's stand-in.
        slots: Number of adapters that can be resident or loading.
        load_s: Duration of an adapter's load.
        step_s: Time between two events of a stream.
    """

    def __init__(
        self,
        upstream_id: str,
        address: str,
        store_url: str,
        *,
        slots: int = 4,
        load_s: float = 0.2,
        step_s: float = 0.01,
    ) -> None:
        self.upstream_id = upstream_id
        self.resident_by_name: dict[str, int] = {}
        self.loading_by_name: dict[str, tuple[float, int]] = {}
        self.orders = 0
        self.observations: dict[str, typing.Any] = {
            'runs': {},
            'holders': [],
            'overfilled': False,
        }
        self._address = address
        self._store_url = store_url
        self._slots = slots
        self._load_s = load_s
        self._step_s = step_s
        self._started_at_ms = int(time.time() * 1000)
        self._past_states: list[tuple[float, State]] = []
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def run(self) -> None:
        """Write the engine's entry to the store with each heartbeat."""
        while True:
            self._write_upstream_entry('ready')
            eventlet.sleep(HEARTBEAT_S)

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        path = environ['PATH_INFO']
        expected = environ.get('HTTP_EXPECT_INSTANCE', self.upstream_id)
        if path == '/seen':
            return 200, self.observations
        if expected != self.upstream_id:
            return web.ReplyWithHeaders(
                421, (('Instance-Id', self.upstream_id),), b''
            )
        self._complete_loads()
        if path == '/ivystep/report':
            return _named(environ, 200, self._report())
        if path == '/ivystep/order':
            order = json.loads(web.read_body(environ))
            answer = self._order(order)
            self._record_state(time.monotonic())
            return _named(environ, *answer)
        return self._generate(environ)

    def _write_upstream_entry(self, state: str) -> None:
        document = {
            'service': SERVICE,
            'address': self._address,
            'zone': 'accra-a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'born': self._started_at_ms,
            'models': self._models(),
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = {'table': 'servers', 'key': self.upstream_id, 'value': value}
        try:
            self._http.request(
                'POST', f'{self._store_url}/write', body=json.dumps(body)
            )
        except urllib3.exceptions.HTTPError:
            # The next heartbeat retries.
            return

    def _models(self) -> list[dict[str, typing.Any]]:
        names = [
            f'{name}@{version}'
            for name, version in self.resident_by_name.items()
        ]
        return [{'name': MODEL, 'version': 1, 'adapters': names}]

    def _complete_loads(self) -> None:
        now = time.monotonic()
        loads = sorted(self.loading_by_name.items(), key=lambda one: one[1])
        for name, (ready, version) in loads:
            if ready <= now:
                del self.loading_by_name[name]
                self.resident_by_name[name] = version
                self._record_state(ready)
        self._record_state(now)

    def _record_state(self, at: float) -> None:
        self._past_states.append((at, self._state()))
        self._past_states = [
            one for one in self._past_states if one[0] > at - 5
        ]

    def _state(self) -> dict[str, typing.Any]:
        return {
            'stage': 'unified',
            'models': self._models(),
            'busy': False,
            'sequence': self.orders,
            'coming': [
                f'{MODEL}/{name}@{version}'
                for name, (_, version) in self.loading_by_name.items()
            ],
        }

    def _report(self) -> dict[str, typing.Any]:
        cutoff = time.monotonic() - REPORT_LAG_S
        visible = [state for at, state in self._past_states if at <= cutoff]
        return visible[-1] if visible else self._past_states[0][1]

    def _order(self, order: dict[str, typing.Any]) -> tuple[int, State]:
        self.observations['holders'].append(
            [time.monotonic(), order['holder'], order['fencing_token']]
        )
        if order.get('expected', self.orders) != self.orders:
            return 409, {'error': 'unexpected number of accepted orders'}
        name = order.get('adapter', '')
        if order['operation'] == 'unload':
            if self.resident_by_name.pop(name, None) is not None:
                self.orders += 1
            return 200, {}
        if len(self.loading_by_name) >= MAX_PARALLEL_LOADS:
            return 409, {'error': 'too many parallel loads'}
        self.orders += 1
        ready = time.monotonic() + self._load_s
        self.loading_by_name[name] = (ready, order.get('version', 1))
        if (
            len(self.resident_by_name.keys() | self.loading_by_name.keys())
            > self._slots
        ):
            self.observations['overfilled'] = True
        return 202, {}

    def _generate(self, environ: web.Environ) -> web.Reply:
        model, _, adapter = environ.get('HTTP_MODEL', MODEL).partition('/')
        version = int(environ.get('HTTP_EXPECT_VERSION', '1'))
        if adapter in self.loading_by_name:
            return web.ReplyWithHeaders(503, NOT_RUN, b'')
        if model != MODEL or (
            adapter and self.resident_by_name.get(adapter) != version
        ):
            return web.ReplyWithHeaders(421, NOT_RUN, b'')
        request_id = environ.get('HTTP_REQUEST_ID', '')
        runs = self.observations['runs']
        runs[request_id] = runs.get(request_id, 0) + 1
        headers = (
            ('Request-Id', request_id),
            ('Response-Seal', f'seal-{request_id}'),
        )
        count = int(environ.get('HTTP_X_EVENTS', '5'))
        return web.ReplyWithHeaders(
            200, headers, self._events(adapter, version, count)
        )

    def _events(
        self, adapter: str, version: int, count: int
    ) -> Iterator[bytes]:
        for number in range(1, count + 1):
            eventlet.sleep(self._step_s)
            yield f'id: {number}\ndata: {adapter}@{version}\n\n'.encode()


def _named(environ: web.Environ, status: int, body: State) -> web.Reply:
    """Return a reply that names its call."""
    headers = (
        ('Content-Type', 'application/json'),
        ('Request-Id', environ.get('HTTP_REQUEST_ID', '')),
    )
    return web.ReplyWithHeaders(status, headers, json.dumps(body).encode())
