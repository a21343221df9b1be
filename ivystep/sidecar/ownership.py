"""Decides whether this sidecar may send load and unload orders to its engine.

The owner of an engine holds the lease row ``engine/<upstream>`` in the table
service. The fencing token of the lease increases with each holder and is sent
with every order.

Known limitation: an order that was sent while the lease was held can reach the
engine after the lease has expired, if the network delays it or this process is
paused between the check and the send. An engine that checks fencing refuses
such an order once it has seen the next owner's token, but still executes it
before that owner's first order. An engine that ignores fencing always executes
it: it may unload an adapter on which the next owner's attempts are running, or
load one that takes a slot. The next owner's sidecar reads the engine's state at
each health check and after each of its own orders, and withholds answers of
other adapters. So no wrong answer results, but an adapter can be unloaded
during a running attempt in this window.

Serving resident adapters needs no lease.
"""

import typing

from ivystep.coordination import lease
from ivystep.core import errors
from ivystep.platform import table
from ivystep.runtime import logs

KEY_PREFIX = 'engine/'
RELEASE_TIMEOUT_S = 1.0

log = logs.get('sidecar')


class NotOwnerError(errors.UnavailableError):
    """This sidecar may not send orders now; none was sent."""


class Owner(typing.Protocol):
    """Permission to send orders to the engine."""

    def token(self) -> int:
        """Return the fencing token for an order that is sent immediately.

        Raises:
            NotOwnerError: Orders are not allowed now.
        """


class UncheckedOwner:
    """Permission without a lease, for embedding and for plain services."""

    def token(self) -> int:
        """Return a constant token; see ``Owner.token``."""
        return 0


class LeaseOwner:
    """Permission that requires the lease on the engine.

    Args:
        held: The lease on the engine.
        checks_fencing: Whether the engine refuses old tokens. If so, the last
            owner may send orders while the platform is unavailable.
    """

    def __init__(self, held: lease.Lease, *, checks_fencing: bool) -> None:
        self._lease = held
        self._checks_fencing = checks_fencing

    @classmethod
    def from_table(
        cls,
        rows: table.Table,
        upstream_id: str,
        holder_id: str,
        lease_s: float,
        *,
        checks_fencing: bool,
    ) -> typing.Self:
        """Return the owner of an upstream's engine.

        Args:
            rows: The table service.
            upstream_id: The upstream.
            holder_id: Incarnation of this sidecar.
            lease_s: Duration of the lease in seconds.
            checks_fencing: Whether the engine refuses old tokens.
        """
        held = lease.Lease(rows, KEY_PREFIX + upstream_id, holder_id, lease_s)
        return cls(held, checks_fencing=checks_fencing)

    def hold(self) -> None:
        """Acquire the lease, and again whenever it is lost.

        Runs until the task is killed.
        """
        while True:
            token = self._lease.acquire()
            log.info('The engine lease with token %s was acquired.', token)
            self._lease.keep()
            log.warning('The engine lease with token %s was lost.', token)

    def release(self) -> None:
        """Release the lease, so that the next owner need not wait.

        The process exits afterwards, also if the table service is silent.
        """
        self._lease.release(RELEASE_TIMEOUT_S)

    def token(self) -> int:
        """Return the token of the lease; see ``Owner.token``."""
        if not self._lease.token:
            raise NotOwnerError(
                'the lease has not been acquired yet', step='order'
            )
        if not self._checks_fencing and not self._lease.is_held():
            raise NotOwnerError('the lease has expired', step='order')
        return self._lease.token
