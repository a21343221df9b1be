"""Accepts connections of other ivystep processes and checks their role."""

import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors
from ivystep.runtime import logs
from ivystep.wire import channel, tls

HANDSHAKE_TIMEOUT_S = 5.0

log = logs.get('wire')


def serve(
    listener: typing.Any,
    contexts: tls.TlsContexts | None,
    peer_name: str,
    handle: Callable[[channel.Channel], None],
) -> None:
    """Accept connections until the listener is closed.

    Args:
        listener: A listening socket.
        contexts: TLS contexts of this process; None for plain connections.
        peer_name: DNS name that a peer's certificate must carry.
        handle: Runs in a task of its own for each connection; a LinkError
            ends the connection.
    """
    while True:
        try:
            connection, address = listener.accept()
        except OSError:
            return
        peer = f'{address[0]}:{address[1]}'
        eventlet.spawn(
            _serve_connection, connection, peer, contexts, peer_name, handle
        )


def _serve_connection(
    connection: typing.Any,
    peer: str,
    contexts: tls.TlsContexts | None,
    peer_name: str,
    handle: Callable[[channel.Channel], None],
) -> None:
    try:
        secured = _secure(connection, contexts, peer_name)
    except (OSError, errors.LinkError) as error:
        connection.close()
        log.warning('Connection from %s refused: %s.', peer, error)
        return
    link = channel.Channel(secured, peer)
    try:
        handle(link)
    except (channel.FrameError, errors.MisdirectedError) as error:
        log.warning('Connection from %s closed: %s.', peer, error)
    except errors.LinkError as error:
        log.debug('Connection from %s ended: %s.', peer, error)
    finally:
        link.close()


def _secure(
    connection: typing.Any, contexts: tls.TlsContexts | None, peer_name: str
) -> typing.Any:
    if contexts is None:
        return connection
    with eventlet.Timeout(HANDSHAKE_TIMEOUT_S, TimeoutError):
        secured = contexts.server.wrap_socket(connection, server_side=True)
    if peer_name not in tls.peer_names(secured):
        secured.close()
        raise errors.LinkError(f'the certificate does not name {peer_name}')
    return secured
