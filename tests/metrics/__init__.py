"""Tests of ivystep.metrics."""
