"""Bounds what the peer of an HTTP call by ``urllib3`` costs, whatever it sends.

``http.client`` bounds one line and the number of headers, and a time-out of
``urllib3`` bounds the wait for the next bytes. Neither bounds interim answers,
trailers, sizes of chunks or the time of a whole call. Reads and writes without
TLS end with the turn of the event loop.
"""

import contextlib
import http.client
import io
import typing
from collections.abc import Generator

import eventlet
import urllib3
from urllib3 import connection, connectionpool

from ivystep.core import units
from ivystep.runtime import turns
from ivystep.traffic import answer_status

# Status lines and headers, with those of interim answers.
MAX_HEAD_BYTES = 64 * units.KIB
# Sizes of chunks and trailers of a body.
MAX_FRAMING_BYTES = units.MIB
READ_BYTES = 64 * units.KIB


class _BoundedReads(io.RawIOBase):
    """The bytes of one answer, up to a bound.

    Attributes:
        bound: Name of the bound, for the error.
        max_bytes: Number of bytes after which reading fails.
    """

    def __init__(self, source: io.RawIOBase, bound: str, limit: int) -> None:
        super().__init__()
        self.bound = bound
        self.max_bytes = limit
        self._source = source
        self._received = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Read into a buffer; see ``io.RawIOBase``.

        Raises:
            http.client.HTTPException: The bound has been exceeded.
        """
        if self._received > self.max_bytes:
            raise http.client.HTTPException(
                f'{self.bound} is longer than {self.max_bytes} bytes'
            )
        turns.give()
        count = self._source.readinto(memoryview(buffer)[:READ_BYTES]) or 0
        self._received += count
        return count

    def close(self) -> None:
        """Close the source too."""
        super().close()
        self._source.close()


class _Connection(connection.HTTPConnection):
    """A connection that leaves the event loop its turns."""

    def _new_conn(self) -> typing.Any:
        opened = super()._new_conn()
        turns.end_with_turn(opened)
        return opened


class _BoundedResponse(http.client.HTTPResponse):
    """An answer whose head and body are bounded as they are read."""

    # Set by ``_bounded_pools``.
    max_body_bytes = 0

    def __init__(
        self, sock: typing.Any, *others: typing.Any, **named: typing.Any
    ) -> None:
        super().__init__(sock, *others, **named)
        self.fp.close()
        self._reads = _BoundedReads(
            sock.makefile('rb', buffering=0), 'the head', MAX_HEAD_BYTES
        )
        self.fp = io.BufferedReader(self._reads)

    def begin(self) -> None:
        """Read the head; see ``http.client.HTTPResponse``.

        Raises:
            http.client.BadStatusLine: No answer has such a status.
        """
        super().begin()
        try:
            status = answer_status.AnswerStatus.from_head(
                self.status, has_body=False
            )
        except answer_status.InvalidStatusError as error:
            raise http.client.BadStatusLine(str(error)) from error
        if status.is_interim:
            # ``http.client`` goes on to read only after a 100.
            raise http.client.BadStatusLine(f'status {self.status} is interim')
        self._reads.bound = 'the answer'
        self._reads.max_bytes = (
            MAX_HEAD_BYTES + self.max_body_bytes + MAX_FRAMING_BYTES
        )


def pool(
    address: tuple[str, int], max_body_bytes: int, **options: typing.Any
) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections whose answers are bounded.

    Args:
        address: IP address and port of the peer.
        max_body_bytes: Longest body that the caller accepts.
        options: Options of ``urllib3.HTTPConnectionPool``.
    """
    return _bounded_pools(max_body_bytes)['http'](*address, **options)


def pool_manager(
    max_body_bytes: int, **options: typing.Any
) -> urllib3.PoolManager:
    """Return a manager of pools of connections whose answers are bounded.

    Args:
        max_body_bytes: Longest body that the caller accepts.
        options: Options of ``urllib3.PoolManager``.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = _bounded_pools(max_body_bytes)
    return manager


@contextlib.contextmanager
def deadline(seconds: float) -> Generator[None, None, None]:
    """Bound the time of a whole call, from its connection to its last byte.

    Args:
        seconds: Longest time of the call.

    Raises:
        urllib3.exceptions.HTTPError: The time has passed.
    """
    # Not an OSError, which urllib3 takes as a reason to try another address.
    timer = eventlet.Timeout(seconds)
    try:
        yield
    except eventlet.Timeout as expired:
        if expired is not timer:
            raise
        raise urllib3.exceptions.HTTPError(
            f'no whole answer within {seconds} s'
        ) from expired
    finally:
        timer.cancel()


def _bounded_pools(max_body_bytes: int) -> dict[str, typing.Any]:
    response = type(
        'BoundedResponse',
        (_BoundedResponse,),
        {'max_body_bytes': max_body_bytes},
    )
    return {
        'http': _with_response(
            connectionpool.HTTPConnectionPool,
            _Connection,
            response,
        ),
        'https': _with_response(
            connectionpool.HTTPSConnectionPool,
            connection.HTTPSConnection,
            response,
        ),
    }


def _with_response(
    pool_class: type, connection_class: type, response: type
) -> type:
    bounded = type(
        connection_class.__name__,
        (connection_class,),
        {'response_class': response},
    )
    return type(pool_class.__name__, (pool_class,), {'ConnectionCls': bounded})
