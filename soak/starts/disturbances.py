"""Disturbances of the start and the life of a process, drawn at random.

Each disturbance starts the daemon, disturbs it and ends with surroundings in
which the process must become ready.
"""

import contextlib
import os
import random
import signal
import socket
from collections.abc import Callable, Generator

import eventlet

from demo import cluster
from soak import crowds
from soak.starts import daemon

# Time within which all modules are imported on a machine that is not busy.
START_S = 1.5
HOLD_S = 2.0
# Time until a process is ready: imports on a busy machine, and one wait for a
# port that has become free.
READY_S = 10.0
MAX_SIGNALS = 40
MAX_DESCRIPTORS = 128
CONNECTIONS = 200
PIECES = 4


class DaemonError(Exception):
    """A daemon did not behave as it must during a disturbance."""


class Scene:
    """A daemon and what surrounds it.

    Args:
        system: The cluster, whose table service the daemon uses.
        tested: The daemon, which is stopped.
        choices: The random choices.
    """

    def __init__(
        self,
        system: cluster.Cluster,
        tested: daemon.Daemon,
        choices: random.Random,
    ) -> None:
        self.daemon = tested
        self.random = choices
        self._store = system.node_by_name['table'].process

    def pause(self, longest_s: float) -> None:
        """Wait for a random time."""
        eventlet.sleep(self.random.uniform(0, longest_s))

    def start_ready(self, surroundings: daemon.Surroundings) -> None:
        """Start the process and wait until it is ready.

        Raises:
            DaemonError: It has ended, or is not ready in time.
        """
        self.daemon.start(surroundings)
        found = self.daemon.await_ready(READY_S)
        if found:
            raise DaemonError(found)

    @contextlib.contextmanager
    def store_suspended(self) -> Generator[None]:
        """Suspend the store within the context."""
        self._store.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self._store.send_signal(signal.SIGCONT)


Disturbance = Callable[[Scene], None]


def calm(scene: Scene) -> None:
    """Start without a disturbance."""
    scene.daemon.start(daemon.Surroundings())


def signals_while_starting(scene: Scene) -> None:
    """Send a series of SIGHUP from the first line of the program on."""
    scene.daemon.start(daemon.Surroundings())
    scene.daemon.await_handlers()
    for _ in range(scene.random.randint(1, MAX_SIGNALS)):
        scene.pause(2 * START_S / MAX_SIGNALS)
        scene.daemon.signal(signal.SIGHUP)


def stopped_while_starting(scene: Scene) -> None:
    """Stop the process with SIGTERM at a random moment, and start it again."""
    scene.daemon.start(daemon.Surroundings())
    scene.daemon.await_handlers()
    scene.pause(START_S)
    scene.daemon.signal(signal.SIGHUP)
    found = scene.daemon.stop()
    if found:
        raise DaemonError(found)
    scene.daemon.start(daemon.Surroundings())


def port_is_held(scene: Scene) -> None:
    """Hold one of the ports while the process starts."""
    name = scene.random.choice(sorted(scene.daemon.address_by_port))
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(scene.daemon.address_by_port[name])
        holder.listen()
        scene.daemon.start(daemon.Surroundings())
        eventlet.sleep(scene.random.uniform(START_S, START_S + HOLD_S))


def descriptors_run_out(scene: Scene) -> None:
    """Use up the process's descriptors by connections that say nothing."""
    scene.start_ready(daemon.Surroundings(max_descriptors=MAX_DESCRIPTORS))
    name = scene.random.choice(sorted(scene.daemon.address_by_port))
    with contextlib.ExitStack() as opened:
        for _ in range(CONNECTIONS):
            connection = opened.enter_context(socket.socket())
            connection.setblocking(False)
            connection.connect_ex(scene.daemon.address_by_port[name])
        scene.pause(HOLD_S)


def crowd_at_a_port(scene: Scene) -> None:
    """Have clients that do not behave at one of the ports."""
    scene.start_ready(daemon.Surroundings())
    name = scene.random.choice(sorted(scene.daemon.address_by_port))
    with crowds.crowd(scene.daemon.address_by_port[name], scene.random):
        scene.pause(HOLD_S)


def output_is_closed(scene: Scene) -> None:
    """Start without standard output, or without any standard descriptor."""
    closed = scene.random.choice(((1,), (2,), (1, 2), (0, 1, 2)))
    scene.daemon.start(daemon.Surroundings(closed=closed))


def log_reader_is_gone(scene: Scene) -> None:
    """Start with a pipe as output whose reader stops, or has gone."""
    reader, writer = os.pipe()
    scene.daemon.start(daemon.Surroundings(stdout=writer))
    os.close(writer)
    scene.pause(START_S)
    os.close(reader)


def settings_in_pieces(scene: Scene) -> None:
    """Write the settings in pieces, with a SIGHUP after each piece."""
    path = scene.daemon.settings
    whole = path.read_text(encoding='utf-8')
    scene.start_ready(daemon.Surroundings())
    ends = sorted(scene.random.randrange(len(whole)) for _ in range(PIECES))
    try:
        for end in ends:
            path.write_text(whole[:end], encoding='utf-8')
            scene.daemon.signal(signal.SIGHUP)
            scene.pause(HOLD_S / PIECES)
    finally:
        path.write_text(whole, encoding='utf-8')
    scene.daemon.signal(signal.SIGHUP)


def store_is_away(scene: Scene) -> None:
    """Suspend the store while the process starts."""
    with scene.store_suspended():
        scene.daemon.start(daemon.Surroundings())
        eventlet.sleep(scene.random.uniform(START_S, START_S + HOLD_S))


def process_is_suspended(scene: Scene) -> None:
    """Suspend the process several times, beside signals."""
    scene.daemon.start(daemon.Surroundings())
    scene.daemon.await_handlers()
    for _ in range(scene.random.randint(1, 3)):
        scene.pause(START_S)
        scene.daemon.signal(signal.SIGSTOP)
        scene.daemon.signal(signal.SIGHUP)
        scene.pause(HOLD_S)
        scene.daemon.signal(signal.SIGCONT)


ALL: tuple[Disturbance, ...] = (
    calm,
    signals_while_starting,
    stopped_while_starting,
    port_is_held,
    descriptors_run_out,
    crowd_at_a_port,
    output_is_closed,
    log_reader_is_gone,
    settings_in_pieces,
    store_is_away,
    process_is_suspended,
)
