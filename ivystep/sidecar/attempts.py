"""Records the attempts of one sidecar incarnation.

The log tells whether an attempt was run, and prevents a refused or revoked
attempt from starting later. Records of ended attempts are kept for
``RETENTION_S``.
"""

import collections
import dataclasses
import enum
from types import MappingProxyType

from ivystep.core import types
from ivystep.runtime import clock

# An entry revokes an attempt within seconds of its deadline, and the longest
# deadline is 600 s. If the record were dropped earlier, the revocation of an
# attempt that was run would return "not run".
RETENTION_S = 900.0
# Takes 21 MB and covers RETENTION_S at 110 attempts per second.
MAX_ENDED = 100_000
# An upstream may run an attempt for this long after its connection was closed.
SUSPECT_S = 5.0
MAX_SUSPECTS = 256


class State(enum.Enum):
    """State of a recorded attempt."""

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
        incarnation: Upstream incarnation that it was sent to; empty until then.
    """

    fingerprint: bytes
    is_isolated: bool = False
    incarnation: str = ''


class AttemptLog:
    """States of attempts by id, bounded in number and age."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, State] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()
        self._running_by_id: dict[str, RunningAttempt] = {}
        self._records_complete_from = 0.0
        # Attempts that were ended before their upstream answered.
        self._given_up: collections.deque[tuple[float, RunningAttempt]] = (
            collections.deque(maxlen=MAX_SUSPECTS)
        )

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._running_by_id)

    @property
    def has_isolated(self) -> bool:
        """Whether a request suspected of causing crashes is running."""
        return any(one.is_isolated for one in self._running_by_id.values())

    def fingerprints_on(self, incarnation: str) -> tuple[bytes, ...]:
        """Return the fingerprints that an upstream incarnation may be running.

        Among them are those of attempts that were ended within ``SUSPECT_S``
        before it answered.
        """
        horizon = clock.now() - SUSPECT_S
        given_up = (one for ended, one in self._given_up if ended > horizon)
        return tuple(
            one.fingerprint
            for one in (*self._running_by_id.values(), *given_up)
            if one.incarnation == incarnation
        )

    def execution_status(self, attempt_id: str) -> types.ExecutionStatus | None:
        """Return whether an attempt was run, or None if it is not recorded."""
        state = self._state_by_id.get(attempt_id)
        return None if state is None else STATUS_BY_STATE[state]

    def start(self, attempt_id: str, running: RunningAttempt) -> None:
        """Record the start of a new attempt.

        Args:
            attempt_id: Id of the attempt.
            running: The attempt.
        """
        self._state_by_id[attempt_id] = State.RUNNING
        self._running_by_id[attempt_id] = running

    def record_sent(self, attempt_id: str, incarnation: str) -> None:
        """Record that a running attempt is about to be sent to the upstream.

        Args:
            attempt_id: Id of the attempt.
            incarnation: Upstream incarnation that receives it.
        """
        self._running_by_id[attempt_id] = dataclasses.replace(
            self._running_by_id[attempt_id], incarnation=incarnation
        )

    def end(self, attempt_id: str, ran: types.ExecutionStatus) -> None:
        """Record that an attempt has ended or was refused.

        Args:
            attempt_id: Id of the attempt.
            ran: Whether the upstream ran it.
        """
        running = self._running_by_id.pop(attempt_id, None)
        if running is not None and ran is types.ExecutionStatus.UNKNOWN:
            self._given_up.append((clock.now(), running))
        self._record_end(attempt_id, STATE_BY_STATUS[ran])

    def revoke(self, attempt_id: str) -> types.ExecutionStatus:
        """Prevent an attempt from starting, unless it has started already.

        Args:
            attempt_id: Id of the attempt.

        Returns:
            ``NO`` if it was not run and never will be.
        """
        ran = self.execution_status(attempt_id)
        if ran is not None:
            return ran
        self._record_end(attempt_id, State.REVOKED)
        # After a record was dropped early because the log was full, a missing
        # record proves nothing until the retention time has passed.
        is_complete = clock.now() >= self._records_complete_from
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
                self._records_complete_from = current + RETENTION_S
