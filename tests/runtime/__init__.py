"""Tests of ivystep.runtime."""
