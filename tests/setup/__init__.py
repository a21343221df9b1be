"""Tests of ivystep.setup."""
