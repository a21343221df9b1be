"""Polls the platform's host list and keeps one link to each live host.

The list lags behind the sidecars' reports. A draining or silent sidecar gets
no new work, even if its host is still listed as live. Conversely, a host that
is listed as leaving gets none, even if its sidecar reports no drain.
"""

import functools

import eventlet

from ivystep.core import errors, types
from ivystep.entry import links, peers, pools
from ivystep.platform import hosts
from ivystep.runtime import clock, logs
from ivystep.wire import handshake, tls

SIDECAR_ROLE = 'sidecar'
ENTRY_ROLE = 'entry'

log = logs.get('membership')


class Membership:
    """Creates and closes the links to the live hosts.

    Args:
        process_id: Id of this entry.
        host_list: Client of the host list.
        contexts: TLS contexts of this entry.
        known_pools: The pools that get the upstreams.
        other_entries: The peers that get the live entries.
    """

    def __init__(
        self,
        process_id: str,
        host_list: hosts.Hosts,
        contexts: tls.TlsContexts,
        known_pools: pools.Pools,
        other_entries: peers.Peers,
    ) -> None:
        self._process_id = process_id
        self._host_list = host_list
        self._contexts = contexts
        self._pools = known_pools
        self._peers = other_entries
        self._entry_by_host: dict[str, types.HostEntry] = {}
        self._link_by_host: dict[str, links.ThriftLink] = {}

    def follow(self, interval_s: float) -> None:
        """Poll the host list until the task is killed.

        Args:
            interval_s: Time between reads in seconds.
        """
        while True:
            try:
                self.apply_host_list(self._host_list.read())
            except errors.PlatformError as error:
                log.warning('Host list not read: %s.', error)
            clock.sleep(interval_s)

    def apply_host_list(
        self, entry_by_host: dict[str, types.HostEntry]
    ) -> None:
        """Add new hosts and remove those that are gone, leaving or replaced.

        Args:
            entry_by_host: The host list by host name.
        """
        live = {
            host: entry
            for host, entry in entry_by_host.items()
            if entry.state is types.HostState.LIVE
        }
        self._peers.set_entries(_with_role(live, ENTRY_ROLE))
        sidecars = _with_role(live, SIDECAR_ROLE)
        for host, known in tuple(self._entry_by_host.items()):
            if sidecars.get(host) != known:
                self._remove_host(known)
        for host, entry in sidecars.items():
            if host not in self._entry_by_host:
                self._add_host(entry)

    def _add_host(self, entry: types.HostEntry) -> None:
        log.info('Host %s of pool %s is live.', entry.host, entry.pool)
        self._pools.add(entry)
        link = links.ThriftLink(
            self._process_id,
            handshake.Addressee(entry.host, (entry.address, entry.port)),
            self._contexts,
        )
        self._entry_by_host[entry.host] = entry
        self._link_by_host[entry.host] = link
        eventlet.spawn(
            link.watch,
            functools.partial(self._on_status, entry.pool, link),
            functools.partial(self._on_lost, entry, link),
        )

    def _remove_host(self, entry: types.HostEntry) -> None:
        log.info('Host %s is leaving, gone or replaced.', entry.host)
        self._entry_by_host.pop(entry.host)
        self._link_by_host.pop(entry.host).close()
        self._pools.on_lost(entry.pool, entry.host)

    def _on_status(
        self, pool: str, link: links.ThriftLink, status: types.UpstreamStatus
    ) -> None:
        # A report may still arrive after the host was removed.
        if not link.is_closed:
            self._pools.on_status(pool, status, link)

    def _on_lost(self, entry: types.HostEntry, link: links.ThriftLink) -> None:
        if not link.is_closed:
            self._pools.on_lost(entry.pool, entry.host)


def _with_role(
    entry_by_host: dict[str, types.HostEntry], role: str
) -> dict[str, types.HostEntry]:
    return {
        host: entry
        for host, entry in entry_by_host.items()
        if entry.role == role
    }
