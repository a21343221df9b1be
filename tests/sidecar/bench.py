"""Test bench: an engine stand-in and the sidecar state of its host."""

import contextlib
import json
import socket

import eventlet
from eventlet import wsgi

from ivystep.core import errors, types
from ivystep.settings import models
from ivystep.sidecar import host, run
from ivystep.wire import channel, convert
from ivystep.wire.gen import ttypes
from standins import engine, faults, web

REF = types.AdapterRef('acme', 'plans', 3)
OTHER = types.AdapterRef('acme', 'sheets', 1)
LOOPBACK = '127.0.0.1'


def message(
    upstream_host, attempt_id='att-1', ref=REF, prompt='hello', **fields
):
    """Return a RunAttempt for this host."""
    body = {
        'model': ref.lora_name if ref else '',
        'prompt': prompt,
        'max_tokens': fields.pop('max_tokens', 4),
        'stream': fields.get('stream', False),
    }
    values = {
        'attempt_id': attempt_id,
        'request_id': 'req-1',
        'account': 'acme',
        'application': 'app',
        'adapter': convert.optional_adapter_id(ref),
        'sidecar_incarnation': upstream_host.incarnation,
        'path': '/v1/completions',
        'body': json.dumps(body).encode(),
        'stream': False,
        'idempotent': True,
        'budget_ms': 5000,
        'fingerprint': prompt.encode(),
        'setup_version': 1,
    }
    return ttypes.RunAttempt(**{**values, **fields})


def order(ref, *evict):
    """Return a load order."""
    return types.LoadOrder(ref, f'weights/{ref.name}', evict, 'entry-1')


class Entry:
    """The entry's end of one data connection."""

    def __init__(self):
        listener = eventlet.listen((LOOPBACK, 0))
        ours = eventlet.connect(listener.getsockname())
        theirs, _ = listener.accept()
        listener.close()
        self.channel = channel.Channel(ours, 'sidecar')
        self.sidecar_end = channel.Channel(theirs, 'entry')

    def frames(self):
        """Return all messages up to the end of the answer or the failure."""
        received = []
        while not received or not isinstance(
            received[-1], (ttypes.AnswerEnd, ttypes.AttemptFailed)
        ):
            received.append(self.channel.receive(10))
        return received


class Bench:
    """An engine stand-in and the sidecar's state for it."""

    def __init__(self, handle=None, **settings):
        self.sockets = set()
        self.engine = engine.EngineStandin(4, 0.002, '', self.crash)
        self._handle = handle or self.engine.handle
        self.listener = eventlet.listen((LOOPBACK, 0))
        self.server = eventlet.spawn(
            wsgi.server,
            self.listener,
            web.app(self._tracked),
            log_output=False,
            debug=False,
        )
        port = self.listener.getsockname()[1]
        self.upstream_host = host.UpstreamHost(
            'up-1',
            models.Upstream(
                url=f'http://{LOOPBACK}:{port}', slots=4, **settings
            ),
        )

    def start(self, *refs):
        """Read the state of the engine and load adapters."""
        assert self.upstream_host.refresh()
        for ref in refs:
            assert self.upstream_host.load(order(ref)).ok

    def set_faults(self, **values):
        """Set the engine's faults."""
        self.engine.faults = faults.EngineFaults(**values)

    def crash(self):
        """Crash like a process that its supervisor restarts at once."""
        self.disconnect()
        self.engine.restart()
        raise ConnectionError('the engine has failed')

    def stop(self):
        """Close the engine's listener and connections."""
        self.server.kill()
        self.listener.close()
        self.disconnect()

    def disconnect(self):
        """Break every connection that a call has used."""
        for connection in self.sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.sockets.clear()

    def spawn(self, **fields):
        """Start an attempt in a task and return the entry's end."""
        entry = Entry()
        sent = message(self.upstream_host, **fields)
        entry.task = eventlet.spawn(self.serve, sent, entry)
        return entry

    def serve(self, sent, entry):
        """Serve one attempt as the server does."""
        try:
            run.run_attempt(self.upstream_host, sent, entry.sidecar_end)
        except errors.LinkError:
            entry.sidecar_end.close()

    def run(self, **fields):
        """Run one attempt and return what the entry receives."""
        return self.spawn(**fields).frames()

    def _tracked(self, environ):
        self.sockets.add(environ['eventlet.input'].get_socket())
        return self._handle(environ)


def wait_until(condition, timeout_s=10.0):
    """Let other tasks run until a condition holds."""
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.002)
