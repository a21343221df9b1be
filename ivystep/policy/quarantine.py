"""Quarantine of requests that may have crashed an engine.

A piece of evidence says that a request was running when one incarnation of one
upstream failed. A request with one piece of evidence is a suspect: it runs
isolated, at most one suspect at a time in a pool. A request with two pieces is
refused. A suspect that completes is cleared of the evidence known so far.

Evidence is only added until it expires after an hour, so reports may be
repeated, delayed or out of order. Its size is bounded by ``MAX_REQUESTS`` and
by the sidecars' reports, which contain at most 256 pieces each.
"""

import collections
import dataclasses
import enum
import hashlib
from collections.abc import Iterable

from ivystep.core import types
from ivystep.runtime import clock

RETENTION_S = 3600.0
MAX_REQUESTS = 4096
LOSSES_TO_REFUSE = 2


class Verdict(enum.Enum):
    """What an entry may do with a request."""

    RUN = 'run'
    ISOLATE = 'isolate'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFailure:
    """The failure of one incarnation of an upstream."""

    upstream_id: str
    engine_incarnation: str


class _Evidence:
    """The failures during which one request was running.

    Attributes:
        time_by_failure: Time of each failure.
        cleared: Failures that no longer count, because the request completed
            after them.
    """

    def __init__(self) -> None:
        self.time_by_failure: dict[UpstreamFailure, float] = {}
        self.cleared: set[UpstreamFailure] = set()

    def expire(self, horizon: float) -> None:
        """Drop the failures recorded up to a time."""
        for failure, recorded in tuple(self.time_by_failure.items()):
            if recorded <= horizon:
                self.time_by_failure.pop(failure)
                self.cleared.discard(failure)

    @property
    def losses(self) -> int:
        """Number of failures that still count."""
        return len(self.time_by_failure) - len(self.cleared)


class Quarantine:
    """Judges the requests of one pool at one entry.

    Args:
        pool: Name of the pool.
        losses_to_refuse: Failures after which a request is refused.
    """

    def __init__(
        self, pool: str, losses_to_refuse: int = LOSSES_TO_REFUSE
    ) -> None:
        self._pool = pool
        self._losses_to_refuse = losses_to_refuse
        self._evidence_by_request: collections.OrderedDict[bytes, _Evidence] = (
            collections.OrderedDict()
        )
        self._isolated: bytes | None = None

    def on_status(self, status: types.UpstreamStatus) -> None:
        """Add the crash evidence of a sidecar's report.

        Args:
            status: The report; it may repeat known evidence.
        """
        for crash in status.crash_fingerprints:
            failure = UpstreamFailure(
                status.upstream_id, crash.engine_incarnation
            )
            self.add(crash.fingerprint, failure, crash.recorded)

    def on_engine_lost(
        self, fingerprint: bytes, upstream_id: str, engine_incarnation: str
    ) -> None:
        """Add the failure of an engine during an attempt of this entry.

        Args:
            fingerprint: Fingerprint of the request.
            upstream_id: Upstream that failed.
            engine_incarnation: Incarnation that failed. If it is empty, nothing
                is added, because the same failure in the sidecar's report
                would then count again.
        """
        if engine_incarnation:
            failure = UpstreamFailure(upstream_id, engine_incarnation)
            self.add(fingerprint, failure, clock.now())

    def on_completed(self, fingerprint: bytes) -> None:
        """Clear a suspect that has completed.

        Args:
            fingerprint: Fingerprint of the request.
        """
        evidence = self._current_evidence(fingerprint)
        if evidence is not None and evidence.losses < self._losses_to_refuse:
            # The failures are kept, marked as cleared, because sidecars
            # continue to report them.
            evidence.cleared.update(evidence.time_by_failure)

    def judge(self, fingerprint: bytes) -> Verdict:
        """Return what may be done with a request now.

        Args:
            fingerprint: Fingerprint of the request. It must be judged again
                after a wait, since evidence may have arrived.
        """
        evidence = self._current_evidence(fingerprint)
        if evidence is None or not evidence.losses:
            return Verdict.RUN
        if evidence.losses < self._losses_to_refuse:
            return Verdict.ISOLATE
        return Verdict.REFUSE

    def start_isolated(self, fingerprint: bytes) -> bool:
        """Reserve the pool's only place for a suspect.

        Args:
            fingerprint: Fingerprint of the suspect.

        Returns:
            False if another suspect is running; the request must wait.
        """
        if self._isolated is not None:
            return False
        self._isolated = fingerprint
        return True

    def end_isolated(self) -> None:
        """Release the place for a suspect, whatever its outcome."""
        self._isolated = None

    def choose_upstream(self, upstream_ids: Iterable[str]) -> str | None:
        """Choose the upstream on which suspects of this pool run.

        Entries that know the same upstreams choose the same one, whose sidecar
        runs one suspect at a time. Suspects sent through several entries at
        once can therefore crash only that one.

        Args:
            upstream_ids: Upstreams of the pool that accept requests.
        """
        return max(upstream_ids, key=self._rank, default=None)

    def add(
        self, fingerprint: bytes, failure: UpstreamFailure, recorded: float
    ) -> None:
        """Add a failure during which a request was running.

        Args:
            fingerprint: Fingerprint of the request.
            failure: The failure; one that is known is not added again.
            recorded: Time of the failure.
        """
        if recorded <= clock.now() - RETENTION_S:
            return
        evidence = self._evidence_by_request.setdefault(
            fingerprint, _Evidence()
        )
        if failure in evidence.time_by_failure:
            return
        evidence.time_by_failure[failure] = recorded
        self._evidence_by_request.move_to_end(fingerprint)
        while len(self._evidence_by_request) > MAX_REQUESTS:
            self._evidence_by_request.popitem(last=False)

    def remove(self, fingerprint: bytes, failure: UpstreamFailure) -> None:
        """Remove a failure that no longer counts against a request."""
        evidence = self._evidence_by_request.get(fingerprint)
        if evidence is not None:
            evidence.time_by_failure.pop(failure, None)

    def failures(self, fingerprint: bytes) -> tuple[UpstreamFailure, ...]:
        """Return the failures during which a request was running."""
        evidence = self._current_evidence(fingerprint)
        return tuple(evidence.time_by_failure) if evidence else ()

    def refused_for_s(self, fingerprint: bytes) -> float:
        """Return how long a request is refused if nothing is added.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            Time in seconds; 0 if the request is not refused.
        """
        evidence = self._current_evidence(fingerprint)
        excess = evidence.losses - self._losses_to_refuse if evidence else -1
        if evidence is None or excess < 0:
            return 0.0
        times = sorted(
            recorded
            for failure, recorded in evidence.time_by_failure.items()
            if failure not in evidence.cleared
        )
        return times[excess] + RETENTION_S - clock.now()

    def _rank(self, upstream_id: str) -> bytes:
        name = f'{self._pool}\0{upstream_id}'
        return hashlib.sha256(name.encode()).digest()

    def _current_evidence(self, fingerprint: bytes) -> _Evidence | None:
        evidence = self._evidence_by_request.get(fingerprint)
        if evidence is None:
            return None
        evidence.expire(clock.now() - RETENTION_S)
        if not evidence.time_by_failure:
            self._evidence_by_request.pop(fingerprint)
            return None
        return evidence
