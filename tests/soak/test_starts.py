"""Tests starts and stops of real processes beside disturbances."""

from soak.starts import run

SEED = 1
# Each command has three disturbances; more seeds are played by hand.
ROUNDS = 12


def test_processes_start_and_stay_beside_disturbances(tmp_path):
    """Guards against processes that do not start, end by themselves or hang."""
    assert run.play(tmp_path, SEED, ROUNDS) == []
