"""Tests of ivystep.core."""
