"""Fakes of the systems that a pool uses: weight store, engine and sidecar."""

import collections
import dataclasses
import itertools
import typing
from collections.abc import Iterator

import eventlet
from eventlet import event, semaphore

from ivystep.core import errors, types
from ivystep.runtime import clock
from measure import profiles

COALESCE_S = 0.05
HEARTBEAT_S = 1.0
ROUNDING = 1e-9


class Watcher(typing.Protocol):
    """Receives the status reports of an upstream, as pools do."""

    def on_status(self, status: types.UpstreamStatus, link: typing.Any) -> None:
        """Process a status report."""

    def on_lost(self, upstream_id: str) -> None:
        """Process the loss of the connection to an upstream."""


def wait(changed: event.Event, timeout_s: float) -> bool:
    """Wait for an event; return False after the timeout in seconds."""
    with eventlet.Timeout(max(timeout_s, 0), exception=False):
        changed.wait()
        return True
    return False


class WeightStore:
    """A weight store whose bandwidth is shared by parallel loads.

    Attributes:
        used: Number of ended loads.
        slow_factor: Factor by which loads are slower; 1 if the store is
            healthy.
        failing: Adapters whose loads fail.
    """

    def __init__(self, loads_per_s: float) -> None:
        self.used = 0
        self.slow_factor = 1.0
        self.failing: set[types.AdapterRef] = set()
        self._loads_per_s = loads_per_s
        self._active = 0
        self._progress = 0.0
        self._progress_at = 0.0
        self._changed = event.Event()

    def load(self, ref: types.AdapterRef) -> bool:
        """Transfer an adapter's weights; return whether this succeeded."""
        self._change_active(1)
        target_progress = self._progress + self.slow_factor
        while True:
            self._advance()
            remaining = target_progress - self._progress
            if remaining <= ROUNDING:
                break
            wait(self._changed, remaining * self._active / self._loads_per_s)
        self._change_active(-1)
        self.used += 1
        return ref not in self.failing

    def _advance(self) -> None:
        current = clock.now()
        if self._active:
            passed = current - self._progress_at
            self._progress += passed * self._loads_per_s / self._active
        self._progress_at = current

    def _change_active(self, difference: int) -> None:
        self._advance()
        self._active += difference
        changed = self._changed
        self._changed = event.Event()
        changed.send()


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    remaining_tokens: int
    done: event.Event


class Engine:
    """An engine with continuous batching.

    Attributes:
        steps: Engine steps so far.
        request_steps: Sum of the batch sizes of these steps.
    """

    def __init__(self, profile: profiles.Profile) -> None:
        self.steps = 0
        self.request_steps = 0
        self._profile = profile
        self._batch: list[_Job] = []
        self._queue: collections.deque[_Job] = collections.deque()
        self._changed = event.Event()
        eventlet.spawn(self._run)

    def submit(self, tokens: int) -> event.Event:
        """Start a request; the event carries whether it was completed."""
        job = _Job(tokens, event.Event())
        self._queue.append(job)
        if len(self._batch) < self._profile.max_running:
            self._changed.send()
            self._changed = event.Event()
        return job.done

    def fail(self) -> None:
        """Fail all running and queued requests."""
        for job in (*self._batch, *self._queue):
            job.done.send(False)
        self._batch.clear()
        self._queue.clear()

    def _run(self) -> None:
        while True:
            while self._queue and len(self._batch) < self._profile.max_running:
                self._batch.append(self._queue.popleft())
            if self._batch:
                self._run_steps(list(self._batch))
            else:
                self._changed.wait()

    def _run_steps(self, batch: list[_Job]) -> None:
        """Run steps until the batch changes."""
        profile = self._profile
        step_s = profile.step_s + profile.step_per_request_s * len(batch)
        count = min(job.remaining_tokens for job in batch)
        started = clock.now()
        if wait(self._changed, count * step_s):
            # A new request joins at the end of the current step.
            count = min(count, int((clock.now() - started) / step_s) + 1)
            clock.sleep(max(started + count * step_s - clock.now(), 0))
        self.steps += count
        self.request_steps += count * len(batch)
        for job in batch:
            job.remaining_tokens -= count
            if job.remaining_tokens == 0 and job in self._batch:
                self._batch.remove(job)
                job.done.send(True)


class FakeUpstream:
    """An engine with its sidecar, which also acts as the link to it.

    Attributes:
        is_silent: Whether its reports are lost.
        completed: Number of completed runs by request id.
    """

    def __init__(
        self, number: int, profile: profiles.Profile, store: WeightStore
    ) -> None:
        self.upstream_id = f'upstream-{number}'
        self.engine = Engine(profile)
        self.is_silent = False
        self.is_draining = False
        self.completed: collections.Counter[str] = collections.Counter()
        self._profile = profile
        self._store = store
        self._running_by_ref: dict[types.AdapterRef, int] = {}
        self._loading: types.AdapterRef | None = None
        self._incarnation = 1
        self._sequence = itertools.count(1)
        self._load_lock = semaphore.Semaphore(1)
        self._changed = event.Event()

    def watch(self, watchers: list[Watcher]) -> None:
        """Send status reports to watchers until killed."""
        while True:
            self._changed = event.Event()
            if not self.is_silent:
                status = self.status()
                clock.sleep(self._profile.delay_s)
                for watcher in watchers:
                    watcher.on_status(status, self)
            clock.sleep(COALESCE_S)
            wait(self._changed, HEARTBEAT_S - COALESCE_S)

    def status(self) -> types.UpstreamStatus:
        """Return the current status."""
        return types.UpstreamStatus(
            upstream_id=self.upstream_id,
            sidecar_incarnation='inc-1',
            engine_incarnation=str(self._incarnation),
            sequence=next(self._sequence),
            healthy=True,
            draining=self.is_draining,
            running=sum(self._running_by_ref.values()),
            slots=self._profile.slots,
            max_running=self._profile.max_running,
            resident_by_ref={
                ref: types.ResidentAdapter(ref, running)
                for ref, running in self._running_by_ref.items()
            },
            loading=self._loading,
            setup_version=1,
            crash_fingerprints=(),
        )

    def restart(self) -> None:
        """Restart the engine without adapters."""
        self._incarnation += 1
        self._running_by_ref = {}
        self.engine.fail()
        self._notify()

    def run(self, attempt: types.Attempt) -> types.Answer:
        """Run an attempt; see ``UpstreamLink.run``."""
        clock.sleep(self._profile.delay_s)
        ref = attempt.request.adapter
        if ref not in self._running_by_ref or self.is_draining:
            raise errors.RequestError(
                'adapter_not_resident',
                'The adapter is not resident.',
                status=503,
                ran=types.ExecutionStatus.NO,
            )
        self._running_by_ref[ref] += 1
        self._notify()
        done = self.engine.submit(int(attempt.request.body))
        head = types.AnswerHead(200, 'application/json')
        return types.Answer(head, self._chunks(attempt, done))

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Carry out a load order; see ``UpstreamLink.load``."""
        clock.sleep(self._profile.delay_s)
        with self._load_lock:
            if order.ref in self._running_by_ref:
                return types.LoadResult(True, 'resident', 'Already resident.')
            if any(self._running_by_ref.get(ref) for ref in order.evict):
                return types.LoadResult(False, 'adapter_in_use', 'In use.')
            for ref in order.evict:
                self._running_by_ref.pop(ref, None)
            if len(self._running_by_ref) >= self._profile.slots:
                return types.LoadResult(False, 'load_failed', 'No slot.')
            return self._load(order)

    def revoke(self, attempt: types.Attempt) -> types.ExecutionStatus:
        """Revoke an attempt; see ``UpstreamLink.revoke``."""
        return types.ExecutionStatus.UNKNOWN

    def _load(self, order: types.LoadOrder) -> types.LoadResult:
        incarnation = self._incarnation
        self._loading = order.ref
        self._notify()
        has_worked = self._store.load(order.ref)
        self._loading = None
        self._notify()
        if not has_worked or incarnation != self._incarnation:
            return types.LoadResult(False, 'load_failed', 'Load failed.')
        self._running_by_ref[order.ref] = 0
        return types.LoadResult(True, 'loaded', 'Loaded.')

    def _chunks(
        self, attempt: types.Attempt, done: event.Event
    ) -> Iterator[bytes]:
        ref = attempt.request.adapter
        incarnation = self._incarnation
        if not done.wait():
            raise errors.RequestError(
                'upstream_lost',
                'The engine failed.',
                status=502,
                ran=types.ExecutionStatus.UNKNOWN,
                engine_lost=True,
            )
        if incarnation == self._incarnation:
            self._running_by_ref[ref] -= 1
        self.completed[attempt.request.request_id] += 1
        self._notify()
        yield attempt.request.body

    def _notify(self) -> None:
        if not self._changed.ready():
            self._changed.send()
