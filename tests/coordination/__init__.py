"""Tests of ivystep.coordination."""
