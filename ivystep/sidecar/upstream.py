"""HTTP calls to the upstream beside this sidecar.

Each failure states whether the call can have been run: a call that found no
connection was not, any other failed call may have been.
"""

import functools
import json
import typing
from types import MappingProxyType

import urllib3

from ivystep.core import errors, types

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 60.0
HEALTH_TIMEOUT_S = 1.0
START_TIME_METRIC = 'process_start_time_seconds'
Response: typing.TypeAlias = urllib3.BaseHTTPResponse
TransportError = urllib3.exceptions.HTTPError
JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})


class UpstreamHttp:
    """The published HTTP interface of one upstream.

    Args:
        base_url: URL without a trailing slash.
        max_connections: Idle connections to keep.
    """

    def __init__(self, base_url: str, max_connections: int) -> None:
        self.base_url = base_url.rstrip('/')
        self._reused = urllib3.PoolManager(
            maxsize=max_connections, retries=False
        )

    def run(
        self, path: str, body: bytes, *, idempotent: bool, budget_s: float
    ) -> urllib3.BaseHTTPResponse:
        """Start a call and return its answer without reading the body.

        Args:
            path: HTTP path.
            body: JSON body.
            idempotent: False takes a new connection, so that a connection
                that the upstream has just closed cannot make the outcome
                unknown.
            budget_s: Longest wait for the next bytes, in seconds.

        Returns:
            The response; the caller must close or release it.

        Raises:
            errors.RequestError: The call failed; ``ran`` says how far it got.
        """
        headers = dict(JSON_HEADERS)
        pool = self._reused
        if not idempotent:
            pool = urllib3.PoolManager(maxsize=1, retries=False)
            headers['Connection'] = 'close'
        try:
            return pool.request(
                'POST',
                self.base_url + path,
                body=body,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=budget_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise _call_error(error, self.base_url) from error

    def incarnation(self) -> str:
        """Return the identity of the upstream's process.

        Returns:
            Its start time as published in its metrics.

        Raises:
            errors.UnavailableError: The upstream does not answer.
        """
        text = self._get('/metrics').decode(errors='replace')
        for line in text.splitlines():
            name, _, value = line.partition(' ')
            if name == START_TIME_METRIC:
                return value.strip()
        raise errors.UnavailableError(
            f'no metric {START_TIME_METRIC}',
            step='health',
            peer=self.base_url,
        )

    def resident(self) -> set[types.AdapterRef]:
        """Return the adapters that the engine holds.

        Raises:
            errors.UnavailableError: The engine does not answer.
        """
        models = json.loads(self._get('/v1/models'))['data']
        refs = set()
        for model in models:
            # The list also names the base model, which is not an adapter.
            if '@' in model['id']:
                refs.add(types.AdapterRef.from_lora_name(model['id']))
        return refs

    def load(
        self, ref: types.AdapterRef, source: str, fencing_token: int
    ) -> None:
        """Load an adapter.

        Raises:
            errors.PlatformError: The load failed; with
                ``UncertainWriteError`` it may still take effect.
        """
        self._order(
            '/v1/load_lora_adapter',
            {'lora_name': ref.lora_name, 'lora_path': source},
            fencing_token,
        )

    def unload(self, ref: types.AdapterRef, fencing_token: int) -> None:
        """Unload an adapter; one that is absent counts as unloaded.

        Raises:
            errors.PlatformError: As for ``load``.
        """
        self._order(
            '/v1/unload_lora_adapter',
            {'lora_name': ref.lora_name},
            fencing_token,
            accepted=(200, 404),
        )

    def _order(
        self,
        path: str,
        document: dict[str, str],
        fencing_token: int,
        accepted: tuple[int, ...] = (200,),
    ) -> None:
        try:
            response = self._reused.request(
                'POST',
                self.base_url + path,
                body=json.dumps(document).encode(),
                headers={
                    **JSON_HEADERS,
                    'X-Fencing-Token': str(fencing_token),
                },
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=LOAD_TIMEOUT_S
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.UncertainWriteError(
                str(error), step=path, peer=self.base_url
            ) from error
        if response.status not in accepted:
            raise errors.UnavailableError(
                f'status {response.status}', step=path, peer=self.base_url
            )

    def _get(self, path: str) -> bytes:
        try:
            response = self._reused.request(
                'GET', self.base_url + path, timeout=HEALTH_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.UnavailableError(
                str(error), step='health', peer=self.base_url
            ) from error
        if response.status != 200:
            raise errors.UnavailableError(
                f'status {response.status}', step='health', peer=self.base_url
            )
        return response.data


@functools.singledispatch
def _call_error(error: Exception, peer: str) -> errors.RequestError:
    """Turn a transport error into a request error with its certainty."""
    return errors.RequestError(
        'upstream_lost',
        'The upstream failed while running the request.',
        status=502,
        ran=types.Ran.UNKNOWN,
        engine_lost=True,
        step='run',
        peer=peer,
    )


@_call_error.register(urllib3.exceptions.NewConnectionError)
@_call_error.register(urllib3.exceptions.ConnectTimeoutError)
def _connect_error(error: Exception, peer: str) -> errors.RequestError:
    return errors.RequestError(
        'upstream_unavailable',
        'The upstream does not accept connections.',
        status=503,
        ran=types.Ran.NO,
        retry_after_s=1.0,
        step='run',
        peer=peer,
    )


@_call_error.register(urllib3.exceptions.ReadTimeoutError)
def _timeout_error(error: Exception, peer: str) -> errors.RequestError:
    return errors.RequestError(
        'deadline_exceeded',
        'The upstream did not answer before the deadline.',
        status=504,
        ran=types.Ran.UNKNOWN,
        step='run',
        peer=peer,
    )
