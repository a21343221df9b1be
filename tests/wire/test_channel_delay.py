"""Tests of TCP_NODELAY on both ends of a connection."""

import socket

import eventlet

from ivystep.wire import channel


def test_accepted_and_opened_channels_send_without_delay():
    """Guards against 40 ms per answer from delayed acknowledgements."""
    listener = eventlet.listen(('127.0.0.1', 0))
    opened = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    for connection in (opened, accepted):
        link = channel.Channel(connection, 'peer')
        option = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert option
        link.close()
