"""Tests the demo of entries, sidecars and engines as processes."""

import demo.run


def test_demo_runs(tmp_path):
    """Guards against components that work alone but not together."""
    demo.run.run(tmp_path)
