"""Runs the console until it is stopped."""

import eventlet
from eventlet import wsgi

from ivystep.console import app, sessions, setups
from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.runtime import drain, logs
from ivystep.settings import models

MAX_CONNECTIONS = 64
SOCKET_TIMEOUT_S = 30.0

log = logs.get('console')


def build(settings: models.OperatorSettings) -> app.ConsoleApp:
    """Return the application that the settings describe."""
    platform = settings.platform
    return app.ConsoleApp(
        sessions.Sessions(
            settings.operators,
            settings.console.session_s,
            is_secure=settings.console.secure_cookie,
        ),
        setups.Setups(
            table.TableClient(platform.table_url, platform.timeout_s),
            objects.ObjectsClient(platform.objects_url, platform.timeout_s),
        ),
    )


def run(settings: models.OperatorSettings) -> None:
    """Serve until SIGTERM.

    Raises:
        errors.SettingsError: The address or the operators are missing.
    """
    if settings.listen is None or not settings.operators:
        raise errors.SettingsError(
            'the console needs the sections [listen] and [operators]'
        )
    signals = drain.DrainSignal()
    signals.install()
    listener = eventlet.listen(settings.listen.socket_address)
    eventlet.spawn(
        wsgi.server,
        listener,
        build(settings),
        max_size=MAX_CONNECTIONS,
        socket_timeout=SOCKET_TIMEOUT_S,
        log_output=False,
        debug=False,
    )
    log.info('The console serves operators.')
    signals.wait()
    listener.close()
