"""Tests of ivystep.sidecar."""
