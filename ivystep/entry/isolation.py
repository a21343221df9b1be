"""Keeps crash-causing requests from taking down one upstream after another.

Each pool has a quarantine that learns from sidecars' reports and from own
attempts. Dispatch asks for a permit before each attempt and tells how the
attempt ended.
"""

from ivystep.core import errors, types
from ivystep.entry import answers
from ivystep.policy import quarantine

BUSY_RETRY_AFTER_S = 1.0


class Permit:
    """Leave to run one attempt of a request.

    Attributes:
        is_isolated: Whether the request is suspected of causing crashes.
        avoid: Upstreams to leave to other requests, if another can be had.
    """

    def __init__(
        self,
        request: types.Request,
        judge: quarantine.Quarantine,
        verdict: quarantine.Verdict,
        avoid: frozenset[str],
    ) -> None:
        self.is_isolated = verdict is quarantine.Verdict.ISOLATE
        self.avoid = avoid
        self._request = request
        self._judge = judge
        self._verdict = verdict
        self._is_open = True

    @property
    def is_current(self) -> bool:
        """Whether no evidence has arrived that asks for more caution."""
        return self._judge.judge(self._request.fingerprint) is self._verdict

    def close(self, *, is_completed: bool = False) -> None:
        """Give the permit back; safe to call twice.

        Args:
            is_completed: Whether the whole answer arrived, which clears the
                request of the suspicion.
        """
        if not self._is_open:
            return
        self._is_open = False
        if is_completed:
            self._judge.on_completed(self._request.fingerprint)
        if self.is_isolated:
            self._judge.end_isolated()

    def on_failure(self, upstream_id: str, error: errors.RequestError) -> None:
        """Take over the failure of the attempt.

        Args:
            upstream_id: Where it ran.
            error: How it failed.
        """
        if error.engine_lost:
            self._judge.on_engine_lost(
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
        """Take over a sidecar's report.

        Args:
            pool: Name of the upstream's pool.
            status: The report.
        """
        self._quarantine(pool).on_status(status)
        statuses = self._status_by_pool.setdefault(pool, {})
        statuses[status.upstream_id] = status

    def on_lost(self, pool: str, upstream_id: str) -> None:
        """Take over that an upstream cannot be reached."""
        self._status_by_pool.get(pool, {}).pop(upstream_id, None)

    def enter(self, request: types.Request) -> Permit:
        """Return a permit to run one attempt of a request.

        Args:
            request: The request.

        Raises:
            errors.RefusedError: Two upstreams failed while they ran it, or
                another suspect is running.
        """
        judge = self._quarantine(request.pool)
        verdict = judge.judge(request.fingerprint)
        if verdict is quarantine.Verdict.REFUSE:
            raise answers.refusal(
                'request_quarantined',
                'Two upstreams failed while they ran this request.',
                status=422,
            )
        if verdict is quarantine.Verdict.RUN:
            return Permit(request, judge, verdict, frozenset())
        if not judge.start_isolated(request.fingerprint):
            raise answers.refusal(
                'suspect_running',
                'An upstream failed while it ran this request, and another '
                'such request is being tried.',
                status=503,
                retry_after_s=BUSY_RETRY_AFTER_S,
            )
        return Permit(request, judge, verdict, self._others(request.pool))

    def _others(self, pool: str) -> frozenset[str]:
        """Return all upstreams but the one on which suspects are tried."""
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
