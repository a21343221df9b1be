"""Reads the platform's list of live and leaving hosts, which may be stale."""

import typing

from ivystep.core import errors, types
from ivystep.platform import http


class Hosts(typing.Protocol):
    """Interface of the host list."""

    def read(self) -> dict[str, types.HostEntry]:
        """Return the hosts by name.

        Raises:
            errors.UnavailableError: The list cannot be read.
        """


class HostsClient:
    """``Hosts`` over HTTP."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._http = http.PlatformHttp('host list', base_url, timeout_s)

    def read(self) -> dict[str, types.HostEntry]:
        """Return the hosts by name; see ``Hosts.read``."""
        body = self._http.get('/hosts')
        if body is None:
            raise errors.UnavailableError(
                'the host list does not exist', peer=self._http.name
            )
        try:
            entries = [_entry(raw) for raw in self._http.parse(body)['hosts']]
        except (KeyError, TypeError, ValueError) as error:
            raise errors.UnavailableError(
                f'malformed host list: {error}', peer=self._http.name
            ) from error
        return {entry.host: entry for entry in entries}


def _entry(raw: dict[str, typing.Any]) -> types.HostEntry:
    return types.HostEntry(
        host=raw['host'],
        role=raw['role'],
        address=raw['address'],
        port=int(raw['port']),
        data_centre=raw['data_centre'],
        pool=raw['pool'],
        state=types.HostState(raw['state']),
    )
