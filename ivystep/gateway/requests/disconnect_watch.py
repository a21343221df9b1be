"""Watches a caller's connection while its request is handled.

The eventlet hub watches the socket: it buffers pipelined requests, and cancels
the request if the caller disconnects.
"""

import contextlib
import socket
import typing
from collections.abc import Callable, Generator

from eventlet import hubs

from ivystep.core import units
from ivystep.gateway.requests import relay
from ivystep.traffic import http1

# Limit on the bytes of pipelined requests buffered while a request is handled.
MAX_PIPELINED_BYTES = 256 * units.KIB


class DisconnectWatch:
    """Watches one caller's connection for a disconnect.

    Args:
        connection: The caller's socket.
        reader: Takes the bytes of pipelined requests.
        cancel: Cancels the request in progress; called on the hub.
        may_buffer: Counts what is buffered; returns whether there is room for
            more.

    Attributes:
        is_closed: Whether the caller or this host has closed the connection.
    """

    def __init__(
        self,
        connection: typing.Any,
        reader: http1.RequestReader,
        cancel: Callable[[], None],
        may_buffer: Callable[[], bool],
    ) -> None:
        self.is_closed = False
        self._socket = connection
        self._reader = reader
        self._cancel = cancel
        self._may_buffer = may_buffer
        self._hub_listener: typing.Any = None

    def raise_if_disconnected(self) -> None:
        """Raise an error if the caller has disconnected.

        Reads what has arrived: a late event loop may run a task before it
        reads the end of the caller's connection.

        Raises:
            relay.CallerDisconnectedError: The caller has disconnected.
        """
        if self._hub_listener is not None:
            self._read_available()
        if self.is_closed:
            raise relay.CallerDisconnectedError

    @contextlib.contextmanager
    def raise_on_disconnect(self) -> Generator[None, None, None]:
        """Raise an error in the task when the caller disconnects.

        The error is ``relay.CallerDisconnectedError``.
        """
        self._start()
        try:
            yield
        finally:
            self._stop()

    def _start(self) -> None:
        hub = hubs.get_hub()
        self._hub_listener = hub.add(
            hub.READ,
            self._socket.fileno(),
            self._on_readable,
            self._ignore,
            self._ignore,
        )

    def _stop(self) -> None:
        if self._hub_listener is not None:
            hubs.get_hub().remove(self._hub_listener)
            self._hub_listener = None

    def _ignore(self, *_: object) -> None:
        """Ignore the hub's notice that the descriptor was closed."""

    def _on_readable(self, _: object) -> None:
        """Cancel the task if the caller has disconnected; runs on the hub."""
        self._read_available()
        if self.is_closed:
            hubs.get_hub().schedule_call_global(0, self._cancel)

    def _read_available(self) -> None:
        """Buffer pipelined bytes, or detect that the caller has disconnected.

        The socket is no longer watched after a disconnect, or when too many
        bytes are buffered here or on all connections.
        """
        has_room = (
            self._may_buffer()
            and self._reader.buffered_bytes <= MAX_PIPELINED_BYTES
        )
        try:
            received = self._receive() if has_room else self._peek()
        except BlockingIOError:
            return
        except OSError:
            received = b''
        if not received:
            self._stop()
            self.is_closed = True
            return
        if not has_room:
            self._stop()
            return
        self._reader.feed(received)
        self._may_buffer()

    def _receive(self) -> bytes:
        return self._socket.fd.recv(http1.READ_BYTES, socket.MSG_DONTWAIT)

    def _peek(self) -> bytes:
        return self._socket.fd.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK)
