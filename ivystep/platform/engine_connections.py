"""Connections to model engines, which are kept as far as answers name calls.

An engine may write an answer late or twice, where the next one is due. So a
connection is kept only if its answers name their calls, and an answer on a kept
connection is believed only if it names its call.
"""

import collections
import dataclasses

import urllib3

from ivystep.core import errors, ids, units
from ivystep.platform import bounded_answers, header_names
from ivystep.runtime import sockets
from ivystep.traffic import upstreams

# An engine answers within a few milliseconds.
TIMEOUT = urllib3.Timeout(connect=0.4, read=0.3)
# Time for a whole call, as the read time-out is that of each read.
CALL_TIMEOUT_S = 0.7
# Engines to which connections are kept, and connections to each.
MAX_ENGINES = 64
MAX_IDLE = 4
# Longest answer that is read; a report names some dozens of adapters.
MAX_ANSWER_BYTES = units.MIB
CALL_ID = header_names.REQUEST_ID.decode()
EXPECTED_UPSTREAM = header_names.EXPECTED_UPSTREAM.decode()


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to an engine.

    Attributes:
        endpoint: The engine that is meant; another upstream refuses the call.
        step: Name of the call in errors.
    """

    endpoint: upstreams.Endpoint
    step: str
    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call.

    Attributes:
        call_id: Id of the call, under which it stands in logs.
    """

    status: int
    body: bytes
    call_id: str


class _Connection:
    """One connection, which is opened again if the engine has closed it.

    Args:
        address: IP address and port of the engine.

    Attributes:
        may_be_kept: Whether another call may use it, because its last answer
            has named its call.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.may_be_kept = False
        self._names_calls = False
        self._pool = bounded_answers.pool(
            address,
            MAX_ANSWER_BYTES,
            maxsize=1,
            timeout=TIMEOUT,
            retries=False,
            socket_options=sockets.RESET_ON_CLOSE_OPTIONS,
        )

    def close(self) -> None:
        """Reset the connection."""
        self._pool.close()

    def send(self, call: Call) -> Answer:
        """Send a call and read the answer.

        Raises:
            errors.LinkError: No answer to this call was received.
        """
        self.may_be_kept = False
        call_id = ids.new_id('call')
        try:
            with bounded_answers.deadline(CALL_TIMEOUT_S):
                return self._call(call, call_id)
        except urllib3.exceptions.HTTPError as error:
            raise self._failure(call, call_id, str(error)) from error

    def _call(self, call: Call, call_id: str) -> Answer:
        response = self._pool.request(
            call.method,
            call.path,
            body=call.body,
            headers={
                CALL_ID: call_id,
                EXPECTED_UPSTREAM: call.endpoint.upstream_id,
                **dict(call.headers),
            },
            redirect=False,
            preload_content=False,
        )
        try:
            return self._read(response, call, call_id)
        finally:
            if not self.may_be_kept:
                response.close()

    def _read(
        self, response: urllib3.BaseHTTPResponse, call: Call, call_id: str
    ) -> Answer:
        self._check_name(response, call, call_id)
        content = response.read(MAX_ANSWER_BYTES + 1)
        if len(content) > MAX_ANSWER_BYTES:
            raise self._failure(call, call_id, 'the answer is too long')
        response.release_conn()
        self.may_be_kept = self._names_calls
        return Answer(response.status, content, call_id)

    def _check_name(
        self, response: urllib3.BaseHTTPResponse, call: Call, call_id: str
    ) -> None:
        named = response.headers.get(CALL_ID, '')
        if named != call_id and (named or self._names_calls):
            raise self._failure(
                call, call_id, f'the answer names the call {named!r}'
            )
        self._names_calls = named == call_id

    def _failure(
        self, call: Call, call_id: str, reason: str
    ) -> errors.LinkError:
        return errors.LinkError(
            f'{reason} ({call_id})', step=call.step, peer=str(call.endpoint)
        )


class EngineConnections:
    """The connections of this host to all engines."""

    def __init__(self) -> None:
        self._idle_by_engine: collections.OrderedDict[
            upstreams.Endpoint, list[_Connection]
        ] = collections.OrderedDict()

    def send(self, call: Call) -> Answer:
        """Send a call to an engine and read the answer.

        Args:
            call: The call.

        Raises:
            errors.LinkError: No answer to this call was received; the engine
                may still run it.
        """
        connection = self._take(call)
        try:
            return connection.send(call)
        finally:
            if connection.may_be_kept:
                self._keep(call.endpoint, connection)
            else:
                connection.close()

    def _take(self, call: Call) -> _Connection:
        idle = self._idle_by_engine.get(call.endpoint)
        return idle.pop() if idle else _Connection(call.endpoint.address)

    def _keep(
        self, engine: upstreams.Endpoint, connection: _Connection
    ) -> None:
        idle = self._idle_by_engine.setdefault(engine, [])
        self._idle_by_engine.move_to_end(engine)
        if len(idle) < MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()
        if len(self._idle_by_engine) > MAX_ENGINES:
            _, removed = self._idle_by_engine.popitem(last=False)
            for unused in removed:
                unused.close()
