"""Stand-ins for external systems, used by the demo and the tests."""

# Importing ivystep first filters eventlet's import warning.
import ivystep

__all__ = ('ivystep',)
