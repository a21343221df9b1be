"""Sockets whose host seems to be gone: their kernel acknowledges nothing."""

import ctypes
import socket
import struct

# Socket options of Linux that the standard library does not name.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# A classic BPF program that keeps no byte of a packet: return 0.
DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)


def go_dark(connection):
    """Drop all that arrives, before TCP sees it, until ``come_back``.

    Args:
        connection: A connected TCP socket, the peer of the one under test.
    """
    program = ctypes.create_string_buffer(DROP_ALL)
    connection.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack('HP', 1, ctypes.addressof(program)),
    )


def come_back(connection):
    """Take what arrives again."""
    connection.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
