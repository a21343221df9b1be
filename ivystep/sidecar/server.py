"""Serves entries: one task for each connection."""

import functools
import ssl
import typing

import eventlet

from ivystep.core import errors
from ivystep.runtime import clock, logs
from ivystep.sidecar import host, run
from ivystep.wire import channel, convert, tls
from ivystep.wire.gen import ttypes

HANDSHAKE_TIMEOUT_S = 5.0
STATUS_INTERVAL_S = 1.0
STATUS_COALESCE_S = 0.05

log = logs.get('sidecar')


class SidecarServer:
    """Accepts connections of entries."""

    def __init__(
        self, beside: host.UpstreamHost, contexts: tls.TlsContexts
    ) -> None:
        self.beside = beside
        self._contexts = contexts

    def serve(self, listener: typing.Any) -> None:
        """Accept connections until the listener is closed.

        Args:
            listener: A listening socket.
        """
        while True:
            try:
                connection, address = listener.accept()
            except OSError:
                return
            eventlet.spawn(self._serve_connection, connection, address)

    def _serve_connection(
        self, connection: typing.Any, address: tuple[str, int]
    ) -> None:
        peer = f'{address[0]}:{address[1]}'
        try:
            secured = self._secure(connection)
        except (OSError, errors.LinkError) as error:
            connection.close()
            log.warning('Connection from %s refused: %s.', peer, error)
            return
        link = channel.Channel(secured, peer)
        try:
            self._serve_messages(link)
        except errors.LinkError as error:
            log.debug('Connection from %s ended: %s.', peer, error)
        finally:
            link.close()

    def _secure(self, connection: typing.Any) -> ssl.SSLSocket:
        with eventlet.Timeout(HANDSHAKE_TIMEOUT_S, TimeoutError):
            secured = self._contexts.server.wrap_socket(
                connection, server_side=True
            )
        if tls.ENTRY_NAME not in tls.peer_names(secured):
            secured.close()
            raise errors.LinkError("the certificate is not an entry's")
        return secured

    def _serve_messages(self, link: channel.Channel) -> None:
        hello = link.receive(HANDSHAKE_TIMEOUT_S)
        if not isinstance(hello, ttypes.Hello):
            raise errors.LinkError('expected a hello', peer=link.peer)
        link.send(
            ttypes.Hello(
                self.beside.upstream_id,
                self.beside.incarnation,
                'sidecar',
                self.beside.setup_version,
            ),
        )
        while True:
            _handle(link.receive(), self.beside, link)


@functools.singledispatch
def _handle(
    message: typing.Any, beside: host.UpstreamHost, link: channel.Channel
) -> None:
    """Handle one message of an entry."""
    raise errors.LinkError(f'unexpected {type(message).__name__}')


@_handle.register
def _handle_run(
    message: ttypes.RunAttempt,
    beside: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    run.run_attempt(beside, message, link)


@_handle.register
def _handle_revoke(
    message: ttypes.RevokeAttempt,
    beside: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    ran = 'unknown'
    if message.sidecar_incarnation == beside.incarnation:
        ran = beside.attempts.revoke(message.attempt_id).value
    link.send(ttypes.AttemptState(message.attempt_id, ran))


@_handle.register
def _handle_load(
    message: ttypes.LoadAdapter,
    beside: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    outcome = beside.load(convert.load_order(message))
    link.send(ttypes.LoadResult(outcome.ok, outcome.code, outcome.reason))


@_handle.register
def _handle_watch(
    message: ttypes.Watch, beside: host.UpstreamHost, link: channel.Channel
) -> None:
    while True:
        revision = beside.revision
        link.send(convert.status_message(beside.status()))
        beside.wait_for_change(revision, STATUS_INTERVAL_S)
        clock.sleep(STATUS_COALESCE_S)
