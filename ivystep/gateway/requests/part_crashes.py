"""Keeps requests with a part that crashes upstreams from reaching further ones.

Requests with such a part are not alike otherwise, so their fingerprints do not
tell. Each host writes the crashes that it sees, with the parts that may have
caused them, to the store and follows those of the others.
"""

import collections
import contextlib
import dataclasses
import math
from collections.abc import Generator, Iterable

from ivystep.gateway.requests import relay, request_state
from ivystep.gateway.store import row_writer
from ivystep.gateway.upstreams import upstream_state
from ivystep.platform import crash_rows
from ivystep.policy import crashing_parts
from ivystep.runtime import clock

MAX_CRASHES = 16384
# Interval at which answers in progress are looked at.
RECORD_S = 0.25
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
        # Crashes that this host has written, by key.
        self._own: collections.OrderedDict[str, crash_rows.PartCrash] = (
            collections.OrderedDict()
        )
        # Attempts whose answers have not gone on yet.
        self._running: dict[relay.Exchange, request_state.RequestState] = {}
        self._trial_by_part: dict[str, _Trial] = {}
        self._recorded_at = -math.inf

    @contextlib.contextmanager
    def watch(
        self, state: request_state.RequestState, exchange: relay.Exchange
    ) -> Generator[None]:
        """Take an answer that goes on for a sign that its parts are sound.

        Args:
            state: The request.
            exchange: Its attempt, which runs within the context.
        """
        self._running[exchange] = state
        try:
            yield
        finally:
            self._running.pop(exchange, None)

    def refused_for_s(self, state: request_state.RequestState) -> float:
        """Return how long a request is refused for the parts of its prompt.

        Args:
            state: The request, which may become a trial of its parts until
                ``end_trials`` is called.

        Returns:
            Time in seconds; 0 if it is not refused.
        """
        if not self._crash_by_key:
            return 0.0
        refused_s_by_part = self._refused_parts(state)
        if refused_s_by_part:
            self._record_running()
            refused_s_by_part = self._refused_parts(state)
        if all(self._may_try(state, part_id) for part_id in refused_s_by_part):
            self._start_trials(state, refused_s_by_part)
            return 0.0
        return max(refused_s_by_part.values())

    def end_trials(self, state: request_state.RequestState) -> None:
        """End the trials that a request is.

        Args:
            state: The request, whose attempt has ended.
        """
        for part_id in state.shared_parts:
            trial = self._trial_by_part.get(part_id)
            if trial is not None and trial.state is state:
                del self._trial_by_part[part_id]

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
            if crash.key not in self._own:
                self._add(crash, is_own=True)
                self._own[crash.key] = crash
                self._writer.write(crash_rows.encode(crash))
        while len(self._own) > row_writer.MAX_PENDING_ROWS:
            self._own.popitem(last=False)

    def on_completed(self, state: request_state.RequestState) -> None:
        """Record a complete answer.

        Args:
            state: The request.
        """
        began_at = state.progress.head_at
        if began_at is not None:
            self._record_answer(state.shared_parts, began_at)
        if self._crash_by_key and clock.now() >= self._recorded_at + RECORD_S:
            self._record_running()

    def add(self, crash: crash_rows.PartCrash) -> None:
        """Record a crash of which a row tells; see ``crashes.Crashes``."""
        self._add(crash, is_own=False)

    def remove(self, key: str) -> None:
        """Forget a crash whose row was deleted; ignore an unknown one."""
        crash = self._crash_by_key.pop(key, None)
        if crash is not None:
            self._parts.remove(crash.part_id, crash.crash_id)

    def remove_expired(self) -> None:
        """Delete the rows of crashes that no longer count."""
        horizon = clock.wall_time() - crashing_parts.RETENTION_S
        self._delete(
            crash
            for crash in tuple(self._crash_by_key.values())
            if crash.recorded < horizon
        )
        now = clock.now()
        for part_id, trial in tuple(self._trial_by_part.items()):
            if trial.until < now:
                del self._trial_by_part[part_id]

    def write_again(self) -> None:
        """Write the crashes that this host has seen again."""
        for key, crash in self._own.items():
            if key in self._crash_by_key:
                self._writer.write(crash_rows.encode(crash))

    def _add(self, crash: crash_rows.PartCrash, *, is_own: bool) -> None:
        self._crash_by_key[crash.key] = crash
        if len(self._crash_by_key) > MAX_CRASHES:
            self.remove(next(iter(self._crash_by_key)))
        self._parts.add(
            crash.part_id,
            crash.crash_id,
            crash.recorded,
            clock.now(),
            has_begun=crash.has_begun,
            is_own=is_own,
        )

    def _refused_parts(
        self, state: request_state.RequestState
    ) -> dict[str, float]:
        """Return the time for which each refused part of a prompt is."""
        wall_time = clock.wall_time()
        refused_s_by_part = {
            part_id: self._parts.refused_for_s(part_id, wall_time)
            for part_id in state.shared_parts
        }
        return {
            part_id: refused_s
            for part_id, refused_s in refused_s_by_part.items()
            if refused_s > 0
        }

    def _may_try(self, state: request_state.RequestState, part_id: str) -> bool:
        """Return whether a request may be the trial of a part."""
        now = clock.now()
        trial = self._trial_by_part.get(part_id)
        if trial is not None and now < trial.until:
            return trial.state is state
        return self._parts.may_try(part_id, clock.wall_time(), now)

    def _start_trials(
        self, state: request_state.RequestState, part_ids: Iterable[str]
    ) -> None:
        until = clock.now() + TRIAL_S
        for part_id in part_ids:
            self._trial_by_part[part_id] = _Trial(state, until)

    def _record_running(self) -> None:
        """Record the answers that have gone on after their beginning."""
        self._recorded_at = clock.now()
        for exchange, state in tuple(self._running.items()):
            body = exchange.body
            if body is not None and body.is_settled:
                del self._running[exchange]
                self._record_answer(state.shared_parts, body.began_at)

    def _record_answer(
        self, part_ids: tuple[str, ...], began_at: float
    ) -> None:
        cleared = set(self._parts.on_answered(part_ids, began_at))
        if cleared:
            self._delete(
                crash
                for crash in tuple(self._crash_by_key.values())
                if (crash.part_id, crash.crash_id) in cleared
            )

    def _delete(self, crashes: Iterable[crash_rows.PartCrash]) -> None:
        """Remove crashes at all hosts."""
        for crash in crashes:
            self.remove(crash.key)
            self._writer.write(crash_rows.encode_removal(crash))
