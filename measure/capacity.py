"""Measures the costs listed in docs/CAPACITY.md (``make capacity``).

Each line states what was measured, its size and its cost on one host. Costs
are processor time, and memory is the resident set, of the measured process.
"""

import copy
import dataclasses
import functools
import gc
import os
import pathlib
import tempfile
import time
import typing
from collections.abc import Callable

import eventlet
import trustme

from demo import cluster, run
from ivystep.core import types
from ivystep.entry import peers
from ivystep.wire import channel, convert, tls
from ivystep.wire.gen import ttypes

REPEATS = 2000
IDLE_S = 10.0
IDLE_UPSTREAMS = 4
CONNECTIONS = 200
RESIDENT = 8
US_PER_S = 1_000_000
KIB = 1024
TLS_RECORD_BYTES = 22
PAGE_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """One measured cost.

    Attributes:
        size_bytes: Bytes on the wire, with the overhead of one TLS record.
        cost_us: Processor time in microseconds.
        memory_kib: Resident memory in KiB.
    """

    name: str
    size_bytes: int = 0
    cost_us: float = 0.0
    memory_kib: float = 0.0


def resident_kib() -> float:
    """Return the resident memory of this process in KiB."""
    gc.collect()
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * PAGE_BYTES / KIB


def time_us(action: Callable[[], typing.Any]) -> float:
    """Return the mean processor time of an action in microseconds."""
    action()
    started = time.process_time()
    for _ in range(REPEATS):
        action()
    return (time.process_time() - started) / REPEATS * US_PER_S


def references(count: int) -> list[types.AdapterRef]:
    """Return adapter references with names of typical length."""
    return [
        types.AdapterRef('authority', f'plan-district-{number:05d}', 3)
        for number in range(count)
    ]


def status() -> types.UpstreamStatus:
    """Return the status of an upstream with all slots in use."""
    return types.UpstreamStatus(
        upstream_id='accra-a-agro-llm-0001',
        sidecar_incarnation='inc-0123456789abcdef01234567',
        engine_incarnation='1796330465.5547986',
        sequence=123456,
        healthy=True,
        draining=False,
        running=12,
        slots=RESIDENT,
        max_running=16,
        resident_by_ref={
            ref: types.ResidentAdapter(ref, 2) for ref in references(RESIDENT)
        },
        loading=None,
        setup_version=17,
        crash_fingerprints=(),
    )


def demand_message(count: int) -> ttypes.Demand:
    """Return a demand message of an entry with waiting requests."""
    return ttypes.Demand(
        'agro-llm',
        'accra-a-entry-01',
        [
            peers.demand_message(
                types.AdapterDemand(ref, 'weights', 17, 1.0, 2, 0.5, 9.0, 3)
            )
            for ref in references(count)
        ],
    )


def messages() -> typing.Iterator[Cost]:
    """Yield the costs of encoding and decoding each control message."""
    full = status()
    yield from _message(
        'status, 8 resident',
        lambda: convert.status_message(full),
        convert.upstream_status,
    )
    yield from _message('setup notice', lambda: ttypes.SetupNotice(18000))
    for count in (1, 51):
        demand = demand_message(count)
        yield from _message(
            f'demand, {count} adapters', functools.partial(_identity, demand)
        )


def _identity(message: ttypes.Demand) -> ttypes.Demand:
    return message


def _message(
    name: str,
    build: Callable[[], typing.Any],
    decode: Callable[[typing.Any], typing.Any] = copy.copy,
) -> typing.Iterator[Cost]:
    frame = channel.encode(build())
    size = len(frame) + TLS_RECORD_BYTES
    payload = frame[channel.HEADER.size :]
    yield Cost(
        f'{name}: build and encode',
        size,
        time_us(lambda: channel.encode(build())),
    )
    yield Cost(
        f'{name}: decode',
        size,
        time_us(lambda: decode(channel.decode(payload))),
    )


def connections() -> typing.Iterator[Cost]:
    """Yield the costs of idle connections and of sending a status."""
    with tempfile.TemporaryDirectory() as folder:
        contexts = _contexts(pathlib.Path(folder))
        accepted: list[channel.Channel] = []
        listener = eventlet.listen(('127.0.0.1', 0))
        eventlet.spawn(_accept, listener, contexts, accepted)
        address = listener.getsockname()
        before, started = resident_kib(), time.process_time()
        opened = [
            channel.Channel.connect(address, contexts, tls.ENTRY_NAME)
            for _ in range(CONNECTIONS)
        ]
        while len(accepted) < CONNECTIONS:
            eventlet.sleep(0)
        spent_s = time.process_time() - started
        yield Cost(
            'connection: both ends',
            cost_us=spent_s / CONNECTIONS * US_PER_S,
            memory_kib=(resident_kib() - before) / CONNECTIONS,
        )
        message = convert.status_message(status())
        sender, receiver = accepted[-1], opened[-1]

        yield Cost(
            'status: send and receive',
            cost_us=time_us(
                functools.partial(_exchange, sender, receiver, message)
            ),
        )


def _exchange(
    sender: channel.Channel, receiver: channel.Channel, message: typing.Any
) -> None:
    sender.send(message)
    receiver.receive()


def _contexts(folder: pathlib.Path) -> tls.TlsContexts:
    authority = trustme.CA()
    certificate = authority.issue_cert(tls.ENTRY_NAME)
    ca_path, path = str(folder / 'ca.pem'), str(folder / 'entry.pem')
    authority.cert_pem.write_to_path(ca_path)
    certificate.private_key_and_cert_chain_pem.write_to_path(path)
    return tls.TlsContexts(tls.TlsFiles(ca_path, path, path))


def _accept(
    listener: typing.Any,
    contexts: tls.TlsContexts,
    accepted: list[channel.Channel],
) -> None:
    while True:
        connection, _ = listener.accept()
        secured = contexts.server.wrap_socket(connection, server_side=True)
        accepted.append(channel.Channel(secured, 'client'))


def processes() -> typing.Iterator[Cost]:
    """Yield memory and processor time per second of idle processes."""
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder))
        try:
            _start_processes(system)
            names = ('entry-1', 'up-1')
            pids = [system.node_by_name[name].process.pid for name in names]
            before = [_process_s(pid) for pid in pids]
            eventlet.sleep(IDLE_S)
            for name, pid, earlier in zip(names, pids, before, strict=True):
                spent_s = (_process_s(pid) - earlier) / IDLE_S
                yield Cost(
                    f'idle process {name}, per second',
                    cost_us=spent_s * US_PER_S,
                    memory_kib=_process_kib(pid),
                )
        finally:
            system.stop()


def _start_processes(system: cluster.Cluster) -> None:
    system.start_platform()
    system.submit(run.setup_document(), 0)
    with system.parallel():
        for number in range(1, IDLE_UPSTREAMS + 1):
            system.start_upstream(f'up-{number}', 'base', 'lier-a')
        for name in ('entry-1', 'entry-2'):
            system.start_entry(name, 'lier-a')
    system.await_ready('entry-1')


def _process_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def _process_kib(pid: int) -> float:
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / KIB


def main() -> None:
    """Print all costs."""
    print(f'{"what":36} {"bytes":>7} {"us":>9} {"KiB":>8}')
    for cost in (*messages(), *connections(), *processes()):
        print(
            f'{cost.name:36} {cost.size_bytes:7d} '
            f'{cost.cost_us:9.1f} {cost.memory_kib:8.1f}'
        )
