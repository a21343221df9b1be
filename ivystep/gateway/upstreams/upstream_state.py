"""Tracks the state of one upstream as known to this host.

The upstream's entry in the store and an engine's reports arrive late.
Changes known from orders and answers therefore override them until an entry
or a report that is newer than the change arrives.
"""

import contextlib
import dataclasses
import itertools
from collections.abc import Generator, Iterator, Mapping

from ivystep.core import types
from ivystep.gateway.upstreams import connections
from ivystep.policy import shared_limit
from ivystep.runtime import clock
from ivystep.traffic import contracts, peer_bounds, upstreams

# Age of an entry on arrival; the store's feed is polled at intervals.
ENTRY_AGE_S = 1.0
# Age of an engine's report as it answers.
REPORT_AGE_S = 0.4
# An engine may carry out an unanswered order up to this much later.
UNANSWERED_ORDER_S = 12.0
# The platform's limit on the adapters that one engine loads at once.
MAX_LOADING = 4
# A load that is not complete this long after its expected end has failed.
LOAD_OVERDUE_S = 1.0
# First and longest suspension after consecutive failures. An upstream that
# restarts is back after a few seconds.
SUSPEND_MIN_S = 0.25
SUSPEND_MAX_S = 2.0
# A longer rest is taken for a mistake of the upstream.
MAX_REST_S = 3600.0
# Less than the store version of any entry.
NOT_MISDIRECTED = -1
# Numbers of all statuses of this process. An incarnation that was removed and
# is back has a new state, whose statuses must be newer than the earlier ones.
_status_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Residency:
    """Whether an adapter was resident at a time."""

    is_held: bool
    at: float


class Upstream:
    """One incarnation of one upstream, as known to this host.

    Args:
        entry: Its entry in the store.
        bounds: Bounds of what it may send.

    Attributes:
        in_progress: Requests of this host that the upstream runs or that
            wait for a prefill permit.
        running_elsewhere: The same for all other hosts.
        loading: Time of the order for each adapter that is loading, or may
            yet be loaded by an unanswered order, and so uses a slot.
        suspended_until: Time before which no new work is sent, after
            failures to reach the upstream.
        limit: Limit that the upstream names, and this host's share of it.
    """

    def __init__(
        self,
        entry: upstreams.UpstreamEntry,
        bounds: peer_bounds.PeerBounds = peer_bounds.DEFAULT_BOUNDS,
    ) -> None:
        self.entry = entry
        self.connections = connections.UpstreamConnections(
            entry.address, entry.upstream_id, bounds
        )
        self.loading: dict[types.AdapterRef, float] = {}
        self.suspended_until = 0.0
        self.limit = shared_limit.SharedLimit()
        self._resting_until = 0.0
        # Newest store version of an entry that is known to be outdated.
        self._misdirected_by = NOT_MISDIRECTED
        self._misdirected_at = 0.0
        # Whether an answer from its address has said so.
        self._was_refused = False
        self._is_on_trial = False
        self._is_removed = False
        self._is_leaving = False
        self._failures = 0
        self.running_elsewhere = 0
        self.in_progress = 0
        self._is_total_known = False
        self._applied_load = (0, 0)
        self._held = set(_adapter_refs(entry.held_model_by_name))
        self._held_as_of = float('-inf')
        self._residency_by_ref: dict[types.AdapterRef, _Residency] = {}

    @property
    def upstream_id(self) -> str:
        """Id of the upstream."""
        return self.entry.upstream_id

    @property
    def fill_by_others(self) -> float:
        """Share of the batch that requests other than one of this host use.

        Before a leader has told the requests of all hosts, the batch may be
        full.
        """
        if not self._is_total_known:
            return 1.0
        return max(self.running - 1, 0) / max(self.entry.batch_size, 1)

    @property
    def running(self) -> int:
        """Requests of all hosts that the upstream has in progress."""
        return self.running_elsewhere + self.in_progress

    def capacity(self, speed: float) -> float:
        """Return how many requests of all hosts the upstream takes at once.

        A suspension does not count: it is what this host alone has found.

        Args:
            speed: Prefill rate relative to the fastest upstream.
        """
        if self.is_draining or self.rest_s(clock.now()):
            return 0.0
        if self.limit.is_limited:
            return self.running + 1.0
        return max(self.entry.batch_size * speed, 1.0)

    def apply_total(self, total: int) -> bool:
        """Apply the requests of all hosts that the upstream has in progress.

        Args:
            total: Their number as the leader knows it.

        Returns:
            Whether the upstream's load has changed since the last total.
        """
        self._is_total_known = True
        self.running_elsewhere = max(total - self.in_progress, 0)
        load = (self.running_elsewhere, self.in_progress)
        is_changed = load != self._applied_load
        self._applied_load = load
        return is_changed

    @contextlib.contextmanager
    def track_request(self) -> Generator[None]:
        """Count a request as in progress within the context."""
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    def set_resident(
        self, ref: types.AdapterRef, now: float, *, is_held: bool
    ) -> None:
        """Record that an adapter is or is not resident.

        Args:
            ref: The adapter.
            now: Current time in seconds.
            is_held: Whether it is resident.
        """
        self._residency_by_ref[ref] = _Residency(is_held, now)

    def replace_version(self, ref: types.AdapterRef, now: float) -> None:
        """Record that a version is resident and replaces all others.

        Args:
            ref: The adapter with its new version.
            now: Current time in seconds.
        """
        for held in self.held():
            is_other = held.version != ref.version
            if is_other and (held.account, held.name) == (
                ref.account,
                ref.name,
            ):
                self.set_resident(held, now, is_held=False)
        self.set_resident(ref, now, is_held=True)

    def loaded_recently(self, ref: types.AdapterRef, now: float) -> bool:
        """Return whether an adapter became resident within ``LOAD_OVERDUE_S``.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        since_s = self.since_load_s(ref, now)
        return since_s is not None and since_s < LOAD_OVERDUE_S

    def since_load_s(self, ref: types.AdapterRef, now: float) -> float | None:
        """Return the time since an adapter was expected to be resident.

        Args:
            ref: The adapter.
            now: Current time in seconds.

        Returns:
            None if the last change known was not a load.
        """
        residency = self._residency_by_ref.get(ref)
        if residency is None or not residency.is_held:
            return None
        return now - residency.at

    def suspend(self, now: float) -> float:
        """Suspend new work, with exponential back-off.

        Args:
            now: Current time in seconds.

        Returns:
            Duration of the suspension in seconds.
        """
        pause_s = min(SUSPEND_MIN_S * 2**self._failures, SUSPEND_MAX_S)
        self._failures = min(self._failures + 1, 16)
        self.suspended_until = now + pause_s
        return pause_s

    def leave(self) -> None:
        """Send nothing more: the upstream states that it drains.

        An incarnation that drains is not used again.
        """
        self._is_leaving = True

    def on_misdirected(self) -> None:
        """Send nothing for some time: it has been found not to be there.

        A newer entry ends that as well.
        """
        self._mark_misdirected(self.entry.version)
        self._was_refused = True

    def doubt(self, known_by: int) -> None:
        """Send nothing for some time: another entry names its address.

        Args:
            known_by: Store version of the other entry; only a newer entry of
                this upstream ends the doubt.
        """
        self._mark_misdirected(max(self.entry.version, known_by))

    @property
    def is_doubted(self) -> bool:
        """Whether only another entry says that its address is another's."""
        return self._is_misdirected and not self._was_refused

    def misdirected_s(self, now: float) -> float:
        """Return for how long nothing has been sent to it; 0 if it gets some.

        Args:
            now: Current time in seconds.
        """
        return now - self._misdirected_at if self._is_misdirected else 0.0

    def begin_trial(self) -> None:
        """Send one request at a time, until an answer shows that it is there.

        Each names the upstream that it is for, so another one refuses it.
        """
        self._misdirected_by = NOT_MISDIRECTED
        self._was_refused = False
        self._is_on_trial = True
        self.connections.is_reused = False

    def remove(self) -> None:
        """Send nothing more: its entry was removed or replaced."""
        self._is_removed = True
        self.connections.close()

    @property
    def is_gone(self) -> bool:
        """Whether its address is or may be another's: nothing is sent there."""
        return self._is_removed or self._is_misdirected

    def rest(self, asked_s: float, now: float) -> None:
        """Send nothing for as long as the upstream asks for.

        Args:
            asked_s: Duration of the rest in seconds; an earlier, longer one
                still counts.
            now: Current time in seconds.
        """
        until = now + min(asked_s, MAX_REST_S)
        self._resting_until = max(self._resting_until, until)

    def rest_s(self, now: float) -> float:
        """Return how much longer the upstream rests; 0 if it does not."""
        return max(self._resting_until - now, 0.0)

    def wait_s(self, now: float) -> float:
        """Return the time until the upstream takes a request of this host.

        Args:
            now: Current time in seconds.

        Returns:
            0 if it neither rests nor is another host's turn.
        """
        return max(self.rest_s(now), self.limit.wait_s(now))

    def takes_orders(self, now: float) -> bool:
        """Return whether orders and reads of reports may be sent.

        They count as requests for an upstream that takes few or none.
        """
        is_refused = self.is_gone or self.limit.is_limited
        return not (is_refused or self.rest_s(now))

    def on_answer(self) -> bool:
        """Reset the back-off after an answer; the upstream is there.

        Returns:
            Whether it takes more requests than before, as its trial ends.
        """
        was_on_trial = self._is_on_trial
        self._failures = 0
        self._is_on_trial = False
        return was_on_trial

    def held(self) -> set[types.AdapterRef]:
        """Return the adapters that are resident."""
        refs = set(self._held)
        for ref, residency in self._residency_by_ref.items():
            if residency.is_held:
                refs.add(ref)
            else:
                refs.discard(ref)
        return refs

    @property
    def is_draining(self) -> bool:
        """Whether the upstream's entry or an answer of it says so."""
        is_entry_draining = self.entry.state is upstreams.UpstreamState.DRAINING
        return is_entry_draining or self._is_leaving

    def holds_model(self, model: str) -> bool:
        """Return whether a base model is loaded."""
        return model in self.entry.held_model_by_name

    def status(
        self,
        service: contracts.Service,
        model: str,
        now: float,
        speed: float = 1.0,
    ) -> types.UpstreamStatus:
        """Return the status for the pool of one model.

        Args:
            service: The upstream's service.
            model: Base model of the pool; empty for a plain service.
            now: Current time in seconds.
            speed: Prefill rate relative to the fastest upstream.
        """
        entry = self.entry
        running = self.running
        held = self.held()
        own = {
            ref: types.ResidentAdapter(ref, 0)
            for ref in held
            if ref.account == model
        }
        return types.UpstreamStatus(
            upstream_id=entry.upstream_id,
            sidecar_incarnation=entry.incarnation,
            engine_incarnation=entry.incarnation,
            sequence=next(_status_numbers),
            healthy=(
                self.is_available(now)
                and (not model or self.holds_model(model))
            ),
            draining=self.is_draining,
            running=running,
            slots=self._free_slots(service, len(held) - len(own), now),
            max_running=self._max_running(running, speed),
            resident_by_ref=own,
            loading=self._loading(),
            setup_version=0,
            crash_fingerprints=(),
            software_version=entry.software_version,
        )

    def is_available(self, now: float) -> bool:
        """Return whether new work may be sent at a time.

        Args:
            now: Time in seconds.
        """
        if self.is_gone or now < self.suspended_until:
            return False
        return not self.wait_s(now)

    def replace_entry(self, entry: upstreams.UpstreamEntry, now: float) -> None:
        """Apply a newer entry of the same incarnation.

        Args:
            entry: The entry.
            now: Current time in seconds.
        """
        self.entry = entry
        self.connections.is_reused = self._is_misdirected
        self._was_refused = self._was_refused and self._is_misdirected
        self._apply_held(entry.held_model_by_name, now - ENTRY_AGE_S)

    def on_report(self, report: upstreams.EngineReport, sent_at: float) -> None:
        """Apply a report of the engine.

        Args:
            report: The report.
            sent_at: Time at which its call was sent, in seconds.
        """
        at = sent_at - REPORT_AGE_S
        if at < self._held_as_of:
            return
        self.entry = dataclasses.replace(
            self.entry, held_model_by_name=report.held_model_by_name
        )
        self._apply_held(report.held_model_by_name, at)

    @property
    def _is_misdirected(self) -> bool:
        return self.entry.version <= self._misdirected_by

    def _mark_misdirected(self, known_by: int) -> None:
        self._misdirected_by = known_by
        self._misdirected_at = clock.now()
        self.connections.is_reused = True

    def _apply_held(
        self, held: Mapping[str, upstreams.HeldModel], at: float
    ) -> None:
        """Apply the adapters held at a time, unless newer ones are known."""
        if at < self._held_as_of:
            return
        self._held = set(_adapter_refs(held))
        self._held_as_of = at
        for ref, residency in list(self._residency_by_ref.items()):
            if residency.at <= at:
                del self._residency_by_ref[ref]
        for ref in self._held:
            # A state from before the last order may show an earlier load.
            if self.loading.get(ref, at) <= at:
                self.loading.pop(ref, None)

    def _max_running(self, running: int, speed: float) -> int:
        if self._is_on_trial:
            return 1
        if self.limit.is_limited:
            return running + 1
        return max(int(self.entry.batch_size * speed), 1)

    def _loading(self) -> types.AdapterRef | None:
        """Return a loading adapter, or None if a further load may start."""
        if len(self.loading) < MAX_LOADING:
            return None
        return next(iter(self.loading))

    def _free_slots(
        self, service: contracts.Service, other_adapters: int, now: float
    ) -> int:
        """Return the slots for one model that no other adapter may use."""
        if service.engine is None or not self.takes_orders(now):
            return 0
        for ref, ordered_at in list(self.loading.items()):
            if ordered_at < now - UNANSWERED_ORDER_S:
                del self.loading[ref]
        used = other_adapters + len(self.loading)
        models = tuple(self.entry.held_model_by_name)
        return max(service.engine.adapter_capacity(models) - used, 0)


def _adapter_refs(
    held_model_by_name: Mapping[str, upstreams.HeldModel],
) -> Iterator[types.AdapterRef]:
    for model in held_model_by_name.values():
        for name, version in model.adapter_versions.items():
            yield types.AdapterRef(model.name, name, version)
