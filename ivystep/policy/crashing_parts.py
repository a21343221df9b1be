"""Finds the part of a prompt that crashes each upstream that answers it.

Tens of requests run on an upstream when it crashes, and most of their parts are
sound. The part that crashes upstreams is in a request whose answer had just
begun, at each crash, and no answer to it goes on. Answers to popular parts go
on all the time, and those to rare parts seldom begin just before three crashes.
If one does, a single request with the part is let through as a trial.

Built for a few crashes a minute among hundreds of requests a second.
"""

import collections
import dataclasses
import typing
from collections.abc import Iterable

# Crashes of several upstreams at once have one cause, for example the loss of a
# rack, and count once.
EPISODE_S = 0.04
# Episodes in which an answer had begun after which a part is refused.
BEGUN_TO_REFUSE = 3
# The same for all episodes: most requests without an answer wait in a queue.
EPISODES_TO_REFUSE = 4
# Episodes after which no trial is made.
EPISODES_TO_END = 5
# Trials are made by the hosts that have seen the last crash, or by all after
# this time, since a rare part may not come to those again.
TRIAL_BY_ALL_S = 10.0
# Time until callers of a part with a trial ahead may come again.
TRIAL_RETRY_S = 2.0
# Time for which an answer that went on shows that its parts are sound.
RECENT_ANSWER_S = 2.0
RETENTION_S = 3600.0
MAX_PARTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    """A crash of an upstream on a request with the part.

    Attributes:
        at: Time of the crash.
        learned_at: Time at which this host learned of it.
        has_begun: Whether the answer had begun.
        is_own: Whether this host has seen the crash itself.
    """

    at: float
    learned_at: float
    has_begun: bool
    is_own: bool


class CrashingParts:
    """The crashes of upstreams by the parts of the prompts that they answered.

    All times are in seconds on one clock.
    """

    def __init__(self) -> None:
        self._crash_by_key_by_part: collections.OrderedDict[
            str, dict[str, _Crash]
        ] = collections.OrderedDict()
        self._answered_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(
        self,
        part_id: str,
        key: str,
        at: float,
        now: float,
        *,
        has_begun: bool,
        is_own: bool,
    ) -> None:
        """Record a crash; one that is known is not recorded again.

        Args:
            part_id: Part of a prompt that the upstream had.
            key: Key of the crash, equal at all hosts.
            at: Time of the crash.
            now: Current time.
            has_begun: Whether the answer to the prompt had just begun.
            is_own: Whether this host has seen the crash itself.
        """
        crash_by_key = self._crash_by_key_by_part.setdefault(part_id, {})
        crash_by_key.setdefault(key, _Crash(at, now, has_begun, is_own))
        _shorten(self._crash_by_key_by_part)

    def remove(self, part_id: str, key: str) -> None:
        """Remove a crash that no longer counts against a part."""
        crash_by_key = self._crash_by_key_by_part.get(part_id, {})
        crash_by_key.pop(key, None)
        if not crash_by_key:
            self._crash_by_key_by_part.pop(part_id, None)

    def on_answered(
        self, part_ids: Iterable[str], began_at: float
    ) -> list[str]:
        """Record that an answer went on after its beginning.

        Args:
            part_ids: Parts of its prompt.
            began_at: Time at which the answer began.

        Returns:
            Keys of the crashes that do not count against the parts: those that
            were known before the answer began.
        """
        cleared: list[str] = []
        for part_id in part_ids:
            known = self._answered_at_by_part.pop(part_id, began_at)
            self._answered_at_by_part[part_id] = max(known, began_at)
            cleared.extend(
                key
                for key, crash in self._crashes(part_id).items()
                if crash.learned_at < began_at
            )
        _shorten(self._answered_at_by_part)
        return cleared

    def suspects(self, part_ids: Iterable[str], now: float) -> list[str]:
        """Return the parts that may have crashed an upstream.

        Args:
            part_ids: Parts of a prompt whose answer had just begun.
            now: Current time.
        """
        horizon = now - RECENT_ANSWER_S
        return [
            part_id
            for part_id in part_ids
            if self._answered_at_by_part.get(part_id, horizon) <= horizon
        ]

    def refused_for_s(self, part_id: str, now: float) -> float:
        """Return how long requests with a part are refused.

        Args:
            part_id: Part of their prompts.
            now: Current time.

        Returns:
            Time in seconds; 0 if they are not refused. It is short as long as
            a trial may show that the part is sound.
        """
        crashes = self._recent_crashes(part_id, now)
        episodes = _episodes(crashes)
        begun = _episodes([crash for crash in crashes if crash.has_begun])
        if len(episodes) >= EPISODES_TO_END:
            return episodes[-EPISODES_TO_END] + RETENTION_S - now
        is_refused = (
            len(begun) >= BEGUN_TO_REFUSE or len(episodes) >= EPISODES_TO_REFUSE
        )
        return TRIAL_RETRY_S if is_refused else 0.0

    def may_try(self, part_id: str, now: float) -> bool:
        """Return whether this host may make a trial of a refused part.

        Args:
            part_id: The part.
            now: Current time.
        """
        crashes = self._recent_crashes(part_id, now)
        if not crashes or len(_episodes(crashes)) >= EPISODES_TO_END:
            return False
        last = crashes[-1]
        return last.is_own or now >= last.learned_at + TRIAL_BY_ALL_S

    def _recent_crashes(self, part_id: str, now: float) -> list[_Crash]:
        """Return the crashes that have not expired, in order."""
        horizon = now - RETENTION_S
        return sorted(
            (
                crash
                for crash in self._crashes(part_id).values()
                if crash.at > horizon
            ),
            key=lambda crash: crash.at,
        )

    def _crashes(self, part_id: str) -> dict[str, _Crash]:
        return self._crash_by_key_by_part.get(part_id, {})


def _episodes(crashes: Iterable[_Crash]) -> list[float]:
    """Return the times of crashes, with those at about one time as one."""
    episodes: list[float] = []
    for crash in crashes:
        if not episodes or crash.at >= episodes[-1] + EPISODE_S:
            episodes.append(crash.at)
    return episodes


def _shorten(by_part: collections.OrderedDict[str, typing.Any]) -> None:
    """Drop the oldest parts beyond the limit."""
    while len(by_part) > MAX_PARTS:
        by_part.popitem(last=False)
