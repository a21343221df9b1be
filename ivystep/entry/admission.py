"""Turns an HTTP request into a checked ``Request``."""

import hashlib
import hmac
import json
import typing

import pydantic

from ivystep.core import errors, ids, types, units
from ivystep.runtime import clock
from ivystep.settings import models
from ivystep.setup import compiled

BEARER = 'Bearer '
COMPLETION_PATHS = frozenset({'/v1/completions', '/v1/chat/completions'})
SALT_PURPOSE = b'ivystep prefix cache'


class CompletionBody(pydantic.BaseModel):
    """The fields of a completion that ivystep reads; others pass through."""

    model_config = pydantic.ConfigDict(extra='allow', strict=True)

    model: str = pydantic.Field(max_length=128)
    stream: bool = False


def authenticate(
    environ: dict[str, typing.Any], setup: compiled.CompiledSetup
) -> compiled.Grant:
    """Return what the caller's bearer key stands for.

    Raises:
        errors.RefusedError: The key is missing or unknown.
    """
    header = environ.get('HTTP_AUTHORIZATION', '')
    grant = None
    if header.startswith(BEARER):
        grant = setup.grant(header.removeprefix(BEARER))
    if grant is None:
        raise errors.RefusedError(
            'invalid_key', 'The bearer key is not valid.', status=401
        )
    return grant


def read_body(
    environ: dict[str, typing.Any], limits: models.RequestLimits
) -> bytes:
    """Read a request body of bounded length.

    Raises:
        errors.RefusedError: The body is too long or was cut off.
    """
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not declared.isdigit():
        raise _bad_request('The content length is not a number.')
    if int(declared) > limits.max_body_bytes:
        raise _too_long(limits)
    body = environ['wsgi.input'].read(limits.max_body_bytes + 1)
    if len(body) > limits.max_body_bytes:
        raise _too_long(limits)
    if len(body) < int(declared):
        raise _bad_request('The body was cut off.')
    return body


def deadline(
    environ: dict[str, typing.Any], limits: models.RequestLimits
) -> float:
    """Return the deadline that the caller names, or the default.

    Raises:
        errors.RefusedError: The header is not a positive number.
    """
    raw = environ.get('HTTP_X_REQUEST_TIMEOUT_MS', '')
    timeout_s = limits.default_timeout_s
    if raw:
        if not raw.isdigit() or not int(raw):
            raise _bad_request('X-Request-Timeout-Ms is not a positive number.')
        timeout_s = min(int(raw) / units.MS_PER_S, limits.max_timeout_s)
    return clock.now() + timeout_s


def completion(
    environ: dict[str, typing.Any],
    setup: compiled.CompiledSetup,
    limits: models.RequestLimits,
    request_id: str,
) -> types.Request:
    """Build the request of a completion call.

    Args:
        environ: WSGI environment.
        setup: The setup that judges this request from start to end.
        limits: Bounds on body and deadline.
        request_id: Id of the request.

    Raises:
        errors.RefusedError: The call is not allowed or malformed.
    """
    grant = authenticate(environ, setup)
    arrived = clock.now()
    until = deadline(environ, limits)
    body = read_body(environ, limits)
    try:
        document = CompletionBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _bad_request(_first_problem(error)) from error
    resolved = setup.adapter(grant, document.model)
    if resolved is None:
        raise errors.RefusedError(
            'model_not_found',
            'The model does not exist or may not be called with this key.',
            status=404,
        )
    ref, adapter, source = resolved
    path = environ['PATH_INFO']
    content = document.model_dump()
    content['model'] = ref.lora_name
    content['cache_salt'] = _cache_salt(grant.account.name)
    return types.Request(
        request_id=request_id,
        account=grant.account.name,
        application=grant.application.name,
        pool=adapter.pool,
        adapter=ref,
        adapter_source=source,
        path=path,
        body=json.dumps(content).encode(),
        stream=document.stream,
        idempotent=(
            grant.application.idempotent
            and 'HTTP_IDEMPOTENCY_KEY' not in environ
        ),
        arrived=arrived,
        deadline=until,
        fingerprint=_fingerprint(ref, path, content),
        setup_version=setup.version,
    )


def _fingerprint(
    ref: types.AdapterRef, path: str, content: dict[str, typing.Any]
) -> bytes:
    canonical = json.dumps(content, sort_keys=True).encode()
    return ids.digest(ref.lora_name.encode(), path.encode(), canonical)


def _cache_salt(account: str) -> str:
    return hmac.new(SALT_PURPOSE, account.encode(), hashlib.sha256).hexdigest()


def _first_problem(error: pydantic.ValidationError) -> str:
    problem = error.errors(include_input=False, include_url=False)[0]
    place = '.'.join(str(part) for part in problem['loc'])
    return f'The body is invalid: {place} {problem["msg"]}.'


def _bad_request(reason: str) -> errors.RefusedError:
    return errors.RefusedError('invalid_request', reason, status=400)


def _too_long(limits: models.RequestLimits) -> errors.RefusedError:
    return errors.RefusedError(
        'body_too_long',
        f'The body is longer than {limits.max_body_bytes} bytes.',
        status=413,
    )
