"""The whole path as processes."""

import demo.run


def test_demo_runs(tmp_path):
    """Guards against a path that works only in parts."""
    demo.run.run(tmp_path)
