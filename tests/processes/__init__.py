"""Tests of complete deployments, including injected faults."""
