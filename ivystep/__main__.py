"""Runs the program with ``python -m ivystep``."""

from ivystep.cli import main

main.main()
