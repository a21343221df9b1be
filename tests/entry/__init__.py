"""Tests of ivystep.entry."""
