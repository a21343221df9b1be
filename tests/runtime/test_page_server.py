"""Tests the server of the small pages of a process."""

import contextlib
import socket
import time

import eventlet
import pytest

from ivystep.runtime import listener_events, listeners, page_server

REQUEST = b'GET /page HTTP/1.1\r\nHost: x\r\n\r\n'
MALFORMED = (
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n',
    b'GET\r\n\r\n',
    b'GET / HTTP/9.9\r\n\r\n',
    b'GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n',
    b'GET /' + b'a' * 20000 + b' HTTP/1.1\r\n\r\n',
    b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 500 + b'\r\n',
    b'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    b'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;' + b'a' * 20000,
    b'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
    + b'a: b\r\n' * 20000,
)


class Pages:
    """A page server on loopback.

    Attributes:
        reported: The events that it reported.
    """

    def __init__(self, application=None, **limits):
        self.reported = []
        self.listener = listeners.Listener.open(
            'readiness', ('127.0.0.1', 0), self.reported.append
        )
        self.server = page_server.PageServer(
            self.listener, application or answer, **limits
        )
        self.task = eventlet.spawn(self.server.run)

    def connect(self):
        return socket.create_connection(self.listener.getsockname())

    def get(self):
        with contextlib.closing(self.connect()) as connection:
            connection.sendall(REQUEST)
            with eventlet.Timeout(2):
                return connection.recv(4096)


def answer(environ, start_response):
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


def fail(environ, start_response):
    raise ZeroDivisionError


@pytest.fixture
def serve():
    """Return a function that starts a page server."""
    with contextlib.ExitStack() as stack:

        def start(*arguments, **limits):
            pages = Pages(*arguments, **limits)
            stack.callback(pages.task.kill)
            stack.callback(pages.listener.close)
            return pages

        yield start


def read_to_end(connection):
    received = b''
    with contextlib.suppress(ConnectionResetError):
        while part := connection.recv(65536):
            received += part
    return received


def test_silent_connections_keep_nobody_out(serve):
    """Guards against probes that fail while others connect and say nothing."""
    pages = serve()
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(contextlib.closing(pages.connect()))
            for _ in range(300)
        ]
        for _ in range(5):
            assert pages.get().startswith(b'HTTP/1.1 200')
        still_open = 0
        for connection in opened:
            connection.setblocking(False)
            try:
                connection.recv(1)
            except BlockingIOError:
                still_open += 1
            except ConnectionResetError:
                continue
        assert still_open <= page_server.MAX_CONNECTIONS


@pytest.mark.parametrize('sent', [b'', b'GET / HT', REQUEST[:-2], REQUEST])
def test_connection_that_says_nothing_more_is_closed(serve, sent):
    """Guards against descriptors that a silent peer holds for good."""
    pages = serve(request_timeout_s=0.2)
    started = time.monotonic()
    with contextlib.closing(pages.connect()) as connection:
        connection.sendall(sent)
        with eventlet.Timeout(2):
            received = read_to_end(connection)
    assert bool(received) == (sent == REQUEST)
    assert time.monotonic() - started < 1


def test_request_that_comes_byte_by_byte_is_closed(serve):
    """Guards against a time-out that each received byte starts anew."""
    pages = serve(request_timeout_s=0.3)
    with contextlib.closing(pages.connect()) as connection:
        with eventlet.Timeout(2), contextlib.suppress(OSError):
            while True:
                connection.sendall(b'x')
                eventlet.sleep(0.02)
        assert not pages.server._open_by_number


def test_answer_that_is_not_read_is_given_up(serve):
    """Guards against descriptors held by a peer that reads nothing."""

    def long_answer(environ, start_response):
        start_response('200 OK', [('Content-Length', str(1 << 26))])
        return [b'x' * (1 << 26)]

    pages = serve(long_answer, request_timeout_s=0.2, socket_timeout_s=0.2)
    with contextlib.closing(pages.connect()) as connection:
        connection.sendall(REQUEST)
        eventlet.sleep(0.05)
        assert pages.server._open_by_number
        with eventlet.Timeout(2):
            while pages.server._open_by_number:
                eventlet.sleep(0.05)


def test_request_that_is_answered_is_not_closed_for_another(serve):
    """Guards against an answer that is cut off for a new connection."""

    def slow(environ, start_response):
        eventlet.sleep(0.3)
        return answer(environ, start_response)

    pages = serve(slow, max_connections=2)
    asking = [eventlet.spawn(pages.get) for _ in range(6)]
    for one in asking:
        assert one.wait().startswith(b'HTTP/1.1 200')


def test_kept_connection_serves_several_requests(serve):
    """Guards against probes that must connect anew for each request."""
    pages = serve()
    with contextlib.closing(pages.connect()) as connection:
        for _ in range(3):
            connection.sendall(REQUEST)
            assert connection.recv(4096).endswith(b'ok')


@pytest.mark.parametrize('sent', MALFORMED)
def test_malformed_requests_cost_one_log_line(serve, sent, capfd):
    """Guards against lines on standard error for each malformed request."""
    pages = serve()
    for _ in range(30):
        with contextlib.closing(pages.connect()) as connection:
            connection.sendall(sent)
            connection.shutdown(socket.SHUT_WR)
            read_to_end(connection)
    assert capfd.readouterr() == ('', '')
    assert len(pages.reported) <= 1
    assert pages.get().startswith(b'HTTP/1.1 200')


def test_failure_of_the_application_is_reported(serve, capfd):
    """Guards against pages that fail without a log line."""
    pages = serve(fail)
    assert pages.get().startswith(b'HTTP/1.1 500')
    assert capfd.readouterr() == ('', '')
    assert pages.reported == [
        listener_events.PageRequestsFailed(
            'readiness', '127.0.0.1', 'ZeroDivisionError()', 1
        )
    ]
