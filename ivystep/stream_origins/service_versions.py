"""Decides what a service's row in the store says, and what to write to it.

Designed for a few versions of each service: a row holds those of one retention
time. The functions are pure; ``recorder`` reads and writes the rows.
"""

import dataclasses
from collections.abc import Set

from ivystep.platform import version_rows

# Longest time between a stream's first attempt and its last one. Callers give
# up before.
RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreView:
    """What the store has answered about a service.

    Attributes:
        versions: Content of the row; None if there is none.
        row_version: Version of the row; 0 if there is none.
        era: Era of the store at the time of the answer.
        store_time_s: Time of the answer on the store's clock.
        is_malformed: Whether the row can't be read.
    """

    versions: version_rows.ServiceVersions | None
    row_version: int
    era: int
    store_time_s: float
    is_malformed: bool = False

    @property
    def is_current(self) -> bool:
        """Whether the row has been written in the present era.

        A missing row of a store that was never restored says that no stream of
        the service was ever sent.
        """
        if self.versions is None:
            return self.era == 0 and not self.is_malformed
        return self.versions.era == self.era

    @property
    def is_complete(self) -> bool:
        """Whether no version of the retention time is missing."""
        if not self.is_current:
            return False
        return (
            self.versions is None
            or self.store_time_s >= self.versions.complete_from_s
        )

    @property
    def possible(self) -> frozenset[str]:
        """The versions at which a stream may have begun, as far as known."""
        if self.versions is None:
            return frozenset()
        return frozenset(
            version
            for version, gone_s in self.versions.gone_s_by_version.items()
            if gone_s is None or self.store_time_s < gone_s + RETENTION_S
        )

    @property
    def serving(self) -> frozenset[str]:
        """The versions that are recorded as having upstreams."""
        if self.versions is None:
            return frozenset()
        return frozenset(
            version
            for version, gone_s in self.versions.gone_s_by_version.items()
            if gone_s is None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """What one host knows of a service by itself.

    Attributes:
        present: Versions of the upstreams that it knows.
        recent: Versions of upstreams that it knew within the retention time.
        is_whole: Whether it has known the service for the retention time.
        may_remove: Whether it records that versions have gone: the leader does
            while it is in contact with the store.
    """

    present: Set[str]
    recent: Set[str] = frozenset()
    is_whole: bool = False
    may_remove: bool = False


def update(
    view: StoreView, known: HostView
) -> version_rows.ServiceVersions | None:
    """Return the row with what a host knows.

    Args:
        view: What the store has answered.
        known: What the host knows.

    Returns:
        The content that the row should have, equal to the present one if no
        write is needed; None if no row is needed.
    """
    if view.versions is None and not (known.present or known.recent):
        return None
    now_s = view.store_time_s
    gone_s_by_version: dict[str, float | None] = {}
    complete_from_s = 0.0
    if view.versions is not None:
        gone_s_by_version.update(view.versions.gone_s_by_version)
        complete_from_s = view.versions.complete_from_s
    if not view.is_current:
        # Times of another era say nothing about the present one.
        gone_s_by_version = {
            version: None if gone_s is None else now_s
            for version, gone_s in gone_s_by_version.items()
        }
        complete_from_s = now_s + RETENTION_S
    if now_s < complete_from_s:
        for version in known.recent - gone_s_by_version.keys():
            gone_s_by_version[version] = now_s
        if known.is_whole:
            complete_from_s = 0.0
    gone_s_by_version.update(dict.fromkeys(known.present))
    if known.may_remove:
        gone_s_by_version = _without_expired(
            gone_s_by_version, known.present, now_s
        )
    return version_rows.ServiceVersions(
        gone_s_by_version, view.era, complete_from_s
    )


def _without_expired(
    gone_s_by_version: dict[str, float | None],
    present: Set[str],
    now_s: float,
) -> dict[str, float | None]:
    """Mark versions without upstreams, and remove those gone for long."""
    marked: dict[str, float | None] = {
        version: now_s if gone_s is None and version not in present else gone_s
        for version, gone_s in gone_s_by_version.items()
    }
    return {
        version: gone_s
        for version, gone_s in marked.items()
        if gone_s is None or now_s < gone_s + RETENTION_S
    }
