"""Looks up where a stream began that a caller resumes.

The row of the stream decides. A stream without a row began at the only version
of its route's services if their rows are complete; otherwise nobody knows.
Takes one read of the store, and one more for each service of the route.
"""

import contextlib

import eventlet

from ivystep.core import errors
from ivystep.gateway import events as gateway_events
from ivystep.gateway.requests import request_state
from ivystep.gateway.store import row_writer
from ivystep.platform import rows, stream_rows
from ivystep.runtime import event_log
from ivystep.stream_origins import events, recorder

RETRY_S = 0.5
# A caller waits for the read, and the store may be silent.
READ_TIMEOUT_S = 0.25

# A service and a version of its software.
Place = tuple[str, str]


class OriginLookup:
    """Reads the rows of streams and services.

    Args:
        client: Client of the store.
        versions: The software versions of services.
        log: Event log of decisions and malformed rows.
    """

    def __init__(
        self,
        client: rows.RowsClient,
        versions: recorder.VersionRecorder,
        log: event_log.EventLog,
    ) -> None:
        self._client = client
        self._versions = versions
        self._log = log

    def find(
        self, state: request_state.RequestState, key: str
    ) -> tuple[str, str, str]:
        """Read where a stream of another host began.

        Args:
            state: The request.
            key: Key of the stream; empty if its caller does not name it.

        Returns:
            Service, software version and how they are known.

        Raises:
            errors.RefusedError: The store does not tell.
        """
        try:
            with eventlet.Timeout(READ_TIMEOUT_S, TimeoutError):
                origin = self._read(state, key)
                if origin is not None:
                    return (*origin.place, 'row')
                return (*self._only_place(state), 'only')
        except (errors.PlatformError, TimeoutError) as error:
            self._log_store_lost(error)
            self._log_unknown(state, 'store', frozenset())
            raise refusal('stream_origin_unknown', state) from error

    def remove_older_than(self, horizon: float) -> None:
        """Delete old and malformed rows of streams.

        A row that has changed since it was read stays, with those of the same
        transaction; the next call reads them again.

        Args:
            horizon: Wall-clock time in seconds since the epoch.
        """
        try:
            found = self._client.read_all(stream_rows.TABLE).rows
            removals = [
                stream_rows.encode_removal(row.key, row.version)
                for row in found
                if self._is_older(row, horizon)
            ]
            size = row_writer.MAX_BATCH_ROWS
            for first in range(0, len(removals), size):
                with contextlib.suppress(rows.RowConflictError):
                    self._client.transact(removals[first : first + size])
        except errors.PlatformError as error:
            self._log_store_lost(error)

    def _is_older(self, row: rows.StoredRow, horizon: float) -> bool:
        origin = self._decode(row)
        return origin is None or origin.recorded < horizon

    def _only_place(self, state: request_state.RequestState) -> Place:
        """Return the place of all streams of a route if there is only one.

        Raises:
            errors.PlatformError: The store gave no answer.
            errors.RefusedError: There may be another one.
        """
        places: set[Place] = set()
        is_complete = True
        for service in sorted({one.service for one in state.route.shares}):
            view = self._versions.read(service)
            versions = view.possible
            if not view.is_complete:
                is_complete &= self._versions.knows_all(service)
                versions |= self._versions.possible(service)
            places.update((service, version) for version in versions)
        if is_complete and len(places) == 1:
            return places.pop()
        reason = 'several' if places else 'none'
        self._log_unknown(
            state, reason if is_complete else 'incomplete', frozenset(places)
        )
        raise refusal('stream_origin_unknown', state)

    def _read(
        self, state: request_state.RequestState, key: str
    ) -> stream_rows.StreamOrigin | None:
        """Read the last row of a stream; None if it has none that counts.

        Raises:
            errors.PlatformError: The store gave no answer.
        """
        if not key:
            return None
        first, end = stream_rows.key_range(key)
        page = self._client.read(stream_rows.TABLE, first, end)
        if not page.rows:
            return None
        last = max(page.rows, key=lambda row: row.key)
        origin = self._decode(last)
        if origin is None:
            return None
        state.origin_number = stream_rows.decode_number(last) + 1
        # A copy of the store may lack a later row of the stream.
        return origin if origin.era == (page.era or 0) else None

    def _decode(self, row: rows.StoredRow) -> stream_rows.StreamOrigin | None:
        try:
            stream_rows.decode_number(row)
            return stream_rows.decode(row)
        except errors.SetupError as error:
            self._log.write(
                gateway_events.EntryIgnored(row.key, error.reason, row.version)
            )
            return None

    def _log_store_lost(self, error: Exception) -> None:
        self._log.write(
            gateway_events.DependencyLost(
                f'store/{stream_rows.TABLE}', str(error) or 'timed out'
            )
        )

    def _log_unknown(
        self,
        state: request_state.RequestState,
        reason: str,
        places: frozenset[Place],
    ) -> None:
        self._log.write(
            events.OriginUnknown(
                state.call.request_id,
                state.call.resumed_request_id,
                state.route.name,
                reason,
                ','.join(sorted('@'.join(place) for place in places)),
            )
        )


def refusal(
    code: str, state: request_state.RequestState
) -> errors.RefusedError:
    """Return the error of a stream that must not go on.

    Args:
        code: Error code.
        state: The request.
    """
    return errors.RefusedError(
        code,
        'No upstream is known to run what began the stream.',
        status=503,
        retry_after_s=RETRY_S,
        step='route',
        peer=state.service,
    )
