"""Tests of ivystep.settings."""
