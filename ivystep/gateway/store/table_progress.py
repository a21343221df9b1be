"""Tells the other hosts how far the leader has followed the store's tables.

Each host reads the changes of a table from the store itself, but polling for
them on every host costs calls in proportion to the hosts. The leader therefore
polls often, and its heartbeats carry the version of the last change and the
store's time up to which it has seen all changes. A host that has this change
does not poll. It polls on its own once the leader's progress is too old,
because the leader may have stopped, be slow or have lost the store.
"""

import dataclasses
import typing
from collections.abc import Callable, Iterable

import eventlet
from eventlet import event

# Share of the largest age of the leader's progress for which its own poll of an
# unchanged table may wait. The rest is for the call, the pause after it and the
# heartbeat.
LEADER_WAIT_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class TableProgress:
    """How far a host has followed a table.

    Attributes:
        era: Era of the store to which the version belongs.
        version: Store version of the last change that all hosts need.
        complete_at_s: Time on the store's steady clock, in seconds, up to which
            the host has seen all changes.
    """

    table: str
    era: int
    version: int
    complete_at_s: float


class ProgressSource(typing.Protocol):
    """Feed of one table at this host."""

    def progress(self) -> TableProgress | None:
        """Return how far the feed has come; None if it cannot tell."""


class SharedProgress:
    """The progress of the leader, as known to this host.

    Args:
        max_age_s: Age in seconds beyond which the leader's progress is not
            relied on.
        is_leader: Returns whether this host is the leader.
        on_current: Called while this host relies on the leader's progress.

    Attributes:
        max_age_s: See the argument.
    """

    def __init__(
        self,
        max_age_s: float,
        is_leader: Callable[[], bool],
        on_current: Callable[[], None],
    ) -> None:
        self.max_age_s = max_age_s
        self.on_current = on_current
        self._is_leader = is_leader
        self._sources: list[ProgressSource] = []
        self._progress_by_table: dict[str, TableProgress] = {}
        self._changed = event.Event()

    def add_source(self, source: ProgressSource) -> None:
        """Tell the other hosts of a feed's progress while this one leads."""
        self._sources.append(source)

    def own(self) -> list[TableProgress]:
        """Return the progress of this host's feeds."""
        known = [source.progress() for source in self._sources]
        return [progress for progress in known if progress is not None]

    def find(self, table: str) -> TableProgress | None:
        """Return the leader's progress with a table; None if unknown."""
        return self._progress_by_table.get(table)

    def record(self, told: Iterable[TableProgress]) -> None:
        """Record what the leader tells, and wake the feeds after a change."""
        is_changed = False
        for progress in told:
            known = self._progress_by_table.get(progress.table)
            self._progress_by_table[progress.table] = progress
            is_changed |= known is None or (known.era, known.version) != (
                progress.era,
                progress.version,
            )
        if is_changed:
            self._changed.send()
            self._changed = event.Event()

    def wait(self, timeout_s: float) -> None:
        """Wait until the leader tells of a change.

        Args:
            timeout_s: Longest wait in seconds.
        """
        with eventlet.Timeout(timeout_s, exception=False):
            self._changed.wait()

    def limit_poll_s(self, wait_s: float) -> float:
        """Return for how long a poll may wait for a change, in seconds.

        Args:
            wait_s: Longest wait on a host that is not the leader.
        """
        if self._is_leader():
            return min(wait_s, LEADER_WAIT_SHARE * self.max_age_s)
        return wait_s
