"""What this host believes of one upstream.

The upstream's entry in the store and an engine's reports are late, so what
was learnt since from orders and answers counts until one that is newer shows
the adapters.
"""

import contextlib
import dataclasses
import itertools
from collections.abc import Generator, Iterator, Mapping

from ivystep.core import types
from ivystep.gateway import connections
from ivystep.policy import prefill
from ivystep.traffic import contracts, upstreams

# Age of an entry when it arrives: the store's feed is read in intervals.
ENTRY_AGE_S = 1.0
# Age of an engine's report when it arrives.
REPORT_AGE_S = 0.4
# An order without an answer may be carried out up to this much later.
UNCERTAIN_S = 12.0
# Adapters on their way to one engine at once; the platform's limit.
MAX_COMING = 4
# Time after which an adapter that was expected is there, if it comes at all.
SETTLED_S = 1.0
# Time without new work after failures in a row: the first, and the longest.
# An upstream that restarts is back after some seconds.
SUSPEND_MIN_S = 0.25
SUSPEND_MAX_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Learnt:
    """That an adapter is or is not held, learnt at a time."""

    is_held: bool
    at: float


class Upstream:
    """One start of one upstream, as this host sees it.

    Args:
        entry: Its entry in the store.

    Attributes:
        in_progress: Requests of this host that it runs, or that wait until
            it can read their prompts.
        running_elsewhere: The same of other hosts.
        pace: Prefill rate at which it reads prompts, as this host sees it.
        loading: When each adapter was ordered that is loading or may still
            come, and so takes a place.
        suspended_until: Time before which no new work is sent, after
            failures to reach the upstream.
    """

    def __init__(self, entry: upstreams.UpstreamEntry) -> None:
        self.entry = entry
        self.connections = connections.UpstreamConnections(
            entry.address, entry.upstream_id
        )
        self.pace = prefill.PrefillRate()
        self.loading: dict[types.AdapterRef, float] = {}
        self.suspended_until = 0.0
        self._failures = 0
        self.running_elsewhere = 0
        self.in_progress = 0
        self._held = set(_refs(entry.held_model_by_name))
        self._held_at = float('-inf')
        self._learnt_by_ref: dict[types.AdapterRef, _Learnt] = {}
        self._sequence = itertools.count(1)

    @property
    def upstream_id(self) -> str:
        """Id of the upstream."""
        return self.entry.upstream_id

    @contextlib.contextmanager
    def one_more(self) -> Generator[None]:
        """Count a request in progress."""
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    def learn(
        self, ref: types.AdapterRef, now: float, *, is_held: bool
    ) -> None:
        """Take over that an adapter is or is not held.

        Args:
            ref: The adapter.
            now: Current time in seconds.
            is_held: Whether it is held.
        """
        self._learnt_by_ref[ref] = _Learnt(is_held, now)

    def replace_version(self, ref: types.AdapterRef, now: float) -> None:
        """Take over that a version of an adapter is held instead of others.

        Args:
            ref: The version.
            now: Current time in seconds.
        """
        for held in self.held():
            is_other = held.version != ref.version
            if is_other and (held.account, held.name) == (
                ref.account,
                ref.name,
            ):
                self.learn(held, now, is_held=False)
        self.learn(ref, now, is_held=True)

    def learnt_lately(self, ref: types.AdapterRef, now: float) -> bool:
        """Return whether an adapter was learnt to be held a moment ago.

        Args:
            ref: The adapter.
            now: Current time in seconds.
        """
        learnt = self._learnt_by_ref.get(ref)
        is_held = learnt is not None and learnt.is_held
        return is_held and now - learnt.at < SETTLED_S

    def suspend(self, now: float) -> float:
        """Send no new work for a while, longer after each failure in a row.

        Args:
            now: Current time in seconds.

        Returns:
            Time in seconds until work may be sent again.
        """
        pause_s = min(SUSPEND_MIN_S * 2**self._failures, SUSPEND_MAX_S)
        self._failures = min(self._failures + 1, 16)
        self.suspended_until = now + pause_s
        return pause_s

    def trust(self) -> None:
        """Forget the failures after an answer."""
        self._failures = 0

    def held(self) -> set[types.AdapterRef]:
        """Return the adapters that the upstream holds."""
        refs = set(self._held)
        for ref, learnt in self._learnt_by_ref.items():
            if learnt.is_held:
                refs.add(ref)
            else:
                refs.discard(ref)
        return refs

    @property
    def is_draining(self) -> bool:
        """Whether the upstream has said that it leaves."""
        return self.entry.state is upstreams.UpstreamState.DRAINING

    def holds_model(self, model: str) -> bool:
        """Return whether the upstream holds a base model."""
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
            speed: Prefill rate in relation to the fastest upstream of the
                service.
        """
        entry = self.entry
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
            sequence=next(self._sequence),
            healthy=(
                now >= self.suspended_until
                and (not model or self.holds_model(model))
            ),
            draining=self.is_draining,
            running=self.running_elsewhere + self.in_progress,
            slots=self._places(service, len(held) - len(own), now),
            max_running=max(int(entry.batch_size * speed), 1),
            resident_by_ref=own,
            loading=self._loading(),
            setup_version=0,
            crash_fingerprints=(),
        )

    def replace_entry(self, entry: upstreams.UpstreamEntry, now: float) -> None:
        """Take over a newer entry of the same start.

        Args:
            entry: The entry.
            now: Current time in seconds.
        """
        self.entry = entry
        self._take_held(entry.held_model_by_name, now - ENTRY_AGE_S)

    def on_report(self, report: upstreams.EngineReport, now: float) -> None:
        """Take over a report of the engine.

        Args:
            report: The report.
            now: Current time in seconds.
        """
        self.entry = dataclasses.replace(
            self.entry, held_model_by_name=report.held_model_by_name
        )
        self._take_held(report.held_model_by_name, now - REPORT_AGE_S)

    def _take_held(
        self, held: Mapping[str, upstreams.HeldModel], at: float
    ) -> None:
        """Take over what was held at a time, unless more recent is known."""
        if at < self._held_at:
            return
        self._held = set(_refs(held))
        self._held_at = at
        for ref, learnt in list(self._learnt_by_ref.items()):
            if learnt.at <= at:
                del self._learnt_by_ref[ref]
        for ref in self._held:
            # What is older than the last order may show an earlier load.
            if self.loading.get(ref, at) <= at:
                self.loading.pop(ref, None)

    def _loading(self) -> types.AdapterRef | None:
        """Return an adapter on its way if no further one may be ordered."""
        if len(self.loading) < MAX_COMING:
            return None
        return next(iter(self.loading))

    def _places(
        self, service: contracts.Service, foreign: int, now: float
    ) -> int:
        """Return the places for a model's adapters that are not spoken for."""
        if service.engine is None:
            return 0
        for ref, ordered_at in list(self.loading.items()):
            if ordered_at < now - UNCERTAIN_S:
                del self.loading[ref]
        taken = foreign + len(self.loading)
        models = tuple(self.entry.held_model_by_name)
        return max(service.engine.adapter_capacity(models) - taken, 0)


def _refs(
    held_model_by_name: Mapping[str, upstreams.HeldModel],
) -> Iterator[types.AdapterRef]:
    for model in held_model_by_name.values():
        for name, version in model.adapter_versions.items():
            yield types.AdapterRef(model.name, name, version)
