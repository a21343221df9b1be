"""Stand-ins of the replicas: plain services, and engines with adapters."""

import asyncio
import dataclasses
import itertools
import json
import time
import types
import typing

from review import http, store

HEARTBEAT_S = 1.2
MODEL = 'm0'
MAX_ADAPTERS = 20
REPORT_AGE_S = 0.2
MAX_LOADING = 4
NOT_RUN = types.MappingProxyType({'Not-Executed': '1'})
EVENTS = 5


State = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request on which a server began to work."""

    request_id: str
    began_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order as an engine received it."""

    at: float
    holder: str
    token: int
    operation: str
    target: str
    status: int


class Server:
    """A replica of a plain service.

    Attributes:
        server_id: Its id, of one lifetime.
        runs: Requests on which it began to work.
        turned_away: Ids of requests that it said it had not run.
    """

    slots = 6

    def __init__(
        self, name: str, service: str, address: http.Address, work_s: float
    ) -> None:
        self.server_id = f'i-{name}'
        self.service = service
        self.runs: list[Run] = []
        self.turned_away: list[str] = []
        self.address = address
        self._work_s = work_s
        self._born = int(time.time() * 1000)
        self._beats = itertools.count(1)

    def entry(self) -> dict[str, typing.Any]:
        """Return the server's entry in the store."""
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': next(self._beats),
            'born': self._born,
        }

    def beat(self, rows: store.Store) -> None:
        """Write the entry; a store that is away does not take it."""
        if rows.mode is store.Mode.SERVE:
            rows.put('servers', self.server_id, self.entry())

    async def run(self, rows: store.Store) -> None:
        """Write the entry with each heartbeat until cancelled."""
        while True:
            self.beat(rows)
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Answer one request."""
        expected = request.headers.get('expect-instance', self.server_id)
        if expected != self.server_id:
            named = {'Instance-Id': self.server_id}
            await channel.send(http.encode_answer(421, named))
            return
        await self.answer(request, channel)

    async def answer(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Run a request."""
        self.record_run(request)
        await asyncio.sleep(self._work_s)
        await channel.send(
            http.encode_answer(200, seal(request), b'a plan sheet')
        )

    def record_run(self, request: http.Request) -> None:
        """Record that work on a request begins."""
        self.runs.append(Run(request.request_id, time.monotonic()))


class Engine(Server):
    """A replica that serves adapters of one base model.

    Attributes:
        orders: The orders that it received.
        accepted: Number of orders that it accepted.
    """

    slots = 64

    def __init__(
        self,
        name: str,
        service: str,
        address: http.Address,
        *,
        load_s: float = 0.25,
        step_s: float = 0.03,
    ) -> None:
        super().__init__(name, service, address, step_s)
        self.orders: list[Order] = []
        self._load_s = load_s
        self._held: dict[str, int] = {}
        self._ready_at_by_adapter: dict[str, tuple[float, int]] = {}
        self.accepted = 0
        self._past: list[tuple[float, State]] = []

    def entry(self) -> dict[str, typing.Any]:
        """Return the engine's entry in the store."""
        return {**super().entry(), 'stage': 'unified', 'models': self.models()}

    def models(self) -> list[dict[str, typing.Any]]:
        """Return the base models that the engine holds, with the adapters."""
        adapters = [f'{name}@{version}' for name, version in self._held.items()]
        return [{'name': MODEL, 'version': 1, 'adapters': adapters}]

    @property
    def loading(self) -> int:
        """Number of adapters that are on their way."""
        return len(self._ready_at_by_adapter)

    def next_load_s(self) -> float:
        """Return how long a load takes that is ordered now."""
        return self._load_s

    def load_left_s(self, adapter: str) -> float:
        """Return how much longer an adapter loads; 0 if it does not."""
        ready_at, _ = self._ready_at_by_adapter.get(adapter, (0.0, 0))
        return max(ready_at - time.monotonic(), 0.0)

    def carry_out(self, order: dict[str, typing.Any]) -> int:
        """Carry an order out and return the status of its answer."""
        if order.get('expected', self.accepted) != self.accepted:
            return 409
        adapter = order.get('adapter', '')
        if order['operation'] == 'unload':
            self.accepted += self._held.pop(adapter, None) is not None
            return 200
        if adapter in self._held:
            return 200
        if len(self._ready_at_by_adapter) >= MAX_LOADING:
            return 409
        self.accepted += 1
        ready_at = time.monotonic() + self.next_load_s()
        version = order.get('version', 1)
        self._ready_at_by_adapter[adapter] = (ready_at, version)
        return 202

    async def answer(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Answer a report, an order or a request for a stream."""
        self._complete_loads()
        if request.path == '/ivystep/report':
            await channel.send(http.encode_json(200, self._report()))
        elif request.path == '/ivystep/order':
            status = self._take_order(json.loads(request.body))
            await channel.send(http.encode_json(status, {}))
        else:
            await self._generate(request, channel)

    async def turn_away(
        self, status: int, request: http.Request, channel: http.Channel
    ) -> None:
        """Answer that a request has not run."""
        self.turned_away.append(request.request_id)
        named = {'Request-Id': request.request_id, **NOT_RUN}
        await channel.send(http.encode_answer(status, named))

    async def _generate(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        _, _, adapter = request.headers.get('model', '').partition('/')
        if adapter in self._ready_at_by_adapter:
            await self.turn_away(503, request, channel)
            return
        if adapter not in self._held:
            await self.turn_away(421, request, channel)
            return
        self.record_run(request)
        framed = {
            **seal(request),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        head = http.encode_head('HTTP/1.1 200 OK', framed)
        await channel.send(head)
        await self._send_events(
            channel, adapter, int(request.headers.get('x-events', EVENTS))
        )

    async def _send_events(
        self, channel: http.Channel, adapter: str, count: int
    ) -> None:
        number = 0
        while number < count:
            number += 1
            await asyncio.sleep(self._work_s)
            event = f'id: {number}\ndata: {adapter} {number}\n\n'.encode()
            await channel.send(http.chunk(event))
        await channel.send(http.LAST_CHUNK)

    def _take_order(self, order: dict[str, typing.Any]) -> int:
        status = 0
        try:
            status = self.carry_out(order)
        finally:
            self._record_order(order, status)
        return status

    def _record_order(self, order: State, status: int) -> None:
        """Record an order; the status is 0 if it was not answered."""
        target = (order['model'], order.get('adapter', ''))
        self.orders.append(
            Order(
                time.monotonic(),
                order.get('holder', ''),
                order.get('fencing_token', 0),
                order['operation'],
                '/'.join(filter(None, target)),
                status,
            )
        )

    def _complete_loads(self) -> None:
        now = time.monotonic()
        for adapter, loading in tuple(self._ready_at_by_adapter.items()):
            ready_at, version = loading
            if ready_at <= now:
                del self._ready_at_by_adapter[adapter]
                self._held[adapter] = version
        self._past.append((now, self._state()))
        while len(self._past) > 1 and self._past[1][0] <= now - REPORT_AGE_S:
            self._past.pop(0)

    def _state(self) -> dict[str, typing.Any]:
        return {
            'stage': 'unified',
            'models': self.models(),
            'busy': False,
            'sequence': self.accepted,
            'queued': 0,
            'active': 0,
            'kv_used': 0,
            'kv_total': 133106,
            'handles': 0,
            'born': self._born,
            'coming': [
                f'{MODEL}/{name}@{version}'
                for name, (_, version) in self._ready_at_by_adapter.items()
            ],
        }

    def _report(self) -> dict[str, typing.Any]:
        return self._past[0][1]


def seal(request: http.Request) -> dict[str, str]:
    """Return the headers of every answer of a server that ran a request."""
    return {
        'Request-Id': request.request_id,
        'Response-Seal': f'seal-{request.request_id}',
    }
