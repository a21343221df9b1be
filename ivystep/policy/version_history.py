"""Remembers which software versions the upstreams of a service had lately."""

import collections


class VersionHistory:
    """Software versions of one service, as one host has seen them.

    Args:
        window_s: Time for which a version counts after its last upstream has
            left, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._upstreams_by_version: collections.Counter[str] = (
            collections.Counter()
        )
        self._left_at_by_version: dict[str, float] = {}

    @property
    def present(self) -> frozenset[str]:
        """The versions that have an upstream now."""
        return frozenset(self._upstreams_by_version)

    def add(self, version: str) -> None:
        """Record an upstream that was added.

        Args:
            version: Version of its software.
        """
        self._upstreams_by_version[version] += 1

    def remove(self, version: str, now: float) -> None:
        """Record an upstream that was removed.

        Args:
            version: Version of its software.
            now: Current time in seconds.
        """
        self._upstreams_by_version[version] -= 1
        if not self._upstreams_by_version[version]:
            del self._upstreams_by_version[version]
            self._left_at_by_version[version] = now

    def recent(self, now: float) -> frozenset[str]:
        """Return the versions that had an upstream within the window.

        Args:
            now: Current time in seconds.
        """
        horizon = now - self._window_s
        for version, left_at in tuple(self._left_at_by_version.items()):
            if left_at < horizon:
                del self._left_at_by_version[version]
        return frozenset(self._upstreams_by_version) | frozenset(
            self._left_at_by_version
        )
