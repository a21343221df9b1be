"""The callers' HTTP interface as a WSGI application."""

import contextlib
import functools
import typing
from collections.abc import Callable, Iterable, Iterator

from ivystep.coordination import claims
from ivystep.core import errors, ids, types
from ivystep.entry import (
    admission,
    answers,
    claiming,
    connections,
    dispatch,
    progress,
    relay,
    services,
)
from ivystep.metrics import registry
from ivystep.policy import limits
from ivystep.runtime import clock, limited_connection, logs
from ivystep.settings import models
from ivystep.setup import compiled

Environ = dict[str, typing.Any]
OUTCOME_PREFIX = '/v1/requests/'

# Statuses of refusals that also exclude an earlier run: the format, bearer
# key, method or length is invalid, or the idempotency key belongs to a request
# with other content (422).
NEVER_RUN_STATUSES = frozenset((400, 401, 405, 413, 422))

log = logs.get('entry')


class CallerApi:
    """Serves the HTTP requests of callers.

    Args:
        current_setup: Returns the setup in force, None before the first read.
        dispatcher: Runs requests.
        claim_log: Claims of non-idempotent requests.
        in_progress: The requests in progress.
        bounds: Limits on the size and time of requests.
        metrics: Counts the outcomes of calls.
    """

    def __init__(
        self,
        current_setup: Callable[[], compiled.CompiledSetup | None],
        dispatcher: dispatch.Dispatcher,
        claim_log: claims.ClaimLog,
        in_progress: progress.RequestRegistry,
        bounds: models.RequestLimits,
        metrics: registry.Metrics,
    ) -> None:
        self._current_setup = current_setup
        self._dispatcher = dispatcher
        self._in_progress = in_progress
        self._claims = claiming.Claims(claim_log, in_progress)
        self._request_limits = bounds
        self._metrics = metrics
        self._account_limits = limits.AccountLimits()

    def __call__(
        self, environ: Environ, start_response: answers.StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request; see PEP 3333."""
        call = Call(environ, start_response, self._in_progress)
        call.on_close(self._count_outcome, call)
        try:
            return _Response(self._route(call), call)
        except errors.RequestError as error:
            log.info('Request %s failed: %s', call.request_id, error)
            return _Response(call.fail(error), call)
        except Exception:
            log.exception('Request %s met a fault.', call.request_id)
            return _Response(call.fail(_internal_error()), call)
        except BaseException:
            call.close()
            raise

    def _count_outcome(self, call: 'Call') -> None:
        if call.error is None:
            self._metrics.record_request(call.account, 'ok')
        elif call.error.ran is types.ExecutionStatus.NO:
            self._metrics.record_refusal(call.account, call.error.code)
        else:
            self._metrics.record_request(call.account, call.error.code)

    def _route(self, call: 'Call') -> Iterator[bytes]:
        setup = self._setup_in_force()
        if _is_upstream_path(call.path):
            call.require('POST')
            return self._handle_upstream_call(call, setup)
        if call.path.startswith(OUTCOME_PREFIX):
            call.require('GET')
            return self._send_outcome(call, setup)
        if call.path == '/v1/models':
            call.require('GET')
            grant = admission.authenticate(call.environ, setup)
            return call.send(_models(grant))
        raise answers.refusal(
            'no_such_path', 'There is no such path.', status=404
        )

    def _setup_in_force(self) -> compiled.CompiledSetup:
        setup = self._current_setup()
        if setup is None:
            raise answers.refusal(
                'no_setup',
                'This entry has not read the setup yet.',
                status=503,
                retry_after_s=1.0,
            )
        return setup

    def _handle_upstream_call(
        self, call: 'Call', setup: compiled.CompiledSetup
    ) -> Iterator[bytes]:
        grant = admission.authenticate(call.environ, setup)
        ticket = self._admit(call, grant)
        kind: type[admission.CompletionCall | services.ServiceCall] = (
            admission.CompletionCall
        )
        if call.path.startswith(services.PREFIX):
            kind = services.ServiceCall
        received = kind.read(
            call.environ, grant, setup, self._request_limits, call.request_id
        )
        call.renew = functools.partial(self._renew, call, received)
        request = received.request(grant, setup)
        self._in_progress.raise_if_too_late(request.deadline)
        return self._run(call, request, ticket)

    def _renew(
        self,
        call: 'Call',
        received: admission.CompletionCall | services.ServiceCall,
        request: types.Request,
    ) -> types.Request:
        """Return a request as it is under the setup that is now in force.

        Raises:
            errors.RefusedError: The setup no longer allows the request.
        """
        setup = self._setup_in_force()
        if setup.version == request.setup_version:
            return request
        grant = admission.authenticate(call.environ, setup)
        renewed = received.request(grant, setup)
        if renewed.account != request.account:
            raise admission.invalid_key()
        return renewed

    def _admit(self, call: 'Call', grant: compiled.Grant) -> limits.Ticket:
        call.account = grant.account.name
        ticket = self._account_limits.admit(
            limits.LimitedParty((grant.account.name, ''), grant.account.limits),
            limits.LimitedParty(
                (grant.account.name, grant.application.name),
                grant.application.limits,
            ),
        )
        call.on_close(ticket.close)
        ticket.hold(
            admission.declared_bytes(call.environ, self._request_limits)
        )
        return ticket

    def _run(
        self, call: 'Call', request: types.Request, ticket: limits.Ticket
    ) -> Iterator[bytes]:
        call.watch_caller()
        try:
            with call.task.in_phase(progress.Phase.WAITING):
                ticket.start(request.deadline)
        except progress.AbortedError as aborted:
            raise aborted.with_outcome(types.ExecutionStatus.NO) from aborted
        if request.claim is None:
            answer = self._dispatcher.run(request, call.task, call.renew)
            call.on_close(answer.chunks.close)
        else:
            answer = self._claims.run(
                request,
                functools.partial(self._run_claimed, call),
            )
            call.on_close(self._drain_in_background, answer.chunks)
        return call.relay(answer, request)

    def _run_claimed(
        self, call: 'Call', request: types.Request
    ) -> types.Answer:
        call.has_claim = True
        return self._dispatcher.run(request, call.task, call.renew)

    def _drain_in_background(self, chunks: relay.Relay) -> None:
        """Read the rest of an answer whose caller has disconnected.

        Its end gives the outcome of the non-idempotent request.
        """
        if not chunks.is_ended:
            self._in_progress.spawn(chunks.drain)

    def _send_outcome(
        self, call: 'Call', setup: compiled.CompiledSetup
    ) -> Iterator[bytes]:
        grant = admission.authenticate(call.environ, setup)
        ticket = self._admit(call, grant)
        ticket.start(clock.now() + self._request_limits.default_timeout_s)
        # The key may have been withdrawn during the wait.
        grant = admission.authenticate(call.environ, self._setup_in_force())
        key = call.path.removeprefix(OUTCOME_PREFIX)
        return call.send(self._claims.outcome(grant.account.name, key))


class Call:
    """One HTTP call and the resources that are released at its end.

    Args:
        environ: WSGI environment.
        start_response: See PEP 3333.
        in_progress: The requests in progress.

    Attributes:
        account: Account of the caller, empty until it is authenticated.
        error: The error that was reported to the caller, or None.
        has_claim: Whether this call holds the claim of its idempotency key.
        renew: Returns a request as it is under the setup now in force.
    """

    def __init__(
        self,
        environ: Environ,
        start_response: answers.StartResponse,
        in_progress: progress.RequestRegistry,
    ) -> None:
        self.environ = environ
        self.request_id = ids.new_id('req')
        self.path: str = environ['PATH_INFO']
        self.task = in_progress.start()
        self.account = ''
        self.error: errors.RequestError | None = None
        self.has_claim = False
        self.renew: dispatch.Renew = dispatch.keep
        self._start_response = start_response
        self._stack = contextlib.ExitStack()
        self._connection: connections.CallerConnection | None = environ.get(
            connections.ENVIRON_KEY
        )
        self.on_close(in_progress.end, self.task)

    def require(self, method: str) -> None:
        """Check the HTTP method.

        Raises:
            errors.RefusedError: The call has another method.
        """
        if self.environ['REQUEST_METHOD'] != method:
            raise answers.refusal(
                'method_not_allowed',
                f'This path accepts only {method}.',
                status=405,
            )

    def watch_caller(self) -> None:
        """Abort the request if its caller disconnects from now on."""
        if self._connection is not None:
            self._connection.watch(self.task.on_caller_gone)
            self.task.poll_caller = self._connection.poll
            self.on_close(self._connection.unwatch)

    def on_close(
        self, function: Callable[..., object], *arguments: object
    ) -> None:
        """Call a function when the call ends."""
        self._stack.callback(function, *arguments)

    def send(self, document: typing.Any) -> Iterator[bytes]:
        """Answer with a JSON document."""
        self._close_if_not_reusable()
        return self._body(
            answers.send_json(self._start_response, document, self.request_id)
        )

    def fail(self, error: errors.RequestError) -> Iterator[bytes]:
        """Answer with an error."""
        error = self._correct_for_repeats(error)
        self.error = error
        self._close_if_not_reusable()
        return self._body(
            answers.send_error(self._start_response, error, self.request_id)
        )

    def relay(
        self, answer: types.Answer, request: types.Request
    ) -> Iterator[bytes]:
        """Relay the answer of an upstream."""
        self._close_if_not_reusable()
        if request.stream:
            answers.start(self._start_response, answer.head, self.request_id)
            return relay.stream(
                answer.chunks, request, self.task, self._on_interrupted
            )
        body = b''.join(answer.chunks)
        answers.start(
            self._start_response, answer.head, self.request_id, len(body)
        )
        return self._body(body)

    def close(self) -> None:
        """Release all resources of the call."""
        self._stack.close()

    def _correct_for_repeats(
        self, error: errors.RequestError
    ) -> errors.RequestError:
        """Return the error as it holds for all calls with this idempotency key.

        A call that did not acquire its claim may repeat a request that was
        run, so its refusal must not say that the request was not run. A
        request with one of ``NEVER_RUN_STATUSES`` can never have been run.
        """
        if (
            self.has_claim
            or error.ran is not types.ExecutionStatus.NO
            or error.status in NEVER_RUN_STATUSES
            or 'HTTP_IDEMPOTENCY_KEY' not in self.environ
        ):
            return error
        return errors.RequestError(
            error.code,
            error.reason,
            status=error.status,
            ran=types.ExecutionStatus.UNKNOWN,
            retry_after_s=error.retry_after_s,
            step=error.step,
            peer=error.peer,
        )

    def _on_interrupted(self, error: errors.RequestError) -> bytes:
        """Record the error of an interrupted stream; return its last event."""
        self.error = error
        return answers.error_event(error, self.request_id)

    def _body(self, body: bytes) -> Iterator[bytes]:
        is_bodyless = self.environ['REQUEST_METHOD'] == 'HEAD'
        return iter(() if is_bodyless else (body,))

    def _close_if_not_reusable(self) -> None:
        """Close the connection after this answer if it cannot be reused.

        Unread bytes of the body would have to be read first, at the caller's
        speed. During a drain, the last answer must announce the close.
        """
        connection = self._connection
        if connection is None:
            return
        if connection.is_closing or limited_connection.has_unread_body(
            self.environ
        ):
            connection.close_after_answer()


class _Response:
    """Response to the WSGI server; closing it ends the call."""

    def __init__(self, chunks: Iterator[bytes], call: Call) -> None:
        self._chunks = chunks
        self._call = call

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """End the call; the WSGI server calls this once."""
        self._call.close()


def _is_upstream_path(path: str) -> bool:
    return path in admission.COMPLETION_PATHS or path.startswith(
        services.PREFIX
    )


def _internal_error() -> errors.RequestError:
    return errors.RequestError(
        'internal_error',
        'The entry failed with an internal error.',
        status=500,
        ran=types.ExecutionStatus.UNKNOWN,
    )


def _models(grant: compiled.Grant) -> dict[str, typing.Any]:
    granted = set(grant.application.grants)
    names = [
        f'{adapter.name}@{version.version}'
        for adapter in grant.account.adapters
        if adapter.name in granted
        for version in adapter.versions
    ]
    return {
        'object': 'list',
        'data': [{'id': name, 'object': 'model'} for name in sorted(names)],
    }
