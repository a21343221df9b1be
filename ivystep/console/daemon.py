"""Runs the console server until SIGTERM, then lets requests end."""

import functools
import typing

import eventlet
from eventlet import wsgi

from ivystep.console import app, sessions, setup_repository
from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.runtime import (
    connection_limit,
    drain,
    listeners,
    logs,
    page_server,
    process,
)
from ivystep.settings import models

MAX_CONNECTIONS = 64
SOCKET_TIMEOUT_S = 30.0
# Longest time for requests in progress to end. A submission makes several
# calls of the platform's services, each with its own time-out.
DRAIN_DEADLINE_S = 10.0

log = logs.get('console')


def build(settings: models.OperatorSettings) -> app.ConsoleApp:
    """Create the application from the settings."""
    platform = settings.platform
    return app.ConsoleApp(
        sessions.Sessions(
            settings.operators,
            settings.console.session_s,
            is_secure=settings.console.secure_cookie,
        ),
        setup_repository.SetupRepository(
            table.TableClient(platform.table_url, platform.timeout_s),
            objects.ObjectsClient(platform.objects_url, platform.timeout_s),
        ),
    )


def run(settings: models.OperatorSettings, reload: process.Reload) -> None:
    """Serve until SIGTERM, then drain.

    Args:
        settings: The validated settings.
        reload: Called on SIGHUP.

    Raises:
        errors.SettingsError: The listening address or the operators are
            missing.
    """
    if settings.listen is None or not settings.operators:
        raise errors.SettingsError(
            'the console needs the sections [listen] and [operators]'
        )
    signals = drain.DrainSignal.of_process()
    signals.install()
    listener = listeners.Listener.open(
        'operators',
        settings.listen.socket_address,
        logs.event_writer('console'),
    )
    opened: set[page_server.PageConnection] = set()
    server = eventlet.spawn(
        wsgi.server,
        connection_limit.LimitedListener(listener, MAX_CONNECTIONS, opened),
        build(settings),
        max_size=MAX_CONNECTIONS + 1,
        protocol=functools.partial(
            page_server.PageConnection,
            on_failure=page_server.FailureReports(listener).add,
            # A submission is not interrupted.
            request_timeout_s=None,
            open_connections=opened,
        ),
        socket_timeout=SOCKET_TIMEOUT_S,
        log_output=False,
        debug=False,
    )
    log.info('The console accepts connections.')
    signals.wait(reload)
    stop_server(server, listener)
    signals.finish(lambda: bool(server.dead), DRAIN_DEADLINE_S)


def stop_server(server: typing.Any, listener: typing.Any) -> None:
    """Accept no more connections and close idle ones.

    The task of the server goes on until its requests have ended.

    Args:
        server: The task that serves operators.
        listener: Its listening socket.
    """
    listener.close()
    server.kill()
