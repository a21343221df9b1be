"""Routes the requests of callers' connections and answers failed ones."""

from ivystep.accounts import admission as account_admission
from ivystep.accounts import authentication
from ivystep.core import errors, types
from ivystep.gateway.requests import (
    account_metrics,
    caller_connection,
    dispatch,
    relay,
    request_log,
    request_state,
)
from ivystep.gateway.store import configuration, configuration_age
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
        age: Tells whether the configuration in force is current.
        admission: Admits requests by the quotas of their accounts.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        dispatcher: dispatch.Dispatcher,
        metrics: registry.Metrics,
        log: request_log.RequestLog,
        age: configuration_age.ConfigurationAge,
        admission: account_admission.Admission | None = None,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._log = log
        self._age = age
        self._account_metrics = account_metrics.AccountMetrics(metrics)
        self._admission = admission or account_admission.AdmitAll()

    def handle(
        self,
        raw: http1.RawRequest,
        connection: caller_connection.CallerConnection,
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
        account = None
        try:
            with connection.raise_on_disconnect():
                route = self._route(call)
                # A newer configuration may have come during the wait.
                if self._wait_until_current():
                    route = self._route(call)
                account = self._authenticate(call, route)
                self._run(call, route, account, connection)
        except errors.RequestError as error:
            unread = connection.answer.undelivered_bytes
            self._record(route, account, _outcome(error, unread))
            self._log.failed(call, route, account, error, unread)
            connection.answer.send_error(error, call.request_id)
        except (relay.CallerDisconnectedError, OSError):
            self._record(route, account, 'caller_gone')
            raise
        else:
            self._record(route, account, 'ok')

    def _wait_until_current(self) -> bool:
        """Wait until this host knows all keys, if accounts are in force.

        Returns:
            Whether the configuration has changed meanwhile.

        Raises:
            errors.RefusedError: This host may not know all keys.
        """
        known = self._config.current
        if known is not None and known.accounts is not None:
            self._age.wait_until_current()
        return self._config.current is not known

    def _authenticate(
        self, call: calls.Call, route: contracts.Route
    ) -> contracts.ClientAccount | None:
        """Return the account of a request; None if it needs none.

        Raises:
            errors.RefusedError: The request has no valid key.
        """
        config = self._config.current
        return authentication.authenticate(
            config.accounts if config else None,
            authentication.Claim(call.key_digest, route.is_public),
        )

    def _run(
        self,
        call: calls.Call,
        route: contracts.Route,
        account: contracts.ClientAccount | None,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Charge a request to its account and run it."""
        if account is None:
            self._dispatcher.run(call, route, connection.answer)
            return
        cost = account_admission.request_cost(account.quota, call)
        charge = self._admission.admit(account, cost)
        try:
            self._dispatcher.run(call, route, connection.answer, account)
        except errors.RequestError as error:
            if error.ran is types.ExecutionStatus.NO:
                self._admission.refund(charge)
            raise

    def _record(
        self,
        route: contracts.Route | None,
        account: contracts.ClientAccount | None,
        outcome: str,
    ) -> None:
        self._metrics.record_request(route.name if route else '', outcome)
        if account is not None:
            self._account_metrics.record_request(account.name, outcome)

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


def _outcome(error: errors.RequestError, unread_bytes: int) -> str:
    """Return the outcome of a failed request for the metrics.

    A deadline that passes while the caller has not taken its answer yet is
    told apart from one that passes while the answer is due.

    Args:
        error: Why the request failed.
        unread_bytes: Bytes of answers that the caller has not taken.
    """
    if error.code == request_state.DEADLINE_EXCEEDED and unread_bytes:
        return 'caller_slow'
    return error.code
