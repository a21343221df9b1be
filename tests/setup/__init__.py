"""Tests of ``ivystep.setup``."""
