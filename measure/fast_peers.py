"""Measures what a peer that writes without a pause costs others.

Runs a gateway in this process, and the peer in its own one, on loopback. While
the peer writes, another caller asks for a page that the gateway answers itself,
and a timer measures how late the event loop is (``make fast-peers``).
"""

import contextlib
import statistics
import sys
import types
import typing
from collections.abc import Generator

import eventlet

from ivystep.runtime import clock
from tests import flooding
from tests.gateway import harness, test_fast_peers

PAUSE_S = 0.01
MS_PER_S = 1000
PERCENTILES = 100
HEADER = '| writer | requests | p99 ms | longest ms | timers late, worst ms |'
Peers = dict[str, contextlib.AbstractContextManager[typing.Any]]


def main() -> None:
    """Print one line for each kind of writer, and one without any."""
    lines = [HEADER, '|---|---|---|---|---|']
    with contextlib.ExitStack() as stack:
        gateway = harness.GatewayHarness(stack)
        lines.append(_measured(gateway, 'none', contextlib.nullcontext()))
        for kind, peer in _peers(gateway).items():
            lines.append(_measured(gateway, kind, peer))
    sys.stdout.write('\n'.join((*lines, '')))


def _peers(gateway: typing.Any) -> Peers:
    calls = {
        f'caller: {kind}': flooding.calling(gateway.port, *sent)
        for kind, sent in test_fast_peers.CALLS.items()
    }
    pages = {
        f'readiness: {kind}': flooding.calling(gateway.readiness_port, *sent)
        for kind, sent in test_fast_peers.CALLS.items()
    }
    upstreams = {
        f'upstream: {kind}': _upstream(gateway, kind)
        for kind in test_fast_peers.ANSWERS
    }
    return {**calls, **pages, **upstreams}


@contextlib.contextmanager
def _upstream(gateway: typing.Any, kind: str) -> Generator[None]:
    head, piece, route = test_fast_peers.ANSWERS[kind]
    with flooding.serving(head, piece) as port:
        # An upstream of the same name takes the place of the last one.
        gateway.add(
            types.SimpleNamespace(
                upstream_id='i-1', software_version='v1', port=port
            )
        )
        eventlet.sleep(1)
        with flooding.calling(gateway.port, harness.request(f'/{route}/2f')):
            yield


def _measured(
    gateway: typing.Any,
    kind: str,
    peer: contextlib.AbstractContextManager[typing.Any],
) -> str:
    late_s: list[float] = []
    took_s: list[float] = []
    with peer:
        timer = eventlet.spawn(_measure_timers, late_s)
        ends_at = clock.now() + flooding.WRITING_S
        while clock.now() < ends_at:
            began_at = clock.now()
            gateway.send('/none/2f', method='GET', body=b'')
            took_s.append(clock.now() - began_at)
            clock.sleep(PAUSE_S)
        timer.kill()
    p99_s = statistics.quantiles(took_s, n=PERCENTILES, method='inclusive')[-1]
    cells = [p99_s, max(took_s), max(late_s)]
    figures = ' | '.join(f'{cell * MS_PER_S:.0f}' for cell in cells)
    return f'| {kind} | {len(took_s)} | {figures} |'


def _measure_timers(late_s: list[float]) -> None:
    while True:
        due = clock.now() + PAUSE_S
        clock.sleep(PAUSE_S)
        late_s.append(clock.now() - due)


if __name__ == '__main__':
    main()
