"""Entry point of ``python -m ivystep`` and of the ``ivystep`` script."""

import sys

from ivystep.runtime import descriptors, signals

# Commands that run until a signal stops them. The others keep the usual actions
# of signals.
DAEMONS = frozenset(('console', 'entry', 'gateway', 'sidecar'))


def main() -> None:
    """Patch the standard library for eventlet, then run the command line."""
    is_daemon = sys.argv[1:2] and sys.argv[1] in DAEMONS
    if is_daemon:
        signals.of_process.install()
        descriptors.open_standard()
    # Must precede the import of modules that create locks.
    import eventlet

    eventlet.monkey_patch()
    from ivystep.cli import main as command_line

    command_line.main()
    if is_daemon:
        signals.ignore()


if __name__ == '__main__':
    main()
