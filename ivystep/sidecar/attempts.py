"""The record of attempts of one sidecar incarnation.

It answers whether an attempt was run, and keeps a revoked attempt from ever
starting. Records of ended attempts are kept for ``RETENTION_S``.
"""

import collections
import enum
from types import MappingProxyType

from ivystep.core import types
from ivystep.runtime import clock

RETENTION_S = 600.0
MAX_ENDED = 100_000


class State(enum.Enum):
    """State of an attempt that this sidecar knows."""

    RUNNING = 'running'
    REVOKED = 'revoked'
    NOT_RUN = 'not_run'
    ENDED = 'ended'
    LOST = 'lost'


RAN_BY_STATE = MappingProxyType(
    {
        State.RUNNING: types.Ran.UNKNOWN,
        State.REVOKED: types.Ran.NO,
        State.NOT_RUN: types.Ran.NO,
        State.ENDED: types.Ran.YES,
        State.LOST: types.Ran.UNKNOWN,
    }
)


class AttemptLog:
    """Attempts by id, bounded in number and age."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, State] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()
        self._fingerprint_by_id: dict[str, bytes] = {}

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._fingerprint_by_id)

    @property
    def running_fingerprints(self) -> tuple[bytes, ...]:
        """Fingerprints of the running attempts."""
        return tuple(self._fingerprint_by_id.values())

    def start(self, attempt_id: str, fingerprint: bytes) -> bool:
        """Record the start of an attempt.

        Args:
            attempt_id: Id of the attempt.
            fingerprint: Fingerprint of its request.

        Returns:
            False if the attempt was revoked or has been seen before; it must
            not run then.
        """
        if attempt_id in self._state_by_id:
            return False
        self._state_by_id[attempt_id] = State.RUNNING
        self._fingerprint_by_id[attempt_id] = fingerprint
        return True

    def end(self, attempt_id: str, ran: types.Ran) -> None:
        """Record the end of a running attempt.

        Args:
            attempt_id: Id of the attempt.
            ran: Whether the upstream ran it.
        """
        state_by_ran = {
            types.Ran.NO: State.NOT_RUN,
            types.Ran.YES: State.ENDED,
            types.Ran.UNKNOWN: State.LOST,
        }
        self._fingerprint_by_id.pop(attempt_id, None)
        self._retire(attempt_id, state_by_ran[ran])

    def revoke(self, attempt_id: str) -> types.Ran:
        """Keep an attempt from starting, if it has not started.

        Args:
            attempt_id: Id of the attempt.

        Returns:
            ``NO`` if it was not run and never will be.
        """
        state = self._state_by_id.get(attempt_id)
        if state is None:
            self._retire(attempt_id, State.REVOKED)
            return types.Ran.NO
        return RAN_BY_STATE[state]

    def _retire(self, attempt_id: str, state: State) -> None:
        current = clock.now()
        self._state_by_id[attempt_id] = state
        self._ended.append((current, attempt_id))
        while self._ended and (
            self._ended[0][0] < current - RETENTION_S
            or len(self._ended) > MAX_ENDED
        ):
            _, oldest = self._ended.popleft()
            self._state_by_id.pop(oldest, None)
