"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import contextlib
import dataclasses
import functools
import json
import typing
from collections.abc import Awaitable, Callable, Mapping

LAST_CHUNK = b'0\r\n\r\n'
Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition('?')[0]

    @property
    def request_id(self) -> str:
        """Value of ``Request-Id``; empty without one."""
        return self.headers.get('request-id', '')


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Channel:
    """One connection, at either end."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: Address) -> typing.Self:
        """Open a connection."""
        return cls(*await asyncio.open_connection(*address))

    async def send(self, encoded: bytes) -> None:
        """Send bytes."""
        self._writer.write(encoded)
        await self._writer.drain()

    async def read_request(self) -> Request | None:
        """Return the next request; None at the end of the connection."""
        try:
            first, headers = await self._read_head()
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        method, target, _ = first.split(' ', 2)
        length = int(headers.get('content-length', '0'))
        body = await self._reader.readexactly(length)
        return Request(method, target, headers, body)

    async def read_answer(self) -> Answer:
        """Return the next answer.

        Raises:
            EOFError: The connection ended before the answer was complete.
            ConnectionError: The same, with a reset.
        """
        first, headers = await self._read_head()
        status = int(first.split(' ', 2)[1])
        body = bytearray()
        if headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(body)
        else:
            length = int(headers.get('content-length', '0'))
            body += await self._reader.readexactly(length)
        return Answer(status, headers, bytes(body))

    async def read_stream(self, timeout_s: float) -> tuple[int, bytes]:
        """Read a chunked answer as far as it comes.

        Args:
            timeout_s: Longest time to read.

        Returns:
            Status, 0 without a head, and the body.
        """
        status = 0
        body = bytearray()
        with contextlib.suppress(OSError, EOFError):
            async with asyncio.timeout(timeout_s):
                first, headers = await self._read_head()
                status = int(first.split(' ', 2)[1])
                if headers.get('transfer-encoding') == 'chunked':
                    await self._read_chunks(body)
        return status, bytes(body)

    @property
    def has_ended(self) -> bool:
        """Whether the other end has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._writer.close()

    async def _read_head(self) -> tuple[str, dict[str, str]]:
        head = await self._reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
        pairs = [line.partition(':') for line in lines]
        return first, {
            name.lower(): text.strip() for name, _, text in pairs if name
        }

    async def _read_chunks(self, body: bytearray) -> None:
        """Append the chunks of a body as they come."""
        size = 1
        while size:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            content = await self._reader.readexactly(size + 2)
            body += content[:size]


Handle = Callable[[Request, Channel], Awaitable[None]]


def encode_head(first_line: str, headers: Mapping[str, typing.Any]) -> bytes:
    """Encode the head of a message.

    Args:
        first_line: Request line or status line.
        headers: The headers.
    """
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join((first_line, *lines, '', '')).encode('latin-1')


def encode_answer(
    status: int, headers: Mapping[str, typing.Any], body: bytes = b''
) -> bytes:
    """Encode a complete answer with a length."""
    framed = {**headers, 'Content-Length': len(body)}
    return encode_head(f'HTTP/1.1 {status} Status', framed) + body


def encode_json(
    status: int,
    document: typing.Any,
    headers: Mapping[str, typing.Any] | None = None,
) -> bytes:
    """Encode an answer with a JSON body."""
    named = {'Content-Type': 'application/json', **(headers or {})}
    return encode_answer(status, named, json.dumps(document).encode())


def chunk(content: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


async def serve(handle: Handle, address: Address) -> asyncio.Server:
    """Serve requests, one after the other on each connection.

    Args:
        handle: Answers one request.
        address: Where to listen.
    """
    accept = functools.partial(_accept, handle)
    return await asyncio.start_server(accept, *address)


async def _accept(
    handle: Handle,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    channel = Channel(reader, writer)
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await _serve_channel(handle, channel)
    channel.close()


async def _serve_channel(handle: Handle, channel: Channel) -> None:
    request = await channel.read_request()
    while request is not None:
        await handle(request, channel)
        request = await channel.read_request()
