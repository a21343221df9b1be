"""Crowds of clients that do not behave, and what they cost a process."""

import contextlib
import itertools
import os
import pathlib
import socket
import time

import eventlet
import urllib3

from demo import platform
from ivystep.core import units

MEGABYTE = 10**6
LISTENING_STATE = '0A'
SAMPLE_INTERVAL_S = 0.02
# A crowd that has sent nothing for this time has sent all it can.
SETTLED_S = 1.0
CROWD_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 60.0
ATTEMPT_TIMEOUT_S = 15.0
BODY_BYTES = 4 * units.MIB
LARGE_CHUNK = b'%x\r\n%b\r\n' % (64 * units.KIB, b'x' * 64 * units.KIB)
SMALL_CHUNKS = b'7\r\nseven b\r\n' * 6000
SINGLE_BYTES = b'1\r\nx\r\n' * 11000
PIECE = b'x' * 64 * units.KIB
WINDOW_BYTES = 4 * units.KIB
PACKET_BYTES = 536
READ_INTERVAL_S = 1.0
READ_BYTES = 8 * units.KIB
REQUEST_INTERVAL_S = 0.5
_numbers = itertools.count()


def head(*lines, path='/plans/crowd', host=platform.HOST):
    """Return the head of a request that a gateway forwards."""
    number = next(_numbers)
    return '\r\n'.join(
        (
            f'POST {path} HTTP/1.1',
            f'Host: {host}',
            f'Request-Id: crowd-{number}',
            'Model: base',
            'Token-Count: 400,80',
            'Deadline-Ms: 60000',
            'X-Events: 1',
            *lines,
            '',
            '',
        )
    ).encode()


def body(length):
    """Return the pieces of a body."""
    whole, rest = divmod(length, len(PIECE))
    yield from itertools.repeat(PIECE, whole)
    yield PIECE[:rest]


def whole_requests(length=BODY_BYTES - 64):
    """Send a whole request with a body of almost the longest length."""
    yield head(f'Content-Length: {length}')
    yield from body(length)


def pipelined_requests(number=12, length=units.MIB):
    """Send several whole requests without reading an answer."""
    for _ in range(number):
        yield from whole_requests(length)


def short_of_the_end():
    """Send large chunks up to one chunk before the longest body."""
    yield head('Transfer-Encoding: chunked')
    yield from itertools.repeat(LARGE_CHUNK, 63)


def small_chunks(length=2 * units.MIB):
    """Send chunks of seven bytes, without the last one."""
    yield head('Transfer-Encoding: chunked')
    yield from itertools.repeat(SMALL_CHUNKS, length // 7 // 6000)


def single_byte_chunks(length=units.MIB):
    """Send chunks of one byte, without the last one."""
    yield head('Transfer-Encoding: chunked')
    yield from itertools.repeat(SINGLE_BYTES, length // 11000)


def endless_chunks(length=8 * units.MIB):
    """Send chunks beyond the longest body."""
    yield head('Transfer-Encoding: chunked')
    yield from itertools.repeat(LARGE_CHUNK, length // 64 // units.KIB)


def mixed_chunks():
    """Send one of the kinds of chunks, by turns."""
    kinds = (short_of_the_end, small_chunks, single_byte_chunks, endless_chunks)
    yield from kinds[next(_numbers) % len(kinds)]()


def incomplete_heads():
    """Send a head without its end."""
    yield head()[:-2]


def silent_connections():
    """Send nothing."""
    yield b''


def announced_gigabyte():
    """Announce a body far beyond the limit, and send a part of it."""
    yield head('Content-Length: 1000000000')
    yield from body(8 * units.MIB)


def chunk_of_a_gigabyte():
    """Announce a chunk far beyond the limit, and send a part of it."""
    yield head('Transfer-Encoding: chunked')
    yield b'3b9aca00\r\n'
    yield from body(8 * units.MIB)


def endless_extension():
    """Send a chunk line that does not end."""
    yield head('Transfer-Encoding: chunked')
    yield b'1;name='
    yield from body(4 * units.MIB)


def endless_trailers():
    """Send trailers that do not end."""
    yield head('Transfer-Encoding: chunked')
    yield b'1\r\nx\r\n0\r\n'
    yield from itertools.repeat(b'X-Trailer: value\r\n' * 3600, 64)


def refused_requests(number=2000):
    """Send whole requests that no route matches."""
    for _ in range(number // 10):
        yield head('Content-Length: 0', path='/nothing/crowd') * 10


def refused_and_run_requests():
    """Send requests to be run behind answers that fill the buffers."""
    yield from refused_requests(700)
    for _ in range(1000):
        yield head('Content-Length: 0')


def refused_requests_without_end():
    """Send a request that no route matches again and again."""
    while True:
        yield head('Content-Length: 0', path='/nothing/crowd')
        eventlet.sleep(REQUEST_INTERVAL_S)


class Crowd:
    """Connections that send pieces and stay open.

    Args:
        address: IP address and port.
        make_pieces: Returns what one connection sends.
        size: Number of connections.
        is_slow_reader: Whether each takes its answers in small parts, just
            often enough that the kernel of the other side does not end it.
        is_endless: Whether each sends for as long as it is open.
        returns: Whether each opens a new connection once its last one is
            closed.

    Attributes:
        sent_bytes: Bytes that the kernel took of all connections.
    """

    def __init__(
        self,
        address,
        make_pieces,
        size,
        *,
        is_slow_reader=False,
        is_endless=False,
        returns=False,
    ):
        self.sent_bytes = 0
        self._is_endless = is_endless
        self._returns = returns
        self._is_slow_reader = is_slow_reader
        self._address = address
        self._make_pieces = make_pieces
        self._open = []
        self._tasks = [eventlet.spawn(self._send) for _ in range(size)]

    def settle(self):
        """Wait until nobody can send more, for a moment if that has no end."""
        deadline = time.monotonic() + (
            SETTLED_S if self._is_endless else CROWD_TIMEOUT_S
        )
        sent = -1
        while sent != self.sent_bytes and time.monotonic() < deadline:
            sent = self.sent_bytes
            eventlet.sleep(SETTLED_S)

    def close(self):
        """Close all connections."""
        for task in self._tasks:
            task.kill()
        for connection in self._open:
            connection.close()

    def _send(self):
        connection = self._send_once()
        while self._returns:
            with contextlib.suppress(OSError):
                while connection.recv(READ_BYTES):
                    continue
            connection.close()
            self._open.remove(connection)
            eventlet.sleep(0.01)
            connection = self._send_once()

    def _send_once(self):
        connection = socket.socket()
        self._open.append(connection)
        if self._is_slow_reader:
            _make_window_small(connection)
        with contextlib.suppress(OSError):
            connection.connect(self._address)
            if self._is_slow_reader:
                self._tasks.append(eventlet.spawn(_read_slowly, connection))
            for piece in self._make_pieces():
                rest = memoryview(piece)
                while rest:
                    count = connection.send(rest)
                    self.sent_bytes += count
                    rest = rest[count:]
                    eventlet.sleep(0)
        return connection


@contextlib.contextmanager
def crowd(address, make_pieces, size, **more):
    """Hold a crowd open; it has sent what it can as the context begins."""
    made = Crowd(address, make_pieces, size, **more)
    try:
        made.settle()
        yield made
    finally:
        made.close()


class ProcessWatch:
    """The most memory and descriptors of a process while it was watched.

    Args:
        pid: Id of the process.
        address: IP address and port at which it listens.

    Attributes:
        peak_bytes: Most resident bytes, and bytes that it has not read.
        descriptors: Most open descriptors.
    """

    def __init__(self, pid, address):
        self.peak_bytes = 0
        self.descriptors = 0
        self._folder = pathlib.Path(f'/proc/{pid}')
        self._address = _kernel_address(address)
        self._task = eventlet.spawn(self._watch)

    def stop(self):
        """Stop watching."""
        self._task.kill()
        self.sample()

    def sample(self):
        """Take a sample, unless the process has ended."""
        try:
            status = (self._folder / 'status').read_text()
        except OSError:
            return
        if 'VmRSS' not in status:
            return
        resident = _kilobytes(status, 'VmRSS')
        self.peak_bytes = max(
            self.peak_bytes,
            resident + self._unread_bytes(),
            _kilobytes(status, 'VmHWM'),
        )
        self.descriptors = max(
            self.descriptors, len(os.listdir(self._folder / 'fd'))
        )

    def _watch(self):
        while True:
            self.sample()
            eventlet.sleep(SAMPLE_INTERVAL_S)

    def _unread_bytes(self):
        """Return the bytes in the receive buffers of its address."""
        unread = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            is_here = fields[1] == self._address
            if is_here and fields[3] != LISTENING_STATE:
                unread += int(fields[4].partition(':')[2], 16)
        return unread


def _make_window_small(connection):
    """Have both kernels buffer little of what is sent to a connection.

    The loopback network has packets of 64 KB, by which the kernel sizes the
    buffer of a sender.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, PACKET_BYTES)


def _read_slowly(connection):
    with contextlib.suppress(OSError):
        while True:
            eventlet.sleep(READ_INTERVAL_S)
            connection.recv(READ_BYTES)


def _kernel_address(address):
    host, port = address
    return f'{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}'


def _kilobytes(status, name):
    line = next(one for one in status.splitlines() if one.startswith(name))
    return int(line.split()[1]) * units.KIB


def ordinary_request(url, number=0):
    """Send an ordinary request on a new connection; return the status."""
    with urllib3.PoolManager(retries=False, timeout=ATTEMPT_TIMEOUT_S) as http:
        try:
            return http.request(
                'POST',
                f'{url}/plans/ordinary-{number}',
                body=b'{}',
                headers={
                    'Host': platform.HOST,
                    'Request-Id': f'ordinary-{next(_numbers)}',
                    'Model': 'base',
                    'Token-Count': '400,80',
                    'Deadline-Ms': '9000',
                    'X-Events': '1',
                },
            ).status
        except urllib3.exceptions.HTTPError:
            return 0


def await_answer(url):
    """Send an ordinary request until it is answered, as callers do."""
    return await_status(lambda: ordinary_request(url))


def await_status(ask, expected=200):
    """Ask until the expected status comes, for a while; return the last."""
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    status = ask()
    while status != expected and time.monotonic() < deadline:
        eventlet.sleep(0.2)
        status = ask()
    return status
