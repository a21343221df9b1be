"""Tests of the accept loop under errors of accept."""

import contextlib
import errno
import logging
import socket

import eventlet

from ivystep.runtime import listeners, virtual_hub
from ivystep.wire import channel, handshake, listener
from ivystep.wire.gen import ttypes


class Socket:
    """Raises errors of ``accept``, such as for want of descriptors."""

    def __init__(self, failures):
        self.failures = failures
        self.accepted = 0

    def settimeout(self, seconds):
        pass

    def setblocking(self, is_blocking):
        pass

    def detach(self):
        pass

    def accept(self):
        self.accepted += 1
        raise OSError(self.failures.pop(0), 'accept')


def test_errors_do_not_end_the_accept_loop(monkeypatch):
    """Guards against a process that stops accepting connections."""
    failures = [errno.EMFILE, errno.ECONNABORTED, errno.EPROTO, errno.EBADF]
    first, second = Socket(failures), Socket([errno.EMFILE] * 99)
    opened = [second, first]
    monkeypatch.setattr(eventlet, 'listen', lambda *_, **__: opened.pop())

    def scenario():
        source = listeners.Listener.open('peers', ('', 0), lambda event: None)
        serving = eventlet.spawn(listener.serve, source, None, 'peer', None)
        eventlet.sleep(1)
        assert not serving.dead
        # A listener that the process closes does end the loop.
        second.close = lambda: None
        source.close()
        eventlet.sleep(1)
        return first.accepted, second.accepted > 1, serving.dead

    assert virtual_hub.run(scenario) == (4, True, True)


def test_peer_that_sends_no_frame_costs_one_line_and_its_connection(caplog):
    """Guards against broken frames that no log line names."""
    caplog.set_level(logging.WARNING)
    source = eventlet.listen(('127.0.0.1', 0))
    eventlet.spawn(
        listener.serve, source, None, 'peer', lambda link: link.receive()
    )
    with socket.create_connection(source.getsockname()) as far:
        peer = '{}:{}'.format(*far.getsockname())
        far.sendall(channel.HEADER.pack(channel.MAX_FRAME_BYTES + 1))
        with eventlet.Timeout(2):
            assert far.recv(1) == b''
    source.close()
    expected = (
        f'Connection from {peer} closed: '
        f'receive {peer}: frame of {channel.MAX_FRAME_BYTES + 1} bytes '
        'is too long.'
    )
    assert [record.getMessage() for record in caplog.records] == [expected]


def hello(process_id):
    return ttypes.Hello(process_id, '', 'entry', 1)


@contextlib.contextmanager
def serving():
    """Serve peers that only say hello; yield the address."""

    def handle(link):
        handshake.accept(link, hello('here'))
        link.receive()

    source = eventlet.listen(('127.0.0.1', 0), backlog=256)
    task = eventlet.spawn(listener.serve, source, None, 'peer', handle)
    try:
        yield source.getsockname()
    finally:
        task.kill()
        source.close()


def say_hello(address):
    """Connect and say hello; return the connection once it is answered."""
    connection = socket.create_connection(address, timeout=5)
    connection.sendall(channel.encode(hello('there')))
    assert connection.recv(4096)
    return connection


def test_silent_connections_give_way_to_peers():
    """Guards against descriptors held by programs that say nothing."""
    with contextlib.ExitStack() as stack:
        address = stack.enter_context(serving())
        silent = [
            stack.enter_context(socket.create_connection(address, timeout=5))
            for _ in range(2 * listener.MAX_UNIDENTIFIED)
        ]
        stack.enter_context(say_hello(address))
        ended = [one for one in silent if is_closed(one)]
        assert len(ended) > listener.MAX_UNIDENTIFIED


def test_identified_peers_do_not_give_way():
    """Guards against peers who are cut off for other connections."""
    with contextlib.ExitStack() as stack:
        address = stack.enter_context(serving())
        peers = [
            stack.enter_context(say_hello(address))
            for _ in range(2 * listener.MAX_UNIDENTIFIED)
        ]
        for _ in range(2 * listener.MAX_UNIDENTIFIED):
            stack.enter_context(socket.create_connection(address, timeout=5))
        stack.enter_context(say_hello(address))
        assert not any(map(is_closed, peers))


def is_closed(connection):
    connection.setblocking(False)
    try:
        return connection.recv(1) == b''
    except BlockingIOError:
        return False


def test_many_peers_that_send_no_frame_cost_one_line(caplog):
    """Guards against a log that anybody on the network can fill."""
    caplog.set_level(logging.WARNING)
    with serving() as address:
        for _ in range(20):
            with socket.create_connection(address, timeout=5) as far:
                far.sendall(b'POST / HTTP/1.1\r\n')
                assert far.recv(1) == b''
    assert len(caplog.records) == 1
