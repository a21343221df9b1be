"""HTTP clients for the upstream of this sidecar.

Each call opens a connection of its own. Answers of an upstream do not name
their call, so one that comes late or twice on a kept connection would be taken
for the answer to the next call, which may be that of another account.

Each error states whether the upstream can have run the call: it has not if no
connection was established, and may have after any other error.
"""

import dataclasses
import functools
import json
import sys
import typing
from types import MappingProxyType

import urllib3

from ivystep.core import errors, types, units
from ivystep.platform import bounded_answers, decoding
from ivystep.runtime import sockets
from ivystep.settings import models

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 60.0
HEALTH_TIMEOUT_S = 1.0
# Added to the time of a whole call, so that a connection that can't be opened
# fails by its own time-out.
DEADLINE_MARGIN_S = 0.1
# Longest answer of health, metrics, list of models and orders.
MAX_ANSWER_BYTES = 4 * units.MIB
START_TIME_METRIC = 'process_start_time_seconds'
RUNNING_METRIC = 'num_requests_running'
Response: typing.TypeAlias = urllib3.BaseHTTPResponse
CLOSE_HEADERS = MappingProxyType({'Connection': 'close'})
JSON_HEADERS = MappingProxyType(
    {**CLOSE_HEADERS, 'Content-Type': 'application/json'}
)
FENCED_STATUS = 409


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSnapshot:
    """State that an upstream process has reported.

    Attributes:
        incarnation: Identity of the process; empty if it publishes none.
        refs: Adapters that it holds.
        running: Requests that it is running; None if it publishes no number.
    """

    incarnation: str
    refs: frozenset[types.AdapterRef] = frozenset()
    running: int | None = None


class UpstreamHttp:
    """Client for the published HTTP interface of a plain service.

    Args:
        base_url: URL without a trailing slash.
    """

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip('/')

    @classmethod
    def from_settings(cls, settings: models.Upstream) -> 'UpstreamHttp':
        """Return the client for the kind of upstream in the settings."""
        chosen = EngineHttp if settings.kind == 'engine' else UpstreamHttp
        return chosen(settings.url)

    def run(self, path: str, body: bytes) -> Response:
        """Start a call and return its answer without reading the body.

        The caller bounds the time with ``eventlet.Timeout``.

        Args:
            path: HTTP path.
            body: JSON body.

        Returns:
            The response; the caller must close or release it.

        Raises:
            errors.RequestError: The call failed; ``ran`` says whether it may
                have been run.
        """
        try:
            return _pool(sys.maxsize).request(
                'POST',
                self.base_url + path,
                body=body,
                headers=JSON_HEADERS,
                preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=None),
            )
        except urllib3.exceptions.HTTPError as error:
            raise call_error(error, self.base_url) from error

    def read(self) -> UpstreamSnapshot:
        """Read the state of the upstream.

        Raises:
            errors.UnavailableError: The upstream does not answer.
        """
        self._get('/health')
        return self.process()

    def process(self) -> UpstreamSnapshot:
        """Read identity and load from the published metrics.

        Returns:
            The snapshot, with an empty incarnation if the service publishes
            no start time.

        Raises:
            errors.UnavailableError: The upstream does not answer.
        """
        text = self._get('/metrics', accepted=(200, 404))
        value_by_name = dict(_metric_samples(text.decode(errors='replace')))
        return UpstreamSnapshot(
            value_by_name.get(START_TIME_METRIC, ''),
            running=_count(value_by_name.get(RUNNING_METRIC, '')),
        )

    def _get(self, path: str, accepted: tuple[int, ...] = (200,)) -> bytes:
        try:
            status, content = _call(
                'GET',
                self.base_url + path,
                HEALTH_TIMEOUT_S,
                headers=CLOSE_HEADERS,
                timeout=HEALTH_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise self._unavailable(str(error)) from error
        if status not in accepted:
            raise self._unavailable(f'status {status}')
        return content

    def _unavailable(self, reason: str) -> errors.UnavailableError:
        return errors.UnavailableError(
            reason, step='health', peer=self.base_url
        )


class EngineHttp(UpstreamHttp):
    """Client for the published HTTP interface of a model engine."""

    def read(self) -> UpstreamSnapshot:
        """Read identity, load and adapters of one engine process.

        Raises:
            errors.UnavailableError: The engine does not answer, or was
                restarted between the calls.
        """
        before = self.process()
        refs = self._resident()
        after = self.process()
        if before.incarnation != after.incarnation:
            raise self._unavailable('restarted while its state was read')
        return dataclasses.replace(after, refs=refs)

    def process(self) -> UpstreamSnapshot:
        """Read identity and load from the published metrics.

        Raises:
            errors.UnavailableError: The engine does not answer, or does not
                publish its start time.
        """
        snapshot = super().process()
        if not snapshot.incarnation:
            raise self._unavailable(f'no metric {START_TIME_METRIC}')
        return snapshot

    def load(
        self, ref: types.AdapterRef, source: str, fencing_token: int
    ) -> None:
        """Load an adapter.

        Raises:
            errors.PlatformError: The load failed; with
                ``UncertainWriteError`` it may still take effect.
        """
        self._post_order(
            '/v1/load_lora_adapter',
            {'lora_name': ref.lora_name, 'lora_path': source},
            fencing_token,
        )

    def unload(self, ref: types.AdapterRef, fencing_token: int) -> None:
        """Unload an adapter; one that is absent counts as unloaded.

        Raises:
            errors.PlatformError: As for ``load``.
        """
        self._post_order(
            '/v1/unload_lora_adapter',
            {'lora_name': ref.lora_name},
            fencing_token,
            accepted=(200, 404),
        )

    def _resident(self) -> frozenset[types.AdapterRef]:
        try:
            listed = json.loads(self._get('/v1/models'))['data']
            names = [str(model['id']) for model in listed]
        except decoding.DECODE_ERRORS as error:
            raise self._unavailable(
                'the list of models is malformed'
            ) from error
        refs = (_parse_ref(name) for name in names)
        return frozenset(ref for ref in refs if ref is not None)

    def _post_order(
        self,
        path: str,
        document: dict[str, str],
        fencing_token: int,
        accepted: tuple[int, ...] = (200,),
    ) -> None:
        headers = {**JSON_HEADERS, 'X-Fencing-Token': str(fencing_token)}
        try:
            status, _ = _call(
                'POST',
                self.base_url + path,
                CONNECT_TIMEOUT_S + LOAD_TIMEOUT_S,
                body=json.dumps(document).encode(),
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=LOAD_TIMEOUT_S
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise _order_error(error, path, self.base_url) from error
        if status not in accepted:
            raise _status_error(status, path, self.base_url)


def _call(
    method: str, url: str, timeout_s: float, **options: typing.Any
) -> tuple[int, bytes]:
    """Make a call and return status and body.

    Raises:
        urllib3.exceptions.HTTPError: No answer within the bounds was received.
    """
    with bounded_answers.deadline(timeout_s + DEADLINE_MARGIN_S):
        response = _pool(MAX_ANSWER_BYTES).request(
            method, url, preload_content=False, **options
        )
        try:
            content = response.read(MAX_ANSWER_BYTES + 1)
        finally:
            response.close()
    if len(content) > MAX_ANSWER_BYTES:
        raise urllib3.exceptions.HTTPError(
            f'answer is longer than {MAX_ANSWER_BYTES} bytes'
        )
    return response.status, content


def _pool(max_body_bytes: int) -> urllib3.PoolManager:
    """Return a pool for one call, whose connection is reset as it closes."""
    return bounded_answers.pool_manager(
        max_body_bytes,
        maxsize=1,
        retries=False,
        socket_options=sockets.RESET_ON_CLOSE_OPTIONS,
    )


def _metric_samples(text: str) -> typing.Iterator[tuple[str, str]]:
    """Yield name and value of each metric, without prefix and labels."""
    for line in text.splitlines():
        if line and not line.startswith('#'):
            name, _, value = line.rpartition(' ')
            yield name.partition('{')[0].rpartition(':')[2], value.strip()


def _parse_ref(name: str) -> types.AdapterRef | None:
    """Parse an adapter name; return None for others, such as the base."""
    try:
        return types.AdapterRef.from_lora_name(name)
    except ValueError:
        return None


@functools.singledispatch
def _order_error(
    error: Exception, step: str, peer: str
) -> errors.PlatformError:
    """Return an error that tells whether an order can still take effect."""
    return errors.UncertainWriteError(str(error), step=step, peer=peer)


@_order_error.register(urllib3.exceptions.NewConnectionError)
@_order_error.register(urllib3.exceptions.ConnectTimeoutError)
def _order_not_sent(
    error: Exception, step: str, peer: str
) -> errors.PlatformError:
    return errors.UnavailableError(str(error), step=step, peer=peer)


def _status_error(status: int, step: str, peer: str) -> errors.PlatformError:
    """Return the error for a status that reports a failed order."""
    if status == FENCED_STATUS:
        reason = 'the engine has seen a higher fencing token'
        return errors.ConflictError(reason, step=step, peer=peer)
    return errors.PlatformError(f'status {status}', step=step, peer=peer)


@functools.singledispatch
def call_error(error: Exception, peer: str) -> errors.RequestError:
    """Convert a transport error to a request error that states ``ran``.

    Args:
        error: The error of the HTTP library.
        peer: The upstream.
    """
    return errors.RequestError(
        'invalid_answer',
        'The upstream broke the HTTP protocol.',
        status=502,
        ran=types.ExecutionStatus.UNKNOWN,
        step='run',
        peer=peer,
    )


@call_error.register(urllib3.exceptions.ProtocolError)
@call_error.register(OSError)
def _lost_error(error: Exception, peer: str) -> errors.RequestError:
    return errors.RequestError(
        'upstream_lost',
        'The connection to the upstream was lost.',
        status=502,
        ran=types.ExecutionStatus.UNKNOWN,
        engine_lost=True,
        step='run',
        peer=peer,
    )


@call_error.register(urllib3.exceptions.NewConnectionError)
@call_error.register(urllib3.exceptions.ConnectTimeoutError)
def _connect_error(error: Exception, peer: str) -> errors.RequestError:
    return errors.RequestError(
        'upstream_unavailable',
        'The upstream does not accept connections.',
        status=503,
        ran=types.ExecutionStatus.NO,
        retry_after_s=1.0,
        step='run',
        peer=peer,
    )


def _count(text: str) -> int | None:
    """Return a published count; None if there is none that is a number."""
    try:
        return int(float(text))
    except (ValueError, OverflowError):
        return None
