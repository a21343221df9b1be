"""Tests of ivystep.platform."""
