"""Entry point of ``python -m ivystep`` and of the ``ivystep`` script."""

import eventlet


def main() -> None:
    """Patch the standard library for eventlet, then run the command line."""
    # Must precede the import of modules that create locks.
    eventlet.monkey_patch()
    from ivystep.cli import main as command_line

    command_line.main()


if __name__ == '__main__':
    main()
