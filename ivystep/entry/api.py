"""The callers' HTTP interface as a WSGI application."""

import http
import json
import math
import typing
from collections.abc import Callable, Iterable, Iterator

from ivystep.core import errors, ids, types, units
from ivystep.entry import admission, dispatch, pool
from ivystep.runtime import logs
from ivystep.settings import models
from ivystep.setup import compiled

Environ = dict[str, typing.Any]
StartResponse = Callable[..., typing.Any]
JSON_TYPE = 'application/json'

log = logs.get('entry')


class CallerApi:
    """Serves callers.

    Args:
        current_setup: Returns the setup in force, None before the first read.
        pool_by_name: Pools of this entry.
        limits: Bounds on requests.
    """

    def __init__(
        self,
        current_setup: Callable[[], compiled.CompiledSetup | None],
        pool_by_name: dict[str, pool.Pool],
        limits: models.RequestLimits,
    ) -> None:
        self.in_progress = 0
        self._current_setup = current_setup
        self._pool_by_name = pool_by_name
        self._limits = limits

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request; see PEP 3333."""
        request_id = ids.new_id('req')
        self.in_progress += 1
        try:
            chunks = self._route(environ, start_response, request_id)
        except errors.RequestError as error:
            log.info('Request %s ends: %s.', request_id, error)
            chunks = iter((_send_error(start_response, error, request_id),))
        except BaseException:
            self.in_progress -= 1
            raise
        return _Counted(chunks, self)

    def _route(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> Iterator[bytes]:
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        setup = self._current_setup()
        if setup is None:
            raise errors.RefusedError(
                'no_setup',
                'This entry has not read the setup yet.',
                status=503,
                retry_after_s=1.0,
            )
        if method == 'POST' and path in admission.COMPLETION_PATHS:
            request = admission.completion(
                environ, setup, self._limits, request_id
            )
            return self._run(request, start_response)
        if method == 'GET' and path == '/v1/models':
            body = _models(admission.authenticate(environ, setup))
            return iter((_send(start_response, 200, body, request_id),))
        raise errors.RefusedError(
            'no_such_path', f'There is no {method} {path}.', status=404
        )

    def _run(
        self, request: types.Request, start_response: StartResponse
    ) -> Iterator[bytes]:
        answer = dispatch.dispatch(request, self._pool_by_name[request.pool])
        if request.stream:
            _start(start_response, answer.head, request.request_id)
            return _stream(answer, request)
        body = b''.join(answer.chunks)
        _start(start_response, answer.head, request.request_id, len(body))
        return iter((body,))


class _Counted:
    """Response chunks that keep count of requests in progress."""

    def __init__(self, chunks: Iterator[bytes], api: CallerApi) -> None:
        self._chunks = chunks
        self._api = api

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """End the request; the WSGI server calls this once."""
        self._api.in_progress -= 1
        close = getattr(self._chunks, 'close', None)
        if close is not None:
            close()


def _stream(answer: types.Answer, request: types.Request) -> Iterator[bytes]:
    try:
        yield from answer.chunks
    except errors.RequestError as error:
        log.warning('Request %s was cut off: %s.', request.request_id, error)
        body = json.dumps(error_document(error, request.request_id))
        yield f'data: {body}\n\n'.encode()


def error_document(
    error: errors.RequestError, request_id: str
) -> dict[str, typing.Any]:
    """Return the body of an error answer."""
    document: dict[str, typing.Any] = {
        'code': error.code,
        'message': error.reason,
        'ran': error.ran.value,
        'request_id': request_id,
    }
    if error.retry_after_s is not None:
        document['retry_after_ms'] = int(error.retry_after_s * units.MS_PER_S)
    return {'error': document}


def _send_error(
    start_response: StartResponse, error: errors.RequestError, request_id: str
) -> bytes:
    headers = []
    if error.retry_after_s is not None:
        headers.append(('Retry-After', str(math.ceil(error.retry_after_s))))
    document = error_document(error, request_id)
    return _send(start_response, error.status, document, request_id, headers)


def _send(
    start_response: StartResponse,
    status: int,
    document: typing.Any,
    request_id: str,
    headers: Iterable[tuple[str, str]] = (),
) -> bytes:
    body = json.dumps(document).encode()
    start_response(
        _status_line(status),
        [
            ('Content-Type', JSON_TYPE),
            ('Content-Length', str(len(body))),
            ('X-Request-Id', request_id),
            *headers,
        ],
    )
    return body


def _start(
    start_response: StartResponse,
    head: types.AnswerHead,
    request_id: str,
    length: int | None = None,
) -> None:
    headers = [
        ('Content-Type', head.content_type),
        ('X-Request-Id', request_id),
    ]
    if length is not None:
        headers.append(('Content-Length', str(length)))
    start_response(_status_line(head.status), headers)


def _status_line(status: int) -> str:
    return f'{status} {http.HTTPStatus(status).phrase}'


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
