"""Keeps requests with a part that crashes upstreams from reaching further ones.

Requests with such a part are not alike otherwise, so their fingerprints do not
tell. Each host writes the crashes that it sees, with the parts that may have
caused them, to the store and follows those of the others.
"""

import collections
import contextlib
import dataclasses
from collections.abc import Generator, Iterable

from ivystep.gateway import (
    relay,
    request_state,
    row_writer,
    upstream_state,
)
from ivystep.platform import crash_rows
from ivystep.policy import crashing_parts
from ivystep.runtime import clock

MAX_CRASHES = 16384
# Longest time of a trial without a result, for example of one that waits.
TRIAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A request that is let through to find out whether a part is sound."""

    state: request_state.RequestState
    until: float


class PartCrashes:
    """Crashes that all hosts have seen, by the parts that may cause them.

    Args:
        writer: Writes rows to the store.
    """

    def __init__(self, writer: row_writer.RowWriter) -> None:
        self._writer = writer
        self._parts = crashing_parts.CrashingParts()
        self._crash_by_key: collections.OrderedDict[
            str, crash_rows.PartCrash
        ] = collections.OrderedDict()
        # Keys of the crashes that this host has written.
        self._own_keys: collections.deque[str] = collections.deque(
            maxlen=row_writer.MAX_PENDING_ROWS
        )
        self._running: dict[relay.Exchange, request_state.RequestState] = {}
        self._trial_by_part: dict[str, _Trial] = {}

    @contextlib.contextmanager
    def watch(
        self, state: request_state.RequestState, exchange: relay.Exchange
    ) -> Generator[None]:
        """Take an answer that goes on for a sign that its parts are sound.

        A trial ends with the context.

        Args:
            state: The request.
            exchange: Its attempt, which runs within the context.
        """
        self._running[exchange] = state
        try:
            yield
        finally:
            del self._running[exchange]
            for part_id in state.shared_parts:
                trial = self._trial_by_part.get(part_id)
                if trial is not None and trial.state is state:
                    del self._trial_by_part[part_id]

    def refused_for_s(self, state: request_state.RequestState) -> float:
        """Return how long a request is refused for the parts of its prompt.

        Args:
            state: The request, which may become a trial of its parts.

        Returns:
            Time in seconds; 0 if it is not refused.
        """
        if not self._crash_by_key:
            return 0.0
        return max(
            (
                self._refused_for_s(state, part_id)
                for part_id in state.shared_parts
            ),
            default=0.0,
        )

    def on_crash(
        self,
        state: request_state.RequestState,
        upstream: upstream_state.Upstream,
    ) -> None:
        """Suspect the parts of a request whose answer had just begun.

        Args:
            state: The request.
            upstream: The upstream, which crashed while it ran the request.
        """
        self._record_running()
        if state.progress.is_settled:
            return
        for part_id in self._parts.suspects(state.shared_parts, clock.now()):
            crash = crash_rows.PartCrash(
                part_id,
                upstream.upstream_id,
                upstream.entry.incarnation,
                clock.wall_time(),
                has_begun=state.progress.head_at is not None,
            )
            self._add(crash, 0.0, is_own=True)
            self._own_keys.append(crash.key)
            self._writer.write(crash_rows.encode(crash))

    def on_completed(self, state: request_state.RequestState) -> None:
        """Record a complete answer.

        Args:
            state: The request.
        """
        began_at = state.progress.head_at
        if began_at is not None:
            self._record_answer(state.shared_parts, began_at)
        if self._crash_by_key:
            self._record_running()

    def add(self, crash: crash_rows.PartCrash, *, is_new: bool) -> None:
        """Record a crash of which a row tells; see ``crashes.Crashes``.

        Args:
            crash: The crash.
            is_new: Whether it has just happened, so that the clock of the host
                that wrote it does not matter.
        """
        age_s = 0.0
        if not is_new:
            age_s = max(clock.wall_time() - crash.recorded, 0.0)
        self._add(crash, age_s, is_own=False)

    def remove(self, key: str) -> None:
        """Forget a crash whose row was deleted; ignore an unknown one."""
        crash = self._crash_by_key.pop(key, None)
        if crash is not None:
            self._parts.remove(crash.part_id, key)

    def remove_expired(self) -> None:
        """Delete the rows of crashes that no longer count."""
        horizon = clock.wall_time() - crashing_parts.RETENTION_S
        self._delete(
            key
            for key, crash in tuple(self._crash_by_key.items())
            if crash.recorded < horizon
        )

    def write_again(self) -> None:
        """Write the crashes that this host has seen again."""
        for key in self._own_keys:
            crash = self._crash_by_key.get(key)
            if crash is not None:
                self._writer.write(crash_rows.encode(crash))

    def _add(
        self, crash: crash_rows.PartCrash, age_s: float, *, is_own: bool
    ) -> None:
        self._crash_by_key[crash.key] = crash
        if len(self._crash_by_key) > MAX_CRASHES:
            self.remove(next(iter(self._crash_by_key)))
        now = clock.now()
        self._parts.add(
            crash.part_id,
            crash.key,
            now - age_s,
            now,
            has_begun=crash.has_begun,
            is_own=is_own,
        )

    def _refused_for_s(
        self, state: request_state.RequestState, part_id: str
    ) -> float:
        """Return how long a request is refused for one part."""
        now = clock.now()
        if not self._parts.refused_for_s(part_id, now):
            return 0.0
        self._record_running()
        refused_s = self._parts.refused_for_s(part_id, now)
        if not refused_s or self._is_trial(state, part_id, now):
            return 0.0
        return refused_s

    def _is_trial(
        self, state: request_state.RequestState, part_id: str, now: float
    ) -> bool:
        """Return whether a request is the trial of a part, or becomes it."""
        trial = self._trial_by_part.get(part_id)
        if trial is not None and now < trial.until:
            return trial.state is state
        if not self._parts.may_try(part_id, now):
            return False
        self._trial_by_part[part_id] = _Trial(state, now + TRIAL_S)
        return True

    def _record_running(self) -> None:
        """Record the answers that have gone on after their beginning."""
        for exchange, state in self._running.items():
            body = exchange.body
            if body is not None and body.is_settled:
                self._record_answer(state.shared_parts, body.began_at)

    def _record_answer(
        self, part_ids: tuple[str, ...], began_at: float
    ) -> None:
        self._delete(self._parts.on_answered(part_ids, began_at))

    def _delete(self, keys: Iterable[str]) -> None:
        """Remove crashes at all hosts."""
        for key in keys:
            crash = self._crash_by_key.get(key)
            if crash is not None:
                self.remove(key)
                self._writer.write(crash_rows.encode_removal(crash))
