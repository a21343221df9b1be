"""Ownership of an engine: who may order it to load and unload adapters.

The owner holds a lease row ``engine/<upstream>`` in the table service; its
fencing token grows with each holder and goes out with every order.

What remains open: an order that was sent while the lease was held can reach
the engine after it has lapsed, for example when the network stack delays it
or when this process is paused between the check and the send. An engine that
checks fencing refuses such an order once it has seen the next owner's token.
An engine that ignores fencing carries it out: the next owner then finds an
adapter that it did not load, or misses one until its next reading, and an
attempt that starts in that window is answered ``ran: no`` by the engine.
The sidecar reads the engine again after each order, and the answer check
withholds whatever another adapter produces, so that the window costs time and
never gives a wrong answer.

Serving resident adapters needs no lease.
"""

import typing

import eventlet

from ivystep.core import errors
from ivystep.runtime import clock, logs

RETRY_S = 1.0
KEY_PREFIX = 'engine/'

log = logs.get('sidecar')


class Lease(typing.Protocol):
    """What the owner needs of ``ivystep.coordination.lease.Lease``."""

    token: int

    def acquire(self) -> int:
        """Wait for the lease and return its fencing token."""

    def keep(self) -> None:
        """Renew the lease until it is lost."""

    def is_held(self) -> bool:
        """Return whether the lease is held, on the monotonic clock."""


class Owner(typing.Protocol):
    """Permission to give orders to the engine."""

    def token(self) -> int:
        """Return the fencing token for an order that is sent at once.

        Raises:
            errors.UnavailableError: Orders are not allowed now.
        """


class UncheckedOwner:
    """Permission without a lease, for tests and embedding."""

    def token(self) -> int:
        """Return a constant token; see ``Owner.token``."""
        return 0


class LeaseOwner:
    """Permission from a lease.

    Args:
        lease: The lease on the engine.
        checks_fencing: Whether the engine refuses old tokens. Such an engine
            may be ordered while the platform is out, by the last owner.
    """

    def __init__(self, lease: Lease, *, checks_fencing: bool) -> None:
        self._lease = lease
        self._checks_fencing = checks_fencing
        self._token = 0

    def hold(self) -> None:
        """Acquire the lease, and again whenever it is lost, until killed."""
        while True:
            try:
                self._token = self._lease.acquire()
                log.info('Engine lease held with token %s.', self._token)
                self._lease.keep()
                log.warning('Engine lease %s lost.', self._token)
            except errors.PlatformError as error:
                log.warning('Engine lease: %s.', error)
            clock.sleep(RETRY_S)

    def start(self) -> None:
        """Hold the lease in a task of its own."""
        eventlet.spawn(self.hold)

    def token(self) -> int:
        """Return the token of the lease; see ``Owner.token``."""
        if not self._token:
            raise errors.UnavailableError('no lease yet', step='order')
        if not self._checks_fencing and not self._lease.is_held():
            raise errors.UnavailableError('the lease has lapsed', step='order')
        return self._token
