"""Requests as clients send them."""

import asyncio
import itertools
import typing

from review import deployment, http, servers

_numbers = itertools.count(1)


def new_id(kind: str) -> str:
    """Return a request id that no other client attempt has."""
    return f'{kind}-{next(_numbers):05d}'


def encode_sheet(request_id: str) -> bytes:
    """Encode a request for a plan sheet, which runs once at most."""
    return encode(
        deployment.SHEETS, {'Request-Id': request_id, 'Deadline-Ms': '1500'}
    )


def encode_draft(request_id: str, adapter: str, events: int) -> bytes:
    """Encode a request for a stream from an adapter."""
    last_part = request_id.encode().hex()
    return encode(
        deployment.DRAFTS,
        {
            'Request-Id': request_id,
            'Deadline-Ms': '30000',
            'Model': f'{servers.MODEL}/{adapter}',
            'Token-Count': '400,80',
            'Prompt-Prefix': f'5c1e07a2:300,{last_part}:100',
            'X-Events': str(events),
        },
    )


def encode(prefix: str, headers: dict[str, typing.Any]) -> bytes:
    """Encode a request with a small body.

    Args:
        prefix: Prefix of the route.
        headers: Headers, among them the request's id.
    """
    body = b'{"field": "a soil test"}'
    request_id = headers['Request-Id']
    named = {
        'Host': deployment.HOST,
        **headers,
        'Content-Length': len(body),
    }
    line = f'POST {prefix}{request_id} HTTP/1.1'
    return http.encode_head(line, named) + body


async def call(
    address: http.Address, encoded: bytes, timeout_s: float
) -> http.Answer | None:
    """Send a request on a new connection.

    Returns:
        The answer; None if the connection ended without a complete one.
    """
    try:
        channel = await http.Channel.connect(address)
    except OSError:
        return None
    try:
        return await exchange(channel, encoded, timeout_s)
    finally:
        channel.close()


async def exchange(
    channel: http.Channel, encoded: bytes, timeout_s: float
) -> http.Answer | None:
    """Send a request on an open connection; see ``call``."""
    try:
        await channel.send(encoded)
        return await asyncio.wait_for(channel.read_answer(), timeout_s)
    except (OSError, EOFError):
        return None
