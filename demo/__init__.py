"""Demos that run complete deployments as separate processes."""
