"""Injects random faults into real processes (``make soak``)."""

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

from soak import deployment, faults

# Repeats check that a key which may have run is not run again.
REPEATED_SHARE = 0.3
REQUESTS_PER_ROUND = 30
SPACING_S = 0.1
SECONDS_PER_MINUTE = 60

__all__ = ('ivystep',)


class Soak:
    """Runs rounds of requests and faults on one deployment.

    Args:
        deployed: The deployment.
    """

    def __init__(self, deployed: deployment.Deployment) -> None:
        self.violations: list[str] = []
        self.result_counts: collections.Counter[str] = collections.Counter()
        self.rounds = 0
        self._stage = deployed

    def run(self, seconds: float) -> None:
        """Run rounds for a given time, and complete the last one.

        Args:
            seconds: Time in seconds.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._run_round()

    def _run_round(self) -> None:
        deployed = self._stage
        drawn = faults.draw(deployed)
        self.rounds += 1
        names = ' + '.join(fault.__name__ for fault in drawn)
        print(f'round {self.rounds}: {names}', flush=True)
        load = eventlet.spawn(self._send_requests)
        eventlet.sleep(deployed.random.random())
        tasks = [eventlet.spawn(_inject, fault, deployed) for fault in drawn]
        for task in (load, *tasks):
            task.wait()
        deployed.heal()
        outcomes = deployed.outcomes
        deployed.wait_for_callers()
        self.result_counts.update(outcome.result.value for outcome in outcomes)
        for line in deployed.finish():
            self.violations.append(line)
            print(f'VIOLATION in round {self.rounds}: {line}', flush=True)
        deployed.await_service()

    def _send_requests(self) -> None:
        deployed = self._stage
        for _ in range(REQUESTS_PER_ROUND):
            request = deployed.make_request()
            deployed.send(request)
            if request.idempotency_key and _is_drawn(deployed.random):
                deployed.send(request)
            eventlet.sleep(SPACING_S)


def _is_drawn(choices: random.Random) -> bool:
    return choices.random() < REPEATED_SHARE


def _inject(fault: faults.Fault, deployed: deployment.Deployment) -> None:
    try:
        fault(deployed)
    except urllib3.exceptions.HTTPError as error:
        # The other fault of the round has killed the target of this one.
        print(f'fault not injected: {error}', flush=True)


def main() -> None:
    """Run the soak and exit with 1 if there was a violation."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    options: typing.Any = parser.parse_args()
    print(f'seed {options.seed}, {options.minutes} minutes', flush=True)
    with tempfile.TemporaryDirectory(prefix='ivystep-soak-') as folder:
        deployed = deployment.Deployment(pathlib.Path(folder), options.seed)
        soak = Soak(deployed)
        try:
            deployed.start()
            soak.run(options.minutes * SECONDS_PER_MINUTE)
        finally:
            deployed.stop()
    print(
        f'seed {options.seed}: {soak.rounds} rounds, '
        f'results {dict(soak.result_counts)}, '
        f'{len(soak.violations)} violations'
    )
    sys.exit(1 if soak.violations else 0)


if __name__ == '__main__':
    main()
