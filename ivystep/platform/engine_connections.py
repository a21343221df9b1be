"""Connections to model engines, which are kept as far as answers name calls.

An engine may write an answer late or twice, where the next one is due. So an
answer on a kept connection is believed only if it names its call, once others
on that connection have done so. A connection without such names serves only
calls whose answers may be of an earlier one. Such an answer is as old as the
first one with the same content; one that was not read before is new, because a
connection with unread bytes is not used. All other calls open their own.
"""

import collections
import dataclasses

import urllib3

from ivystep.core import errors, ids, units
from ivystep.platform import bounded_answers, header_names
from ivystep.runtime import clock, sockets
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
SUCCESS_STATUS = 200
# Calls on a connection without names, whose answers are remembered.
MAX_UNNAMED_CALLS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to an engine.

    Attributes:
        endpoint: The engine that is meant; another upstream refuses the call.
        step: Name of the call in errors.
        may_be_earlier: Whether an answer to an earlier call of its kind does
            no harm, as its age is known.
    """

    endpoint: upstreams.Endpoint
    step: str
    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    may_be_earlier: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call.

    Attributes:
        call_id: Id of the call, under which it stands in logs.
        asked_at: Time at which the call was sent that it answers; if it is the
            same as an earlier answer, that of the earlier one.
    """

    status: int
    body: bytes
    call_id: str
    asked_at: float


class _Connection:
    """One connection, which is opened again if the engine has closed it.

    Args:
        address: IP address and port of the engine.

    Attributes:
        names_calls: Whether its last answer has named its call.
        may_be_kept: Whether another call may use it.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.names_calls = False
        self.may_be_kept = False
        self._asked_at_by_content: dict[bytes, float] = {}
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

    def is_usable_for(self, call: Call) -> bool:
        """Return whether a call may be sent on this idle connection."""
        if self.names_calls:
            return True
        is_short = len(self._asked_at_by_content) < MAX_UNNAMED_CALLS
        return call.may_be_earlier and is_short

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
        sent_at = clock.now()
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
            content = self._read(response, call, call_id)
            return Answer(
                response.status,
                content,
                call_id,
                self._asked_at(content, sent_at),
            )
        finally:
            if not self.may_be_kept:
                response.close()

    def _read(
        self, response: urllib3.BaseHTTPResponse, call: Call, call_id: str
    ) -> bytes:
        self._check_name(response, call, call_id)
        content = response.read(MAX_ANSWER_BYTES + 1)
        if len(content) > MAX_ANSWER_BYTES:
            raise self._failure(call, call_id, 'the answer is too long')
        response.release_conn()
        # A refusal without a name would be believed where it comes once more.
        is_harmless = call.may_be_earlier and response.status == SUCCESS_STATUS
        self.may_be_kept = self.names_calls or is_harmless
        return content

    def _asked_at(self, content: bytes, sent_at: float) -> float:
        """Return the time of the first call that an answer may be for."""
        if self.names_calls:
            return sent_at
        digest = ids.digest(content)
        return self._asked_at_by_content.setdefault(digest, sent_at)

    def _check_name(
        self, response: urllib3.BaseHTTPResponse, call: Call, call_id: str
    ) -> None:
        named = response.headers.get(CALL_ID, '')
        if named != call_id and (named or self.names_calls):
            raise self._failure(
                call, call_id, f'the answer names the call {named!r}'
            )
        self.names_calls = named == call_id

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
        idle = self._idle_by_engine.get(call.endpoint, [])
        for connection in reversed(idle):
            if connection.is_usable_for(call):
                idle.remove(connection)
                return connection
        return _Connection(call.endpoint.address)

    def _keep(
        self, engine: upstreams.Endpoint, connection: _Connection
    ) -> None:
        idle = self._idle_by_engine.setdefault(engine, [])
        self._idle_by_engine.move_to_end(engine)
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.pop(0).close()
        if len(self._idle_by_engine) > MAX_ENGINES:
            _, removed = self._idle_by_engine.popitem(last=False)
            for unused in removed:
                unused.close()
