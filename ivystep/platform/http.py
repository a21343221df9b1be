"""Shared HTTP calls to the platform services."""

import json
import typing

import urllib3

from ivystep.core import errors

MAX_RESPONSE_BYTES = 67108864


class PlatformHttp:
    """JSON and byte calls to one platform service.

    Args:
        name: Name of the service for errors.
        base_url: URL without a trailing slash.
        timeout_s: Longest wait for one call, in seconds.
    """

    def __init__(self, name: str, base_url: str, timeout_s: float) -> None:
        self.name = name
        self._base_url = base_url.rstrip('/')
        self._pool = urllib3.PoolManager(
            maxsize=8,
            timeout=urllib3.Timeout(total=timeout_s),
            retries=False,
        )

    def get(self, path: str) -> bytes | None:
        """Read a resource.

        Args:
            path: Path with query, starting with a slash.

        Returns:
            The body, or None if the resource does not exist.

        Raises:
            errors.UnavailableError: The service gave no usable answer.
        """
        try:
            response = self._pool.request(
                'GET', self._base_url + path, preload_content=False
            )
            body = _read(response)
        except urllib3.exceptions.HTTPError as error:
            raise errors.UnavailableError(
                str(error), step='get', peer=self.name
            ) from error
        if response.status == 404:
            return None
        if response.status != 200:
            raise errors.UnavailableError(
                f'status {response.status}', step='get', peer=self.name
            )
        return body

    def send(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a body.

        Args:
            method: HTTP method.
            path: Path starting with a slash.
            body: Bytes to send.

        Returns:
            HTTP status and body of an answer with a status below 500.

        Raises:
            errors.UnavailableError: No connection could be opened, or the
                service answered 503; nothing was applied.
            errors.UncertainWriteError: The request may have been applied.
        """
        try:
            response = self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers={'Content-Type': 'application/json'},
                preload_content=False,
            )
            content = _read(response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise errors.UnavailableError(
                str(error), step='send', peer=self.name
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise errors.UncertainWriteError(
                str(error), step='send', peer=self.name
            ) from error
        if response.status == 503:
            raise errors.UnavailableError(
                'status 503', step='send', peer=self.name
            )
        if response.status >= 500:
            raise errors.UncertainWriteError(
                f'status {response.status}', step='send', peer=self.name
            )
        return response.status, content

    def parse(self, body: bytes) -> typing.Any:
        """Parse a JSON answer.

        Raises:
            errors.UnavailableError: The answer is not JSON.
        """
        try:
            return json.loads(body)
        except (ValueError, RecursionError) as error:
            raise errors.UnavailableError(
                'answer is not JSON', step='parse', peer=self.name
            ) from error


def _read(response: urllib3.BaseHTTPResponse) -> bytes:
    body = response.read(MAX_RESPONSE_BYTES + 1)
    if len(body) > MAX_RESPONSE_BYTES:
        response.close()
        raise urllib3.exceptions.HTTPError(
            f'answer is longer than {MAX_RESPONSE_BYTES} bytes'
        )
    response.release_conn()
    return body
