"""Tests that the built binary runs as a single process."""

import pathlib
import subprocess
import sys

from demo import cluster

ROOT = pathlib.Path(__file__).parents[2]


def test_binary_is_one_process(tmp_path):
    """Guards against a launcher that runs the program in a child process."""
    subprocess.run(
        (sys.executable, 'tools/build_binary.py'), check=True, cwd=ROOT
    )
    system = cluster.Cluster(tmp_path)
    try:
        system.start_platform()
        engine = system.start_standin('engine', 'engine')
        system.program = (str(ROOT / 'dist' / 'ivystep'),)
        sidecar = system.start_sidecar('up-1', 'base', 'lier-a', engine.url)
        pid = sidecar.process.pid
        children = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
        assert children.read_text() == ''
        command = pathlib.Path(f'/proc/{pid}/cmdline').read_bytes()
        assert command.startswith(system.program[0].encode())
        assert sidecar.stop() == 0
    finally:
        system.stop()
