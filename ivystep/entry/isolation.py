"""Keeps a request that crashes engines from taking down several upstreams.

Each pool has a quarantine, which collects crash evidence from the status
reports of sidecars and from this entry's attempts. The dispatcher acquires a
permit before each attempt and reports the result of the attempt to it.
"""

from ivystep.core import errors, types
from ivystep.entry import answers
from ivystep.policy import quarantine

SUSPECT_RETRY_AFTER_S = 1.0


class AttemptPermit:
    """Permission to run one attempt of a request.

    Attributes:
        is_isolated: Whether the request is suspected of causing crashes.
        avoid: Ids of the upstreams that are used only if there is no other.
    """

    def __init__(
        self,
        request: types.Request,
        pool_quarantine: quarantine.Quarantine,
        verdict: quarantine.Verdict,
        avoid: frozenset[str],
    ) -> None:
        self.is_isolated = verdict is quarantine.Verdict.ISOLATE
        self.avoid = avoid
        self._request = request
        self._pool_quarantine = pool_quarantine
        self._verdict = verdict
        self._is_open = True

    @property
    def is_current(self) -> bool:
        """Whether the quarantine's verdict is unchanged."""
        return (
            self._pool_quarantine.judge(self._request.fingerprint)
            is self._verdict
        )

    def close(self, *, is_completed: bool = False) -> None:
        """Release the permit; safe to call twice.

        Args:
            is_completed: Whether the whole answer arrived, which clears the
                request of the evidence known so far.
        """
        if not self._is_open:
            return
        self._is_open = False
        if is_completed:
            self._pool_quarantine.on_completed(self._request.fingerprint)
        if self.is_isolated:
            self._pool_quarantine.end_isolated()

    def on_failure(self, upstream_id: str, error: errors.RequestError) -> None:
        """Record a failed attempt and release the permit.

        Args:
            upstream_id: Id of the upstream on which it ran.
            error: The failure.
        """
        if error.engine_lost:
            self._pool_quarantine.on_engine_lost(
                self._request.fingerprint,
                upstream_id,
                error.engine_incarnation,
            )
        self.close()


class Isolation:
    """The quarantines of an entry's pools."""

    def __init__(self) -> None:
        self._quarantine_by_pool: dict[str, quarantine.Quarantine] = {}
        self._status_by_pool: dict[str, dict[str, types.UpstreamStatus]] = {}

    def on_status(self, pool: str, status: types.UpstreamStatus) -> None:
        """Process a status report of a sidecar.

        Args:
            pool: Name of the upstream's pool.
            status: The status report.
        """
        self._quarantine(pool).on_status(status)
        statuses = self._status_by_pool.setdefault(pool, {})
        statuses[status.upstream_id] = status

    def on_lost(self, pool: str, upstream_id: str) -> None:
        """Forget the status of an upstream that cannot be reached."""
        self._status_by_pool.get(pool, {}).pop(upstream_id, None)

    def acquire_permit(self, request: types.Request) -> AttemptPermit:
        """Return a permit to run one attempt of a request.

        Args:
            request: The request.

        Raises:
            errors.RefusedError: Two engines crashed while they ran the
                request, or it is a suspect and another suspect is running.
        """
        pool_quarantine = self._quarantine(request.pool)
        verdict = pool_quarantine.judge(request.fingerprint)
        if verdict is quarantine.Verdict.REFUSE:
            raise answers.refusal(
                'request_quarantined',
                'Two upstreams failed while they ran this request.',
                status=422,
            )
        if verdict is quarantine.Verdict.RUN:
            return AttemptPermit(request, pool_quarantine, verdict, frozenset())
        if not pool_quarantine.start_isolated(request.fingerprint):
            raise answers.refusal(
                'suspect_running',
                'An upstream failed while it ran this request, and another '
                'such request is being tried.',
                status=503,
                retry_after_s=SUSPECT_RETRY_AFTER_S,
            )
        return AttemptPermit(
            request,
            pool_quarantine,
            verdict,
            self._upstreams_to_avoid(request.pool),
        )

    def _upstreams_to_avoid(self, pool: str) -> frozenset[str]:
        """Return all usable upstreams but the one on which suspects run."""
        usable = {
            status.upstream_id
            for status in self._status_by_pool.get(pool, {}).values()
            if status.healthy and not status.draining
        }
        chosen = self._quarantine(pool).choose_upstream(usable)
        return frozenset(usable - {chosen})

    def _quarantine(self, pool: str) -> quarantine.Quarantine:
        return self._quarantine_by_pool.setdefault(
            pool, quarantine.Quarantine(pool)
        )
