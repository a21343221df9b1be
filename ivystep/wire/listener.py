"""Accepts connections of other ivystep processes and checks their role."""

import functools
import typing
from collections.abc import Callable

import eventlet

from ivystep.core import errors
from ivystep.runtime import clock, logs
from ivystep.wire import channel, tls

HANDSHAKE_TIMEOUT_S = 5.0
# Connections of one listener whose peers have not said who they are. Each
# process connects a few times, and says so within a round trip or two.
MAX_UNIDENTIFIED = 32
# Time after which such a connection may be closed for a new one.
MIN_UNIDENTIFIED_S = 1.0
POLL_S = 0.01
# Shortest time between two log lines on connections that were closed.
REPORT_S = 10.0

log = logs.get('wire')


class Warnings:
    """Logs why connections of one listener were closed, one line a period."""

    def __init__(self) -> None:
        self._left_out = 0
        self._written_at = -REPORT_S

    def write(self, peer: str, outcome: str, error: Exception) -> None:
        """Log that a connection was closed, or count it for the next line.

        Args:
            peer: Address of the peer.
            outcome: What became of the connection.
            error: Why.
        """
        if clock.now() < self._written_at + REPORT_S:
            self._left_out += 1
            return
        more = f' ({self._left_out} more before)' if self._left_out else ''
        log.warning('Connection from %s %s: %s.%s', peer, outcome, error, more)
        self._left_out = 0
        self._written_at = clock.now()


class UnidentifiedPeers:
    """The connections of one listener whose peers have not said who they are.

    Any program on the network can open them, and each takes a descriptor.
    """

    def __init__(self) -> None:
        # In the order in which they were opened.
        self._opened_at_by_task: dict[typing.Any, float] = {}

    def add(self, task: typing.Any) -> None:
        """Count a connection.

        Args:
            task: The task that serves it.
        """
        self._opened_at_by_task[task] = clock.now()

    def remove(self, task: typing.Any) -> None:
        """Count a connection no more, as its peer is identified or it ended.

        Args:
            task: The task that serves it.
        """
        self._opened_at_by_task.pop(task, None)

    def wait_for_room(self) -> None:
        """Wait until one more connection may be accepted.

        The oldest one is closed for it once it has had its time.
        """
        # The task of the last connection counts it as it begins.
        eventlet.sleep(0)
        while len(self._opened_at_by_task) >= MAX_UNIDENTIFIED:
            task, opened_at = next(iter(self._opened_at_by_task.items()))
            if clock.now() >= opened_at + MIN_UNIDENTIFIED_S:
                self.remove(task)
                task.kill(TimeoutError('gave way to a new connection'))
            else:
                clock.sleep(POLL_S)


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
    unidentified = UnidentifiedPeers()
    warnings = Warnings()
    while True:
        unidentified.wait_for_room()
        try:
            connection, address = listener.accept()
        except OSError:
            return
        peer = f'{address[0]}:{address[1]}'
        eventlet.spawn(
            _count_connection,
            unidentified,
            functools.partial(
                _serve_connection,
                connection,
                peer,
                contexts,
                peer_name,
                handle,
                warnings,
            ),
        )


def _count_connection(
    unidentified: UnidentifiedPeers,
    serve_connection: Callable[[Callable[[], None]], None],
) -> None:
    task = eventlet.getcurrent()
    unidentified.add(task)
    try:
        serve_connection(functools.partial(unidentified.remove, task))
    finally:
        unidentified.remove(task)


def _serve_connection(
    connection: typing.Any,
    peer: str,
    contexts: tls.TlsContexts | None,
    peer_name: str,
    handle: Callable[[channel.Channel], None],
    warnings: Warnings,
    on_identified: Callable[[], None],
) -> None:
    try:
        secured = _secure(connection, contexts, peer_name)
    except (OSError, errors.LinkError) as error:
        connection.close()
        warnings.write(peer, 'refused', error)
        return
    link = channel.Channel(secured, peer)
    link.on_identified = on_identified
    try:
        handle(link)
    except (channel.FrameError, errors.MisdirectedError) as error:
        warnings.write(peer, 'closed', error)
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
