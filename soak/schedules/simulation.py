"""The product's entries and sidecars on a simulated network."""

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
    """One process's access to the table service, with random faults.

    Attributes:
        fault_share: Share of calls that fail in some way.
    """

    def __init__(self, shared: fakes.FakeTable, choices: random.Random) -> None:
        self.fault_share = 0.0
        self._choices = choices
        self._view = fakes.TableView(shared)

    @property
    def era(self) -> int:
        """Number of restorations that this process has noticed."""
        return self._view.era

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
    """An engine and the sidecar on its host."""

    def __init__(self, name: str, simulation: 'Simulation') -> None:
        self.name = name
        self.engine = engine.Engine(
            name, SLOTS, simulation.random, simulation.journal
        )
        self.table = Table(simulation.shared, simulation.random)
        self._simulation = simulation
        self._tasks: list[typing.Any] = []
        self.start()

    def start(self) -> None:
        """Start a sidecar incarnation."""
        self.upstream_host = host.UpstreamHost(
            self.name,
            models.Upstream(
                url='http://none', slots=SLOTS, max_running=MAX_RUNNING
            ),
        )
        self.upstream_host.http = self.engine
        upstream_lease = lease.Lease(
            self.table,
            f'engine/{self.name}',
            self.upstream_host.incarnation,
            LEASE_S,
        )
        owner = ownership.LeaseOwner(upstream_lease, checks_fencing=True)
        self.upstream_host.orders.owner = owner
        self._tasks = [
            eventlet.spawn(owner.hold),
            eventlet.spawn(self.upstream_host.monitor),
        ]

    def restart(self) -> None:
        """Kill the sidecar and start a new incarnation."""
        for task in self._tasks:
            task.kill()
        self._simulation.network.break_all(self.name)
        self.engine.draining_since = None
        self.start()

    def drain(self) -> None:
        """Begin to drain and announce it."""
        self.engine.draining_since = clock.now()
        self.announce()

    def announce(self) -> None:
        """Report to the entries that the sidecar drains."""
        self.upstream_host.is_draining = True
        self.upstream_host.notify()

    def connect(self) -> network.Channel:
        """Open a connection to the current incarnation."""
        serve = server.SidecarServer(self.upstream_host).serve
        return self._simulation.network.connect(serve, self.name)


class Entry:
    """The parts of an entry behind its HTTP interface."""

    def __init__(self, name: str, simulation: 'Simulation') -> None:
        self.name = name
        self.table = Table(simulation.shared, simulation.random)
        self._progress = progress.RequestRegistry()
        self._pool = pool.Pool(POOL, name)
        self._dispatcher = dispatch.Dispatcher(
            {POOL: self._pool},
            retry_budget.RetryBudgets(),
            isolation.Isolation(),
            registry.Metrics(),
        )
        self._claims = claiming.Claims(
            claims.ClaimLog(self.table, name), self._progress
        )
        for one in simulation.upstreams:
            link = network.MemoryLink(name, one.name, one.connect)
            eventlet.spawn(
                link.watch,
                functools.partial(self._pool.on_status, link=link),
                functools.partial(self._pool.on_lost, one.name),
            )

    def call(
        self,
        caller_request: callers.CallerRequest,
        timeout_s: float,
        disconnect_after_s: float,
    ) -> callers.Outcome:
        """Run a request as the HTTP interface does.

        Args:
            caller_request: The request.
            timeout_s: Time until the deadline.
            disconnect_after_s: When the caller closes its connection.
        """
        entry_request = _entry_request(caller_request, timeout_s)
        task = self._progress.start()
        disconnecting = eventlet.spawn_after(
            disconnect_after_s, task.on_caller_gone
        )
        try:
            body = self._run(entry_request, task)
        except errors.RequestError as error:
            result = callers.CallResult(error.ran.value)
            return callers.Outcome(
                caller_request, self.name, result, error.status, error.code
            )
        finally:
            disconnecting.cancel()
            self._progress.end(task)
        return _answered(caller_request, self.name, body.decode())

    def _run(
        self, entry_request: types.Request, task: progress.RequestTask
    ) -> bytes:
        if entry_request.claim is None:
            answer = self._dispatcher.run(entry_request, task)
        else:
            answer = self._claims.run(
                entry_request,
                lambda claimed: self._dispatcher.run(claimed, task),
            )
        try:
            with task.in_phase(progress.running_phase(entry_request)):
                return b''.join(answer.chunks)
        except progress.AbortedError as aborted:
            raise aborted.with_outcome(
                types.ExecutionStatus.UNKNOWN
            ) from aborted
        finally:
            if entry_request.claim is None:
                answer.chunks.close()
            elif not answer.chunks.is_ended:
                self._progress.spawn(answer.chunks.drain)


class Simulation:
    """The simulated system of one schedule.

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


def _entry_request(
    caller_request: callers.CallerRequest, timeout_s: float
) -> types.Request:
    ref = types.AdapterRef(
        caller_request.account, caller_request.adapter, caller_request.version
    )
    body = {
        'model': ref.lora_name,
        'prompt': caller_request.prompt,
        'stream': caller_request.stream,
    }
    fingerprint = ids.digest(caller_request.prompt.encode())
    claim = None
    if caller_request.at_most_once:
        claim = types.ClaimKey(caller_request.idempotency_key, fingerprint)
    return types.Request(
        request_id=ids.new_id('req'),
        account=caller_request.account,
        application=caller_request.application,
        pool=POOL,
        adapter=ref,
        adapter_source=(
            f'{caller_request.account}-{caller_request.adapter}'
            f'-{caller_request.version}'
        ),
        path='/v1/completions',
        body=json.dumps(body).encode(),
        stream=caller_request.stream,
        idempotent=not caller_request.at_most_once,
        arrived=clock.now(),
        deadline=clock.now() + timeout_s,
        fingerprint=fingerprint,
        setup_version=1,
        claim=claim,
    )


def _answered(
    caller_request: callers.CallerRequest, entry: str, body: str
) -> callers.Outcome:
    documents = callers.parse_answer(caller_request, body)
    return callers.answered(caller_request, entry, documents)
