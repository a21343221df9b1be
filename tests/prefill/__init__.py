"""Tests of ivystep.prefill."""
