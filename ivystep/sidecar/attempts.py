"""The record of attempts of one sidecar incarnation.

It answers whether an attempt was run, and keeps a refused or revoked attempt
from ever starting. Records of ended attempts are kept for ``RETENTION_S``.
"""

import collections
import dataclasses
import enum
from types import MappingProxyType

from ivystep.core import types
from ivystep.runtime import clock

# An entry revokes an attempt within seconds of its deadline, and the longest
# deadline is 600 s; a record that has gone by then would answer "not run".
RETENTION_S = 900.0
# Takes 21 MB; enough for 110 attempts per second.
MAX_ENDED = 100_000


class State(enum.Enum):
    """State of an attempt that this sidecar knows."""

    RUNNING = 'running'
    REVOKED = 'revoked'
    NOT_RUN = 'not_run'
    ENDED = 'ended'
    LOST = 'lost'


STATUS_BY_STATE = MappingProxyType(
    {
        State.RUNNING: types.ExecutionStatus.UNKNOWN,
        State.REVOKED: types.ExecutionStatus.NO,
        State.NOT_RUN: types.ExecutionStatus.NO,
        State.ENDED: types.ExecutionStatus.YES,
        State.LOST: types.ExecutionStatus.UNKNOWN,
    }
)
STATE_BY_STATUS = MappingProxyType(
    {
        types.ExecutionStatus.NO: State.NOT_RUN,
        types.ExecutionStatus.YES: State.ENDED,
        types.ExecutionStatus.UNKNOWN: State.LOST,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """A running attempt.

    Attributes:
        fingerprint: Fingerprint of its request.
        is_isolated: Whether the request is suspected of causing crashes.
        incarnation: Upstream incarnation that it was sent to; empty before.
    """

    fingerprint: bytes
    is_isolated: bool = False
    incarnation: str = ''


class AttemptLog:
    """Attempts by id, bounded in number and age."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, State] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()
        self._running_by_id: dict[str, RunningAttempt] = {}
        self._complete_from = 0.0

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._running_by_id)

    @property
    def has_isolated(self) -> bool:
        """Whether a request that is suspected of crashes is running."""
        return any(one.is_isolated for one in self._running_by_id.values())

    def fingerprints_on(self, incarnation: str) -> tuple[bytes, ...]:
        """Return the fingerprints that an upstream incarnation is running."""
        return tuple(
            one.fingerprint
            for one in self._running_by_id.values()
            if one.incarnation == incarnation
        )

    def execution_status(self, attempt_id: str) -> types.ExecutionStatus | None:
        """Return whether a known attempt was run, or None if unknown here."""
        state = self._state_by_id.get(attempt_id)
        return None if state is None else STATUS_BY_STATE[state]

    def start(self, attempt_id: str, running: RunningAttempt) -> None:
        """Record the start of an attempt that has not been seen.

        Args:
            attempt_id: Id of the attempt.
            running: What it runs.
        """
        self._state_by_id[attempt_id] = State.RUNNING
        self._running_by_id[attempt_id] = running

    def record_sent(self, attempt_id: str, incarnation: str) -> None:
        """Record that a running attempt goes to the upstream now.

        Args:
            attempt_id: Id of the attempt.
            incarnation: Upstream incarnation that gets it.
        """
        self._running_by_id[attempt_id] = dataclasses.replace(
            self._running_by_id[attempt_id], incarnation=incarnation
        )

    def end(self, attempt_id: str, ran: types.ExecutionStatus) -> None:
        """Record the end of an attempt, or that it was refused.

        Args:
            attempt_id: Id of the attempt.
            ran: Whether the upstream ran it.
        """
        self._running_by_id.pop(attempt_id, None)
        self._record_end(attempt_id, STATE_BY_STATUS[ran])

    def revoke(self, attempt_id: str) -> types.ExecutionStatus:
        """Keep an attempt from starting, if it has not started.

        Args:
            attempt_id: Id of the attempt.

        Returns:
            ``NO`` if it was not run and never will be.
        """
        ran = self.execution_status(attempt_id)
        if ran is not None:
            return ran
        self._record_end(attempt_id, State.REVOKED)
        # A record may have been dropped for want of room, so that the absence
        # of one proves nothing until the retention time has passed.
        is_complete = clock.now() >= self._complete_from
        return (
            types.ExecutionStatus.NO
            if is_complete
            else types.ExecutionStatus.UNKNOWN
        )

    def _record_end(self, attempt_id: str, state: State) -> None:
        current = clock.now()
        self._state_by_id[attempt_id] = state
        self._ended.append((current, attempt_id))
        horizon = current - RETENTION_S
        while self._ended[0][0] < horizon or len(self._ended) > MAX_ENDED:
            ended, oldest = self._ended.popleft()
            self._state_by_id.pop(oldest, None)
            if ended >= horizon:
                self._complete_from = current + RETENTION_S
