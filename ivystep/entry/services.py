"""Turns a call of a plain service into a checked ``Request``."""

import json
import re

from ivystep.core import ids, types
from ivystep.entry import admission, answers
from ivystep.runtime import clock
from ivystep.settings import models
from ivystep.setup import compiled, document

PREFIX = '/v1/services/'
# Segments that cannot be read in two ways: without percent signs, empty
# segments or dots that climb. Otherwise the upstream might run a path marked
# non-idempotent under a spelling that is not marked.
SEGMENT = r'(?!\.{1,2}(?:/|$))[A-Za-z0-9._~-]+'
SERVICE_PATH = re.compile(f'([^/]+)((?:/{SEGMENT})+)')
QUERY = re.compile(r'[A-Za-z0-9._~%=&+,:@/-]*')


def service_call(
    environ: admission.Environ,
    grant: compiled.Grant,
    setup: compiled.CompiledSetup,
    limits: models.RequestLimits,
    request_id: str,
) -> types.Request:
    """Build the request of a call to a plain service.

    Args:
        environ: WSGI environment.
        grant: What the caller's key stands for.
        setup: The setup that judges this request from start to end.
        limits: Bounds on body and deadline.
        request_id: Id of the request.

    Raises:
        errors.RefusedError: The call is not allowed or malformed.
    """
    arrived = clock.now()
    until = admission.deadline(environ, limits)
    service, path = _target(environ, grant, setup)
    key = admission.idempotency_key(
        environ, is_required=not _is_idempotent(grant, service, path)
    )
    query = environ.get('QUERY_STRING', '')
    if not QUERY.fullmatch(query):
        raise admission.bad_request('The query is malformed.')
    target = f'{path}?{query}' if query else path
    body = _json_body(environ, limits)
    identity = (service.name.encode(), target.encode(), body)
    return types.Request(
        request_id=request_id,
        account=grant.account.name,
        application=grant.application.name,
        pool=service.pool,
        adapter=None,
        adapter_source='',
        path=target,
        body=body,
        stream=False,
        idempotent=not key,
        arrived=arrived,
        deadline=until,
        fingerprint=ids.digest(*identity),
        setup_version=setup.version,
        claim=admission.claim_key(key, *identity),
    )


def _target(
    environ: admission.Environ,
    grant: compiled.Grant,
    setup: compiled.CompiledSetup,
) -> tuple[document.Service, str]:
    found = SERVICE_PATH.fullmatch(
        environ['RAW_PATH_INFO'].removeprefix(PREFIX)
    )
    if found is None:
        raise admission.bad_request('The path of the service is malformed.')
    name, path = found.groups()
    service = setup.service_by_name.get(name)
    if service is None or name not in grant.application.services:
        raise answers.refusal(
            'service_not_found',
            'The service does not exist or may not be called with this key.',
            status=404,
        )
    return service, path


def _is_idempotent(
    grant: compiled.Grant, service: document.Service, path: str
) -> bool:
    marked = {
        f'/{marked.strip("/")}'.lower()
        for marked in service.non_idempotent_paths
    }
    return grant.application.idempotent and path.lower() not in marked


def _json_body(
    environ: admission.Environ, limits: models.RequestLimits
) -> bytes:
    """Return a well-formed JSON body as it was sent.

    Raises:
        errors.RefusedError: The body is not JSON.
    """
    body = admission.read_body(environ, limits)
    try:
        json.loads(body)
    except (ValueError, RecursionError) as error:
        raise admission.bad_request('The body is not JSON.') from error
    return body
