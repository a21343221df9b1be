"""Tests of ivystep.traffic."""
