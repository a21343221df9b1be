"""Serves entries: one task for each connection."""

import functools
import typing

import eventlet

from ivystep.core import errors, types
from ivystep.runtime import clock, logs
from ivystep.sidecar import host, run
from ivystep.wire import channel, convert, handshake
from ivystep.wire.gen import ttypes

STATUS_INTERVAL_S = 1.0
STATUS_COALESCE_S = 0.05
# An entry that has not read a status for this long is disconnected, and
# connects again.
STATUS_SEND_TIMEOUT_S = 5.0

log = logs.get('sidecar')


class SidecarServer:
    """Handles the messages of entries.

    Args:
        upstream_host: The upstream host.
    """

    def __init__(self, upstream_host: host.UpstreamHost) -> None:
        self.upstream_host = upstream_host

    def serve(self, link: channel.Channel) -> None:
        """Serve one connection until it ends.

        Args:
            link: Connection to an entry.

        Raises:
            errors.LinkError: The connection ended or means another process.
        """
        handshake.accept(
            link,
            ttypes.Hello(
                self.upstream_host.upstream_id,
                self.upstream_host.incarnation,
                'sidecar',
                self.upstream_host.setup_version,
            ),
        )
        while True:
            _handle(link.receive(), self.upstream_host, link)


@functools.singledispatch
def _handle(
    message: typing.Any, upstream_host: host.UpstreamHost, link: channel.Channel
) -> None:
    """Handle one message of an entry."""
    raise errors.LinkError(f'unexpected {type(message).__name__}')


@_handle.register
def _handle_run(
    message: ttypes.RunAttempt,
    upstream_host: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    run.run_attempt(upstream_host, message, link)


@_handle.register
def _handle_revoke(
    message: ttypes.RevokeAttempt,
    upstream_host: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    ran = 'unknown'
    if message.sidecar_incarnation == upstream_host.incarnation:
        ran = upstream_host.attempts.revoke(message.attempt_id).value
    link.send(ttypes.AttemptState(message.attempt_id, ran))


@_handle.register
def _handle_load(
    message: ttypes.LoadAdapter,
    upstream_host: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    upstream_host.setup_version = max(
        upstream_host.setup_version, message.setup_version
    )
    outcome = _load(convert.load_order(message), upstream_host)
    link.send(ttypes.LoadResult(outcome.ok, outcome.code, outcome.reason))


@_handle.register
def _handle_watch(
    message: ttypes.Watch,
    upstream_host: host.UpstreamHost,
    link: channel.Channel,
) -> None:
    while True:
        revision, crashes = upstream_host.revision, upstream_host.crashes.count
        with eventlet.Timeout(STATUS_SEND_TIMEOUT_S, TimeoutError):
            link.send(convert.status_message(upstream_host.status()))
        upstream_host.wait_for_change(revision, STATUS_INTERVAL_S)
        if upstream_host.crashes.count == crashes:
            # Crash evidence is sent without this delay: the caller may repeat
            # the request through another entry.
            clock.sleep(STATUS_COALESCE_S)


def _load(
    order: types.LoadOrder, upstream_host: host.UpstreamHost
) -> types.LoadResult:
    if order.sidecar_incarnation not in {'', upstream_host.incarnation}:
        # The order is based on the state before the restart.
        return types.LoadResult(
            False, 'wrong_incarnation', 'The sidecar was restarted.'
        )
    return upstream_host.load(order)
