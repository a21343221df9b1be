"""Tests the soak itself on real processes."""

from soak import __main__ as soak_program
from soak import deployment

SEED = 11


def test_soak_completes_a_round(tmp_path):
    """Guards against a soak that ends with an error of its own."""
    deployed = deployment.Deployment(tmp_path, SEED)
    soak = soak_program.Soak(deployed)
    try:
        deployed.start()
        soak.run(seconds=0.1)
    finally:
        deployed.stop()
    assert soak.violations == []
    assert sum(soak.result_counts.values()) >= soak_program.REQUESTS_PER_ROUND
