"""Keeps the software version that began each resumable stream.

What two versions of an upstream's software write does not fit together, and a
caller may resume a stream at any host. While upstreams of one version serve a
route and the store says so, nothing is written for its streams. Once a second
version appears, each host writes where its streams began to the store: those in
progress at once, new ones as they are sent, so that the row is in the store
before the first event reaches the caller.

A stream without a row goes on only if the row of its service (``recorder``)
says that no other version served. Everything else that is not known is refused,
not guessed. Designed for some ten thousand streams of one host.
"""

import collections
import dataclasses
import typing
from collections.abc import Callable

from ivystep.core import ids, units
from ivystep.gateway.requests import request_state
from ivystep.gateway.store import row_writer
from ivystep.gateway.upstreams import upstream_state
from ivystep.platform import rows, stream_rows
from ivystep.runtime import clock, event_log
from ivystep.stream_origins import events, lookup, recorder, service_versions
from ivystep.traffic import calls, contracts

# Streams of this host that are remembered.
MAX_STREAMS = 20_000
# Longest time for which the head of an answer waits for its origin's row. A
# transaction takes 5 ms, and the write began when the request was sent.
MAX_HOLD_S = 0.1
# Longest wait for the row of a request that moves to another version.
MOVE_TIMEOUT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnStream:
    """A stream of this host.

    Attributes:
        recorded_at: Time of the last attempt, in seconds.
        number: Number of the stream's next or last row.
        write: Write of that row; None if there was none.
        row_keys: Keys of the rows that were written.
    """

    origin: stream_rows.StreamOrigin
    recorded_at: float
    number: int
    write: row_writer.PendingWrite | None = None
    row_keys: tuple[str, ...] = ()


class StreamOrigins:
    """The origins of streams, as far as this host needs them.

    Args:
        client: Client of the store.
        writer: Writes rows to the store.
        versions: The software versions of services.
        log: Event log of decisions and malformed rows.

    Attributes:
        on_usable: Called with a service whose upstreams may be used, or may
            not be used any more.
    """

    def __init__(
        self,
        client: rows.RowsClient,
        writer: row_writer.RowWriter,
        versions: recorder.VersionRecorder,
        log: event_log.EventLog,
    ) -> None:
        self.on_usable: Callable[[str], None] = _ignore
        self._lookup = lookup.OriginLookup(client, versions, log)
        self._writer = writer
        self._versions = versions
        self._log = log
        self._stream_by_key: collections.OrderedDict[str, _OwnStream] = (
            collections.OrderedDict()
        )
        self._known_upstreams: set[upstream_state.Upstream] = set()
        versions.on_recorded = self._on_recorded
        versions.on_restored = self._write_again

    @classmethod
    def from_store(
        cls, client: rows.RowsClient, log: event_log.EventLog
    ) -> typing.Self:
        """Keep the origins of streams in a store."""
        writer = row_writer.RowWriter(
            client, stream_rows.TABLE, log, MAX_STREAMS
        )
        versions = recorder.VersionRecorder(client, log)
        return cls(client, writer, versions, log)

    def configure(self, config: contracts.RouteConfig) -> None:
        """Apply which services have resumable routes.

        Args:
            config: The configuration in force.
        """
        self._versions.configure(
            frozenset(
                share.service
                for route_by_prefix in config.route_by_prefix_by_host.values()
                for route in route_by_prefix.values()
                if route.is_resumable
                for share in route.shares
            )
        )

    def maintain(
        self, feed: recorder.Feed, is_leader: Callable[[], bool]
    ) -> None:
        """Keep the rows of services up to date; see ``VersionRecorder``."""
        self._versions.maintain(feed, is_leader)

    def on_upstream(self, upstream: upstream_state.Upstream) -> None:
        """Record an upstream; write its service's streams if that is needed.

        Args:
            upstream: An upstream that is new or has changed.
        """
        if upstream in self._known_upstreams:
            return
        self._known_upstreams.add(upstream)
        service = upstream.entry.service
        had_several = len(self._versions.possible(service)) > 1
        self._versions.add(service, upstream.entry.software_version)
        if not had_several and len(self._versions.possible(service)) > 1:
            self._write_all(service)

    def on_removed(self, upstream: upstream_state.Upstream) -> None:
        """Record an upstream that is used no more.

        Args:
            upstream: The upstream.
        """
        if upstream in self._known_upstreams:
            self._known_upstreams.discard(upstream)
            entry = upstream.entry
            self._versions.remove(entry.service, entry.software_version)

    def may_use(self, upstream: upstream_state.Upstream) -> bool:
        """Return whether new work may be sent to an upstream.

        Its version must be in the store before a stream begins there.

        Args:
            upstream: The upstream.
        """
        entry = upstream.entry
        return self._versions.may_use(entry.service, entry.software_version)

    def record(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Record that an attempt at a stream is about to be sent.

        Args:
            state: The request.
            upstream: The upstream of the attempt.

        Raises:
            errors.RefusedError: The version of the upstream is not in the
                store, or the request moves to another version and the store
                does not acknowledge it.
        """
        if not state.route.is_resumable:
            return
        if not self.may_use(upstream):
            raise lookup.refusal('software_version_not_recorded', state)
        self._remove_expired()
        key = _stream_key(state)
        known = self._stream_by_key.pop(key, None)
        recorded = self._next_record(state, upstream, known)
        is_moved = known is not None and not known.origin.is_same(
            recorded.origin
        )
        if recorded.write is None and (
            is_moved or self._needs_rows(state.route)
        ):
            recorded = self._write(key, recorded)
        self._stream_by_key[key] = recorded
        state.origin_write = recorded.write
        # A write for the earlier attempt may still be carried out, and would
        # name its version if this one were lost.
        is_late = is_moved and not _is_written(recorded.write)
        if is_late:
            raise lookup.refusal('stream_origin_not_recorded', state)

    def hold(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Hold the head of an answer until the origin's row is in the store.

        Args:
            state: The request.
            upstream: The upstream that answers.
        """
        write = state.origin_write
        if write is None or write.is_acknowledged or state.required_version:
            return
        started = clock.now()
        is_written = write.wait(MAX_HOLD_S)
        state.progress.held_s = clock.now() - started
        if not is_written:
            self._log.write(
                events.OriginLate(
                    state.call.request_id,
                    upstream.upstream_id,
                    int(state.progress.held_s * units.MS_PER_S),
                )
            )

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
        key = _stream_key(state) if state.call.resumed_request_id else ''
        own = self._stream_by_key.get(key)
        if own is not None:
            service, version, source = (*own.origin.place, 'own')
        else:
            service, version, source = self._lookup.find(state, key)
        if not any(service == share.service for share in route.shares):
            raise lookup.refusal('stream_service_gone', state)
        state.stream_version = version
        state.service = service
        self._log.write(
            events.OriginResolved(
                state.call.request_id,
                state.call.resumed_request_id,
                service,
                version,
                source,
            )
        )

    def remove_abandoned(self) -> None:
        """Delete the rows of hosts that have ended; called by the leader."""
        if not any(one.row_keys for one in self._stream_by_key.values()):
            return
        horizon = clock.wall_time() - 2 * service_versions.RETENTION_S
        self._lookup.remove_older_than(horizon)

    def _next_record(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        known: _OwnStream | None,
    ) -> _OwnStream:
        """Return what is remembered of a stream with a further attempt."""
        origin = stream_rows.StreamOrigin(
            upstream.entry.service,
            upstream.entry.software_version,
            clock.wall_time(),
            self._versions.era,
        )
        if known is None:
            return _OwnStream(origin, clock.now(), state.origin_number)
        if known.origin.is_same(origin):
            return dataclasses.replace(
                known, origin=origin, recorded_at=clock.now()
            )
        return _OwnStream(
            origin, clock.now(), known.number + 1, None, known.row_keys
        )

    def _needs_rows(self, route: contracts.Route) -> bool:
        """Return whether streams of a route may be of several origins."""
        if len(self._possible_places(route)) > 1:
            return True
        return not all(
            self._versions.is_complete(share.service) for share in route.shares
        )

    def _possible_places(
        self, route: contracts.Route
    ) -> frozenset[lookup.Place]:
        """Return the services and versions at which streams may have begun."""
        return frozenset(
            (share.service, version)
            for share in route.shares
            for version in self._versions.possible(share.service)
        )

    def _on_recorded(self, service: str) -> None:
        """Use a service's upstreams; write its streams if that is needed."""
        is_complete = self._versions.is_complete(service)
        if not is_complete or len(self._versions.possible(service)) > 1:
            self._write_all(service)
        self.on_usable(service)

    def _write(self, key: str, stream: _OwnStream) -> _OwnStream:
        """Write the row of a stream; return what is remembered then."""
        write = stream_rows.encode(key, stream.number, stream.origin)
        return dataclasses.replace(
            stream,
            write=self._writer.write(write),
            row_keys=tuple({*stream.row_keys, write.key}),
        )

    def _write_all(self, service: str) -> None:
        """Write the streams of a service that have no row yet."""
        for key, stream in tuple(self._stream_by_key.items()):
            if stream.origin.service == service and stream.write is None:
                self._stream_by_key[key] = self._write(key, stream)

    def _write_again(self) -> None:
        """Write all rows of this host again: a restored store lacks some."""
        for key, stream in tuple(self._stream_by_key.items()):
            if stream.write is not None:
                origin = dataclasses.replace(
                    stream.origin, era=self._versions.era
                )
                self._stream_by_key[key] = self._write(
                    key, dataclasses.replace(stream, origin=origin)
                )

    def _remove_expired(self) -> None:
        horizon = clock.now() - service_versions.RETENTION_S
        while self._stream_by_key:
            key, stream = next(iter(self._stream_by_key.items()))
            is_full = len(self._stream_by_key) >= MAX_STREAMS
            if stream.recorded_at >= horizon and not is_full:
                return
            del self._stream_by_key[key]
            for row_key in stream.row_keys:
                self._writer.write(stream_rows.encode_removal(row_key))


def _ignore(service: str) -> None:
    """Ignore that a service may be used."""


def _is_written(write: row_writer.PendingWrite | None) -> bool:
    """Wait for the row of a request that moves; return whether it is stored."""
    return write is not None and write.wait(MOVE_TIMEOUT_S)


def _stream_key(state: request_state.RequestState) -> str:
    return _key(state.call, state.account_name)


def _key(call: calls.Call, account: str = '') -> str:
    """Return the key of a stream, equal for all attempts of its caller.

    Host, path and account keep a caller from naming the streams of another
    route or account.

    Args:
        call: The request.
        account: Name of the client account; empty without accounts.
    """
    first_id = call.request_id
    if call.resumes_after and call.resumed_request_id:
        first_id = call.resumed_request_id
    return ids.digest(
        first_id.encode(),
        call.host.encode(),
        call.path.encode(),
        account.encode(),
    ).hex()
