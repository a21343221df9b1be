"""Serves answers that do not end, or end late."""

import contextlib

import eventlet


class Writer:
    """Answers one call with pieces until the caller closes the connection.

    Args:
        pieces: What is written, one after the other.
        pause_s: Time before each piece.
    """

    def __init__(self, pieces, pause_s=0.0):
        self.is_closed_by_caller = eventlet.event.Event()
        self._pieces = pieces
        self._pause_s = pause_s

    @contextlib.contextmanager
    def start(self):
        """Serve within a context and yield the address."""
        with contextlib.closing(eventlet.listen(('127.0.0.1', 0))) as listener:
            task = eventlet.spawn(self._serve, listener)
            try:
                yield listener.getsockname()
            finally:
                task.kill()

    def _serve(self, listener):
        connection, _ = listener.accept()
        with contextlib.closing(connection):
            connection.recv(65536)
            try:
                for piece in self._pieces:
                    eventlet.sleep(self._pause_s)
                    connection.sendall(piece)
            except OSError:
                self.is_closed_by_caller.send(None)
