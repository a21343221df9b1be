"""Follows the platform's host list and keeps one link to each sidecar."""

import eventlet

from ivystep.core import errors, types
from ivystep.entry import links, pool
from ivystep.platform import hosts
from ivystep.runtime import clock, logs
from ivystep.wire import tls

SIDECAR_ROLE = 'sidecar'

log = logs.get('membership')


class Membership:
    """Links to the sidecars in the host list.

    Args:
        process_id: Id of this entry.
        source: The host list.
        contexts: TLS contexts of this entry.
        pool_by_name: Pools to fill; new ones are added.
    """

    def __init__(
        self,
        process_id: str,
        source: hosts.Hosts,
        contexts: tls.TlsContexts,
        pool_by_name: dict[str, pool.Pool],
    ) -> None:
        self._process_id = process_id
        self._source = source
        self._contexts = contexts
        self._pool_by_name = pool_by_name
        self._link_by_host: dict[str, links.ThriftLink] = {}

    def follow(self, interval_s: float) -> None:
        """Read the list again and again until killed.

        Args:
            interval_s: Time between reads in seconds.
        """
        while True:
            try:
                self._apply(self._source.read())
            except errors.PlatformError as error:
                log.warning('Host list not read: %s.', error)
            clock.sleep(interval_s)

    def _apply(self, entry_by_host: dict[str, types.HostEntry]) -> None:
        for host, entry in entry_by_host.items():
            if entry.role == SIDECAR_ROLE and host not in self._link_by_host:
                self._add(entry)
        for host in set(self._link_by_host) - set(entry_by_host):
            log.info('Host %s is gone.', host)
            self._link_by_host.pop(host).close()

    def _add(self, entry: types.HostEntry) -> None:
        log.info('Host %s is new.', entry.host)
        target = self._pool_by_name.setdefault(
            entry.pool, pool.Pool(entry.pool, self._process_id)
        )
        link = links.ThriftLink(
            self._process_id, (entry.address, entry.port), self._contexts
        )
        self._link_by_host[entry.host] = link
        eventlet.spawn(
            link.watch,
            lambda status: target.on_status(status, link),
            lambda: target.on_lost(entry.host),
        )
