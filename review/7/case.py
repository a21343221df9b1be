"""Callers on kept connections pause for four seconds as they read a stream.

Exits with 1 if more than three of them get no whole answer though a replica
has sent it, with 0 if not, and with 2 if the case could not run.
"""

import pathlib
import sys
import threading
import time
import types

from review import second_caller as caller
from review import second_replica as replica
from review import second_stage as stage

FOLDER = pathlib.Path(__file__).parent
CALLERS = 8
ALLOWED = 3
SERVICE = 'agro-llm'
HOST = 'plans.example'
SETTLE_S = 1.0
PAUSE_S = 4.0
RECEIVE_BUFFER = 4096
EVENTS = 57
EVENT_TEXT = 'x' * 400
SHORT_ANSWER = b'id: 1\ndata: ready\n\n'
CONFIG = types.MappingProxyType(
    {
        'version': 1,
        'routes': [
            {
                'name': 'field-plan',
                'host': HOST,
                'prefix': '/plans/',
                'kind': 'stream',
                'timeout_ms': 15000,
                'target_latency_ms': 1000,
                'gap_target_ms': 300,
                'priority': 1,
                'service': SERVICE,
                'attempts': 1,
            },
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_connections': 360,
            },
        ],
    }
)


def request(name: str) -> caller.Request:
    """Return a request for a stream; its path tells how long it is."""
    headers = (('Host', HOST), ('Deadline-Ms', '15000'))
    return caller.Request(name, 'POST', f'/plans/{name}', headers, b'{}')


def answer(run: replica.Run) -> bytes:
    """Return a replica's whole stream."""
    if run.request_id.startswith('first'):
        return replica.success(run, SHORT_ANSWER)
    events = [
        f'id: {number}\ndata: {EVENT_TEXT}\n\n'
        for number in range(1, EVENTS + 1)
    ]
    return replica.success(run, ''.join(events).encode())


def call(
    on: stage.Stage, channel: caller.Channel, name: str, whole: list[str]
) -> None:
    """Request two streams on one connection; read the second one slowly."""
    channel.send(request(f'first-{name}'))
    if channel.read() is None:
        return
    channel.send(request(f'second-{name}'))
    if on.is_troubled:
        time.sleep(PAUSE_S)
    if channel.read() is not None:
        whole.append(name)


def play(on: stage.Stage) -> int:
    """Run the callers and return the exit code."""
    on.system.start_store()
    on.system.write('op', 'config', dict(CONFIG))
    on.add_replica('i-1', SERVICE, answer)
    on.add_replica('i-2', SERVICE, answer)
    gateway = on.system.start_gateway('front-accra-a-1')
    on.system.wait_until_ready(gateway)
    time.sleep(SETTLE_S)
    whole: list[str] = []
    threads = []
    for number in range(CALLERS):
        channel = caller.Channel(gateway.callers, on.record, RECEIVE_BUFFER)
        threads.append(
            threading.Thread(
                target=call, args=(on, channel, str(number), whole)
            )
        )
        threads[-1].start()
    for thread in threads:
        thread.join()
    runs = [run.request_id for run in on.runs()]
    run_to_end = [name for name in runs if name.startswith('second')]
    lost = len(run_to_end) - len(whole)
    on.record.write(
        'case', f'{len(run_to_end)} streams were run, {lost} have no answer'
    )
    if len(run_to_end) < CALLERS:
        return stage.EXIT_NOT_RUN
    return stage.EXIT_BROKEN if lost > ALLOWED else stage.EXIT_HELD


if __name__ == '__main__':
    sys.exit(stage.perform(FOLDER, play))
