"""Listening sockets that outlive errors and wait for their address.

The address of a listener can be taken as its process starts: by the process
before it, by another program, or by an outgoing connection with that port. The
listener waits for it, so the process neither ends nor lacks its other ports.
"""

import collections
import errno
import socket
import typing
from collections.abc import Callable

import eventlet
from eventlet import greenio

from ivystep.core import units
from ivystep.runtime import clock, event_log, listener_events, sockets, turns

BACKLOG = 256
OPEN_RETRY_S = 0.2
ACCEPT_RETRY_S = 0.1
# Time after which a task that accepts sees that its socket was closed.
ACCEPT_CHECK_S = 1.0
# Shortest time between two log lines on connections that were not accepted.
FAILURE_REPORT_S = 10.0
# Errors that end without a change of the settings.
OPEN_RETRY_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
# The descriptor is closed, or is that of another socket.
LOST_ERRORS = frozenset(
    (errno.EBADF, errno.EINVAL, errno.ENOTCONN, errno.ENOTSOCK)
)

Report = Callable[[event_log.Event], None]


class ListenerClosedError(OSError):
    """The process has closed the listener."""

    def __init__(self) -> None:
        # ``eventlet.wsgi.server`` ends without an error on this number.
        super().__init__(errno.ESHUTDOWN, 'the listener is closed')


class Listener:
    """A listening socket with the methods of one that servers use.

    Args:
        purpose: Who connects, for the log.
        address: IP address and port.
        report: Called with events of ``listener_events``.
        backlog: Length of the queue of connections to accept.
        unread_bytes: Bytes that the kernel holds unread for each connection,
            also for those in the queue; None for the usual number.

    Attributes:
        report: Called with events, also by the server of the connections.
    """

    def __init__(
        self,
        purpose: str,
        address: tuple[str, int],
        report: Report,
        backlog: int = BACKLOG,
        unread_bytes: int | None = None,
    ) -> None:
        self.purpose = purpose
        self._address = address
        self.report = report
        self._backlog = backlog
        self._unread_bytes = unread_bytes
        self._socket: typing.Any = None
        self._is_closed = False
        self._queued: collections.deque[tuple[typing.Any, typing.Any]] = (
            collections.deque()
        )
        self._unavailable_since: float | None = None
        self._failures = 0
        self._reported_at = -FAILURE_REPORT_S

    @classmethod
    def open(
        cls,
        purpose: str,
        address: tuple[str, int],
        report: Report,
        backlog: int = BACKLOG,
        unread_bytes: int | None = None,
    ) -> typing.Self:
        """Open a listener now, or later if its address is unavailable.

        Args:
            purpose: Who connects, for the log.
            address: IP address and port.
            report: Called with events of ``listener_events``.
            backlog: Length of the queue of connections to accept.
            unread_bytes: Bytes that the kernel holds unread for each
                connection; None for the usual number.

        Raises:
            OSError: The address can never be used.
        """
        listener = cls(purpose, address, report, backlog, unread_bytes)
        try:
            listener.try_open()
        except OSError as error:
            if error.errno not in OPEN_RETRY_ERRORS:
                raise
            listener.on_unavailable(error)
        return listener

    @property
    def is_open(self) -> bool:
        """Whether the kernel takes connections to the address."""
        return self._socket is not None

    @property
    def address(self) -> str:
        """The address and port as text."""
        return f'{self._address[0]}:{self._address[1]}'

    @property
    def family(self) -> socket.AddressFamily:
        """The address family, as ``eventlet.wsgi.server`` reads it."""
        is_v6 = ':' in self._address[0]
        return socket.AF_INET6 if is_v6 else socket.AF_INET

    def getsockname(self) -> typing.Any:
        """Return the address; a port of 0 is replaced by the chosen one."""
        if self._socket is None:
            return self._address
        return self._socket.getsockname()

    def wait_until_open(self) -> None:
        """Wait until the socket is open.

        Raises:
            ListenerClosedError: The listener was closed.
        """
        while self._socket is None:
            if self._is_closed:
                raise ListenerClosedError
            try:
                self.try_open()
            except OSError as error:
                self.on_unavailable(error)
                clock.sleep(OPEN_RETRY_S)

    def accept(self) -> tuple[typing.Any, typing.Any]:
        """Return the next connection and the address of its peer.

        Raises:
            ListenerClosedError: The listener was closed, and no connection is
                left that came before.
        """
        while True:
            if self._queued:
                return self._queued.popleft()
            self.wait_until_open()
            try:
                accepted = self._socket.accept()
            except TimeoutError:
                continue
            except OSError as error:
                self._on_accept_error(error)
            else:
                self._report_failures()
                turns.end_with_turn(accepted[0])
                return accepted

    def close(self) -> None:
        """Close the listener for good; does not yield to other tasks.

        ``accept`` returns the connections that the kernel has queued before,
        because the close would reset them.
        """
        self._is_closed = True
        if self._socket is not None:
            self._accept_queued()
            self._socket.close()
            self._socket = None

    def try_open(self) -> None:
        """Open the socket.

        Raises:
            OSError: The address is unavailable.
        """
        # Otherwise two processes could share the port, and each would get a
        # part of the other's connections.
        opened = eventlet.listen(
            self._address, self.family, self._backlog, reuse_port=False
        )
        opened.settimeout(ACCEPT_CHECK_S)
        if self._unread_bytes is not None:
            # Each accepted socket inherits it.
            sockets.bound_unread(opened, self._unread_bytes)
        self._socket = opened
        if self._unavailable_since is not None:
            waited_s = clock.now() - self._unavailable_since
            self._unavailable_since = None
            self.report(
                listener_events.AddressOpened(
                    self.purpose, self.address, int(waited_s * units.MS_PER_S)
                )
            )

    def on_unavailable(self, error: OSError) -> None:
        """Report that the socket cannot be opened, once a period.

        Args:
            error: The error.
        """
        if self._unavailable_since is None:
            self._unavailable_since = clock.now()
            self.report(
                listener_events.AddressUnavailable(
                    self.purpose, self.address, str(error)
                )
            )

    def _accept_queued(self) -> None:
        """Accept what the kernel holds, as far as there are descriptors."""
        self._socket.setblocking(False)
        for _ in range(self._backlog):
            try:
                accepted, address = self._socket.accept()
            except OSError:
                return
            self._queued.append((greenio.GreenSocket(accepted), address))

    def _on_accept_error(self, error: OSError) -> None:
        if self._is_closed:
            if self._queued:
                return
            raise ListenerClosedError from error
        if error.errno in LOST_ERRORS:
            # The descriptor may already be that of another socket, which must
            # not be closed.
            self._socket.detach()
            self._socket = None
            self.report(
                listener_events.ListenerLost(
                    self.purpose, self.address, str(error)
                )
            )
            return
        self._failures += 1
        if clock.now() >= self._reported_at + FAILURE_REPORT_S:
            self._report_failures(str(error))
        clock.sleep(ACCEPT_RETRY_S)

    def _report_failures(self, error: str = '') -> None:
        if not self._failures:
            return
        self.report(
            listener_events.AcceptFailed(
                self.purpose, self.address, error, self._failures
            )
        )
        self._failures = 0
        self._reported_at = clock.now()
