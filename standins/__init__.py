"""Stand-ins for external systems, used by demos, tests and measurements."""

# Importing ivystep first filters eventlet's import warning.
import ivystep

__all__ = ('ivystep',)
