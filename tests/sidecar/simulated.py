"""A simulated engine and entry, for tests on the virtual clock."""

import json

import eventlet
import urllib3
from eventlet import event

from ivystep.core import errors
from ivystep.runtime import clock
from ivystep.sidecar import upstream
from ivystep.wire.gen import ttypes

HEADERS = {'Transfer-Encoding': 'chunked', 'Content-Type': 'text/plain'}


class Engine:
    """Replaces ``EngineHttp`` in the sidecar.

    It fails as the published interface allows: it restarts without adapters,
    loses the answers to orders and executes them late, and refuses calls for
    adapters that it does not hold. ``evicted_in_use`` lists the adapters that
    were evicted during a running call.
    """

    def __init__(self, source, slots):
        self.source = source
        self.slots = slots
        self.incarnation = 1
        self.held = set()
        self.calls = []
        self.executed = []
        self.evicted_in_use = []

    def restart(self):
        self.incarnation += 1
        self.held.clear()
        self.calls.clear()

    def process(self):
        self._delay()
        return upstream.UpstreamSnapshot(
            str(self.incarnation), running=len(self.calls)
        )

    def read(self):
        before = self.incarnation
        self._delay()
        if before != self.incarnation or self.source.random() < 0.05:
            raise errors.UnavailableError('not read')
        snapshot = upstream.UpstreamSnapshot(
            str(before), frozenset(self.held), len(self.calls)
        )
        self._delay()
        return snapshot

    def load(self, ref, source, fencing_token):
        self._order(lambda: self._apply_load(ref))

    def unload(self, ref, fencing_token):
        self._order(lambda: self._apply_unload(ref))

    def run(self, path, body):
        self._delay()
        document = json.loads(body)
        if all(ref.lora_name != document['model'] for ref in self.held):
            return Response(self, None, 404, [])
        self.executed.append(document['prompt'])
        call = (document['model'], document['prompt'], self.incarnation)
        self.calls.append(call)
        event_text = json.dumps({'model': document['model']})
        return Response(self, call, 200, [event_text, event_text, '[DONE]'])

    def is_running(self, ref):
        return any(model == ref.lora_name for model, _, _ in self.calls)

    def _delay(self):
        clock.sleep(self.source.uniform(0.001, 0.3))

    def _order(self, apply):
        self._delay()
        incarnation = self.incarnation
        choice = self.source.random()
        if choice < 0.1:
            raise errors.UnavailableError('refused')
        if choice < 0.2:
            # The answer is lost; the order may take effect much later.
            late_s = self.source.uniform(0, 100)
            eventlet.spawn_after(late_s, self._apply_late, apply, incarnation)
            clock.sleep(self.source.uniform(0, 5))
            raise errors.UncertainWriteError('answer lost')
        clock.sleep(self.source.uniform(0.05, 1))
        if incarnation != self.incarnation:
            raise errors.UncertainWriteError('restarted')
        apply()
        self._delay()

    def _apply_late(self, apply, incarnation):
        if incarnation == self.incarnation:
            apply()

    def _apply_load(self, ref):
        if len(self.held) < self.slots:
            self.held.add(ref)

    def _apply_unload(self, ref):
        if self.is_running(ref):
            self.evicted_in_use.append(ref)
        self.held.discard(ref)


class Response:
    """The answer to one call, as a stream of events."""

    def __init__(self, engine, call, status, events):
        self.status = status
        self.headers = HEADERS
        self._engine = engine
        self._call = call
        self._events = events

    def stream(self, amount):
        for text in self._events:
            self._engine._delay()
            if self._call not in self._engine.calls:
                raise urllib3.exceptions.ProtocolError('connection lost')
            if self._engine.source.random() < 0.02:
                self.close()
                raise urllib3.exceptions.ProtocolError('cut off')
            if self._engine.source.random() < 0.02:
                clock.sleep(1000)
            yield f'data: {text}\n\n'.encode()
        self.close()

    def close(self):
        if self._call in self._engine.calls:
            self._engine.calls.remove(self._call)

    release_conn = close


class Peer:
    """The entry's end of a data connection."""

    peer = 'entry'

    def __init__(self, source):
        self.received = []
        self.disconnected = event.Event()
        self._source = source

    def send(self, message):
        clock.sleep(self._source.uniform(0, 0.2))
        if self.disconnected.ready():
            raise errors.LinkError('closed')
        self.received.append(message)

    def is_stale(self):
        return self.disconnected.ready()

    def wait_readable(self):
        self.disconnected.wait()

    def close(self):
        self.disconnect()

    def disconnect(self):
        if not self.disconnected.ready():
            self.disconnected.send()

    @property
    def last(self):
        return self.received[-1] if self.received else None

    @property
    def is_answered(self):
        return isinstance(self.last, ttypes.AnswerEnd)
