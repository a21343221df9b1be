"""Clients that do not behave: they send parts, or too much, and stay."""

import contextlib
import random
import socket
import struct
from collections.abc import Callable, Generator

import eventlet

from soak import callers

MAX_CONNECTIONS = 60
MAX_SENT_BYTES = 400_000
CONNECT_S = 5.0
HEAD = b'POST /v1/completions HTTP/1.1\r\nHost: crowd\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# Discards what is unsent, and resets the connection.
RESET = struct.pack('ii', 1, 0)


def _key(choices: random.Random) -> bytes:
    """Return the header of an account's key, or of an unknown one."""
    account = choices.choice(('vanhoutte', 'unknown'))
    key = callers.bearer_key(account, 'app').encode()
    return b'Authorization: Bearer %b\r\n' % key


def _part_of_a_head(choices: random.Random) -> bytes:
    return HEAD[: choices.randrange(len(HEAD))]


def _part_of_a_body(choices: random.Random) -> bytes:
    length = choices.randrange(1, MAX_SENT_BYTES)
    body = b'x' * choices.randrange(length)
    announced = b'Content-Length: %d\r\n\r\n' % length
    return b''.join((HEAD, _key(choices), announced, body))


def _too_long_body(choices: random.Random) -> bytes:
    announced = b'Content-Length: 1000000000\r\n\r\n'
    body = b'x' * MAX_SENT_BYTES
    return b''.join((HEAD, _key(choices), announced, body))


def _small_chunks(choices: random.Random) -> bytes:
    chunk = choices.choice((b'1\r\nx\r\n', b'7\r\nseven b\r\n'))
    number = choices.randrange(MAX_SENT_BYTES // len(chunk))
    return b''.join((HEAD, _key(choices), CHUNKED, chunk * number))


def _long_chunk_line(choices: random.Random) -> bytes:
    line = b'1;e=%b' % (b'x' * MAX_SENT_BYTES)
    return b''.join((HEAD, _key(choices), CHUNKED, line))


def _pipelined_requests(choices: random.Random) -> bytes:
    body = b'Content-Length: 9\r\n\r\nno object'
    whole = b''.join((HEAD, _key(choices), body))
    return whole * choices.randrange(1, MAX_SENT_BYTES // len(whole))


def _part_of_a_handshake(choices: random.Random) -> bytes:
    """Return the beginning of a TLS record that announces 512 bytes."""
    rest = b'\x01' * choices.randrange(512)
    return b'\x16\x03\x01\x02\x00%b' % rest


def _part_of_a_frame(choices: random.Random) -> bytes:
    length = choices.choice((100, MAX_SENT_BYTES, 2**31))
    rest = b'x' * choices.randrange(100)
    return b'%b%b' % (struct.pack('>I', length), rest)


def _noise(choices: random.Random) -> bytes:
    return choices.randbytes(choices.randrange(5000))


KINDS: tuple[Callable[[random.Random], bytes], ...] = (
    _part_of_a_head,
    _part_of_a_body,
    _too_long_body,
    _small_chunks,
    _long_chunk_line,
    _pipelined_requests,
    _part_of_a_handshake,
    _part_of_a_frame,
    _noise,
)


@contextlib.contextmanager
def crowd(address: tuple[str, int], choices: random.Random) -> Generator[None]:
    """Have clients of all kinds at an address within the context.

    Args:
        address: IP address and port.
        choices: The random choices.
    """
    sent = [
        choices.choice(KINDS)(choices)
        for _ in range(choices.randint(1, MAX_CONNECTIONS))
    ]
    resets = [choices.choice((False, True)) for _ in sent]
    tasks = [
        eventlet.spawn(_send_and_stay, address, *each)
        for each in zip(sent, resets, strict=True)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.kill()


def _send_and_stay(
    address: tuple[str, int], sent: bytes, is_reset: bool
) -> None:
    """Send without reading an answer, and stay until the task is ended."""
    # The process may refuse, close or reset a connection at any time.
    with (
        contextlib.suppress(OSError),
        socket.create_connection(address, CONNECT_S) as connection,
    ):
        connection.settimeout(None)
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.sendall(sent)
        eventlet.event.Event().wait()
