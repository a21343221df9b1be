"""Random faults, alone, two at once or twice in a row."""

import signal
from collections.abc import Callable

import eventlet

from soak import callers, relay, scene

# Longer than a deadline with its grace, so that everything goes overdue.
LONG_PAUSE_S = 2 * callers.TIMEOUT_MS / 1000
SHORT_PAUSE_S = 0.3

Fault = Callable[[scene.Scene], None]


def kill_engine(stage: scene.Scene) -> None:
    """Kill an engine; it restarts empty."""
    stage.kill(f'{stage.random.choice(scene.UPSTREAMS)}-engine')


def kill_sidecar(stage: scene.Scene) -> None:
    """Kill a sidecar and start it again."""
    stage.kill(stage.random.choice(scene.UPSTREAMS))


def kill_entry(stage: scene.Scene) -> None:
    """Kill an entry and start it again."""
    stage.kill(stage.random.choice(scene.ENTRIES))


def stop_process(stage: scene.Scene) -> None:
    """Stop a process for a short or a long time."""
    engines = tuple(f'{host}-engine' for host in scene.UPSTREAMS)
    name = stage.random.choice(
        (*scene.ENTRIES, *scene.UPSTREAMS, *engines, 'table')
    )
    pause_s = stage.random.choice((SHORT_PAUSE_S, LONG_PAUSE_S))
    stage.signal(name, signal.SIGSTOP)
    eventlet.sleep(pause_s)
    stage.signal(name, signal.SIGCONT)


def drain_process(stage: scene.Scene) -> None:
    """End a process with SIGTERM and start it again."""
    name = stage.random.choice((*scene.ENTRIES, *scene.UPSTREAMS))
    stage.drain(name)


def disturb_table(stage: scene.Scene) -> None:
    """Let the table service be down, lose answers or be slow."""
    mode = stage.random.choice(('down', 'lose_answers', 'slow'))
    stage.table_mode(mode, delay_s=1.0)
    eventlet.sleep(stage.random.choice((SHORT_PAUSE_S, LONG_PAUSE_S)))
    stage.table_mode('none')


def fail_loads(stage: scene.Scene) -> None:
    """Let the loads of an engine fail."""
    host = stage.random.choice(scene.UPSTREAMS)
    stage.engine_faults(host, load_status=500)
    kill_engine(stage)
    eventlet.sleep(LONG_PAUSE_S)
    stage.engine_faults(host)


def disturb_answers(stage: scene.Scene) -> None:
    """Let an engine cut answers, name a wrong adapter or fall silent."""
    host = stage.random.choice(scene.UPSTREAMS)
    faults = stage.random.choice(
        (
            {'truncate_bytes': 300},
            {'omits_end': True},
            {'answer_model': 'authority/letters@1'},
            {'is_silent': True},
        )
    )
    stage.engine_faults(host, **faults)
    eventlet.sleep(LONG_PAUSE_S)
    stage.engine_faults(host)


def disturb_link(stage: scene.Scene) -> None:
    """Cut the link to a sidecar, or let it lose what it carries."""
    through = stage.relay_by_host[stage.random.choice(scene.UPSTREAMS)]
    through.mode = stage.random.choice(tuple(relay.Mode))
    through.cut()
    eventlet.sleep(stage.random.choice((SHORT_PAUSE_S, LONG_PAUSE_S)))
    through.heal()


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
)


def draw(stage: scene.Scene) -> list[Fault]:
    """Return one fault, two different ones, or one twice."""
    first = stage.random.choice(ALL)
    return stage.random.choice(
        ([first], [first, stage.random.choice(ALL)], [first, first])
    )
