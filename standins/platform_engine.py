"""Stand-in of a model engine of the platform, with its entry in the store.

Follows the platform's protocol: adapters are loaded and unloaded by orders
that name how many orders must have been accepted before, reports lag, and a
request for what is not held is refused with 421. ``GET /seen`` returns what
ran and which orders came from whom.
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
MAX_COMING = 4
State = dict[str, typing.Any]
NOT_RUN = (('Not-Executed', '1'),)


class PlatformEngine:
    """One engine.

    Args:
        upstream_id: Its id.
        address: Its IP address and port.
        store_url: URL of the store's stand-in.
        places: Adapters that it holds at once.
        load_s: Duration of an adapter's load.
        step_s: Time between two events of a stream.
    """

    def __init__(
        self,
        upstream_id: str,
        address: str,
        store_url: str,
        *,
        places: int = 4,
        load_s: float = 0.2,
        step_s: float = 0.01,
    ) -> None:
        self.upstream_id = upstream_id
        self.held: dict[str, int] = {}
        self.coming: dict[str, tuple[float, int]] = {}
        self.orders = 0
        self.seen: dict[str, typing.Any] = {
            'runs': {},
            'holders': [],
            'overfilled': False,
        }
        self._address = address
        self._store_url = store_url
        self._places = places
        self._load_s = load_s
        self._step_s = step_s
        self._born_ms = int(time.time() * 1000)
        self._past: list[tuple[float, State]] = []
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def run(self) -> None:
        """Write the entry to the store again and again."""
        while True:
            self._write_entry('ready')
            eventlet.sleep(HEARTBEAT_S)

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        path = environ['PATH_INFO']
        expected = environ.get('HTTP_EXPECT_INSTANCE', self.upstream_id)
        if path == '/seen':
            return 200, self.seen
        if expected != self.upstream_id:
            return web.WithHeaders(
                421, (('Instance-Id', self.upstream_id),), b''
            )
        self._settle()
        if path == '/ivystep/report':
            return 200, self._report()
        if path == '/ivystep/order':
            return self._order(json.loads(web.read_body(environ)))
        return self._generate(environ)

    def _write_entry(self, state: str) -> None:
        document = {
            'service': SERVICE,
            'address': self._address,
            'zone': 'accra-a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'born': self._born_ms,
            'models': self._models(),
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = {'table': 'servers', 'key': self.upstream_id, 'value': value}
        try:
            self._http.request(
                'POST', f'{self._store_url}/write', body=json.dumps(body)
            )
        except urllib3.exceptions.HTTPError:
            # The next heartbeat tries again.
            return

    def _models(self) -> list[dict[str, typing.Any]]:
        names = [f'{name}@{version}' for name, version in self.held.items()]
        return [{'name': MODEL, 'version': 1, 'adapters': names}]

    def _settle(self) -> None:
        now = time.monotonic()
        for name, (ready, version) in list(self.coming.items()):
            if ready <= now:
                del self.coming[name]
                self.held[name] = version
        self._past.append((now, self._state()))
        self._past = [one for one in self._past if one[0] > now - 5]

    def _state(self) -> dict[str, typing.Any]:
        return {
            'stage': 'unified',
            'models': self._models(),
            'busy': False,
            'sequence': self.orders,
            'coming': [
                f'{MODEL}/{name}@{version}'
                for name, (_, version) in self.coming.items()
            ],
        }

    def _report(self) -> dict[str, typing.Any]:
        seen = time.monotonic() - REPORT_LAG_S
        older = [state for at, state in self._past if at <= seen]
        return older[-1] if older else self._past[0][1]

    def _order(self, order: dict[str, typing.Any]) -> web.Reply:
        self.seen['holders'].append(
            [time.monotonic(), order['holder'], order['fencing_token']]
        )
        if order.get('expected', self.orders) != self.orders:
            return 409, {'error': 'another number of orders'}
        name = order.get('adapter', '')
        if order['operation'] == 'unload':
            if self.held.pop(name, None) is not None:
                self.orders += 1
            return 200, {}
        if len(self.coming) >= MAX_COMING:
            return 409, {'error': 'too many on their way'}
        self.orders += 1
        ready = time.monotonic() + self._load_s
        self.coming[name] = (ready, order.get('version', 1))
        if len(self.held.keys() | self.coming.keys()) > self._places:
            self.seen['overfilled'] = True
        return 202, {}

    def _generate(self, environ: web.Environ) -> web.Reply:
        model, _, adapter = environ.get('HTTP_MODEL', MODEL).partition('/')
        version = int(environ.get('HTTP_EXPECT_VERSION', '1'))
        if adapter in self.coming:
            return web.WithHeaders(503, NOT_RUN, b'')
        if model != MODEL or (adapter and self.held.get(adapter) != version):
            return web.WithHeaders(421, NOT_RUN, b'')
        request_id = environ.get('HTTP_REQUEST_ID', '')
        runs = self.seen['runs']
        runs[request_id] = runs.get(request_id, 0) + 1
        headers = (
            ('Request-Id', request_id),
            ('Response-Seal', f'seal-{request_id}'),
        )
        count = int(environ.get('HTTP_X_EVENTS', '5'))
        return web.WithHeaders(
            200, headers, self._events(adapter, version, count)
        )

    def _events(
        self, adapter: str, version: int, count: int
    ) -> Iterator[bytes]:
        for number in range(1, count + 1):
            eventlet.sleep(self._step_s)
            yield f'id: {number}\ndata: {adapter}@{version}\n\n'.encode()
