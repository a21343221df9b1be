"""What the leader knows of the hosts, and which part of the limits they use.

Without contact to a leader, a host uses its fallback share. The leader holds
the share back from all buckets for as long as the host may use it. It does so
with a refill time, which runs at the pace of the clock times the fraction of
the limits that is left. A bucket thus costs nothing while it is not used.

A new leader does not know the hosts of the last one. For one window, the
refill time runs only for the shares of hosts that have connected to it.

Designed for 1,200 hosts: a walk over them every 20 ms at most.
"""

import dataclasses
import math

from ivystep.quotas import reports, timing

# Time in a term after which hosts that know of no other hosts are taken to be
# all there are.
FRESH_WAIT_S = 1.0
# Largest age of the refill time.
MAX_AGE_S = 0.02


@dataclasses.dataclass(slots=True)
class HostAccount:
    """Totals of one account at one host; see ``reports``."""

    granted: int = 0
    spent: int = 0
    returned: int = 0
    refunded: int = 0

    @property
    def held(self) -> int:
        """Credit that the host may still spend."""
        return self.granted - self.spent - self.returned


@dataclasses.dataclass(slots=True)
class HostRecord:
    """State of one host.

    Attributes:
        share: The largest share that the host may use without a leader.
        is_fresh: Whether no leader had told it a share when it connected. Its
            predecessor has ended, so an equal part is free.
        received_at: Uptime in seconds of its last report.
        confirmed_at: Uptime in seconds of the last report to which the host
            has certainly seen the answer; infinitely early if there is none.
        is_void: Whether the credit of its incarnation has been voided.
    """

    incarnation: int = 0
    sequence: int = 0
    share: float = 0.0
    is_fresh: bool = False
    received_at: float = -math.inf
    confirmed_at: float = -math.inf
    is_void: bool = False
    account_by_name: dict[str, HostAccount] = dataclasses.field(
        default_factory=dict
    )

    def lost_s(self, start: float, end: float, window_s: float) -> float:
        """Return for how long within a period the host may use its share."""
        if not self.is_confirmed:
            return 0.0
        lost_from = self.confirmed_at + timing.HOLD_BACK_AFTER_S
        return _overlap_s(start, end, lost_from, self.received_at + window_s)

    def connected_s(self, start: float, end: float) -> float:
        """Return for how long within a period the host was in contact."""
        if not self.is_confirmed:
            return 0.0
        return _overlap_s(
            start, end, -math.inf, self.confirmed_at + timing.HOLD_BACK_AFTER_S
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether the host has seen an answer in this term."""
        return self.confirmed_at > -math.inf


class HostRecords:
    """The hosts of one term.

    Args:
        started_at: Uptime in seconds at which the term began.
        window_s: Time for which fallback shares are valid.
        is_first: Whether there was no leader before.

    Attributes:
        refill_time_s: Seconds of refill since the start of the term.
        fraction: Share of the limits that is not left to hosts without
            contact.
    """

    def __init__(
        self,
        started_at: float,
        window_s: float,
        *,
        is_first: bool,
    ) -> None:
        self.record_by_host: dict[str, HostRecord] = {}
        self.refill_time_s = 0.0
        self.fraction = float(is_first)
        self._window_s = window_s
        self._started_at = started_at
        self._known_hosts = 0
        self._promised = 0.0
        self._counted_at = started_at
        self._handover_end = started_at
        if not is_first:
            self._handover_end += window_s

    @property
    def is_settled(self) -> bool:
        """Whether no host can still use a share of an earlier term."""
        return self._counted_at >= self._handover_end

    @property
    def count(self) -> int:
        """Number of hosts of which the leader knows."""
        return len(self.record_by_host)

    def on_join(self, report: reports.HostReport) -> HostRecord:
        """Record a new incarnation of a host, which holds no credit."""
        self._known_hosts = max(self._known_hosts, report.hosts)
        record = self.record_by_host.get(report.host)
        if record is None:
            record = self.record_by_host[report.host] = HostRecord()
            record.is_fresh = not report.hosts
            if not self.is_settled:
                self._promise(record, report.share)
        record.incarnation = report.incarnation
        record.sequence = 0
        record.is_void = False
        record.account_by_name = {}
        return record

    def on_report(
        self, record: HostRecord, report: reports.HostReport, now: float
    ) -> None:
        """Record that a host has reported."""
        if now > record.confirmed_at + timing.HOLD_BACK_AFTER_S:
            self.advance(now, is_exact=True)
        if report.answered and report.answered == record.sequence:
            record.confirmed_at = record.received_at
        record.sequence = report.sequence
        record.received_at = now

    def next_share(
        self, record: HostRecord, report: reports.HostReport
    ) -> float:
        """Return the share to tell a host with the answer to its report.

        The sum of all shares that hosts may have is at most 1: a share grows
        only after the others have confirmed that theirs are smaller.
        """
        if not record.is_confirmed or not self.is_settled:
            return record.share if record.is_confirmed else report.share
        others = self._promised - record.share
        share = min(1 / self.count, max(1 - others, 0.0))
        self._promise(record, max(report.share, share))
        return share

    def advance(self, now: float, *, is_exact: bool = False) -> bool:
        """Advance the refill time.

        Args:
            now: Current uptime in seconds.
            is_exact: Whether to advance even if it was done just before.

        Returns:
            Whether it was advanced.
        """
        if now <= self._counted_at or (
            not is_exact and now < self._counted_at + MAX_AGE_S
        ):
            return False
        start = self._counted_at
        middle = min(max(self._handover_end, start), now)
        self.refill_time_s += self._connected_time_s(start, middle)
        left_s = now - middle - self._lost_time_s(middle, now)
        self.refill_time_s += max(left_s, 0.0)
        self._counted_at = now
        self.fraction = self._current_fraction(now)
        return True

    def remove_expired(self, now: float) -> list[HostRecord]:
        """Void the credit of silent hosts and forget them after a window.

        Returns:
            The hosts whose credit is to be settled as spent.
        """
        voided = []
        for host, record in self._late_records(now):
            silent_s = now - record.received_at
            if silent_s > timing.CREDIT_VOID_S and not record.is_void:
                record.is_void = True
                voided.append(record)
            if silent_s > self._window_s + timing.CREDIT_VOID_S:
                self._promise(record, 0.0)
                del self.record_by_host[host]
        return voided

    def _promise(self, record: HostRecord, share: float) -> None:
        self._promised += share - record.share
        record.share = share

    def _share_of(self, record: HostRecord, now: float) -> float:
        if not record.is_fresh:
            return record.share
        if self._known_hosts:
            return 1 / max(self._known_hosts, self.count)
        if now < self._started_at + FRESH_WAIT_S:
            return 0.0
        return 1 / self.count

    def _connected_time_s(self, start: float, end: float) -> float:
        if end <= start:
            return 0.0
        total_s = sum(
            self._share_of(record, start) * record.connected_s(start, end)
            for record in self.record_by_host.values()
        )
        return min(total_s, end - start)

    def _lost_time_s(self, start: float, end: float) -> float:
        return sum(
            record.share * record.lost_s(start, end, self._window_s)
            for _, record in self._late_records(end)
        )

    def _late_records(self, end: float) -> list[tuple[str, HostRecord]]:
        """Return the hosts without a recent confirmed exchange."""
        latest = end - timing.HOLD_BACK_AFTER_S
        return [
            (host, record)
            for host, record in self.record_by_host.items()
            if record.confirmed_at < latest
        ]

    def _current_fraction(self, now: float) -> float:
        """Return the fraction of the limits at this moment."""
        end = now + MAX_AGE_S
        if now < self._handover_end:
            return self._connected_time_s(now, end) / MAX_AGE_S
        return max(1 - self._lost_time_s(now, end) / MAX_AGE_S, 0.0)


def _overlap_s(
    start: float, end: float, other_start: float, other_end: float
) -> float:
    return max(min(end, other_end) - max(start, other_start), 0.0)
