"""Makes HTTP calls to the platform services."""

import dataclasses
import json
import typing
from collections.abc import Callable, Mapping

import urllib3

from ivystep.core import errors, units
from ivystep.platform import bounded_answers

MAX_ANSWER_BYTES = 67108864
PART_BYTES = units.MIB
NO_ANSWER = 'no answer'
# Added to the time of a whole call, so that a connection that can't be opened
# fails by its own time-out, after which nothing was applied.
DEADLINE_MARGIN_S = 0.1

OnCall = Callable[[str, str], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a platform service.

    Attributes:
        headers: Headers, whose names are compared without their case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


class PlatformHttp:
    """JSON and byte calls to one platform service.

    Args:
        name: Name of the service in error messages.
        base_url: URL without a trailing slash.
        timeout_s: Longest wait for one call, in seconds.
        on_call: Called with the method of each call and its status, or
            ``NO_ANSWER``.
    """

    def __init__(
        self,
        name: str,
        base_url: str,
        timeout_s: float,
        on_call: OnCall | None = None,
    ) -> None:
        self.name = name
        self._on_call = on_call or _ignore_call
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._pool = bounded_answers.pool_manager(
            MAX_ANSWER_BYTES,
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
            errors.UnavailableError: The service gave no valid answer, or a
                status other than 200 and 404.
        """
        answer = self.read(path)
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise errors.UnavailableError(
                f'status {answer.status}', step='get', peer=self.name
            )
        return answer.body

    def read(self, path: str, wait_s: float = 0.0) -> Answer:
        """Read a resource and return the answer, whatever its status is.

        Args:
            path: Path with query, starting with a slash.
            wait_s: Seconds for which the service may delay its answer (long
                polling).

        Raises:
            errors.UnavailableError: The service gave no valid answer.
        """
        try:
            answer = self._call('GET', path, self._timeout_s + wait_s)
        except urllib3.exceptions.HTTPError as error:
            self._on_call('GET', NO_ANSWER)
            raise errors.UnavailableError(
                str(error), step='get', peer=self.name
            ) from error
        self._on_call('GET', str(answer.status))
        return answer

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        content_type: str = 'application/json',
    ) -> Answer:
        """Send a body.

        Args:
            method: HTTP method.
            path: Path starting with a slash.
            body: Bytes to send.
            content_type: Media type of the body.

        Returns:
            The answer; its status is always below 500.

        Raises:
            errors.UnavailableError: No connection could be opened, or the
                service answered 503; nothing was applied.
            errors.UncertainWriteError: The write may have been applied.
        """
        try:
            answer = self._call(
                method,
                path,
                self._timeout_s,
                body=body,
                headers={'Content-Type': content_type},
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            self._on_call(method, NO_ANSWER)
            raise errors.UnavailableError(
                str(error), step='send', peer=self.name
            ) from error
        except urllib3.exceptions.HTTPError as error:
            self._on_call(method, NO_ANSWER)
            raise errors.UncertainWriteError(
                str(error), step='send', peer=self.name
            ) from error
        self._on_call(method, str(answer.status))
        if answer.status == 503:
            raise errors.UnavailableError(
                'status 503', step='send', peer=self.name
            )
        if answer.status >= 500:
            raise errors.UncertainWriteError(
                f'status {answer.status}', step='send', peer=self.name
            )
        return answer

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

    def _call(
        self, method: str, path: str, timeout_s: float, **options: typing.Any
    ) -> Answer:
        with bounded_answers.deadline(timeout_s + DEADLINE_MARGIN_S):
            response = self._pool.request(
                method,
                self._base_url + path,
                preload_content=False,
                timeout=urllib3.Timeout(total=timeout_s),
                **options,
            )
            return Answer(response.status, _read(response), response.headers)


def _ignore_call(method: str, outcome: str) -> None:
    """Ignore a call."""


def _read(response: urllib3.BaseHTTPResponse) -> bytes:
    body = bytearray()
    # One read of a long answer would copy all of it at once, several times.
    while part := response.read(PART_BYTES):
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            response.close()
            raise urllib3.exceptions.HTTPError(
                f'answer is longer than {MAX_ANSWER_BYTES} bytes'
            )
    response.release_conn()
    return bytes(body)
