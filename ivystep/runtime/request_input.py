"""Reads the bodies of requests that ``eventlet.wsgi`` serves, within bounds.

Eventlet's own reader has no bound for the line before a chunk and for trailers,
and keeps each chunk as an object, which takes many times the memory of its
bytes where chunks are small.
"""

import re
import typing

from eventlet import wsgi

from ivystep.core import units

# Length of the line before a chunk or of one trailer, as for a header.
MAX_LINE_BYTES = 8 * units.KIB
MAX_TRAILER_BYTES = 64 * units.KIB
READ_BYTES = 64 * units.KIB
CHUNK_SIZE = re.compile(rb'[0-9A-Fa-f]{1,16}')
CHUNK_END = b'\r\n'
BLANK_LINES = frozenset((b'', CHUNK_END, b'\n'))


class BoundedInput(wsgi.Input):
    """The body of a request; see ``wsgi.Input``.

    Once a body in chunks was malformed, all reads fail: what follows on the
    connection must not be taken for a request.
    """

    def __init__(self, *values: typing.Any, **named: typing.Any) -> None:
        super().__init__(*values, **named)
        self._error: wsgi.ChunkReadError | None = None

    @classmethod
    def from_environ(cls, environ: dict[str, typing.Any]) -> typing.Self:
        """Return a reader in place of eventlet's, of which nothing was read.

        Args:
            environ: The WSGI environment.
        """
        replaced = environ['eventlet.input']
        return cls(
            replaced.rfile,
            replaced.content_length,
            replaced.get_socket(),
            wfile=replaced.wfile,
            wfile_line=replaced.wfile_line,
            chunked_input=replaced.chunked_input,
        )

    def _chunked_read(
        self,
        rfile: typing.Any,
        length: int | None = None,
        use_readline: bool = False,
    ) -> bytes:
        """Read from a body in chunks; called by ``wsgi.Input``.

        Raises:
            wsgi.ChunkReadError: The body is malformed or exceeds a bound.
            OSError: The connection ends inside the body.
        """
        if use_readline:
            raise NotImplementedError('lines of a body in chunks')
        if self._error is not None:
            raise self._error
        self._send_continue()
        try:
            return self._read_chunks(rfile, length)
        except wsgi.ChunkReadError as error:
            self._error = error
            raise

    def _send_continue(self) -> None:
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True

    def _read_chunks(self, rfile: typing.Any, length: int | None) -> bytes:
        is_all = length is None or length < 0
        received = bytearray()
        while self.chunk_length and (is_all or len(received) < length):
            left = self.chunk_length - self.position
            if left <= 0:
                self._begin_chunk(rfile)
                continue
            wanted = min(left, READ_BYTES)
            if not is_all:
                wanted = min(wanted, length - len(received))
            received += self._read_part(rfile, wanted)
        return bytes(received)

    def _begin_chunk(self, rfile: typing.Any) -> None:
        size, _, _ = _read_line(rfile).partition(b';')
        if not CHUNK_SIZE.fullmatch(size.strip()):
            raise wsgi.ChunkReadError('not the size of a chunk')
        length = int(size, 16)
        if not length:
            self._discard_trailers(rfile)
        # The body has been read in full only after its trailers.
        self.chunk_length = length
        self.position = 0

    def _read_part(self, rfile: typing.Any, wanted: int) -> bytes:
        part = rfile.read(wanted)
        if not part:
            self.chunk_length = 0
            raise OSError('unexpected end of file inside a chunk')
        self.position += len(part)
        if self.position == self.chunk_length:
            _read_line(rfile)
        return part

    def _discard_trailers(self, rfile: typing.Any) -> None:
        total = 0
        line = _read_line(rfile)
        while line not in BLANK_LINES:
            total += len(line)
            if total > MAX_TRAILER_BYTES:
                raise wsgi.ChunkReadError('the trailers are too long')
            line = _read_line(rfile)


def bound_input(environ: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Replace the reader of the body in a WSGI environment, and return it.

    Args:
        environ: The environment, as ``wsgi.HttpProtocol`` makes it.
    """
    bounded = BoundedInput.from_environ(environ)
    environ['wsgi.input'] = bounded
    environ['eventlet.input'] = bounded
    return environ


def _read_line(rfile: typing.Any) -> bytes:
    line = rfile.readline(MAX_LINE_BYTES + 1)
    if len(line) > MAX_LINE_BYTES:
        raise wsgi.ChunkReadError('a line of a body in chunks is too long')
    return line
