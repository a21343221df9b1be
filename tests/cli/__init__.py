"""Tests of ivystep.cli."""
