"""Sends commands to a device only while a lease is held.

Run it with ``python -m examples.hold_lease``.
"""

import eventlet

from examples import local_table
from ivystep.coordination import lease
from ivystep.runtime import clock

KEY = 'example/press-1'
DURATION_S = 0.6


class Press:
    """A device that rejects the fencing tokens of earlier holders."""

    def __init__(self) -> None:
        self._highest = 0

    def stamp(self, token: int) -> bool:
        """Stamp a sheet, unless the token is outdated."""
        if token < self._highest:
            return False
        self._highest = token
        return True


def main() -> None:
    """Acquire a lease after its holder has stopped renewing it."""
    local = local_table.LocalTable()
    press = Press()
    first = lease.Lease(local.rows, KEY, 'controller-1', DURATION_S)
    first.acquire()
    renewing = eventlet.spawn(first.keep)
    clock.sleep(2 * DURATION_S)
    print(f'The first controller holds the lease: {first.is_held()}.')
    # Simulates a paused process: the lease is no longer renewed.
    renewing.kill()
    second = lease.Lease(local.rows, KEY, 'controller-2', DURATION_S)
    second.acquire()
    print(f'The first controller holds the lease: {first.is_held()}.')
    print(f'The second one may stamp: {press.stamp(second.token)}.')
    print(f'The first one may stamp: {press.stamp(first.token)}.')
    second.release()


if __name__ == '__main__':
    local_table.patch()
    main()
