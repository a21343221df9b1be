"""Finds the part of a prompt that crashes each upstream that answers it.

Tens of requests run on an upstream when it crashes, and most of their parts are
sound. The part that crashes upstreams is in a request whose answer had just
begun, at each crash, and no answer to it goes on. Answers to popular parts go
on all the time, and those to rare parts seldom begin just before three crashes.
If one does, or if upstreams crash for another reason, a single request with the
part is let through as a trial.

Built for a few crashes a minute among hundreds of requests a second.
"""

import collections
import dataclasses
import itertools
import typing
from collections.abc import Iterable

# Crashes under an answer that had begun after which a part is refused.
BEGUN_TO_REFUSE = 3
# The same for all crashes: most requests without an answer wait in a queue.
CRASHES_TO_REFUSE = 4
# Crashes, a trial among them, after which the next trial is far off.
CRASHES_TO_END = 5
# Pause before a trial, so that answers in progress can clear the part.
TRIAL_AFTER_S = 0.6
# Trials are made by the hosts that have seen the last crash, or by all after
# this time, since a rare part may not come to those again.
TRIAL_BY_ALL_S = 10.0
# Time until callers of a part with a trial ahead may come again.
TRIAL_RETRY_S = 2.0
# Time from the last crash to the next trial after ``CRASHES_TO_END``.
LATE_TRIAL_S = 900.0
# Time for which an answer that went on shows that its parts are sound.
RECENT_ANSWER_S = 2.0
RETENTION_S = 3600.0
MAX_PARTS = 4096


@dataclasses.dataclass(slots=True)
class _Crash:
    """A crash of an upstream on a request with the part.

    Attributes:
        recorded: Wall-clock time of the crash at the host that saw it first.
        learned_at: Time at which this host learned of it.
        has_begun: Whether the answer had begun.
        is_own: Whether this host has seen the crash itself.
    """

    recorded: float
    learned_at: float
    has_begun: bool
    is_own: bool


class CrashingParts:
    """The crashes of upstreams by the parts of the prompts that they had.

    Crashes are ordered by the wall clocks of the hosts that saw them, because
    their rows may arrive together. All times are in seconds.
    """

    def __init__(self) -> None:
        self._crash_by_id_by_part: collections.OrderedDict[
            str, dict[str, _Crash]
        ] = collections.OrderedDict()
        self._answered_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cleared: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def add(
        self,
        part_id: str,
        crash_id: str,
        recorded: float,
        now: float,
        *,
        has_begun: bool,
        is_own: bool,
    ) -> None:
        """Record a crash; what several hosts tell of one is merged.

        Args:
            part_id: Part of a prompt that the upstream had.
            crash_id: The upstream and its incarnation.
            recorded: Wall-clock time of the crash.
            now: Current time.
            has_begun: Whether the answer to the prompt had just begun.
            is_own: Whether this host has seen the crash itself.
        """
        if (part_id, crash_id) in self._cleared:
            # A row that was written late.
            return
        crash_by_id = self._crash_by_id_by_part.setdefault(part_id, {})
        crash = crash_by_id.setdefault(
            crash_id, _Crash(recorded, now, has_begun, is_own)
        )
        crash.recorded = min(crash.recorded, recorded)
        crash.has_begun |= has_begun
        crash.is_own |= is_own
        self._crash_by_id_by_part.move_to_end(part_id)
        self._forget_oldest()

    def remove(self, part_id: str, crash_id: str) -> None:
        """Remove a crash that no longer counts against a part."""
        self._cleared[part_id, crash_id] = None
        _shorten(self._cleared)
        crash_by_id = self._crash_by_id_by_part.get(part_id, {})
        crash_by_id.pop(crash_id, None)
        if not crash_by_id:
            self._crash_by_id_by_part.pop(part_id, None)

    def on_answered(
        self, part_ids: Iterable[str], began_at: float
    ) -> list[tuple[str, str]]:
        """Record that an answer went on after its beginning.

        Args:
            part_ids: Parts of its prompt.
            began_at: Time at which the answer began.

        Returns:
            The parts and ids of crashes that do not count against them: those
            that were known before the answer began.
        """
        cleared: list[tuple[str, str]] = []
        for part_id in part_ids:
            known = self._answered_at_by_part.pop(part_id, began_at)
            self._answered_at_by_part[part_id] = max(known, began_at)
            cleared.extend(
                (part_id, crash_id)
                for crash_id, crash in self._crashes(part_id).items()
                if crash.learned_at < began_at
            )
        _shorten(self._answered_at_by_part)
        return cleared

    def suspects(self, part_ids: Iterable[str], now: float) -> list[str]:
        """Return the parts that may have crashed an upstream.

        Args:
            part_ids: Parts of a prompt whose answer had not gone on.
            now: Current time.
        """
        horizon = now - RECENT_ANSWER_S
        return [
            part_id
            for part_id in part_ids
            if self._answered_at_by_part.get(part_id, horizon) <= horizon
        ]

    def refused_for_s(self, part_id: str, wall_time: float) -> float:
        """Return how long requests with a part are refused.

        Args:
            part_id: Part of their prompts.
            wall_time: Current wall-clock time.

        Returns:
            Time in seconds; 0 if they are not refused. It is short as long as
            a trial may show that the part is sound.
        """
        crashes = self._recent_crashes(part_id, wall_time)
        if _refused_since(crashes) is None:
            return 0.0
        if not _is_ended(crashes):
            return TRIAL_RETRY_S
        return max(
            crashes[-1].recorded + LATE_TRIAL_S - wall_time, TRIAL_RETRY_S
        )

    def may_try(self, part_id: str, wall_time: float, now: float) -> bool:
        """Return whether this host may make a trial of a refused part.

        Args:
            part_id: The part.
            wall_time: Current wall-clock time.
            now: Current time.
        """
        crashes = self._recent_crashes(part_id, wall_time)
        if not crashes:
            return False
        last = crashes[-1]
        pause_s = TRIAL_AFTER_S if last.is_own else TRIAL_BY_ALL_S
        if _is_ended(crashes):
            return wall_time >= last.recorded + LATE_TRIAL_S
        return now >= last.learned_at + pause_s

    def _forget_oldest(self) -> None:
        """Forget the oldest parts beyond the limit, but keep refused ones."""
        by_part = self._crash_by_id_by_part
        excess = max(len(by_part) - MAX_PARTS, 0)
        for part_id in tuple(itertools.islice(by_part, excess)):
            if len(by_part[part_id]) >= BEGUN_TO_REFUSE:
                by_part.move_to_end(part_id)
        _shorten(by_part)

    def _recent_crashes(self, part_id: str, wall_time: float) -> list[_Crash]:
        """Return the crashes that have not expired, in order."""
        horizon = wall_time - RETENTION_S
        return sorted(
            (
                crash
                for crash in self._crashes(part_id).values()
                if crash.recorded > horizon
            ),
            key=lambda crash: crash.recorded,
        )

    def _crashes(self, part_id: str) -> dict[str, _Crash]:
        return self._crash_by_id_by_part.get(part_id, {})


def _refused_since(crashes: list[_Crash]) -> float | None:
    """Return the time of the crash after which a part is refused."""
    begun = [crash for crash in crashes if crash.has_begun]
    times = []
    if len(begun) >= BEGUN_TO_REFUSE:
        times.append(begun[BEGUN_TO_REFUSE - 1].recorded)
    if len(crashes) >= CRASHES_TO_REFUSE:
        times.append(crashes[CRASHES_TO_REFUSE - 1].recorded)
    return min(times, default=None)


def _is_ended(crashes: list[_Crash]) -> bool:
    """Return whether enough upstreams have crashed, one under a trial.

    Crashes at about the time of the refusal were under way before it.
    """
    since = _refused_since(crashes)
    return (
        since is not None
        and len(crashes) >= CRASHES_TO_END
        and crashes[-1].recorded >= since + TRIAL_AFTER_S
    )


def _shorten(
    by_key: collections.OrderedDict[typing.Any, typing.Any],
) -> None:
    """Drop the oldest entries beyond the limit."""
    while len(by_key) > MAX_PARTS:
        by_key.popitem(last=False)
