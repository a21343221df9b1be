"""Tests of ``ivystep.settings``."""
