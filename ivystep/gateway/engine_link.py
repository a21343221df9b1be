"""Gives load orders to one engine and waits until they are carried out.

Each order names the number of orders that the engine must have accepted
before. An order without an answer therefore cannot be carried out after a
later one; until then its adapter counts as possibly held.
"""

import dataclasses
from collections.abc import Callable

import eventlet
from eventlet import semaphore

from ivystep.core import errors, types, units
from ivystep.gateway import believed, events, news
from ivystep.policy import load_times
from ivystep.runtime import clock, event_log
from ivystep.traffic import orders, upstreams

# A load that was accepted takes a place from then on. Reports show it within
# this time, also where many loads slow each other down.
ACCEPTED_S = 2.0
POLL_S = 0.06
LOAD_TIMEOUT_S = 6.0
UNLOAD_TIMEOUT_S = 2.0
SEQUENCE_TRIES = 3
ANSWER_TRIES = 3
# The engine has accepted an unload and carries it out after its runs.
IN_USE = 'adapter_in_use'
# A load that takes longer than expected is asked for ever less often.
POLL_GROWTH = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """Leave to give orders.

    Attributes:
        holder: Host that gives them.
        token: Fencing token of its lease.
    """

    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Given:
    """The last order for an adapter.

    Attributes:
        takes_place: Whether the adapter may be held after it.
        until: Time until which reports may not show the order.
    """

    takes_place: bool
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ordering:
    """What the links to all engines share.

    Attributes:
        api: Calls to engines.
        authority: Returns the leave to give orders, or None.
        on_change: Called when the belief about an engine has changed.
        places: Returns how many adapters an engine can hold now.
        is_cached: Returns whether an engine has held an adapter lately.
        board: Takes news of loads.
        times: How long loads take.
        log: Where orders are written.
    """

    api: orders.EngineApi
    authority: Callable[[], Authority | None]
    on_change: Callable[[believed.Upstream], None]
    places: Callable[[believed.Upstream], int]
    is_cached: Callable[[believed.Upstream, types.AdapterRef], bool]
    board: news.NewsBoard
    times: load_times.LoadTimes
    log: event_log.EventLog


class EngineLink:
    """``UpstreamLink`` of a pool to an engine of the platform.

    Args:
        upstream: The engine.
        ordering: What all links share.
    """

    def __init__(self, upstream: believed.Upstream, ordering: Ordering) -> None:
        self._upstream = upstream
        self._shared = ordering
        self._given_by_name: dict[tuple[str, str], _Given] = {}
        self._lock = semaphore.Semaphore(1)
        self._expected: int | None = None
        self._expected_token = 0

    def load(
        self, order: types.LoadOrder, setup_version: int
    ) -> types.LoadResult:
        """Load an adapter; see ``links.UpstreamLink.load``."""
        if self._shared.authority() is None:
            # Nothing is told, because nothing will change at the engine.
            return _refusal(orders.Outcome.FENCED)
        upstream = self._upstream
        # An earlier load of the adapter may still be carried out.
        earlier_at = upstream.loading.get(order.ref)
        upstream.loading[order.ref] = clock.now()
        # From now on no new request goes to what is evicted, and no other
        # load evicts it too.
        for victim in order.evict:
            self._tell(victim, is_held=False)
        self._shared.on_change(upstream)
        result = types.LoadResult(False, 'link_failed', 'The load was ended.')
        try:
            result = self._load(order)
        except errors.LinkError as error:
            result = types.LoadResult(False, 'link_failed', str(error))
        finally:
            self._settle(order.ref, result, earlier_at)
        return result

    def load_model(self, model: str) -> orders.Outcome:
        """Order a base model.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
        with self._lock:
            return self._give(model, '', None, is_load=True)

    def _load(self, order: types.LoadOrder) -> types.LoadResult:
        ref = order.ref
        with self._lock:
            if any(victim in self._upstream.loading for victim in order.evict):
                # An unload that overtakes its load would free no place.
                return types.LoadResult(
                    False, 'busy', 'What is evicted has not come yet.'
                )
            for victim in order.evict:
                refusal = self._unload(victim)
                if refusal is not None:
                    self._restore(victim, refusal)
                    return refusal
            if not self._has_place(ref):
                return types.LoadResult(False, 'busy', 'No place is free.')
            outcome = self._give(
                ref.account, ref.name, ref.version, is_load=True
            )
        if outcome is orders.Outcome.ALREADY_HELD:
            return types.LoadResult(True, 'loaded', '')
        if outcome is not orders.Outcome.ACCEPTED:
            return _refusal(outcome)
        self._upstream.loading[ref] = clock.now()
        return self._expect_loaded(ref)

    def _restore(
        self, victim: types.AdapterRef, refusal: types.LoadResult
    ) -> None:
        """Tell that an adapter is still held if its unload was refused."""
        if refusal.code != IN_USE:
            self._tell(victim, is_held=True)

    def _settle(
        self,
        ref: types.AdapterRef,
        result: types.LoadResult,
        earlier_at: float | None,
    ) -> None:
        """Take over what became of a load."""
        if not result.ok:
            self._take_back(ref, result, earlier_at)
        self._shared.on_change(self._upstream)

    def _take_back(
        self,
        ref: types.AdapterRef,
        result: types.LoadResult,
        earlier_at: float | None,
    ) -> None:
        """Take back what a load that failed had announced."""
        if earlier_at is not None:
            self._upstream.loading[ref] = earlier_at
            return
        self._tell(ref, is_held=False)
        if result.code != 'link_failed':
            self._upstream.loading.pop(ref, None)

    def _unload(self, ref: types.AdapterRef) -> types.LoadResult | None:
        """Unload an adapter; return why it failed, or None."""
        outcome = self._give(ref.account, ref.name, None, is_load=False)
        if outcome is orders.Outcome.ALREADY_HELD:
            return None
        if outcome is not orders.Outcome.ACCEPTED:
            return _refusal(outcome)
        deadline = clock.now() + UNLOAD_TIMEOUT_S
        while clock.now() < deadline:
            clock.sleep(POLL_S)
            held = self._report().held_model_by_name.get(ref.account)
            if held is None or ref.name not in held.adapter_versions:
                return None
        return types.LoadResult(
            False, IN_USE, f'{ref.lora_name} is still in use.'
        )

    def _has_place(self, ref: types.AdapterRef) -> bool:
        """Return whether one more adapter fits, whatever reports leave out.

        An engine that is ordered to hold more than fits fails. Orders that
        reports may not show yet, and orders without an answer, count as
        carried out if that takes a place.
        """
        report = self._report()
        taken = {
            (model.name, adapter)
            for model in report.held_model_by_name.values()
            for adapter in model.adapter_versions
        }
        taken.update(
            (loading.account, loading.name) for loading in report.loading
        )
        now = clock.now()
        for name, given in list(self._given_by_name.items()):
            if given.until < now:
                del self._given_by_name[name]
            elif given.takes_place:
                taken.add(name)
            else:
                taken.discard(name)
        taken.add((ref.account, ref.name))
        return len(taken) <= self._shared.places(self._upstream)

    def _tell(
        self, ref: types.AdapterRef, *, is_held: bool, ready_in_s: float = 0.0
    ) -> None:
        self._shared.board.publish(
            news.AdapterNews(
                ref, self._upstream.upstream_id, is_held, ready_in_s
            )
        )

    def _expect_loaded(self, ref: types.AdapterRef) -> types.LoadResult:
        """Let requests go to an adapter when it is expected to be there.

        Whether it has come is checked beside, because reports are late.
        """
        is_cached = self._shared.is_cached(self._upstream, ref)
        ordered_at = clock.now()
        ready_in_s = self._shared.times.expected_s(is_cached=is_cached)
        self._tell(ref, is_held=True, ready_in_s=ready_in_s)
        eventlet.spawn(
            self._confirm, ref, ordered_at, ready_in_s, is_cached=is_cached
        )
        clock.sleep(ready_in_s)
        return types.LoadResult(True, 'loaded', '')

    def _confirm(
        self,
        ref: types.AdapterRef,
        ordered_at: float,
        ready_in_s: float,
        *,
        is_cached: bool,
    ) -> None:
        """Check by reports that an adapter has come."""
        clock.sleep(ready_in_s + load_times.REPORT_LAG_S)
        pause_s = POLL_S
        while clock.now() < ordered_at + LOAD_TIMEOUT_S:
            try:
                held = self._report().held_model_by_name.get(ref.account)
            except errors.LinkError as error:
                self._shared.log.write(
                    events.DependencyLost(
                        f'engine/{self._upstream.upstream_id}', str(error)
                    )
                )
                break
            if held and held.adapter_versions.get(ref.name, 0) >= ref.version:
                self._upstream.loading.pop(ref, None)
                self._shared.times.record_load(
                    clock.now() - ordered_at,
                    is_cached=is_cached,
                    is_first_report=pause_s == POLL_S,
                )
                self._shared.on_change(self._upstream)
                return
            clock.sleep(pause_s)
            pause_s *= POLL_GROWTH
        self._tell(ref, is_held=False)

    def _give(
        self, model: str, adapter: str, version: int | None, *, is_load: bool
    ) -> orders.Outcome:
        """Give one order, with the right number of earlier orders."""
        for _ in range(SEQUENCE_TRIES):
            authority = self._shared.authority()
            if authority is None:
                return orders.Outcome.FENCED
            order = orders.Order(
                is_load=is_load,
                model=model,
                adapter=adapter,
                version=version,
                expected_orders=self._expected_orders(authority),
                holder=authority.holder,
                token=authority.token,
            )
            outcome = self._send(order)
            if outcome is not orders.Outcome.OUT_OF_SEQUENCE:
                return outcome
            self._expected = None
            clock.sleep(believed.REPORT_AGE_S)
        return orders.Outcome.OUT_OF_SEQUENCE

    def _send(self, order: orders.Order) -> orders.Outcome:
        """Give an order until it is answered.

        The order that was given before it without an answer expects the same
        number of earlier orders, so at most one of them is carried out.
        """
        for attempt in range(ANSWER_TRIES):
            try:
                outcome = self._send_once(order)
            except errors.LinkError:
                if attempt + 1 < ANSWER_TRIES:
                    continue
                # It may be carried out later, so its number may be taken.
                self._expected = None
                self._note_given(order, believed.UNCERTAIN_S)
                raise
            break
        self._take_over(order, outcome)
        return outcome

    def _take_over(self, order: orders.Order, outcome: orders.Outcome) -> None:
        """Remember what an order that was answered did."""
        # An idle adapter is unloaded at once, which is answered like an
        # unload of one that is not held; only the first is counted.
        is_unloaded = (
            outcome is orders.Outcome.ALREADY_HELD
            and not order.is_load
            and self._may_hold(order)
        )
        if outcome is orders.Outcome.ACCEPTED or is_unloaded:
            self._expected = order.expected_orders + 1
            self._note_given(
                order,
                ACCEPTED_S if order.is_load else believed.REPORT_AGE_S,
            )
        elif outcome is orders.Outcome.ALREADY_HELD and order.is_load:
            self._note_given(order, ACCEPTED_S)

    def _may_hold(self, order: orders.Order) -> bool:
        name = (order.model, order.adapter)
        given = self._given_by_name.get(name)
        if given is not None and given.until >= clock.now():
            return given.takes_place
        held = self._upstream.entry.held_model_by_name.get(order.model)
        return held is not None and order.adapter in held.adapter_versions

    def _send_once(self, order: orders.Order) -> orders.Outcome:
        entry = self._upstream.entry
        sent_at = clock.now()
        outcome = None
        try:
            outcome = self._shared.api.send_order(
                entry.address, entry.upstream_id, order
            )
        finally:
            self._shared.log.write(
                events.OrderGiven(
                    entry.upstream_id,
                    'load' if order.is_load else 'unload',
                    order.target,
                    order.expected_orders,
                    order.token,
                    outcome.value if outcome else 'no answer',
                    int((clock.now() - sent_at) * units.MS_PER_S),
                )
            )
        return outcome

    def _note_given(self, order: orders.Order, hidden_s: float) -> None:
        if not order.adapter:
            return
        is_sure = hidden_s < believed.UNCERTAIN_S
        if order.is_load or is_sure:
            self._given_by_name[order.model, order.adapter] = _Given(
                order.is_load, clock.now() + hidden_s
            )

    def _expected_orders(self, authority: Authority) -> int:
        """Return the orders that the engine has accepted so far."""
        if self._expected is None or self._expected_token != authority.token:
            self._expected = self._report().order_count
            self._expected_token = authority.token
        return self._expected

    def _report(self) -> upstreams.EngineReport:
        report = self._shared.api.read_report(self._upstream.entry.address)
        self._upstream.on_report(report, clock.now())
        return report


def _refusal(outcome: orders.Outcome) -> types.LoadResult:
    code = 'not_owner' if outcome is orders.Outcome.FENCED else 'busy'
    return types.LoadResult(False, code, f'The engine says {outcome.value}.')
