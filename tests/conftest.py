"""Shared fixtures: one small deployment of processes."""

import ivystep  # isort: skip

import eventlet  # isort: skip

eventlet.monkey_patch()

__all__ = ('ivystep',)
