"""Reads and writes the object store, addressed by SHA-256 digest."""

import hashlib
import typing

from ivystep.core import errors
from ivystep.platform import http

READ_PATH = '/ivystep/blob-get/'
WRITE_PATH = '/ivystep/blob-put/'
CONTENT_TYPE = 'application/octet-stream'


class Objects(typing.Protocol):
    """Interface of the object store."""

    def get(self, digest: str) -> bytes:
        """Read an object and check its digest.

        Raises:
            errors.UnavailableError: The object is missing, corrupt or cannot
                be read.
        """

    def put(self, body: bytes) -> str:
        """Store an object and return its digest. The call is idempotent.

        Raises:
            errors.PlatformError: The object may not have been stored.
        """


class ObjectsClient:
    """``Objects`` over HTTP."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._http = http.PlatformHttp('object store', base_url, timeout_s)

    def get(self, digest: str) -> bytes:
        """Read an object; see ``Objects.get``."""
        body = self._http.get(f'{READ_PATH}{digest}')
        if body is None or digest_of(body) != digest:
            raise errors.UnavailableError(
                f'object {digest} is missing or damaged',
                step='get',
                peer=self._http.name,
            )
        return body

    def put(self, body: bytes) -> str:
        """Store an object; see ``Objects.put``."""
        digest = digest_of(body)
        answer = self._http.send(
            'PUT', f'{WRITE_PATH}{digest}', body, CONTENT_TYPE
        )
        if answer.status not in {200, 201}:
            raise errors.UnavailableError(
                f'status {answer.status}', step='put', peer=self._http.name
            )
        return digest


def digest_of(body: bytes) -> str:
    """Return the SHA-256 digest of an object in hexadecimal."""
    return hashlib.sha256(body).hexdigest()
