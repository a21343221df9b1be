"""Runs the console server until SIGTERM."""

import eventlet
from eventlet import wsgi

from ivystep.console import app, sessions, setup_repository
from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.runtime import drain, listeners, logs
from ivystep.settings import models

MAX_CONNECTIONS = 64
SOCKET_TIMEOUT_S = 30.0

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


def run(settings: models.OperatorSettings) -> None:
    """Serve until SIGTERM.

    Raises:
        errors.SettingsError: The listening address or the operators are
            missing.
    """
    if settings.listen is None or not settings.operators:
        raise errors.SettingsError(
            'the console needs the sections [listen] and [operators]'
        )
    signals = drain.DrainSignal()
    signals.install()
    listener = listeners.Listener.open(
        'operators',
        settings.listen.socket_address,
        logs.event_writer('console'),
    )
    eventlet.spawn(
        wsgi.server,
        listener,
        build(settings),
        max_size=MAX_CONNECTIONS,
        socket_timeout=SOCKET_TIMEOUT_S,
        log_output=False,
        debug=False,
    )
    log.info('The console accepts connections.')
    signals.wait()
    listener.close()
