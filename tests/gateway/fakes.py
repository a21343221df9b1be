"""Fakes of the event log, the store's rows and the engines."""

import base64
import dataclasses
import json

import eventlet

from ivystep.coordination import lease_renewal
from ivystep.core import errors, types
from ivystep.data_centres import exchange, share_metrics, shares
from ivystep.gateway.loads import residency_updates
from ivystep.gateway.store import table_progress
from ivystep.gateway.upstreams import measurements
from ivystep.metrics import registry
from ivystep.platform import rows
from ivystep.policy import load_times
from ivystep.prefill import prefill_rates
from ivystep.runtime import clock
from ivystep.traffic import contracts, orders, upstreams

MODEL = 'daka'


def measured():
    """Return measurements of a host that has measured nothing yet."""
    return measurements.Measurements(
        prefill_rates.PrefillRates(), load_times.LoadTimes()
    )


def heartbeat_contents():
    """Return the contents of a host's heartbeats that tell nothing."""
    return residency_updates.HeartbeatContents(
        table_progress.SharedProgress(1.0, lambda: True, lambda: None),
        lambda: lease_renewal.Renewal(0, 0, 0.0),
        measured(),
        centre_exchange(),
    )


def centre_exchange(host='host-1', data_centre='accra-a', made=None, trips=()):
    """Return the exchange of a host's arrivals and shares."""
    return exchange.CentreExchange(
        host,
        data_centre,
        shares.DrawnShares(),
        made,
        share_metrics.ShareMetrics(registry.Metrics()),
        lambda: dict(trips),
    )


class FakeLog:
    """Event log that keeps its events in memory."""

    def __init__(self):
        self.events = []

    def write(self, event):
        self.events.append(event)

    def named(self, name):
        return [event for event in self.events if event.name == name]


def entry_row(upstream_id, version, **more):
    """Return the store's row of an upstream's entry."""
    document = {
        'service': 'llm',
        'address': '10.0.0.1:80',
        'zone': 'accra-a',
        'slots': 4,
        'state': 'ready',
        'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
        **more,
    }
    return rows.StoredRow(
        'servers', upstream_id, json.dumps(document).encode(), version
    )


def deleted_row(upstream_id, version):
    """Return the store's row of a deleted upstream entry."""
    return rows.StoredRow('servers', upstream_id, b'', version, True)


def encoded(document):
    """Return a document in the encoding of the store's row values."""
    return encoded_bytes(json.dumps(document).encode())


def encoded_bytes(content):
    """Return bytes in the encoding of the store's row values."""
    return base64.b64encode(content).decode()


def entry(upstream_id='i-1', *held, started_at_ms=0):
    """Return an engine's entry with some resident adapters."""
    return upstreams.UpstreamEntry(
        upstream_id=upstream_id,
        service='llm',
        address=('127.0.0.1', 1),
        data_centre='accra-a',
        started_at_ms=started_at_ms,
        state=upstreams.UpstreamState.READY,
        batch_size=8,
        held_model_by_name={
            MODEL: upstreams.HeldModel(MODEL, 1, dict.fromkeys(held, 1))
        },
        leaves_in_s=None,
        version=1,
    )


def service(max_adapters=4):
    """Return a service that runs on engines."""
    return contracts.Service(
        'llm',
        '/health',
        100,
        contracts.EngineClass(
            8,
            1000,
            10000.0,
            max_adapters,
            2.0,
            {MODEL: contracts.Model(MODEL, 1000.0, 6.0, 1.0)},
        ),
    )


def engine_class():
    """Return a class with room for 6, 4 or 2 adapters beside 1 to 3 models."""
    models = {
        name: contracts.Model(name, 200.0, 6.0, 100.0)
        for name in (MODEL, 'other', 'third')
    }
    return contracts.EngineClass(8, 1000, 800.0, 6, 2.0, models)


@dataclasses.dataclass
class Delivery:
    """Scripted delivery of one order to the engine.

    Attributes:
        is_answered: Whether the order is carried out at once and answered.
        delay_s: Delay until an unanswered order is carried out; None if never.
    """

    is_answered: bool = True
    delay_s: float | None = None


class FakeEngine:
    """An engine that treats orders as the platform specifies.

    Attributes:
        deliveries: How the next orders are delivered; once empty, answered.
        in_use: Adapters that requests use; their unloads wait.
        overfilled: Whether it ever accepted more adapters than it has slots.
        engine_class: Its memory, if adapters and base models share it.
        models: Base models that it holds.
        model_load: Base model that it loads, and the time of its completion.
        reads_fail_until: Time before which it sends no report.
        call_s: How long a call takes on its way there and back, each.
    """

    def __init__(
        self, slots=4, load_s=0.25, report_lag_s=0.2, engine_class=None
    ):
        self.slots = slots
        self.engine_class = engine_class
        self.models = [MODEL]
        self.model_load = None
        self.reads_fail_until = 0.0
        self.call_s = 0.0
        self.load_s = load_s
        self.report_lag_s = report_lag_s
        self.held = {}
        self.loading = {}
        self.in_use = set()
        self.unloading = set()
        self.sequence = 0
        self.deliveries = []
        self.received_orders = []
        self.overfilled = False
        self.token = 0
        self._history = []

    def send_order(self, endpoint, order):
        delivery = self.deliveries.pop(0) if self.deliveries else Delivery()
        if delivery.is_answered:
            self.received_orders.append(order)
            clock.sleep(self.call_s)
            outcome = self.execute(order)
            clock.sleep(self.call_s)
            return outcome
        if delivery.delay_s is not None:
            _spawn_later(delivery.delay_s, self.execute, order)
        clock.sleep(0.3)
        raise errors.LinkError('timed out', step='order')

    def read_report(self, endpoint):
        if clock.now() < self.reads_fail_until:
            clock.sleep(0.1)
            raise errors.LinkError('timed out', step='report')
        clock.sleep(self.call_s)
        report = self._lagging_report()
        clock.sleep(self.call_s)
        return report

    def _lagging_report(self):
        self._complete_loads()
        if not self._history:
            return self._state()
        as_of = clock.now() - self.report_lag_s
        state = self._history[0][1]
        for at, known in self._history:
            if at <= as_of:
                state = known
        return state

    def order_by_others(
        self,
        adapter,
        expected_orders,
        after_s,
        *,
        is_load=True,
        model=MODEL,
    ):
        """Have an order of another leader carried out after a time.

        That leader has judged its room, so it never overfills the engine.
        Without an expected number, it expects what is true by then.
        """
        order = orders.Order(
            is_load=is_load,
            model=model,
            adapter=adapter,
            version=1,
            expected_orders=expected_orders,
            holder='earlier',
            token=1,
        )
        _spawn_later(after_s, self._execute_if_room, order)

    def _execute_if_room(self, order):
        self._complete_loads()
        if order.expected_orders is None:
            order = dataclasses.replace(order, expected_orders=self.sequence)
        if not order.is_load or self._has_room(order):
            self.execute(order)

    def restart(self):
        """Start anew under the same id, without adapters."""
        self.held = {}
        self.loading = {}
        self.in_use = set()
        self.unloading = set()
        self.sequence = 0
        self._history.clear()
        self._record_state()

    def end_use(self, adapter):
        """End the requests that use an adapter."""
        self._record_state()
        self.in_use.discard(adapter)
        if adapter in self.unloading:
            self.unloading.discard(adapter)
            del self.held[adapter]
        self._record_state()

    def execute(self, order):
        """Carry out an order, whoever sent it, and return the outcome."""
        self._complete_loads()
        if order.expected_orders != self.sequence:
            return orders.Outcome.OUT_OF_SEQUENCE
        self._record_state()
        if not order.adapter:
            outcome = self._load_model(order)
        elif order.is_load:
            outcome = self._load(order)
        else:
            outcome = self._unload(order)
        self._check_room()
        self._record_state()
        return outcome

    def _load_model(self, order):
        if self.model_load:
            return orders.Outcome.OUT_OF_SEQUENCE
        if order.model in self.models:
            return orders.Outcome.ALREADY_HELD
        self.sequence += 1
        self.model_load = (clock.now() + self.load_s, order.model)
        return orders.Outcome.ACCEPTED

    def _has_room(self, order):
        coming = [self.model_load[1]] if self.model_load else []
        adapters = self.held.keys() | self.loading.keys()
        if order.adapter:
            adapters |= {order.adapter}
        else:
            coming.append(order.model)
        return len(adapters) <= self._capacity(coming)

    def _check_room(self):
        coming = [self.model_load[1]] if self.model_load else []
        adapters = self.held.keys() | self.loading.keys()
        if len(adapters) > self._capacity(coming):
            self.overfilled = True

    def _capacity(self, coming):
        """Return the slots beside the base models held and coming."""
        if self.engine_class is None:
            return self.slots
        return self.engine_class.adapter_capacity({*self.models, *coming})

    def _load(self, order):
        if self.held.get(order.adapter) == order.version:
            return orders.Outcome.ALREADY_HELD
        if len(self.loading) >= 4:
            return orders.Outcome.OUT_OF_SEQUENCE
        self.sequence += 1
        self.loading[order.adapter] = (clock.now() + self.load_s, order.version)
        return orders.Outcome.ACCEPTED

    def _unload(self, order):
        if order.adapter not in self.held:
            return orders.Outcome.ALREADY_HELD
        self.sequence += 1
        if order.adapter in self.in_use:
            self.unloading.add(order.adapter)
            return orders.Outcome.ACCEPTED
        del self.held[order.adapter]
        return orders.Outcome.ALREADY_HELD

    def _complete_loads(self):
        for adapter, (ready, version) in list(self.loading.items()):
            if ready <= clock.now():
                del self.loading[adapter]
                self.held[adapter] = version
                self._history.append((ready, self._state()))
        if self.model_load and self.model_load[0] <= clock.now():
            ready, model = self.model_load
            self.model_load = None
            self.models.append(model)
            self._history.append((ready, self._state()))

    def _record_state(self):
        self._history.append((clock.now(), self._state()))

    def _state(self):
        return upstreams.EngineReport(
            started_at_ms=0,
            held_model_by_name={
                model: upstreams.HeldModel(
                    model, 1, dict(self.held) if model == MODEL else {}
                )
                for model in self.models
            },
            is_busy=self.model_load is not None,
            order_count=self.sequence,
            loading=tuple(
                types.AdapterRef(MODEL, adapter, version)
                for adapter, (_, version) in self.loading.items()
            ),
            queued=0,
            running=0,
            kv_used=0,
        )


def _spawn_later(seconds, function, *arguments):
    eventlet.spawn_after(seconds, function, *arguments)
