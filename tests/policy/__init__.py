"""Tests of ivystep.policy."""
