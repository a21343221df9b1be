"""Runs one random fault schedule and checks its results."""

import contextlib
import dataclasses
import gc
import logging
import random
import secrets
import typing
from collections.abc import Generator
from unittest import mock

import eventlet

from ivystep.runtime import clock, virtual_hub
from soak import callers, oracle
from soak.schedules import simulation

REQUESTS = 12
ARRIVALS_S = 6.0
FAULTS_S = 8.0
MAX_FAULTS = 4
REPEATED_SHARE = 0.5
DISCONNECT_SHARE = 0.1
NEVER_S = 1000.0
# Long enough for the last deadline and all retries to pass.
SETTLING_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Faults, results and violations of one schedule."""

    seed: int
    faults: tuple[str, ...]
    results: tuple[str, ...]
    violations: tuple[str, ...]


def run(seed: int) -> Verdict:
    """Run the schedule of a seed.

    Args:
        seed: Determines every choice.
    """
    choices = random.Random(seed)
    random.seed(seed)
    with (
        _without_logs(),
        mock.patch.object(
            secrets, 'token_hex', lambda count: choices.randbytes(count).hex()
        ),
    ):
        verdict = virtual_hub.run(Schedule(seed).run)
        # Ends the remaining tasks, which would disturb the next run.
        gc.collect()
    return verdict


@contextlib.contextmanager
def _without_logs() -> Generator[None, None, None]:
    """Disable logging, and restore the earlier level afterwards.

    Logging that stayed disabled made later tests of log lines fail.
    """
    earlier = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(earlier)


class Schedule:
    """Draws and runs the requests and faults of one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._outcomes: list[callers.Outcome] = []
        self._faults: list[str] = []
        self._callers: list[typing.Any] = []

    def run(self) -> Verdict:
        """Run the schedule on the current hub."""
        self._simulation = simulation.Simulation(self._seed)
        clock.sleep(1)
        for _ in range(REQUESTS):
            self._plan_request()
        for _ in range(self._random.randint(1, MAX_FAULTS)):
            at_s = self._random.random() * FAULTS_S
            eventlet.spawn_after(at_s, self._inject)
        clock.sleep(ARRIVALS_S + FAULTS_S)
        self._heal()
        clock.sleep(SETTLING_S)
        violations = oracle.violations(
            self._outcomes, self._simulation.journal.names_by_prompt, ()
        )
        unanswered = len(self._callers) - len(self._outcomes)
        if unanswered:
            violations.append(f'{unanswered} callers got no answer')
        violations.extend(self._simulation.journal.violations)
        return Verdict(
            self._seed,
            tuple(self._faults),
            tuple(outcome.result.value for outcome in self._outcomes),
            tuple(violations),
        )

    @property
    def _random(self) -> random.Random:
        return self._simulation.random

    def _plan_request(self) -> None:
        choices = self._random
        number = next(self._simulation.numbers)
        is_at_most_once = choices.choice((False, True))
        request = callers.CallerRequest(
            prompt=f'prompt {number}',
            account=choices.choice(('authority', 'vanhoutte')),
            application='once' if is_at_most_once else 'app',
            adapter=choices.choice(('letters', 'sheets')),
            version=choices.choice((1, 2)),
            stream=choices.choice((False, True)),
            idempotency_key=f'key-{number}' if is_at_most_once else '',
        )
        self._send_at(choices.random() * ARRIVALS_S, request)
        if is_at_most_once and choices.random() < REPEATED_SHARE:
            self._send_at(choices.random() * ARRIVALS_S, request)

    def _send_at(self, at_s: float, request: callers.CallerRequest) -> None:
        self._callers.append(eventlet.spawn_after(at_s, self._call, request))

    def _call(self, request: callers.CallerRequest) -> None:
        choices = self._random
        entry = choices.choice(self._simulation.entries)
        disconnect_after_s = NEVER_S
        if choices.random() < DISCONNECT_SHARE:
            disconnect_after_s = choices.random()
        timeout_s = choices.uniform(1, 6)
        outcome = entry.call(request, timeout_s, disconnect_after_s)
        self._outcomes.append(outcome)

    def _inject(self) -> None:
        fault = self._random.choice(FAULTS)
        self._faults.append(fault.__name__.strip('_'))
        fault(self._simulation)

    def _heal(self) -> None:
        simulated = self._simulation
        simulated.network.fault_share = 0
        for one in simulated.upstreams:
            one.engine.fault_share = 0
            one.engine.load_fault_share = 0
            if one.engine.draining_since is not None:
                one.restart()
        for one in (*simulated.upstreams, *simulated.entries):
            one.table.fault_share = 0


def _pause(simulated: simulation.Simulation) -> None:
    clock.sleep(simulated.random.choice((0.2, 1.0, 4.0)))


def _disturb_network(simulated: simulation.Simulation) -> None:
    simulated.network.fault_share = simulated.random.choice((0.02, 0.2))
    _pause(simulated)
    simulated.network.fault_share = 0


def _disturb_table(simulated: simulation.Simulation) -> None:
    table = simulated.random.choice(
        (*simulated.entries, *simulated.upstreams)
    ).table
    table.fault_share = simulated.random.choice((0.3, 1.0))
    _pause(simulated)
    table.fault_share = 0


def _disturb_engine(simulated: simulation.Simulation) -> None:
    one = simulated.random.choice(simulated.upstreams).engine
    one.fault_share = simulated.random.choice((0.3, 1.0))
    _pause(simulated)
    one.fault_share = 0


def _fail_loads(simulated: simulation.Simulation) -> None:
    one = simulated.random.choice(simulated.upstreams).engine
    one.load_fault_share = simulated.random.choice((0.5, 1.0))
    _pause(simulated)
    one.load_fault_share = 0


def _restart_engine(simulated: simulation.Simulation) -> None:
    simulated.random.choice(simulated.upstreams).engine.restart()


def _restart_sidecar(simulated: simulation.Simulation) -> None:
    simulated.random.choice(simulated.upstreams).restart()


def _drain_sidecar(simulated: simulation.Simulation) -> None:
    simulated.random.choice(simulated.upstreams).drain()


FAULTS = (
    _disturb_network,
    _disturb_table,
    _disturb_engine,
    _fail_loads,
    _restart_engine,
    _restart_sidecar,
    _drain_sidecar,
)
