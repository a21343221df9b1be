"""Reads the platform's list of live and leaving hosts, which may be stale."""

import typing
from collections.abc import Iterator

from ivystep.core import errors, types
from ivystep.platform import decoding, http
from ivystep.runtime import logs

log = logs.get('hosts')


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
        document = self._http.parse(body)
        listed = document.get('hosts') if isinstance(document, dict) else None
        entry_by_host = dict(_read_entries(listed or []))
        if not isinstance(listed, list) or (listed and not entry_by_host):
            raise errors.UnavailableError(
                'malformed host list', peer=self._http.name
            )
        return entry_by_host


def _read_entries(
    entries: list[typing.Any],
) -> Iterator[tuple[str, types.HostEntry]]:
    """Yield the entries by host; malformed ones do not hide the others."""
    for raw in entries:
        try:
            entry = _entry(raw)
        except decoding.DECODE_ERRORS as error:
            log.warning('An entry of the host list is ignored: %s.', error)
        else:
            yield entry.host, entry


def _entry(raw: dict[str, typing.Any]) -> types.HostEntry:
    return types.HostEntry(
        host=decoding.header_id(raw['host']),
        role=str(raw['role']),
        address=decoding.text(raw['address']),
        port=decoding.port(str(raw['port'])),
        data_centre=str(raw['data_centre']),
        pool=str(raw['pool']),
        state=types.HostState(raw['state']),
    )
