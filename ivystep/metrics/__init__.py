"""Metrics registry."""
