"""Tells other hosts the version of the configuration that is in force."""

from ivystep.gateway.store import configuration


class VersionOnlySource:
    """``SetupSource`` for peers that offers a version but no sections.

    Args:
        config: The configuration in force.
    """

    def __init__(self, config: configuration.Configuration) -> None:
        self._config = config
        self._sections: dict[str, bytes] = {}

    def version(self) -> int:
        """Return the configuration version in force, 0 if none."""
        return self._config.version

    def announce_version(self, version: int) -> None:
        """Ignore the announcement; new versions arrive by the store's feed."""

    def manifest(self) -> tuple[int, dict[str, str]]:
        """Return the version in force and no sections."""
        return self._config.version, {}

    def section(self, digest: str) -> bytes | None:
        """Return None, because there are no sections."""
        return self._sections.get(digest)
