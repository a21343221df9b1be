"""Runs one random schedule and judges it."""

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
from soak.schedules import world

ORDERS = 12
ARRIVALS_S = 6.0
FAULTS_S = 8.0
MAX_FAULTS = 4
REPEATED_SHARE = 0.5
LEAVING_SHARE = 0.1
NEVER_S = 1000.0
# Everything has ended long after the last deadline and all retries.
SETTLING_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The end of one schedule."""

    seed: int
    faults: tuple[str, ...]
    told: tuple[str, ...]
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
        # Ends the tasks that are left over, which would disturb the next run.
        gc.collect()
    return verdict


@contextlib.contextmanager
def _without_logs() -> Generator[None, None, None]:
    """Write no log lines, and write them again afterwards.

    A run that left them off made later tests of log lines fail.
    """
    earlier = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(earlier)


class Schedule:
    """Callers and faults of one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._outcomes: list[callers.Outcome] = []
        self._faults: list[str] = []
        self._callers: list[typing.Any] = []

    def run(self) -> Verdict:
        """Run the schedule on the current hub."""
        self._world = world.World(self._seed)
        clock.sleep(1)
        for _ in range(ORDERS):
            self._plan_order()
        for _ in range(self._random.randint(1, MAX_FAULTS)):
            at_s = self._random.random() * FAULTS_S
            eventlet.spawn_after(at_s, self._inject)
        clock.sleep(ARRIVALS_S + FAULTS_S)
        self._heal()
        clock.sleep(SETTLING_S)
        violations = oracle.violations(
            self._outcomes, self._world.journal.names_by_prompt, ()
        )
        unanswered = len(self._callers) - len(self._outcomes)
        if unanswered:
            violations.append(f'{unanswered} callers have no answer')
        violations.extend(self._world.journal.violations)
        return Verdict(
            self._seed,
            tuple(self._faults),
            tuple(outcome.told.value for outcome in self._outcomes),
            tuple(violations),
        )

    @property
    def _random(self) -> random.Random:
        return self._world.random

    def _plan_order(self) -> None:
        choices = self._random
        number = next(self._world.numbers)
        is_once = choices.choice((False, True))
        order = callers.Order(
            prompt=f'prompt {number}',
            account=choices.choice(('authority', 'vanhoutte')),
            application='once' if is_once else 'app',
            adapter=choices.choice(('letters', 'sheets')),
            version=choices.choice((1, 2)),
            stream=choices.choice((False, True)),
            idempotency_key=f'key-{number}' if is_once else '',
        )
        self._send_at(choices.random() * ARRIVALS_S, order)
        if is_once and choices.random() < REPEATED_SHARE:
            self._send_at(choices.random() * ARRIVALS_S, order)

    def _send_at(self, at_s: float, order: callers.Order) -> None:
        self._callers.append(eventlet.spawn_after(at_s, self._call, order))

    def _call(self, order: callers.Order) -> None:
        choices = self._random
        entry = choices.choice(self._world.entries)
        leaves_after_s = NEVER_S
        if choices.random() < LEAVING_SHARE:
            leaves_after_s = choices.random()
        timeout_s = choices.uniform(1, 6)
        outcome = entry.call(order, timeout_s, leaves_after_s)
        self._outcomes.append(outcome)

    def _inject(self) -> None:
        fault = self._random.choice(FAULTS)
        self._faults.append(fault.__name__.strip('_'))
        fault(self._world)

    def _heal(self) -> None:
        here = self._world
        here.network.fault_share = 0
        for one in here.upstreams:
            one.engine.fault_share = 0
            one.engine.load_fault_share = 0
            if one.engine.leaving_at is not None:
                one.restart()
        for one in (*here.upstreams, *here.entries):
            one.rows.fault_share = 0


def _pause(here: world.World) -> None:
    clock.sleep(here.random.choice((0.2, 1.0, 4.0)))


def _disturb_network(here: world.World) -> None:
    here.network.fault_share = here.random.choice((0.02, 0.2))
    _pause(here)
    here.network.fault_share = 0


def _disturb_table(here: world.World) -> None:
    reached = here.random.choice((*here.entries, *here.upstreams)).rows
    reached.fault_share = here.random.choice((0.3, 1.0))
    _pause(here)
    reached.fault_share = 0


def _disturb_engine(here: world.World) -> None:
    one = here.random.choice(here.upstreams).engine
    one.fault_share = here.random.choice((0.3, 1.0))
    _pause(here)
    one.fault_share = 0


def _fail_loads(here: world.World) -> None:
    one = here.random.choice(here.upstreams).engine
    one.load_fault_share = here.random.choice((0.5, 1.0))
    _pause(here)
    one.load_fault_share = 0


def _restart_engine(here: world.World) -> None:
    here.random.choice(here.upstreams).engine.restart()


def _restart_sidecar(here: world.World) -> None:
    here.random.choice(here.upstreams).restart()


def _drain_sidecar(here: world.World) -> None:
    here.random.choice(here.upstreams).drain()


FAULTS = (
    _disturb_network,
    _disturb_table,
    _disturb_engine,
    _fail_loads,
    _restart_engine,
    _restart_sidecar,
    _drain_sidecar,
)
