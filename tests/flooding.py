"""Peers that write and read as fast as loopback allows, in their own process.

Within the process of the test they would share its event loop.
"""

import contextlib
import gc
import socket
import sys
import time

import eventlet
from eventlet import patcher

# A peer ends after this time and these bytes, also if nothing bounds it.
WRITING_S = 1.5
WRITTEN_BYTES = 1 << 30
PIECE_BYTES = 1 << 18
READ_BYTES = 1 << 18
# How often the lag of the event loop is looked at.
POLL_S = 0.005


def _flood(connection, head, piece):
    """Write the head once and the piece again and again; read all meanwhile."""
    connection.setblocking(False)
    pending = memoryview(head)
    block = piece * max(PIECE_BYTES // max(len(piece), 1), 1)
    ends_at = time.monotonic() + WRITING_S
    written = 0
    while time.monotonic() < ends_at and written < WRITTEN_BYTES:
        with contextlib.suppress(BlockingIOError):
            if not pending:
                pending = memoryview(block)
            size = connection.send(pending) if pending else 0
            pending = pending[size:]
            written += size
        with contextlib.suppress(BlockingIOError):
            if not connection.recv(READ_BYTES):
                return


def _request_id(received):
    for line in received.split(b'\r\n'):
        if line.lower().startswith(b'request-id:'):
            return line.partition(b':')[2].strip()
    return b''


def _serve(head, piece):
    listener = socket.create_server(('127.0.0.1', 0))
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    while True:
        connection, _ = listener.accept()
        with contextlib.closing(connection), contextlib.suppress(OSError):
            received = b''
            while b'\r\n\r\n' not in received:
                part = connection.recv(READ_BYTES)
                if not part:
                    break
                received += part
            else:
                named = head.replace(b'{id}', _request_id(received))
                _flood(connection, named, piece)


def _call(port, head, piece):
    with contextlib.suppress(OSError):
        connection = socket.create_connection(('127.0.0.1', port))
        _flood(connection, head, piece)


def main():
    """Run a peer, as its arguments say."""
    kind = sys.argv[1]
    head, piece = (bytes.fromhex(sys.stdin.readline()) for _ in range(2))
    if kind == 'serve':
        _serve(head, piece)
    else:
        _call(int(kind), head, piece)


@contextlib.contextmanager
def _process(kind, head, piece):
    processes = patcher.original('subprocess')
    started = processes.Popen(
        [sys.executable, __file__, kind],
        stdin=processes.PIPE,
        stdout=processes.PIPE,
    )
    with started.stdin as told:
        told.write(f'{head.hex()}\n{piece.hex()}\n'.encode())
    try:
        yield started
    finally:
        started.kill()
        started.wait()
        started.stdout.close()


@contextlib.contextmanager
def serving(head, piece):
    """Yield the port of a server that answers without an end.

    Args:
        head: Written first; ``{id}`` stands for the id of the request.
        piece: Repeated after it.
    """
    with _process('serve', head, piece) as process:
        yield int(process.stdout.readline())


@contextlib.contextmanager
def calling(port, head, piece=b''):
    """Run a client that writes without an end and reads all it can."""
    with _process(str(port), head, piece):
        yield


class LongestTurn:
    """Measures how long a task keeps the event loop, in processor time.

    Attributes:
        longest_s: Longest processor time between two turns of a timer.
        turns: Number of turns of the timer.
    """

    def __init__(self):
        self.longest_s = 0.0
        self.turns = 0

    def __enter__(self):
        # The collector takes longer the more modules of tests are loaded.
        gc.collect()
        gc.freeze()
        self._task = eventlet.spawn(self._run)
        eventlet.sleep(0)
        return self

    def __exit__(self, *_):
        # What began before the last turn of the timer counts as well.
        eventlet.sleep(2 * POLL_S)
        self._task.kill()
        gc.unfreeze()

    def _run(self):
        while True:
            began_s = time.thread_time()
            eventlet.sleep(POLL_S)
            self.turns += 1
            self.longest_s = max(self.longest_s, time.thread_time() - began_s)


if __name__ == '__main__':
    main()
