"""Accepts callers' connections and serves each one in a task of its own."""

import typing

import eventlet

from ivystep.gateway.requests import caller_connection, shared_state
from ivystep.runtime import connection_limit


def serve(
    listener: typing.Any,
    server_state: shared_state.ServerState,
    handle_request: caller_connection.HandleRequest,
) -> None:
    """Accept connections until the listener is closed.

    Args:
        listener: The listening socket.
        server_state: State shared by all connections.
        handle_request: Handles one request.
    """
    limit = connection_limit.ConnectionLimit(
        server_state.plan.connections, listener, server_state.end_stalled
    )
    while True:
        limit.wait_for_room(server_state.open_connections)
        try:
            accepted, address = listener.accept()
        except OSError:
            return
        connection = caller_connection.CallerConnection(
            accepted, address[0], server_state, handle_request
        )
        server_state.open_connections.add(connection)
        eventlet.spawn_n(connection.run)
