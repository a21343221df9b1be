"""Faults of processes, links and services, drawn at random.

A round has one fault, two different ones at once, or one twice at once.
"""

import signal
from collections.abc import Callable

import eventlet

from soak import callers, crowds, deployment, relay

# Longer than a deadline with its grace period, so that all requests expire.
LONG_PAUSE_S = 2 * callers.TIMEOUT_MS / 1000
SHORT_PAUSE_S = 0.3

Fault = Callable[[deployment.Deployment], None]


def kill_engine(deployed: deployment.Deployment) -> None:
    """Kill an engine and start it again without adapters."""
    deployed.kill(f'{deployed.random.choice(deployment.UPSTREAMS)}-engine')


def kill_sidecar(deployed: deployment.Deployment) -> None:
    """Kill a sidecar and start it again."""
    deployed.kill(deployed.random.choice(deployment.UPSTREAMS))


def kill_entry(deployed: deployment.Deployment) -> None:
    """Kill an entry and start it again."""
    deployed.kill(deployed.random.choice(deployment.ENTRIES))


def stop_process(deployed: deployment.Deployment) -> None:
    """Suspend a process for a short or a long time."""
    engines = tuple(f'{host}-engine' for host in deployment.UPSTREAMS)
    name = deployed.random.choice(
        (*deployment.ENTRIES, *deployment.UPSTREAMS, *engines, 'table')
    )
    pause_s = deployed.random.choice((SHORT_PAUSE_S, LONG_PAUSE_S))
    deployed.signal(name, signal.SIGSTOP)
    eventlet.sleep(pause_s)
    deployed.signal(name, signal.SIGCONT)


def drain_process(deployed: deployment.Deployment) -> None:
    """End a process with SIGTERM and start it again."""
    name = deployed.random.choice((*deployment.ENTRIES, *deployment.UPSTREAMS))
    deployed.drain(name)


def disturb_table(deployed: deployment.Deployment) -> None:
    """Make the table service unavailable, lossy or slow."""
    mode = deployed.random.choice(('down', 'lose_answers', 'slow'))
    deployed.table_mode(mode, delay_s=1.0)
    eventlet.sleep(deployed.random.choice((SHORT_PAUSE_S, LONG_PAUSE_S)))
    deployed.table_mode('none')


def fail_loads(deployed: deployment.Deployment) -> None:
    """Make the loads of an engine fail."""
    host = deployed.random.choice(deployment.UPSTREAMS)
    deployed.engine_faults(host, load_status=500)
    kill_engine(deployed)
    eventlet.sleep(LONG_PAUSE_S)
    deployed.engine_faults(host)


def disturb_answers(deployed: deployment.Deployment) -> None:
    """Make an engine truncate answers, name a wrong adapter or hang."""
    host = deployed.random.choice(deployment.UPSTREAMS)
    faults = deployed.random.choice(
        (
            {'truncate_bytes': 300},
            {'omits_end': True},
            {'answer_model': 'authority/letters@1'},
            {'is_silent': True},
        )
    )
    deployed.engine_faults(host, **faults)
    eventlet.sleep(LONG_PAUSE_S)
    deployed.engine_faults(host)


def disturb_link(deployed: deployment.Deployment) -> None:
    """Break the link to a sidecar or drop bytes in one or both directions."""
    link_relay = deployed.relay_by_host[
        deployed.random.choice(deployment.UPSTREAMS)
    ]
    link_relay.mode = deployed.random.choice(tuple(relay.Mode))
    link_relay.cut()
    eventlet.sleep(deployed.random.choice((SHORT_PAUSE_S, LONG_PAUSE_S)))
    link_relay.heal()


def crowd_an_entry(deployed: deployment.Deployment) -> None:
    """Have clients that do not behave at one of an entry's ports."""
    name = deployed.random.choice(deployment.ENTRIES)
    address = deployed.random.choice(deployed.addresses(name))
    with crowds.crowd(address, deployed.random):
        eventlet.sleep(LONG_PAUSE_S)


ALL: tuple[Fault, ...] = (
    kill_engine,
    kill_sidecar,
    kill_entry,
    stop_process,
    drain_process,
    disturb_table,
    fail_loads,
    disturb_answers,
    disturb_link,
    crowd_an_entry,
)


def draw(deployed: deployment.Deployment) -> list[Fault]:
    """Return one fault, two drawn independently, or one twice."""
    first = deployed.random.choice(ALL)
    return deployed.random.choice(
        ([first], [first, deployed.random.choice(ALL)], [first, first])
    )
