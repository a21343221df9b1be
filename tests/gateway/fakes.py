"""Fakes of what the gateway's parts talk to."""

import base64
import dataclasses
import json

import eventlet

from ivystep.core import errors
from ivystep.platform import rows
from ivystep.runtime import clock
from ivystep.traffic import contracts, orders, upstreams

MODEL = 'daka'


class FakeLog:
    """Keeps the events that are written."""

    def __init__(self):
        self.events = []

    def write(self, event):
        self.events.append(event)

    def named(self, name):
        return [event for event in self.events if event.name == name]


def entry_row(upstream_id, version, **more):
    """Return the row of an upstream's entry."""
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


def gone_row(upstream_id, version):
    """Return the row of an upstream whose entry was deleted."""
    return rows.StoredRow('servers', upstream_id, b'', version, True)


def encoded(document):
    """Return a row's value as the store carries it."""
    return base64.b64encode(json.dumps(document).encode()).decode()


def entry(upstream_id='i-1', *held, started_at_ms=0):
    """Return an engine's entry that holds some adapters."""
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
    """Return a service of engines."""
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


@dataclasses.dataclass
class Fate:
    """What becomes of one order.

    Attributes:
        is_answered: Whether the order is carried out at once and answered.
        late_s: When an unanswered one is carried out; None for never.
    """

    is_answered: bool = True
    late_s: float | None = None


class FakeEngine:
    """An engine that follows the platform's page on orders.

    Attributes:
        fates: Fates of the next orders; answered when empty.
        overfilled: Whether it was ever ordered to hold more than fits.
    """

    def __init__(self, places=4, load_s=0.25, lag_s=0.2):
        self.places = places
        self.load_s = load_s
        self.lag_s = lag_s
        self.held = {}
        self.coming = {}
        self.busy = set()
        self.sequence = 0
        self.fates = []
        self.given = []
        self.overfilled = False
        self.token = 0
        self._past = []

    def send_order(self, address, upstream_id, order):
        fate = self.fates.pop(0) if self.fates else Fate()
        if fate.is_answered:
            self.given.append(order)
            return self._carry_out(order)
        if fate.late_s is not None:
            _later(fate.late_s, self._carry_out, order)
        clock.sleep(0.3)
        raise errors.LinkError('timed out', step='order')

    def read_report(self, address):
        self._settle()
        seen = clock.now() - self.lag_s
        state = self._state()
        for at, known in self._past:
            if at <= seen:
                state = known
        return state

    def _carry_out(self, order):
        self._settle()
        if order.expected_orders != self.sequence:
            return orders.Outcome.OUT_OF_SEQUENCE
        self._remember()
        outcome = self._load(order) if order.is_load else self._unload(order)
        self._remember()
        return outcome

    def _load(self, order):
        if self.held.get(order.adapter) == order.version:
            return orders.Outcome.ALREADY_HELD
        if len(self.coming) >= 4:
            return orders.Outcome.OUT_OF_SEQUENCE
        self.sequence += 1
        self.coming[order.adapter] = (clock.now() + self.load_s, order.version)
        if len(self.held.keys() | self.coming.keys()) > self.places:
            self.overfilled = True
        return orders.Outcome.ACCEPTED

    def _unload(self, order):
        if order.adapter not in self.held:
            return orders.Outcome.ALREADY_HELD
        self.sequence += 1
        del self.held[order.adapter]
        return orders.Outcome.ALREADY_HELD

    def _settle(self):
        for adapter, (ready, version) in list(self.coming.items()):
            if ready <= clock.now():
                del self.coming[adapter]
                self.held[adapter] = version
                self._past.append((ready, self._state()))

    def _remember(self):
        self._past.append((clock.now(), self._state()))

    def _state(self):
        return upstreams.EngineReport(
            started_at_ms=0,
            held_model_by_name={
                MODEL: upstreams.HeldModel(MODEL, 1, dict(self.held))
            },
            is_busy=False,
            order_count=self.sequence,
            loading=(),
            queued=0,
            running=0,
            kv_used=0,
        )


def _later(seconds, function, *arguments):
    eventlet.spawn_after(seconds, function, *arguments)
