"""Tests of ivystep.console."""
