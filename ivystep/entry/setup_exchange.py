"""Exchanges the setup with other entries during platform outages.

An entry that starts during an outage gets the setup from a peer. So does an
entry that learns of a higher setup version which it cannot read itself.
"""

import typing
from collections.abc import Callable

from ivystep.core import errors
from ivystep.entry import peers
from ivystep.runtime import clock, logs
from ivystep.setup import store
from ivystep.wire.gen import ttypes

CHECK_INTERVAL_S = 0.5

log = logs.get('setup')


class SetupExchange:
    """``SetupSource`` of this entry, and reader of its peers' setup.

    Args:
        setup: The setup store of this entry.
    """

    def __init__(self, setup: store.SetupStore) -> None:
        self._setup = setup
        self._exported: tuple[int, dict[str, bytes]] = (0, {})

    def version(self) -> int:
        """Return the version in force; see ``SetupSource.version``."""
        latest = self._setup.latest
        return latest.version if latest else 0

    def announce_version(self, version: int) -> None:
        """Note that a version exists; see ``SetupSource.announce_version``."""
        if self._setup.announce_version(version):
            log.info('Another process has setup version %d.', version)

    def manifest(self) -> tuple[int, dict[str, str]]:
        """Return version and digests; see ``SetupSource.manifest``."""
        self._exported = self._setup.export()
        version, body_by_name = self._exported
        return version, {name: name for name in body_by_name}

    def section(self, digest: str) -> bytes | None:
        """Return a section; see ``SetupSource.section``."""
        return self._exported[1].get(digest)

    def follow_peers(
        self, reachable: Callable[[], list[peers.PeerLink]]
    ) -> None:
        """Fetch the setup from peers whenever this entry lacks the latest one.

        Runs until the task is killed.

        Args:
            reachable: Returns the links to the reachable peers.
        """
        while True:
            if self._setup.is_behind or self._setup.latest is None:
                self.fetch_from(reachable())
            clock.sleep(CHECK_INTERVAL_S)

    def fetch_from(self, links: list[peers.PeerLink]) -> bool:
        """Adopt the setup of the first peer that has a higher version.

        Args:
            links: Links to the peers.

        Returns:
            Whether a peer had a higher version that was adopted.
        """
        for link in links:
            try:
                if self._fetch(link):
                    return True
            except errors.IvystepError as error:
                log.info('Setup not read from %s: %s.', link.addressee, error)
        return False

    def _fetch(self, link: peers.PeerLink) -> bool:
        manifest = _checked(link.ask(ttypes.GetManifest()))
        if manifest.version <= self.version():
            return False
        body_by_name = {}
        for name, digest in manifest.digest_by_section.items():
            section = link.ask(ttypes.GetSection(digest))
            if getattr(section, 'body', None) is None:
                raise errors.LinkError(
                    'the peer no longer has this setup version'
                )
            body_by_name[name] = section.body
        return self._setup.import_version(manifest.version, body_by_name)


def _checked(reply: typing.Any) -> ttypes.Manifest:
    """Return a reply that is a whole manifest.

    Raises:
        errors.LinkError: It is not; a field that a peer leaves out is None.
    """
    if (
        not isinstance(reply, ttypes.Manifest)
        or reply.version is None
        or reply.digest_by_section is None
    ):
        raise errors.LinkError('the peer sent no manifest of a setup')
    return reply
