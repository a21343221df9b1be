"""Builds answers to callers: status lines, headers and error bodies."""

import http
import json
import math
import typing
from collections.abc import Callable

from ivystep.core import errors, types, units

StartResponse = Callable[..., typing.Any]
Headers = list[tuple[str, str]]
JSON_TYPE = 'application/json'
# Sent to a caller that disconnected, as nginx does; not in HTTPStatus.
CLIENT_CLOSED_STATUS = 499


def error_document(
    error: errors.RequestError, request_id: str
) -> dict[str, typing.Any]:
    """Return the body of an error answer.

    Args:
        error: The error to report.
        request_id: Id of the request.
    """
    document: dict[str, typing.Any] = {
        'code': error.code,
        'message': error.reason,
        'ran': error.ran.value,
        'request_id': request_id,
    }
    if error.retry_after_s is not None:
        document['retry_after_ms'] = math.ceil(
            error.retry_after_s * units.MS_PER_S
        )
    return {'error': document}


def error_answer(
    error: errors.RequestError, request_id: str
) -> tuple[Headers, bytes]:
    """Return headers and body of an error answer.

    Args:
        error: The error to report.
        request_id: Id of the request.
    """
    body = json.dumps(error_document(error, request_id)).encode()
    headers = _headers(JSON_TYPE, request_id, len(body))
    if error.retry_after_s is not None:
        headers.append(('Retry-After', str(math.ceil(error.retry_after_s))))
    return headers, body


def send_error(
    start_response: StartResponse, error: errors.RequestError, request_id: str
) -> bytes:
    """Start an error answer and return its body."""
    headers, body = error_answer(error, request_id)
    start_response(status_line(error.status), headers)
    return body


def send_json(
    start_response: StartResponse, document: typing.Any, request_id: str
) -> bytes:
    """Start a JSON answer with status 200 and return its body."""
    body = json.dumps(document).encode()
    start_response(
        status_line(http.HTTPStatus.OK),
        _headers(JSON_TYPE, request_id, len(body)),
    )
    return body


def start(
    start_response: StartResponse,
    head: types.AnswerHead,
    request_id: str,
    length: int | None = None,
) -> None:
    """Start the answer that an upstream has given.

    Args:
        start_response: See PEP 3333.
        head: Status and content type.
        request_id: Id of the request.
        length: Length of the body in bytes; None if it is streamed.
    """
    headers = _headers(head.content_type, request_id, length)
    start_response(status_line(head.status), headers)


def error_event(error: errors.RequestError, request_id: str) -> bytes:
    """Return the server-sent event that ends an interrupted stream.

    The leading blank line ends an event that was sent only in part.
    """
    body = json.dumps(error_document(error, request_id))
    return f'\n\ndata: {body}\n\n'.encode()


def status_line(status: int) -> str:
    """Return status code and phrase."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Error'
    return f'{int(status)} {phrase}'


def _headers(content_type: str, request_id: str, length: int | None) -> Headers:
    headers = [('Content-Type', content_type), ('X-Request-Id', request_id)]
    if length is not None:
        headers.append(('Content-Length', str(length)))
    return headers


def refusal(
    code: str,
    reason: str,
    status: int,
    retry_after_s: float | None = None,
) -> errors.RefusedError:
    """Return the error of a request that is refused before it runs."""
    return errors.RefusedError(
        code, reason, status=status, retry_after_s=retry_after_s, step='admit'
    )
