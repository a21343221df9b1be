"""Builds a validated ``Request`` from an HTTP request."""

import dataclasses
import hashlib
import hmac
import json
import re
import typing

import eventlet
import pydantic

from ivystep.core import errors, ids, types, units
from ivystep.entry import answers
from ivystep.runtime import clock
from ivystep.settings import models
from ivystep.setup import compiled

Environ = dict[str, typing.Any]
BEARER = 'bearer '
COMPLETION_PATHS = frozenset({'/v1/completions', '/v1/chat/completions'})
SALT_PURPOSE = b'ivystep prefix cache'
# ASCII digits only: str.isdigit also accepts characters that int refuses.
POSITIVE_NUMBER = re.compile(r'0*[1-9][0-9]{0,11}')
# Fields that the entry sets itself; the caller's values are replaced.
SET_BY_ENTRY = frozenset(('model', 'cache_salt'))
IDEMPOTENCY_KEY = re.compile(r'[!-~]{1,255}')


class CompletionBody(pydantic.BaseModel):
    """Body of a completion; fields that ivystep does not use are kept."""

    model_config = pydantic.ConfigDict(extra='allow', strict=True)

    model: str = pydantic.Field(max_length=128)
    stream: bool = False


def authenticate(
    environ: Environ, setup: compiled.CompiledSetup
) -> compiled.Grant:
    """Return the grant of the caller's bearer key.

    Raises:
        errors.RefusedError: The key is missing or unknown.
    """
    header = environ.get('HTTP_AUTHORIZATION', '')
    grant = None
    if header[: len(BEARER)].lower() == BEARER:
        grant = setup.grant(header[len(BEARER) :].strip())
    if grant is None:
        raise invalid_key()
    return grant


def invalid_key() -> errors.RefusedError:
    """Return the error of a call whose bearer key is missing or unknown."""
    return answers.refusal(
        'invalid_key', 'The bearer key is not valid.', status=401
    )


def declared_bytes(environ: Environ, limits: models.RequestLimits) -> int:
    """Return an upper bound of a body's size in bytes, before it is read.

    Raises:
        errors.RefusedError: The declared length is above the limit.
    """
    if environ.get('HTTP_TRANSFER_ENCODING'):
        return limits.max_body_bytes
    declared = int(environ.get('CONTENT_LENGTH') or 0)
    if declared > limits.max_body_bytes:
        raise _too_long(limits)
    return declared


def read_body(environ: Environ, limits: models.RequestLimits) -> bytes:
    """Read a request body within the limits on length and time.

    Raises:
        errors.RefusedError: The body is too long, incomplete, malformed or
            did not arrive in time.
    """
    declared = declared_bytes(environ, limits)
    try:
        with eventlet.Timeout(limits.read_timeout_s, TimeoutError):
            body = environ['wsgi.input'].read(limits.max_body_bytes + 1)
    except TimeoutError as error:
        raise answers.refusal(
            'request_timeout', 'The body did not arrive in time.', status=408
        ) from error
    except (OSError, ValueError) as error:
        raise bad_request('The body is incomplete or malformed.') from error
    if len(body) > limits.max_body_bytes:
        raise _too_long(limits)
    if 'CONTENT_LENGTH' in environ and len(body) < declared:
        raise bad_request('The body is shorter than Content-Length.')
    return body


def deadline(environ: Environ, limits: models.RequestLimits) -> float:
    """Return the deadline of a request, from its time-out or the default.

    Raises:
        errors.RefusedError: The time-out is not a positive integer.
    """
    raw = environ.get('HTTP_X_REQUEST_TIMEOUT_MS')
    timeout_s = limits.default_timeout_s
    if raw is not None:
        if not POSITIVE_NUMBER.fullmatch(raw):
            raise bad_request(
                'X-Request-Timeout-Ms must be a positive integer of at most '
                '12 digits.'
            )
        timeout_s = min(int(raw) / units.MS_PER_S, limits.max_timeout_s)
    return clock.now() + timeout_s


def idempotency_key(environ: Environ) -> str:
    """Return the caller's idempotency key, empty if there is none.

    Raises:
        errors.RefusedError: The key is malformed.
    """
    key = environ.get('HTTP_IDEMPOTENCY_KEY')
    if key is None:
        return ''
    if not IDEMPOTENCY_KEY.fullmatch(key):
        raise answers.refusal(
            'invalid_idempotency_key',
            'Idempotency-Key must be 1 to 255 visible ASCII characters.',
            status=400,
        )
    return key


def require_key(key: str, *, is_required: bool) -> None:
    """Check that a non-idempotent request has an idempotency key.

    Args:
        key: Idempotency key of the caller, or ''.
        is_required: Whether the setup marks the request as non-idempotent.

    Raises:
        errors.RefusedError: The key is missing though required.
    """
    if is_required and not key:
        raise answers.refusal(
            'idempotency_key_required',
            'This request must run at most once: send Idempotency-Key.',
            status=400,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionCall:
    """A completion call as it was received.

    Attributes:
        key: The caller's idempotency key, empty if there is none.
        arrived: Time of arrival.
        deadline: Time by which the answer must be complete.
    """

    request_id: str
    path: str
    key: str
    document: CompletionBody
    arrived: float
    deadline: float

    @classmethod
    def read(
        cls,
        environ: Environ,
        grant: compiled.Grant,
        setup: compiled.CompiledSetup,
        limits: models.RequestLimits,
        request_id: str,
    ) -> typing.Self:
        """Read a call.

        Args:
            environ: WSGI environment.
            grant: Account and application of the caller.
            setup: The setup in force.
            limits: Limits on body and deadline.
            request_id: Id of the request.

        Raises:
            errors.RefusedError: The call is malformed.
        """
        arrived = clock.now()
        expires_at = deadline(environ, limits)
        key = idempotency_key(environ)
        require_key(key, is_required=not grant.application.idempotent)
        return cls(
            request_id=request_id,
            path=environ['PATH_INFO'],
            key=key,
            document=_parse(read_body(environ, limits)),
            arrived=arrived,
            deadline=expires_at,
        )

    def request(
        self, grant: compiled.Grant, setup: compiled.CompiledSetup
    ) -> types.Request:
        """Return the request that the call is under a setup.

        Args:
            grant: Account and application of the caller.
            setup: The setup.

        Raises:
            errors.RefusedError: The setup does not allow the call.
        """
        require_key(self.key, is_required=not grant.application.idempotent)
        resolved = setup.adapter(grant, self.document.model)
        if resolved is None:
            raise answers.refusal(
                'model_not_found',
                'The model does not exist or may not be called with this key.',
                status=404,
            )
        ref, adapter, source = resolved
        path = self.path.encode()
        content = self.document.model_dump(exclude=SET_BY_ENTRY)
        canonical = _json(content, sort_keys=True)
        # The claim is on the model as the caller named it, not as resolved: a
        # repeat must match its claim after another version has become active.
        claim = claim_key(
            self.key, path, self.document.model.encode(), canonical
        )
        content['model'] = ref.lora_name
        content['cache_salt'] = _cache_salt(grant.account.name)
        return types.Request(
            request_id=self.request_id,
            account=grant.account.name,
            application=grant.application.name,
            pool=adapter.pool,
            adapter=ref,
            adapter_source=source,
            path=self.path,
            body=_json(content),
            stream=self.document.stream,
            idempotent=claim is None,
            arrived=self.arrived,
            deadline=self.deadline,
            fingerprint=ids.digest(ref.lora_name.encode(), path, canonical),
            setup_version=setup.version,
            claim=claim,
        )


def _parse(body: bytes) -> CompletionBody:
    try:
        return CompletionBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise bad_request(_first_problem(error)) from error


def _json(content: dict[str, typing.Any], *, sort_keys: bool = False) -> bytes:
    """Return a body as JSON.

    Bodies for an upstream keep the caller's order of keys, which can matter
    to prompt templates; digests use sorted keys.

    Raises:
        errors.RefusedError: A number cannot be represented in JSON, such as
            1e999, or the nesting is too deep.
    """
    try:
        text = json.dumps(content, sort_keys=sort_keys, allow_nan=False)
    except (ValueError, RecursionError) as error:
        raise bad_request(
            'The body has a number out of range or is nested too deeply.'
        ) from error
    return text.encode()


def claim_key(key: str, *parts: bytes) -> types.ClaimKey | None:
    """Return the key of a request's claim, None without idempotency key.

    Args:
        key: Idempotency key of the caller, or ''.
        parts: Fields that identify the content of the request.
    """
    return types.ClaimKey(key, ids.digest(*parts)) if key else None


def _cache_salt(account: str) -> str:
    return hmac.new(SALT_PURPOSE, account.encode(), hashlib.sha256).hexdigest()


def _first_problem(error: pydantic.ValidationError) -> str:
    problem = error.errors(include_input=False, include_url=False)[0]
    location = '.'.join(str(part) for part in problem['loc'])
    return f'The body is invalid: {location} {problem["msg"]}.'


def bad_request(reason: str) -> errors.RefusedError:
    """Return the error of a malformed request."""
    return answers.refusal('invalid_request', reason, status=400)


def _too_long(limits: models.RequestLimits) -> errors.RefusedError:
    return answers.refusal(
        'body_too_long',
        f'The body is longer than {limits.max_body_bytes} bytes.',
        status=413,
    )
