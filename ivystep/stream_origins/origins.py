"""Keeps the software version that began each resumable stream.

What two versions of an upstream's software write does not fit together, and a
caller may take a stream up at any host. While upstreams of one version serve a
route, nothing needs to be known. Once a second version appears, each host
writes where its streams began to the store: those in progress at once, new
ones as they are sent. A stream without a row is then refused, not guessed.

A host that has just started cannot know which versions served before, so it
writes and looks for rows as if there were several.
"""

import collections
import dataclasses
import typing

import eventlet

from ivystep.core import errors, ids
from ivystep.gateway import (
    events,
    request_state,
    row_writer,
    upstream_state,
)
from ivystep.platform import rows, stream_rows
from ivystep.policy import version_history
from ivystep.runtime import clock, event_log
from ivystep.traffic import calls, contracts

# Longest time between a stream's first attempt and its last one. Callers give
# up before.
RETENTION_S = 60.0
# Streams of this host that are remembered.
MAX_STREAMS = 20_000
RETRY_S = 0.5
# A caller waits for the read, and the store may be silent.
READ_TIMEOUT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnStream:
    """A stream of this host.

    Attributes:
        recorded_at: Time of the last attempt, in seconds.
        has_row: Whether its row was written to the store.
    """

    origin: stream_rows.StreamOrigin
    recorded_at: float
    has_row: bool


class StreamOrigins:
    """The origins of streams, as far as this host needs them.

    Args:
        client: Client of the store.
        writer: Writes rows to the store.
        log: Event log of malformed rows.
    """

    def __init__(
        self,
        client: rows.RowsClient,
        writer: row_writer.RowWriter,
        log: event_log.EventLog,
    ) -> None:
        self._client = client
        self._writer = writer
        self._log = log
        self._started_at = clock.now()
        self._stream_by_key: collections.OrderedDict[str, _OwnStream] = (
            collections.OrderedDict()
        )
        self._known_upstreams: set[upstream_state.Upstream] = set()
        self._history_by_service: collections.defaultdict[
            str, version_history.VersionHistory
        ] = collections.defaultdict(
            lambda: version_history.VersionHistory(RETENTION_S)
        )

    @classmethod
    def from_store(
        cls, client: rows.RowsClient, log: event_log.EventLog
    ) -> typing.Self:
        """Keep the origins of streams in a store."""
        writer = row_writer.RowWriter(client, stream_rows.TABLE, log)
        return cls(client, writer, log)

    def on_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Record an upstream; write its service's streams if that is needed.

        Args:
            upstream: An upstream that is new or has changed.
        """
        if upstream in self._known_upstreams:
            return
        self._known_upstreams.add(upstream)
        entry = upstream.entry
        history = self._history_by_service[entry.service]
        had_several = len(history.recent(clock.now())) > 1
        history.add(entry.software_version)
        if not had_several and len(history.recent(clock.now())) > 1:
            self._write_all(entry.service)

    def on_removed(self, upstream: upstream_state.Upstream) -> None:
        """Record an upstream that is used no more.

        Args:
            upstream: The upstream.
        """
        if upstream in self._known_upstreams:
            self._known_upstreams.discard(upstream)
            self._history_by_service[upstream.entry.service].remove(
                upstream.entry.software_version, clock.now()
            )

    def record(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Record that an attempt at a stream is about to be sent.

        Args:
            state: The request.
            upstream: The upstream of the attempt.
        """
        if not state.route.is_resumable:
            return
        self._remove_expired()
        key = _key(state.call)
        known = self._stream_by_key.pop(key, None)
        origin = stream_rows.StreamOrigin(
            upstream.entry.service,
            upstream.entry.software_version,
            clock.wall_time(),
        )
        has_row = known is not None and known.has_row
        is_moved = known is not None and not known.origin.is_same(origin)
        if self._needs_rows(state.route) and (is_moved or not has_row):
            self._writer.write(stream_rows.encode(key, origin))
            has_row = True
        self._stream_by_key[key] = _OwnStream(origin, clock.now(), has_row)

    def resolve(self, state: request_state.RequestState) -> None:
        """Find out where a stream began that a caller takes up.

        Sets the service and the required software version of the request.

        Args:
            state: The request, before its first attempt.

        Raises:
            errors.RefusedError: The stream's origin is not known, or its
                service is not one of the route's any more.
        """
        route = state.route
        if not (state.call.resumes_after and route.is_resumable):
            return
        origin = self._find(state.call, may_read=self._needs_rows(route))
        if origin is None:
            if len(self._possible_places(route)) > 1:
                raise _refusal('stream_origin_unknown', state)
            return
        if not any(origin.service == share.service for share in route.shares):
            raise _refusal('stream_service_gone', state)
        state.stream_version = origin.software_version
        state.service = origin.service

    def remove_abandoned(self) -> None:
        """Delete the rows of hosts that have ended; called by the leader."""
        if not any(one.has_row for one in self._stream_by_key.values()):
            return
        horizon = clock.wall_time() - 2 * RETENTION_S
        try:
            found = self._client.read_all(stream_rows.TABLE).rows
        except errors.PlatformError as error:
            self._log_store_lost(error)
            return
        for row in found:
            origin = self._decode(row)
            if origin is None or origin.recorded < horizon:
                self._writer.write(stream_rows.encode_removal(row.key))

    def _needs_rows(self, route: contracts.Route) -> bool:
        """Return whether streams of a route may be of several origins."""
        is_new_host = clock.now() < self._started_at + RETENTION_S
        return is_new_host or len(self._possible_places(route)) > 1

    def _possible_places(
        self, route: contracts.Route
    ) -> frozenset[tuple[str, str]]:
        """Return the services and versions at which streams may have begun."""
        now = clock.now()
        return frozenset(
            (share.service, version)
            for share in route.shares
            for version in self._history_by_service[share.service].recent(now)
        )

    def _find(
        self, call: calls.Call, *, may_read: bool
    ) -> stream_rows.StreamOrigin | None:
        if not call.resumed_request_id:
            return None
        key = _key(call)
        own = self._stream_by_key.get(key)
        if own is not None:
            return own.origin
        return self._read(key) if may_read else None

    def _read(self, key: str) -> stream_rows.StreamOrigin | None:
        try:
            with eventlet.Timeout(READ_TIMEOUT_S, TimeoutError):
                page = self._client.read(
                    stream_rows.TABLE, key, f'{key}\0', limit=1
                )
        except (errors.PlatformError, TimeoutError) as error:
            self._log_store_lost(error)
            return None
        return self._decode(page.rows[0]) if page.rows else None

    def _decode(self, row: rows.StoredRow) -> stream_rows.StreamOrigin | None:
        try:
            return stream_rows.decode(row)
        except errors.SetupError as error:
            self._log.write(
                events.EntryIgnored(row.key, error.reason, row.version)
            )
            return None

    def _log_store_lost(self, error: Exception) -> None:
        self._log.write(
            events.DependencyLost(
                f'store/{stream_rows.TABLE}', str(error) or 'timed out'
            )
        )

    def _write_all(self, service: str) -> None:
        """Write the streams of a service that have no row yet."""
        for key, stream in tuple(self._stream_by_key.items()):
            if stream.origin.service == service and not stream.has_row:
                self._writer.write(stream_rows.encode(key, stream.origin))
                self._stream_by_key[key] = dataclasses.replace(
                    stream, has_row=True
                )

    def _remove_expired(self) -> None:
        horizon = clock.now() - RETENTION_S
        while self._stream_by_key:
            key, stream = next(iter(self._stream_by_key.items()))
            is_full = len(self._stream_by_key) >= MAX_STREAMS
            if stream.recorded_at >= horizon and not is_full:
                return
            del self._stream_by_key[key]
            if stream.has_row:
                self._writer.write(stream_rows.encode_removal(key))


def _refusal(
    code: str, state: request_state.RequestState
) -> errors.RefusedError:
    return errors.RefusedError(
        code,
        'No upstream is known to run what began the stream.',
        status=503,
        retry_after_s=RETRY_S,
        step='route',
        peer=state.service,
    )


def _key(call: calls.Call) -> str:
    """Return the key of a stream, equal for all attempts of its caller.

    Host and path keep a caller from naming the streams of another route.
    """
    first_id = call.request_id
    if call.resumes_after and call.resumed_request_id:
        first_id = call.resumed_request_id
    return ids.digest(
        first_id.encode(), call.host.encode(), call.path.encode()
    ).hex()
