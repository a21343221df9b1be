"""Runs the fault schedules of many seeds (``make schedules``)."""

import ivystep  # isort: skip

import eventlet  # isort: skip

eventlet.monkey_patch()

import argparse
import collections
import sys
import typing
import warnings

from soak.schedules import run

__all__ = ('ivystep',)


def main() -> None:
    """Run the schedules and exit with 1 if there was a violation."""
    # Eventlet warns about each hub class that does not define
    # ``is_available``.
    warnings.simplefilter('ignore', DeprecationWarning)
    parser = argparse.ArgumentParser(prog='schedules')
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--count', type=int, default=1000)
    options: typing.Any = parser.parse_args()
    result_counts: collections.Counter[str] = collections.Counter()
    faults: collections.Counter[str] = collections.Counter()
    violated = 0
    for seed in range(options.first, options.first + options.count):
        verdict = run.run(seed)
        result_counts.update(verdict.results)
        faults.update(verdict.faults)
        violated += bool(verdict.violations)
        for violation in verdict.violations:
            print(f'VIOLATION seed {seed} {verdict.faults}: {violation}')
        sys.stdout.flush()
    print(
        f'{options.count} schedules from seed {options.first}: '
        f'{violated} with violations, results {dict(result_counts)}, '
        f'faults {dict(faults)}'
    )
    sys.exit(1 if violated else 0)


if __name__ == '__main__':
    main()
