"""Tests of ivystep.wire."""
