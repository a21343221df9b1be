"""Starts and stops daemons beside disturbances (``make soak-starts``)."""

import ivystep  # isort: skip

import eventlet  # isort: skip

eventlet.monkey_patch()

import argparse
import pathlib
import sys
import tempfile
import typing

from soak.starts import run

__all__ = ('ivystep',)


def main() -> None:
    """Run the soak and exit with 1 if a process failed."""
    parser = argparse.ArgumentParser(prog='soak.starts')
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--count', type=int, default=1, help='seeds')
    parser.add_argument('--rounds', type=int, default=run.ROUNDS)
    options: typing.Any = parser.parse_args()
    found = []
    for seed in range(options.first, options.first + options.count):
        with tempfile.TemporaryDirectory(prefix='ivystep-starts-') as folder:
            failures = run.play(pathlib.Path(folder), seed, options.rounds)
        print(f'seed {seed}: {options.rounds} rounds, {len(failures)} failures')
        for line in failures:
            print(f'FAILURE, seed {seed}: {line}', flush=True)
        found.extend(failures)
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    main()
