"""Patches the standard library for eventlet before any test is imported."""

import ivystep  # isort: skip

import eventlet  # isort: skip

eventlet.monkey_patch()

pytest_plugins = ('tests.known_red',)

__all__ = ('ivystep',)
