"""Keeps a request that crashes upstreams from reaching further ones.

A caller may send such a request again, through any host, so each host writes
the crashes that it sees to the store and follows those of the others. The rows
also survive the hosts' restarts.

A crash is counted only if the upstream refuses a new connection, or has closed
one and answers no new one. Every request that it ran at the time is counted,
also those that this host gave up shortly before; one that completes several
times in a row is cleared.

A request is recognized by its content. Its caller's address does not count,
because the request may come from another one when it is sent again. For parts
of prompts that crash upstreams see ``part_crashes``.
"""

import collections
import copy
import typing
from collections.abc import Sequence

import eventlet

from ivystep.core import errors, units
from ivystep.gateway import events
from ivystep.gateway.requests import part_crashes, request_state
from ivystep.gateway.store import row_application, row_writer
from ivystep.gateway.upstreams import upstream_state
from ivystep.platform import crash_rows, rows
from ivystep.policy import quarantine
from ivystep.runtime import clock, event_log

# A request that runs beside the one that crashes upstreams is caught in two
# crashes more often than in three.
CRASHES_TO_REFUSE = 3
MAX_CRASHES = CRASHES_TO_REFUSE * quarantine.MAX_REQUESTS
# Crashes whose rows are logged once; a row of an older one is logged again.
MAX_LEARNED = 64
HIGHEST_SUCCESS_STATUS = 299
# A request that crashes only some of its upstreams completes now and then.
SUCCESSES_TO_CLEAR = 4


class Crashes:
    """``TableSink`` of the crashes that all hosts have seen.

    Args:
        writer: Writes rows to the store.
        log: Event log of crashes.

    Attributes:
        parts: Crashes by the parts of prompts that may cause them.
    """

    def __init__(
        self, writer: row_writer.RowWriter, log: event_log.EventLog
    ) -> None:
        self.parts = part_crashes.PartCrashes(writer)
        self._writer = writer
        self._log = log
        self._crash_by_key: collections.OrderedDict[str, crash_rows.Crash] = (
            collections.OrderedDict()
        )
        # Keys of the crashes that this host has written.
        self._own_keys: collections.deque[str] = collections.deque(
            maxlen=row_writer.MAX_PENDING_ROWS
        )
        self._quarantine = quarantine.Quarantine('', CRASHES_TO_REFUSE)
        # Crashes that other hosts have reported, for the log.
        self._learned: collections.deque[quarantine.UpstreamFailure] = (
            collections.deque(maxlen=MAX_LEARNED)
        )
        # Successes since the last crash of requests that have crashes.
        self._successes: collections.Counter[bytes] = collections.Counter()

    @classmethod
    def from_store(
        cls, client: rows.RowsClient, log: event_log.EventLog
    ) -> typing.Self:
        """Keep the crashes that all hosts have seen in a store."""
        writer = row_writer.RowWriter(client, crash_rows.TABLE, log)
        return cls(writer, log)

    def raise_if_refused(self, state: request_state.RequestState) -> None:
        """Raise an error if upstreams have crashed under a request.

        Args:
            state: The request.

        Raises:
            errors.RefusedError: Too many upstreams crashed while they ran it,
                or as they began to answer a part of its prompt.
        """
        self._raise_if_part_refused(state)
        if not self._crash_by_key:
            return
        refused_s = max(
            self._quarantine.refused_for_s(fingerprint)
            for fingerprint in state.fingerprints
        )
        if refused_s <= 0:
            return
        raise errors.RefusedError(
            'request_quarantined',
            f'{CRASHES_TO_REFUSE} upstreams crashed while they ran this '
            'request.',
            status=503,
            retry_after_s=refused_s,
            step=state.step,
        )

    def on_answer_lost(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        *,
        is_closed: bool = True,
    ) -> bool:
        """Find out whether an upstream crashed while it ran a request.

        Args:
            state: The request.
            upstream: The upstream whose answer was lost.
            is_closed: Whether it has closed the request's connection. Otherwise
                silence does not count, since this host may be cut off.

        Returns:
            Whether the upstream is known to have ended.
        """
        # In a task of its own and with a copy, because the request may end
        # meanwhile.
        confirmed = eventlet.spawn(
            self._confirm,
            copy.copy(state),
            upstream,
            clock.now(),
            is_closed=is_closed,
        )
        return bool(confirmed.wait())

    def record(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        ended_at: float,
        *,
        is_given_up: bool = True,
    ) -> None:
        """Count the crash of an upstream against a request.

        Args:
            state: The request.
            upstream: The upstream, which refuses connections.
            ended_at: Time at which the request's connection ended.
            is_given_up: Whether this host had ended it.
        """
        if upstream.is_draining:
            return
        self.parts.on_crash(state, upstream)
        for fingerprint in state.fingerprints:
            crash = crash_rows.Crash(
                fingerprint,
                upstream.upstream_id,
                upstream.entry.incarnation,
                clock.wall_time(),
            )
            self._add(crash)
            self._own_keys.append(crash.key)
            self._writer.write(crash_rows.encode(crash))
        self._log.write(
            events.UpstreamCrashed(
                state.call.request_id,
                state.route.name,
                upstream.upstream_id,
                state.call.caller,
                state.content_id,
                len(self._quarantine.failures(state.fingerprints[0])),
                state.logged_parts,
                _elapsed_ms(state.progress.sent_at, ended_at),
                _elapsed_ms(state.progress.head_at, ended_at),
                state.progress.body_bytes,
                is_given_up,
            )
        )

    def on_completed(self, state: request_state.RequestState) -> None:
        """Clear a request of earlier crashes after several successes.

        Args:
            state: The request, which an upstream has answered.
        """
        if state.answer.status > HIGHEST_SUCCESS_STATUS:
            return
        self.parts.on_completed(state)
        if not self._crash_by_key:
            return
        for fingerprint in state.fingerprints:
            self._on_success(fingerprint)

    def remove_expired(self) -> None:
        """Delete the rows of crashes that no longer count."""
        horizon = clock.wall_time() - quarantine.RETENTION_S
        for crash in tuple(self._crash_by_key.values()):
            if crash.recorded < horizon:
                self._delete(crash)
        self.parts.remove_expired()

    def replace_rows(self, found: Sequence[rows.StoredRow]) -> None:
        """Apply all rows; see ``feeds.TableSink``.

        A crash without a row still counts: its row may not be written yet.
        """
        row_application.apply_each(found, self.apply_row, self._log)

    def apply_row(self, row: rows.StoredRow) -> None:
        """Apply one row; see ``feeds.TableSink``."""
        if row.is_deleted:
            self._remove(row.key)
            self.parts.remove(row.key)
            return
        try:
            crash = crash_rows.decode(row)
        except errors.SetupError as error:
            self._log.write(
                events.EntryIgnored(row.key, error.reason, row.version)
            )
            return
        self._log_learned(crash)
        if isinstance(crash, crash_rows.PartCrash):
            self.parts.add(crash)
        else:
            self._add(crash)

    def on_store_lost(self) -> None:
        """Keep the known crashes."""

    def on_store_restored(self) -> None:
        """Write the crashes that this host has seen again."""
        for key in self._own_keys:
            crash = self._crash_by_key.get(key)
            if crash is not None:
                self._writer.write(crash_rows.encode(crash))
        self.parts.write_again()

    def on_store_regained(self) -> None:
        """Do nothing; the feed resumes at its last store version."""

    def _confirm(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
        lost_at: float,
        *,
        is_closed: bool,
    ) -> bool:
        """Record a crash if the upstream can't be reached again."""
        address = upstream.connections
        has_ended = (
            address.is_unreachable() if is_closed else address.is_refused()
        )
        if not has_ended:
            return False
        self.record(state, upstream, lost_at, is_given_up=False)
        return True

    def _raise_if_part_refused(self, state: request_state.RequestState) -> None:
        refused_s = self.parts.refused_for_s(state)
        if refused_s > 0:
            raise errors.RefusedError(
                'prompt_part_quarantined',
                'Upstreams crashed as they began to answer a part of this '
                'prompt.',
                status=503,
                retry_after_s=refused_s,
                step=state.step,
            )

    def _log_learned(
        self, crash: crash_rows.Crash | crash_rows.PartCrash
    ) -> None:
        """Log the first row of another host on the crash of an upstream."""
        failure = _failure(crash)
        if crash.key in self._crash_by_key or failure in self._learned:
            return
        self._learned.append(failure)
        age_s = clock.wall_time() - crash.recorded
        self._log.write(
            events.CrashLearned(
                crash.upstream_id,
                crash.incarnation,
                int(age_s * units.MS_PER_S),
            )
        )

    def _on_success(self, fingerprint: bytes) -> None:
        failures = self._quarantine.failures(fingerprint)
        if not failures:
            return
        self._successes[fingerprint] += 1
        if self._successes[fingerprint] < SUCCESSES_TO_CLEAR:
            return
        for failure in failures:
            self._delete(
                crash_rows.Crash(
                    fingerprint,
                    failure.upstream_id,
                    failure.engine_incarnation,
                    clock.wall_time(),
                )
            )

    def _add(self, crash: crash_rows.Crash) -> None:
        if crash.key not in self._crash_by_key:
            self._successes.pop(crash.fingerprint, None)
        self._crash_by_key[crash.key] = crash
        if len(self._crash_by_key) > MAX_CRASHES:
            self._crash_by_key.popitem(last=False)
        age_s = max(clock.wall_time() - crash.recorded, 0.0)
        self._quarantine.add(
            crash.fingerprint, _failure(crash), clock.now() - age_s
        )

    def _delete(self, crash: crash_rows.Crash) -> None:
        """Remove a crash at all hosts."""
        self._remove(crash.key)
        self._writer.write(crash_rows.encode_removal(crash))

    def _remove(self, key: str) -> None:
        crash = self._crash_by_key.pop(key, None)
        if crash is not None:
            self._successes.pop(crash.fingerprint, None)
            self._quarantine.remove(crash.fingerprint, _failure(crash))


def _elapsed_ms(start: float | None, end: float) -> int:
    """Return the time since a start in ms; -1 if there was none."""
    return -1 if start is None else int((end - start) * units.MS_PER_S)


def _failure(
    crash: crash_rows.Crash | crash_rows.PartCrash,
) -> quarantine.UpstreamFailure:
    return quarantine.UpstreamFailure(crash.upstream_id, crash.incarnation)
