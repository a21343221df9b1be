"""``make soak``: random faults on real processes for a given time."""

import ivystep  # isort: skip

import eventlet  # isort: skip

eventlet.monkey_patch()

import argparse
import collections
import pathlib
import random
import sys
import tempfile
import time
import typing

import urllib3

from soak import faults, scene

# A repeat shows whether a key that may have run is run again.
REPEATED_SHARE = 0.3
ORDERS_PER_ROUND = 30
SPACING_S = 0.1
SECONDS_PER_MINUTE = 60

__all__ = ('ivystep',)


class Soak:
    """Rounds of callers and faults on one deployment.

    Args:
        stage: The deployment.
    """

    def __init__(self, stage: scene.Scene) -> None:
        self.violations: list[str] = []
        self.told: collections.Counter[str] = collections.Counter()
        self.rounds = 0
        self._stage = stage

    def run(self, seconds: float) -> None:
        """Run rounds until the time is over.

        Args:
            seconds: Time in seconds; the last round is finished.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._run_round()

    def _run_round(self) -> None:
        stage = self._stage
        drawn = faults.draw(stage)
        self.rounds += 1
        names = ' + '.join(fault.__name__ for fault in drawn)
        print(f'round {self.rounds}: {names}', flush=True)
        load = eventlet.spawn(self._send_orders)
        eventlet.sleep(stage.random.random())
        tasks = [eventlet.spawn(_inject, fault, stage) for fault in drawn]
        for task in (load, *tasks):
            task.wait()
        stage.heal()
        outcomes = stage.outcomes
        stage.wait_for_callers()
        self.told.update(outcome.told.value for outcome in outcomes)
        for line in stage.finish():
            self.violations.append(line)
            print(f'VIOLATION in round {self.rounds}: {line}', flush=True)
        stage.await_service()

    def _send_orders(self) -> None:
        stage = self._stage
        for _ in range(ORDERS_PER_ROUND):
            order = stage.order()
            stage.send(order)
            if order.idempotency_key and _is_drawn(stage.random):
                stage.send(order)
            eventlet.sleep(SPACING_S)


def _is_drawn(choices: random.Random) -> bool:
    return choices.random() < REPEATED_SHARE


def _inject(fault: faults.Fault, stage: scene.Scene) -> None:
    try:
        fault(stage)
    except urllib3.exceptions.HTTPError as error:
        # The other fault of the round has ended the process that this one
        # wanted to disturb.
        print(f'fault not injected: {error}', flush=True)


def main() -> None:
    """Run the soak and exit with 1 if there was a violation."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    options: typing.Any = parser.parse_args()
    print(f'seed {options.seed}, {options.minutes} minutes', flush=True)
    with tempfile.TemporaryDirectory(prefix='ivystep-soak-') as folder:
        stage = scene.Scene(pathlib.Path(folder), options.seed)
        soak = Soak(stage)
        try:
            stage.start()
            soak.run(options.minutes * SECONDS_PER_MINUTE)
        finally:
            stage.stop()
    print(
        f'seed {options.seed}: {soak.rounds} rounds, told {dict(soak.told)}, '
        f'{len(soak.violations)} violations'
    )
    sys.exit(1 if soak.violations else 0)


if __name__ == '__main__':
    main()
