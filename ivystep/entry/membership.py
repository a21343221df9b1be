"""Follows the platform's host list and keeps one link to each live host.

The list lags. A sidecar that reports a drain gets no new work at once, and a
silent one is not trusted, whatever the list says; a host that the list calls
leaving gets no new work even if its sidecar has not noticed.
"""

import functools

import eventlet

from ivystep.core import errors, types
from ivystep.entry import links, peers, pools
from ivystep.platform import hosts
from ivystep.runtime import clock, logs
from ivystep.wire import tls

SIDECAR_ROLE = 'sidecar'
ENTRY_ROLE = 'entry'

log = logs.get('membership')


class Membership:
    """Links to the live hosts.

    Args:
        process_id: Id of this entry.
        source: The host list.
        contexts: TLS contexts of this entry.
        known_pools: Pools to fill.
        other_entries: Peers to keep in step.
    """

    def __init__(
        self,
        process_id: str,
        source: hosts.Hosts,
        contexts: tls.TlsContexts,
        known_pools: pools.Pools,
        other_entries: peers.Peers,
    ) -> None:
        self._process_id = process_id
        self._source = source
        self._contexts = contexts
        self._pools = known_pools
        self._peers = other_entries
        self._entry_by_host: dict[str, types.HostEntry] = {}
        self._link_by_host: dict[str, links.ThriftLink] = {}

    def follow(self, interval_s: float) -> None:
        """Read the list again and again until killed.

        Args:
            interval_s: Time between reads in seconds.
        """
        while True:
            try:
                self.apply(self._source.read())
            except errors.PlatformError as error:
                log.warning('Host list not read: %s.', error)
            clock.sleep(interval_s)

    def apply(self, entry_by_host: dict[str, types.HostEntry]) -> None:
        """Take over the host list.

        Args:
            entry_by_host: All hosts by name.
        """
        live = {
            host: entry
            for host, entry in entry_by_host.items()
            if entry.state is types.HostState.LIVE
        }
        self._peers.update(_with_role(live, ENTRY_ROLE))
        sidecars = _with_role(live, SIDECAR_ROLE)
        for host, known in tuple(self._entry_by_host.items()):
            if sidecars.get(host) != known:
                self._remove(known)
        for host, entry in sidecars.items():
            if host not in self._entry_by_host:
                self._add(entry)

    def _add(self, entry: types.HostEntry) -> None:
        log.info('Host %s of pool %s is live.', entry.host, entry.pool)
        self._pools.add(entry)
        link = links.ThriftLink(
            self._process_id, (entry.address, entry.port), self._contexts
        )
        self._entry_by_host[entry.host] = entry
        self._link_by_host[entry.host] = link
        eventlet.spawn(
            link.watch,
            functools.partial(self._on_status, entry.pool, link),
            functools.partial(self._on_lost, entry, link),
        )

    def _remove(self, entry: types.HostEntry) -> None:
        log.info('Host %s is leaving or gone.', entry.host)
        self._entry_by_host.pop(entry.host)
        self._link_by_host.pop(entry.host).close()
        self._pools.on_lost(entry.pool, entry.host)

    def _on_status(
        self, pool: str, link: links.ThriftLink, status: types.UpstreamStatus
    ) -> None:
        # A report may still arrive while the watch of a removed host ends.
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
