"""Routes the requests of callers' connections and answers failed ones."""

from ivystep.core import errors
from ivystep.gateway import (
    callers,
    configuration,
    dispatch,
    relay,
    request_log,
)
from ivystep.metrics import registry
from ivystep.platform import messages
from ivystep.runtime import clock
from ivystep.traffic import calls, contracts, http1

NO_CONFIG_RETRY_S = 0.3


class RequestHandler:
    """Handles the requests of all callers' connections.

    Args:
        config: The configuration in force.
        dispatcher: Runs requests on upstreams.
        metrics: Counts outcomes.
        log: Logs the failures.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        dispatcher: dispatch.Dispatcher,
        metrics: registry.Metrics,
        log: request_log.RequestLog,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._log = log

    def handle(
        self, raw: http1.RawRequest, connection: callers.CallerConnection
    ) -> None:
        """Handle one request.

        Args:
            raw: The request.
            connection: The caller's connection.

        Raises:
            relay.CallerDisconnectedError: The caller has disconnected.
        """
        call = messages.decode_call(raw, clock.now(), connection.caller)
        connection.answer.last_event_id = call.resumes_after
        route = None
        try:
            with connection.raise_on_disconnect():
                route = self._route(call)
                self._dispatcher.run(call, route, connection.answer)
        except errors.RequestError as error:
            self._metrics.record_request(_route_name(route), error.code)
            self._log.failed(call, route, error)
            connection.answer.send_error(error, call.request_id)
        except (relay.CallerDisconnectedError, OSError):
            self._metrics.record_request(_route_name(route), 'caller_gone')
            raise
        else:
            self._metrics.record_request(_route_name(route), 'ok')

    def _route(self, call: calls.Call) -> contracts.Route:
        config = self._config.current
        if config is None:
            raise errors.RefusedError(
                'not_configured',
                'This host has not received a configuration yet.',
                status=503,
                retry_after_s=NO_CONFIG_RETRY_S,
                step='route',
            )
        route = config.match(call.host, call.path)
        if route is None:
            raise errors.RefusedError(
                'no_route',
                f'No route matches (configuration version {config.version}).',
                status=404,
                step='route',
            )
        return route


def _route_name(route: contracts.Route | None) -> str:
    return route.name if route else ''
