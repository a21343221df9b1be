"""Starts the program: ``python -m ivystep`` and the ``ivystep`` script."""

import eventlet


def main() -> None:
    """Patch the standard library for eventlet, then run the command line."""
    # Patching must come before the imports of modules that hold locks.
    eventlet.monkey_patch()
    from ivystep.cli import main as command_line

    command_line.main()


if __name__ == '__main__':
    main()
