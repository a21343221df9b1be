"""Builds a validated ``Request`` from a call of a plain service."""

import dataclasses
import json
import re
import typing

from ivystep.core import ids, types
from ivystep.entry import admission, answers
from ivystep.runtime import clock
from ivystep.settings import models
from ivystep.setup import compiled, document

PREFIX = '/v1/services/'
# Path segments with only one spelling: no percent-encoding, and neither empty
# nor "." nor "..". Otherwise a caller could reach a path that is marked as
# non-idempotent under a spelling that is not marked.
SEGMENT = r'(?!\.{1,2}(?:/|$))[A-Za-z0-9._~-]+'
SERVICE_PATH = re.compile(f'([^/]+)((?:/{SEGMENT})+)')
QUERY = re.compile(r'[A-Za-z0-9._~%=&+,:@/-]*')


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service as it was received.

    Attributes:
        service: Name of the service.
        path: Path on the service.
        target: The path with the query.
        key: The caller's idempotency key, empty if there is none.
        arrived: Time of arrival.
        deadline: Time by which the answer must be complete.
    """

    request_id: str
    service: str
    path: str
    target: str
    key: str
    body: bytes
    arrived: float
    deadline: float

    @classmethod
    def read(
        cls,
        environ: admission.Environ,
        grant: compiled.Grant,
        setup: compiled.CompiledSetup,
        limits: models.RequestLimits,
        request_id: str,
    ) -> typing.Self:
        """Read a call.

        Args:
            environ: WSGI environment.
            grant: Account and application that the caller's key belongs to.
            setup: The setup in force.
            limits: Limits of the body size and the deadline.
            request_id: Id of the request.

        Raises:
            errors.RefusedError: The call is malformed or not allowed.
        """
        arrived = clock.now()
        deadline = admission.deadline(environ, limits)
        name, path = _parse_path(environ)
        key = admission.idempotency_key(environ)
        _check(grant, setup, name, path, key)
        query = environ.get('QUERY_STRING', '')
        if not QUERY.fullmatch(query):
            raise admission.bad_request('The query is malformed.')
        return cls(
            request_id=request_id,
            service=name,
            path=path,
            target=f'{path}?{query}' if query else path,
            key=key,
            body=_json_body(environ, limits),
            arrived=arrived,
            deadline=deadline,
        )

    def request(
        self, grant: compiled.Grant, setup: compiled.CompiledSetup
    ) -> types.Request:
        """Return the request that the call is under a setup.

        Args:
            grant: Account and application that the caller's key belongs to.
            setup: The setup.

        Raises:
            errors.RefusedError: The setup does not allow the call.
        """
        service = _check(grant, setup, self.service, self.path, self.key)
        identity = (service.name.encode(), self.target.encode(), self.body)
        return types.Request(
            request_id=self.request_id,
            account=grant.account.name,
            application=grant.application.name,
            pool=service.pool,
            adapter=None,
            adapter_source='',
            path=self.target,
            body=self.body,
            stream=False,
            idempotent=not self.key,
            arrived=self.arrived,
            deadline=self.deadline,
            fingerprint=ids.digest(grant.account.name.encode(), *identity),
            setup_version=setup.version,
            claim=admission.claim_key(self.key, *identity),
        )


def _parse_path(environ: admission.Environ) -> tuple[str, str]:
    """Return the name of the service and the path on it."""
    match = SERVICE_PATH.fullmatch(
        environ['RAW_PATH_INFO'].removeprefix(PREFIX)
    )
    if match is None:
        raise admission.bad_request(
            'The path of the service call is malformed.'
        )
    name, path = match.groups()
    return name, path


def _check(
    grant: compiled.Grant,
    setup: compiled.CompiledSetup,
    name: str,
    path: str,
    key: str,
) -> document.Service:
    """Return the service if a setup allows the call."""
    service = setup.service_by_name.get(name)
    if service is None or name not in grant.application.services:
        raise answers.refusal(
            'service_not_found',
            'The service does not exist or may not be called with this key.',
            status=404,
        )
    admission.require_key(
        key, is_required=not _is_idempotent(grant, service, path)
    )
    return service


def _is_idempotent(
    grant: compiled.Grant, service: document.Service, path: str
) -> bool:
    non_idempotent = {
        f'/{marked.strip("/")}'.lower()
        for marked in service.non_idempotent_paths
    }
    return grant.application.idempotent and path.lower() not in non_idempotent


def _json_body(
    environ: admission.Environ, limits: models.RequestLimits
) -> bytes:
    """Check that the body is JSON and return it as it was sent.

    Raises:
        errors.RefusedError: The body is not JSON.
    """
    body = admission.read_body(environ, limits)
    try:
        json.loads(body)
    except (ValueError, RecursionError) as error:
        raise admission.bad_request('The body is not JSON.') from error
    return body
