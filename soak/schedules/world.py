"""The real entries and sidecars of one schedule, joined in memory."""

import functools
import itertools
import json
import random
import typing

import eventlet

from ivystep.coordination import claims, lease, retry_budget
from ivystep.core import errors, ids, types
from ivystep.entry import claiming, dispatch, isolation, pool, progress
from ivystep.metrics import registry
from ivystep.runtime import clock
from ivystep.settings import models
from ivystep.sidecar import host, ownership, server
from soak import callers
from soak.schedules import engine, network
from tests.coordination import fakes

POOL = 'base'
SLOTS = 3
MAX_RUNNING = 4
LEASE_S = 6.0


class Table:
    """The table service as one process reaches it, with random faults.

    Attributes:
        fault_share: Share of calls that fail in some way.
    """

    def __init__(self, shared: fakes.FakeTable, choices: random.Random) -> None:
        self.fault_share = 0.0
        self._choices = choices
        self._view = fakes.TableView(shared)

    def get(self, key: str) -> typing.Any:
        """Read one row."""
        self._plan()
        return self._view.get(key)

    def transact(self, puts: typing.Any) -> None:
        """Apply all puts or none."""
        self._plan()
        self._view.transact(puts)

    def _plan(self) -> None:
        self._view.planned.clear()
        if self._choices.random() < self.fault_share:
            kind = self._choices.choice(tuple(fakes.Kind))
            delays = [self._choices.random() for _ in range(3)]
            self._view.planned.append(fakes.Fault(kind, *delays))


class Upstream:
    """An engine and the sidecar beside it."""

    def __init__(self, name: str, world: 'World') -> None:
        self.name = name
        self.engine = engine.Engine(name, SLOTS, world.random, world.journal)
        self.rows = Table(world.shared, world.random)
        self._world = world
        self._tasks: list[typing.Any] = []
        self.start()

    def start(self) -> None:
        """Start a sidecar incarnation."""
        self.beside = host.UpstreamHost(
            self.name,
            models.Upstream(
                url='http://none', slots=SLOTS, max_running=MAX_RUNNING
            ),
        )
        self.beside.http = self.engine
        held = lease.Lease(
            self.rows,
            f'engine/{self.name}',
            self.beside.incarnation,
            LEASE_S,
        )
        owner = ownership.LeaseOwner(held, checks_fencing=True)
        self.beside.orders.owner = owner
        self._tasks = [owner.start(), eventlet.spawn(self.beside.monitor)]

    def restart(self) -> None:
        """Kill the sidecar and start a new incarnation."""
        for task in self._tasks:
            task.kill()
        self._world.network.break_all(self.name)
        self.engine.leaving_at = None
        self.start()

    def drain(self) -> None:
        """Begin to leave."""
        self.engine.leaving_at = clock.now()
        self.announce()

    def announce(self) -> None:
        """Report that the sidecar drains."""
        self.beside.is_draining = True
        self.beside.notify()

    def connect(self) -> network.Channel:
        """Open a connection to the current incarnation."""
        serve = server.SidecarServer(self.beside).serve
        return self._world.network.connect(serve, self.name)


class Entry:
    """The parts of an entry behind its HTTP interface."""

    def __init__(self, name: str, world: 'World') -> None:
        self.name = name
        self.rows = Table(world.shared, world.random)
        self._progress = progress.RequestRegistry()
        self._pool = pool.Pool(POOL, name)
        self._dispatcher = dispatch.Dispatcher(
            {POOL: self._pool},
            retry_budget.RetryBudgets(),
            isolation.Isolation(),
            registry.Metrics(),
        )
        self._claims = claiming.Claims(
            claims.ClaimLog(self.rows, name), self._progress
        )
        for one in world.upstreams:
            link = network.MemoryLink(name, one.connect)
            eventlet.spawn(
                link.watch,
                functools.partial(self._pool.on_status, link=link),
                functools.partial(self._pool.on_lost, one.name),
            )

    def call(
        self, order: callers.Order, timeout_s: float, leaves_after_s: float
    ) -> callers.Outcome:
        """Run an order as the HTTP interface does.

        Args:
            order: What is sent.
            timeout_s: Time until the deadline.
            leaves_after_s: When the caller closes its connection.
        """
        request = _request(order, timeout_s)
        task = self._progress.start()
        leaving = eventlet.spawn_after(leaves_after_s, task.on_caller_gone)
        try:
            body = self._run(request, task)
        except errors.RequestError as error:
            told = callers.Told(error.ran.value)
            return callers.Outcome(
                order, self.name, told, error.status, error.code
            )
        finally:
            leaving.cancel()
            self._progress.end(task)
        return _answered(order, self.name, body.decode())

    def _run(self, request: types.Request, task: progress.RequestTask) -> bytes:
        if request.claim is None:
            answer = self._dispatcher.run(request, task)
        else:
            answer = self._claims.run(
                request, lambda claimed: self._dispatcher.run(claimed, task)
            )
        try:
            with task.in_phase(progress.running_phase(request)):
                return b''.join(answer.chunks)
        except progress.AbortedError as aborted:
            raise aborted.with_outcome(
                types.ExecutionStatus.UNKNOWN
            ) from aborted
        finally:
            if request.claim is None:
                answer.chunks.close()
            elif not answer.chunks.is_ended:
                self._progress.spawn(answer.chunks.drain)


class World:
    """Two entries, two upstreams, the table service and the network.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.network = network.Network(self.random)
        self.journal = engine.Journal()
        self.shared = fakes.FakeTable()
        self.numbers = itertools.count(1)
        self.upstreams = [Upstream(name, self) for name in ('up-1', 'up-2')]
        self.entries = [Entry(name, self) for name in ('entry-1', 'entry-2')]


def _request(order: callers.Order, timeout_s: float) -> types.Request:
    ref = types.AdapterRef(order.account, order.adapter, order.version)
    body = {
        'model': ref.lora_name,
        'prompt': order.prompt,
        'stream': order.stream,
    }
    fingerprint = ids.digest(order.prompt.encode())
    claim = None
    if order.once:
        claim = types.ClaimKey(order.idempotency_key, fingerprint)
    return types.Request(
        request_id=ids.new_id('req'),
        account=order.account,
        application=order.application,
        pool=POOL,
        adapter=ref,
        adapter_source=f'{order.account}-{order.adapter}-{order.version}',
        path='/v1/completions',
        body=json.dumps(body).encode(),
        stream=order.stream,
        idempotent=not order.once,
        arrived=clock.now(),
        deadline=clock.now() + timeout_s,
        fingerprint=fingerprint,
        setup_version=1,
        claim=claim,
    )


def _answered(order: callers.Order, entry: str, body: str) -> callers.Outcome:
    documents = callers.parse_answer(order, body)
    return callers.answered(order, entry, documents)
