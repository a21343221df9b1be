"""A complete gateway on loopback with a store and scripted upstreams."""

import contextlib
import itertools
import json
import pathlib
import random
import socket
import struct

import eventlet

from ivystep.gateway import daemon
from ivystep.settings import gateway as settings_models
from standins import table as table_standin
from tests import dark_peers, serving
from tests.gateway import fakes

HOST = 'ficu.example'
LIMITS = {
    'max_header_bytes': 4096,
    'max_body_bytes': 65536,
    'header_timeout_ms': 300,
    'idle_timeout_ms': 2000,
}


PORT_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
# The kernel gives none of these to a connection, nor to a listener that takes
# any port.
PORTS = range(10_000, int(PORT_RANGE.read_text().split()[0]))
# A process begins anywhere, so that those of several test runs seldom meet.
_first = random.randrange(len(PORTS))
_ports = itertools.cycle((*PORTS[_first:], *PORTS[:_first]))


def unused_port():
    """Return a port that this process has not returned before."""
    while True:
        port = next(_ports)
        with (
            contextlib.closing(socket.socket()) as probe,
            contextlib.suppress(OSError),
        ):
            probe.bind(('127.0.0.1', port))
            return port


class ScriptedUpstream:
    """An upstream that answers each request by a script.

    Attributes:
        requests: Head and body of each request that was received.
        script: Called with the connection and a request's headers; returns
            the bytes of the answer, or None if it has written them itself.
        opened: Number of connections that the gateway has opened.
        ended: Number of connections that have ended.
    """

    def __init__(self, script, upstream_id='i-1', software_version='v1'):
        self.upstream_id = upstream_id
        self.software_version = software_version
        self.script = script
        self.requests = []
        self.ended = 0
        self.opened = 0
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self._connections = []
        self._tasks = [eventlet.spawn(self._accept)]

    def close(self):
        for task in self._tasks:
            task.kill()
        self._listener.close()

    def crash(self):
        """End like a process that crashes: the kernel closes its sockets."""
        # An accept that waits would raise an error in another task.
        self._tasks.pop(0).kill()
        self._listener.close()
        for connection in self._connections:
            reset(connection)

    def crash_silently(self, stack):
        """End like a host that goes dark: the address answers nothing.

        A listener whose queue is full drops the packets that open connections.
        """
        self.crash()
        self._answer_nothing(stack)

    def go_dark(self, stack):
        """End like a host that loses power: its kernel answers nothing."""
        for connection in self._connections:
            dark_peers.go_dark(connection)
        self._tasks.pop(0).kill()
        self._listener.close()
        self._answer_nothing(stack)

    def _answer_nothing(self, stack):
        silent = stack.enter_context(contextlib.closing(socket.socket()))
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind(('127.0.0.1', self.port))
        silent.listen(0)
        for _ in range(2):
            waiting = stack.enter_context(contextlib.closing(socket.socket()))
            waiting.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                waiting.connect(('127.0.0.1', self.port))

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            self.opened += 1
            self._connections.append(connection)
            self._tasks.append(eventlet.spawn(self._serve, connection))

    def _serve(self, connection):
        received = b''
        try:
            while True:
                while b'\r\n\r\n' not in received:
                    part = connection.recv(65536)
                    if not part:
                        return
                    received += part
                head, _, received = received.partition(b'\r\n\r\n')
                headers = parse_head(head)
                length = int(headers.get('content-length', 0))
                while len(received) < length:
                    received += connection.recv(65536)
                body, received = received[:length], received[length:]
                self.requests.append((head, body))
                answer = self.script(connection, headers)
                if answer is not None:
                    connection.sendall(answer)
        except (OSError, EOFError):
            # Eventlet raises the latter if a crash closes an idle connection.
            return
        finally:
            self.ended += 1
            connection.close()


def parse_head(head):
    lines = head.decode().split('\r\n')[1:]
    return {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }


def ok_answer(headers, body=b'whole answer', **more):
    """Return a complete answer with status 200."""
    extra = ''.join(f'{name}: {value}\r\n' for name, value in more.items())
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {headers["request-id"]}\r\n'
        f'Response-Seal: seal-{headers["request-id"]}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


# Events of a stream, as an upstream sends them.
EVENTS = tuple(
    f'id: {number}\ndata: token {number}\n\n'.encode() for number in range(1, 5)
)


def stream_head(headers):
    """Return the head of a stream of events in chunks."""
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {headers["request-id"]}\r\n'
        'Response-Seal: seal\r\nContent-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(content):
    """Return bytes as one chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def receive_until(connection, part):
    """Receive from a connection until a part has arrived; return all."""
    received = b''
    with eventlet.Timeout(2):
        while part not in received:
            received += connection.recv(65536)
    return received


def not_run_answer(status=503):
    return (
        f'HTTP/1.1 {status} Busy\r\nNot-Executed: 1\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()


def reset(connection):
    """Close a connection with a reset."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    connection.close()


def route(name, kind, **more):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'priority': 1,
        'service': 'app',
        'attempts': 1,
        **more,
    }


ROUTES = (
    route('read', 'idempotent', attempts=2),
    route('once', 'non_idempotent', attempts=2),
    route('stream', 'stream', attempts=1, gap_target_ms=300),
    route('resume', 'stream', attempts=2, gap_target_ms=300, resumable=True),
    route('short', 'non_idempotent', timeout_ms=200),
)


class StoreGate:
    """The way of one host to the store.

    Attributes:
        is_blocked: Returns whether a path and query get no answer.
    """

    def __init__(self, store):
        self.is_blocked = lambda path, query: False
        self._store = store

    def handle(self, environ):
        path, query = environ['PATH_INFO'], environ.get('QUERY_STRING', '')
        while self.is_blocked(path, query):
            eventlet.sleep(0.05)
        return self._store.handle(environ)


class GatewayHarness:
    """A running gateway with its store and upstreams."""

    def __init__(
        self,
        stack,
        *upstreams,
        config=None,
        host='host-1',
        peer=None,
        peer_bounds=None,
        **bounds,
    ):
        is_first = peer is None
        self.store = table_standin.TableStandin() if is_first else peer.store
        # Each host reaches the store at a port of its own.
        self.gate = StoreGate(self.store)
        self.store_port = stack.enter_context(serving.serve(self.gate.handle))
        ports = unused_port()
        self.port = unused_port()
        self.readiness_port = unused_port()
        settings = settings_models.GatewaySettings.model_validate(
            {
                'process': {'id': host, 'data_centre': 'accra-a'},
                'addresses': {
                    'callers': f'127.0.0.1:{self.port}',
                    'readiness': f'127.0.0.1:{self.readiness_port}',
                    'host': '127.0.0.1',
                    'ports': f'{ports},{ports}',
                    'metrics_port': unused_port(),
                },
                'store': {
                    'address': f'127.0.0.1:{self.store_port}',
                    'upstream_pause_s': 0.01,
                },
                'bounds': {'grace_s': 4.0, **bounds},
                'peer_bounds': peer_bounds or {},
            }
        )
        if config is not False and peer is None:
            self.configure(config or {})
        for upstream in upstreams:
            self.add(upstream)
        self.daemon = daemon.GatewayDaemon.from_config(settings)
        self.listener = self.daemon.start()
        stack.callback(self.listener.close)
        stack.callback(self.daemon.stop)
        if peer is None:
            self.wait_for(len(upstreams))
        if peer is None and config is not False:
            self.wait_until_ready()
        # The retry budget is small until the number of hosts is known.
        with eventlet.Timeout(5):
            while not self.daemon.status().details['hosts']:
                eventlet.sleep(0.02)

    def end(self):
        """End at once; its lease ends too, so that others need not wait."""
        self.daemon._leadership.release()
        self.daemon.stop()
        self.listener.close()

    def configure(self, changes):
        document = {
            'version': 1,
            'routes': ROUTES,
            'services': [{'name': 'app', 'max_connections': 9}],
            'limits': LIMITS,
            **changes,
        }
        self.store.write('op', 'config', fakes.encoded(document))

    def add(self, upstream, **more):
        document = {
            'service': 'app',
            'address': f'127.0.0.1:{upstream.port}',
            'zone': 'accra-a',
            'slots': 4,
            'state': 'ready',
            'version': upstream.software_version,
            **more,
        }
        self.store.write(
            'servers', upstream.upstream_id, fakes.encoded(document)
        )

    def wait_for(self, upstreams):
        with eventlet.Timeout(5):
            while self.daemon.status().details['upstreams'] != upstreams:
                eventlet.sleep(0.01)

    def wait_until_ready(self):
        """Wait until a configuration is in force and callers can connect."""
        with eventlet.Timeout(5):
            while not self.daemon.status().is_ready:
                eventlet.sleep(0.01)

    def connect(self, caller='127.0.0.1'):
        """Open a connection from an address of the loopback network."""
        return socket.create_connection(
            ('127.0.0.1', self.port), source_address=(caller, 0)
        )

    def send(self, path, request_id='r-1', **more):
        return exchange(self.connect(), path, request_id, **more)


class Answer:
    """An answer as a caller received it.

    Attributes:
        was_reset: Whether the connection ended with a reset.
        is_complete: Whether the answer is complete by its HTTP framing.
    """

    def __init__(self, received, was_reset):
        head, _, rest = received.partition(b'\r\n\r\n')
        self.received = received
        self.was_reset = was_reset
        self.status = int(head.split(b' ')[1]) if head else 0
        self.headers = parse_head(head) if head else {}
        self.is_complete, self.body = self._body(rest)

    def _body(self, rest):
        if 'content-length' in self.headers:
            length = int(self.headers['content-length'])
            return len(rest) == length, rest
        if self.headers.get('transfer-encoding') != 'chunked':
            return False, rest
        body = b''
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            length = int(size, 16)
            if not length:
                return rest == b'\r\n', body
            if len(rest) < length + 2:
                return False, body + rest
            body += rest[:length]
            rest = rest[length + 2 :]
        return False, body

    @property
    def document(self):
        return json.loads(self.body)['error']


def request(path, request_id='r-1', method='POST', body=b'{}', headers=()):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 1500',
        *headers,
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def exchange(connection, path, request_id='r-1', **more):
    """Send a request with ``Connection: close`` and return the answer."""
    headers = (*more.pop('headers', ()), 'Connection: close')
    with contextlib.closing(connection):
        connection.sendall(request(path, request_id, headers=headers, **more))
        return read_to_end(connection)


def read_to_end(connection, received=b''):
    """Read to the end of a connection, and record whether it was reset."""
    while True:
        eventlet.hubs.trampoline(
            connection, read=True, timeout=5, timeout_exc=TimeoutError
        )
        try:
            part = connection.fd.recv(65536)
        except ConnectionError:
            return Answer(received, was_reset=True)
        if not part:
            return Answer(received, was_reset=False)
        received += part
