"""Socket options: bytes of abandoned work, and peers that are gone.

After an orderly close, the kernel goes on to deliver bytes that the peer has
not received yet, for as long as it takes to reach the peer. A reset discards
them, so the peer cannot start work that was given up.
"""

import fcntl
import socket
import struct
import termios

from urllib3 import connection as urllib3_connection

from ivystep.core import units
from ivystep.runtime import tcp_state

# The kernel ends a connection without unsent bytes when an answer to the last
# of these probes is due.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time after which an idle peer that is gone is found.
KEEPALIVE_S = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
# SO_LINGER with a time of zero: close() sends a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)
# Options of urllib3 for connections that are reset when they are closed.
RESET_ON_CLOSE_OPTIONS = (
    *urllib3_connection.HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO),
)


def set_tcp_options(connection: socket.socket) -> None:
    """Disable Nagle's algorithm and have the kernel find peers that are gone.

    The kernel looks for them only while it has nothing to send; see
    ``peer_liveness`` for the rest. Where the kernel does not tell the state of
    a connection, its user time-out takes that part. It also ends peers that
    take nothing for its duration.

    Args:
        connection: A connected TCP socket.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S
    )
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    probes = KEEPALIVE_PROBES
    if tcp_state.TcpState.of_connection(connection) is None:
        # The user time-out is to end the connection, not the last probe.
        probes += 1
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            KEEPALIVE_S * units.MS_PER_S,
        )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)


def reset_on_close(connection: socket.socket) -> None:
    """Have the kernel reset a connection when it is closed.

    Args:
        connection: A connected TCP socket.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def grow_send_buffer(connection: socket.socket, size: int) -> None:
    """Have the kernel take more bytes for a peer that reads slowly.

    A writer that waits is woken up. The kernel keeps to its own limit.

    Args:
        connection: A connected TCP socket.
        size: Bytes that the buffer holds at least; a larger one stays.
    """
    if connection.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < size:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def bound_unread(connection: socket.socket, size: int) -> None:
    """Bound the bytes that the kernel holds unread.

    Without it, the kernel lets the buffer of a fast peer grow to megabytes. It
    reserves twice the size that is set, as its own records count too, and
    what it then takes depends on the length of the packets.

    Args:
        connection: A TCP socket; one that listens passes the bound on.
        size: Most bytes.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)


def undelivered_bytes(connection: socket.socket) -> int:
    """Return how many bytes the kernel of the peer has not acknowledged.

    The end of the sending side counts as one.

    Args:
        connection: A connected TCP socket.
    """
    queued = struct.pack('i', 0)
    queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, queued)
    return int(struct.unpack('i', queued)[0])
