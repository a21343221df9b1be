"""Durable at-most-once claims, one row in the table service for each key.

The first claimant of a key writes the row if it is absent; later claimants
find it. A claim is not a lease: it does not pass to another claimant if the
first is paused or has stopped. It then stays ``taken``, and repeats get the
outcome ``unknown``.

The table service has no operation that deletes a row. Each row contains
``expires_wall_time``, and the platform removes rows after that time. Until
then a claim is in force, regardless of this host's wall clock.
"""

import dataclasses
import enum
import typing
from types import MappingProxyType

from ivystep.coordination import group_commit
from ivystep.core import errors, ids, types
from ivystep.platform import table
from ivystep.runtime import clock, logs

RETENTION_S = 86400.0
# One try may be lost to an unanswered write, and one to another claimant of a
# released claim; the third covers both in one call.
MAX_TRIES = 3

log = logs.get('claims')


class ClaimState(enum.Enum):
    """State of a claim as stored in its row."""

    TAKEN = 'taken'
    RELEASED = 'released'
    RAN = 'ran'
    UNKNOWN = 'unknown'


STATE_BY_RAN = MappingProxyType(
    {
        types.ExecutionStatus.NO: ClaimState.RELEASED,
        types.ExecutionStatus.YES: ClaimState.RAN,
        types.ExecutionStatus.UNKNOWN: ClaimState.UNKNOWN,
    }
)
RAN_BY_STATE = MappingProxyType(
    {
        ClaimState.TAKEN: types.ExecutionStatus.UNKNOWN,
        ClaimState.RELEASED: types.ExecutionStatus.NO,
        ClaimState.RAN: types.ExecutionStatus.YES,
        ClaimState.UNKNOWN: types.ExecutionStatus.UNKNOWN,
    }
)
# States that the claimant cannot change any more.
FINAL_STATES = frozenset((ClaimState.RELEASED, ClaimState.RAN))


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim as found or acquired.

    Attributes:
        granted: Whether the caller of ``acquire`` holds the claim and may run
            the request.
        status: HTTP status of the answer; None until it is recorded.
        claimant_id: Id of the request that holds the claim, or held it last.
        matches: Whether the caller's fingerprint equals that of the claim.
            Always True for ``read``, which compares nothing.
    """

    granted: bool
    state: ClaimState
    status: int | None
    claimant_id: str
    matches: bool

    @property
    def ran(self) -> types.ExecutionStatus:
        """Whether the claimed request was run, according to the row."""
        return RAN_BY_STATE[self.state]


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """The value of a claim's row."""

    claimant_id: str
    process_id: str
    fingerprint: str
    state: ClaimState
    status: int | None
    expires_wall_time: float

    def to_value(self) -> dict[str, typing.Any]:
        return {**dataclasses.asdict(self), 'state': self.state.value}

    @classmethod
    def from_value(cls, value: dict[str, typing.Any]) -> typing.Self:
        return cls(**{**value, 'state': ClaimState(value['state'])})

    def claim(self, fingerprint: bytes | None = None) -> Claim:
        """Return the claim as seen by a request that does not hold it."""
        return Claim(
            granted=False,
            state=self.state,
            status=self.status,
            claimant_id=self.claimant_id,
            matches=fingerprint is None
            or self.fingerprint == fingerprint.hex(),
        )


class ClaimLog:
    """Claims of this process.

    Args:
        rows: The table service.
        process_id: Id of this process, recorded for operators.
    """

    def __init__(self, rows: table.Table, process_id: str) -> None:
        self._rows = rows
        self._process_id = process_id
        self._commits = group_commit.GroupCommit(rows)

    def acquire(
        self, account: str, key: str, claimant_id: str, fingerprint: bytes
    ) -> Claim:
        """Acquire the claim of a key, unless another request has it.

        A claim that was settled with ``ran: no`` can be acquired again. A
        caller that is interrupted here, or gets ``UncertainWriteError``, must
        not run the request and should call ``settle`` with ``ran: no``.

        Args:
            account: Client account; keys of accounts are independent.
            key: Idempotency key of the caller; only its digest is stored.
            claimant_id: Id of the request, used for one run only.
            fingerprint: Digest of the request's content.

        Returns:
            The claim, with ``granted`` set for its holder.

        Raises:
            errors.UnavailableError: The claim was not acquired.
            errors.UncertainWriteError: The claim may have been acquired.
        """
        row_key = _row_key(account, key)
        wanted = self._record(claimant_id, fingerprint, ClaimState.TAKEN)
        is_uncertain = False
        found: table.Row | None = None
        for _ in range(MAX_TRIES):
            try:
                return self._try_acquire(row_key, wanted, fingerprint, found)
            except errors.ConflictError as error:
                problem: errors.PlatformError = error
            except errors.UnavailableError as error:
                raise _final_error(error, is_uncertain) from error
            except errors.UncertainWriteError as error:
                is_uncertain = True
                problem = error
            found = self._find(row_key, is_uncertain)
            decided = self._decide(found, wanted, fingerprint)
            if decided is not None:
                return decided
        raise _final_error(problem, is_uncertain)

    def settle(
        self,
        account: str,
        key: str,
        claimant_id: str,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> None:
        """Record the outcome of a claimed request.

        ``ran: no`` releases the claim, so that it can be acquired again. Only
        the claimant can release it; while the outcome is unknown, no other
        request can acquire it. ``unknown`` may be settled again once the
        outcome is known.

        Args:
            account: Client account.
            key: Idempotency key of the caller.
            claimant_id: Id given to ``acquire``.
            ran: Whether the request was run.
            status: HTTP status of the answer; None if there was none.

        Raises:
            errors.UnavailableError: Nothing was recorded.
            errors.UncertainWriteError: The outcome may have been recorded.
            errors.InvariantError: The claim has another final outcome, or
                another claimant holds it although the request ran.
        """
        row_key = _row_key(account, key)
        is_uncertain = False
        for _ in range(MAX_TRIES):
            found = self._find(row_key, is_uncertain)
            settled = self._settled_record(found, claimant_id, ran, status)
            if settled is None:
                return
            try:
                self._put(row_key, settled, found)
            except errors.ConflictError as error:
                problem: errors.PlatformError = error
            except errors.UnavailableError as error:
                raise _final_error(error, is_uncertain) from error
            except errors.UncertainWriteError as error:
                is_uncertain = True
                problem = error
            else:
                return
        raise _final_error(problem, is_uncertain)

    def read(self, account: str, key: str) -> Claim | None:
        """Return the claim recorded for a key, or None.

        Raises:
            errors.UnavailableError: The row could not be read.
        """
        found = self._rows.get(_row_key(account, key))
        return _Record.from_value(found.value).claim() if found else None

    def _try_acquire(
        self,
        row_key: str,
        wanted: _Record,
        fingerprint: bytes,
        found: table.Row | None,
    ) -> Claim:
        self._put(row_key, wanted, found)
        return _granted(wanted, fingerprint)

    def _decide(
        self, found: table.Row | None, wanted: _Record, fingerprint: bytes
    ) -> Claim | None:
        """Return the claim that a row shows, or None to write it again.

        An absent row does not prove that an unanswered put failed: it may
        still take effect. Putting again is safe, because only one of both can
        meet the expected version.
        """
        if found is None:
            return None
        record = _Record.from_value(found.value)
        if record.state is ClaimState.RELEASED:
            return None
        if self._is_own(record, wanted):
            return _granted(wanted, fingerprint)
        return record.claim(fingerprint)

    def _is_own(self, record: _Record, wanted: _Record) -> bool:
        return (
            record.claimant_id == wanted.claimant_id
            and record.state is ClaimState.TAKEN
        )

    def _settled_record(
        self,
        found: table.Row | None,
        claimant_id: str,
        ran: types.ExecutionStatus,
        status: int | None,
    ) -> _Record | None:
        """Return the record to write, or None if nothing is left to do."""
        state = STATE_BY_RAN[ran]
        record = _Record.from_value(found.value) if found else None
        if record is None or record.claimant_id != claimant_id:
            return self._fence(record, claimant_id, state, status)
        if record.state is state:
            return None
        if record.state in FINAL_STATES:
            raise errors.InvariantError(
                f'the claim is {record.state.value}, not {state.value}',
                step='settle',
            )
        return dataclasses.replace(
            record,
            state=state,
            status=status,
            expires_wall_time=clock.wall_time() + RETENTION_S,
        )

    def _fence(
        self,
        record: _Record | None,
        claimant_id: str,
        state: ClaimState,
        status: int | None,
    ) -> _Record | None:
        """Return a record that keeps an unanswered put from taking effect.

        A new version of the row makes every put in transit conflict. A row
        that another claimant holds has a new version already, so None is
        returned for it.
        """
        if record is None or record.state is ClaimState.RELEASED:
            return dataclasses.replace(
                self._record(claimant_id, b'', state), status=status
            )
        if state is ClaimState.RELEASED:
            return None
        raise errors.InvariantError(
            f'claimant {record.claimant_id} holds the claim', step='settle'
        )

    def _record(
        self, claimant_id: str, fingerprint: bytes, state: ClaimState
    ) -> _Record:
        return _Record(
            claimant_id=claimant_id,
            process_id=self._process_id,
            fingerprint=fingerprint.hex(),
            state=state,
            status=None,
            expires_wall_time=clock.wall_time() + RETENTION_S,
        )

    def _put(
        self, row_key: str, record: _Record, found: table.Row | None
    ) -> None:
        self._commits.put(
            table.Put.replacing(found, row_key, record.to_value())
        )

    def _find(self, row_key: str, is_uncertain: bool) -> table.Row | None:
        try:
            return self._rows.get(row_key)
        except errors.UnavailableError as error:
            raise _final_error(error, is_uncertain) from error


def _row_key(account: str, key: str) -> str:
    return f'claim/{account}/{ids.digest(key.encode()).hex()}'


def _granted(record: _Record, fingerprint: bytes) -> Claim:
    return dataclasses.replace(record.claim(fingerprint), granted=True)


def _final_error(
    error: errors.PlatformError, is_uncertain: bool
) -> errors.PlatformError:
    """Return the error to raise after the last try.

    Args:
        error: Error of the last try.
        is_uncertain: Whether an earlier write got no answer.
    """
    kind = (
        errors.UncertainWriteError if is_uncertain else errors.UnavailableError
    )
    return kind(error.reason, step='claim', peer=error.peer)
