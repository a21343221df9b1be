"""Tests the drain of an entry over real connections."""

import signal
import socket
import types as std_types

import eventlet
import pytest

from ivystep.core import types
from ivystep.entry import daemon
from ivystep.runtime import drain
from tests.entry import harness

STREAM = {'model': 'plan', 'stream': True}


class DrainableEntry:
    """An entry that can be drained; its stream waits for ``gate``."""

    def __init__(self, deadline_s=3.0, notice_s=0.05):
        self.gate = harness.new_gate()
        self.entry = harness.Entry(self.run)
        self.signals = drain.DrainSignal()
        self.signals.received.is_serving = True
        # The daemon is built around the harness's parts, since its own
        # constructor connects to the platform.
        self.daemon = object.__new__(daemon.EntryDaemon)
        self.daemon.settings = std_types.SimpleNamespace(
            drain=std_types.SimpleNamespace(
                notice_s=notice_s, deadline_s=deadline_s
            )
        )
        self.daemon.is_ready = True
        self.daemon.server_state = self.entry.server_state
        self.daemon.in_progress = self.entry.progress

    def run(self, attempt):
        if not attempt.request.stream:
            return harness.answer(b'{}')
        head = types.AnswerHead(200, 'text/event-stream')
        return types.Answer(head, self.chunks())

    def chunks(self):
        yield b'data: 1\n\n'
        self.gate.wait()
        yield b'data: [DONE]\n\n'

    def start(self):
        return eventlet.spawn(
            self.daemon.drain,
            self.entry.server,
            self.entry.listener,
            self.signals,
        )

    def open_stream(self):
        connection = self.entry.connect()
        connection.sendall(
            harness.head_and_body(STREAM, connection='keep-alive')
        )
        received = b''
        while b'data: 1' not in received:
            received += connection.recv(4096)
        return connection


def test_streams_finish_and_idle_connections_close_cleanly():
    """Guards against answers interrupted by a planned stop."""
    draining = DrainableEntry()
    streaming = draining.open_stream()
    idle = draining.entry.connect()
    keep_alive = draining.entry.connect()
    keep_alive.sendall(harness.head_and_body(connection='keep-alive'))
    while b'{}' not in keep_alive.recv(4096):
        continue
    drain_task = draining.start()
    harness.wait_until(lambda: draining.daemon.server_state.is_closing)
    assert not draining.daemon.is_ready
    # A request during the notice is served; its answer announces the close.
    status, headers, _ = harness.parse(
        draining.entry.raw(harness.head_and_body(connection='keep-alive'))
    )
    assert (status, headers['Connection']) == (200, 'close')
    assert idle.recv(1) == b''
    assert keep_alive.recv(1) == b''
    with pytest.raises(ConnectionRefusedError):
        draining.entry.connect()
    assert not drain_task.dead
    draining.gate.send()
    assert harness.read_all(streaming).endswith(b'[DONE]\n\n\r\n0\r\n\r\n')
    with eventlet.Timeout(2):
        drain_task.wait()


def test_a_request_that_has_arrived_is_answered_after_the_close():
    """Guards against dropping requests that arrived but were not read."""
    draining = DrainableEntry()
    connections = [draining.entry.connect() for _ in range(20)]
    for connection in connections[:10]:
        connection.sendall(harness.head_and_body(connection='keep-alive'))
        assert b'{}' in connection.recv(4096)
    for connection in connections[::2]:
        connection.sendall(harness.head_and_body()[:20])
    eventlet.sleep(0.02)
    for connection in connections[1::2]:
        connection.sendall(harness.head_and_body())
    # No task of the entry has read a byte of these requests yet.
    draining.daemon.close_listener(
        draining.entry.server, draining.entry.listener
    )
    for connection in connections[::2]:
        connection.sendall(harness.head_and_body()[20:])
    for connection in connections:
        assert harness.parse(harness.read_all(connection))[0] == 200


def test_drain_deadline_ends_requests_with_their_outcome():
    """Guards against connections that close without an answer."""
    draining = DrainableEntry(deadline_s=0.1)
    streaming = draining.open_stream()
    queued_gate = draining.entry.pool.gate = harness.new_gate()
    queued = draining.entry.connect()
    queued.sendall(harness.head_and_body())
    eventlet.sleep(0.02)
    drain_task = draining.start()
    received = harness.read_all(streaming)
    assert b'"code": "entry_draining"' in received
    assert b'"ran": "unknown"' in received
    status, headers, document = harness.parse(harness.read_all(queued))
    assert (status, headers['Retry-After']) == (503, '1')
    assert document['error']['ran'] == 'no'
    with eventlet.Timeout(2):
        drain_task.wait()
    assert draining.entry.pool.held == 0
    queued_gate.send()


def test_second_signal_moves_the_deadline_to_now():
    """Guards against a drain that a second signal does not end."""
    draining = DrainableEntry(deadline_s=60)
    streaming = draining.open_stream()
    drain_task = draining.start()
    eventlet.sleep(0.1)
    draining.signals.received.on_stop(signal.SIGTERM, None)
    draining.signals.received.on_stop(signal.SIGTERM, None)
    assert b'entry_draining' in harness.read_all(streaming)
    with eventlet.Timeout(2):
        drain_task.wait()


def test_pipelined_request_behind_a_stream_gets_a_clean_close():
    """Guards against a reset that discards the end of a stream."""
    draining = DrainableEntry()
    streaming = draining.open_stream()
    streaming.sendall(harness.head_and_body() * 3)
    draining.start()
    eventlet.sleep(0.1)
    draining.gate.send()
    received = harness.read_all(streaming)
    assert b'[DONE]' in received
    streaming.shutdown(socket.SHUT_RDWR)


def test_request_completed_after_the_deadline_is_not_sent_on():
    """Guards against requests that are sent on as their entry exits."""
    draining = DrainableEntry(deadline_s=0.1, notice_s=0.0)
    whole = harness.head_and_body(STREAM, connection='keep-alive')
    in_head, in_body = draining.entry.connect(), draining.entry.connect()
    in_head.sendall(whole[:20])
    in_body.sendall(whole[:-1])
    eventlet.sleep(0.05)
    drain_task = draining.start()
    eventlet.sleep(0.2)
    in_head.sendall(whole[20:])
    in_body.sendall(whole[-1:])
    for connection in (in_head, in_body):
        with eventlet.Timeout(2):
            received = harness.read_all(connection)
        status, headers, document = harness.parse(received)
        assert (status, headers['Retry-After']) == (503, '1')
        assert document['error']['ran'] == 'no'
    assert not draining.entry.pool.attempts
    with eventlet.Timeout(2):
        drain_task.wait()


@pytest.mark.parametrize(('timeout_ms', 'status'), [(2000, 200), (9000, 503)])
def test_late_request_is_taken_only_if_its_deadline_ends_it(timeout_ms, status):
    """Guards against requests that are sent on and cut by the deadline."""
    draining = DrainableEntry(deadline_s=3.0, notice_s=0.0)
    whole = harness.head_and_body(
        connection='keep-alive', X_Request_Timeout_Ms=timeout_ms
    )
    connections = [draining.entry.connect() for _ in range(2)]
    connections[0].sendall(whole[:20])
    connections[1].sendall(whole[:-1])
    eventlet.sleep(0.05)
    drain_task = draining.start()
    eventlet.sleep(0.1)
    for connection, begun in zip(connections, (20, -1), strict=True):
        connection.sendall(whole[begun:])
        received = harness.read_all(connection)
        assert harness.parse(received)[0] == status
        if status == 503:
            assert b'"ran": "no"' in received
            assert b'entry_draining' in received
    assert len(draining.entry.pool.attempts) == (2 if status == 200 else 0)
    with eventlet.Timeout(2):
        drain_task.wait()


def test_request_that_waits_is_not_sent_once_callers_are_routed_elsewhere():
    """Guards against requests that wait for a place, are run, and are cut."""
    draining = DrainableEntry(deadline_s=3.0, notice_s=0.0)
    gate = draining.entry.pool.gate = harness.new_gate()
    waiting = draining.entry.connect()
    # Its own deadline lies behind that of the drain.
    waiting.sendall(harness.head_and_body())
    eventlet.sleep(0.05)
    drain_task = draining.start()
    eventlet.sleep(0.1)
    gate.send()
    received = harness.read_all(waiting)
    with eventlet.Timeout(2):
        drain_task.wait()
    assert not draining.entry.pool.attempts
    assert harness.parse(received)[0] == 503
    assert b'"ran": "no"' in received
