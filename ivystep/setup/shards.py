"""Immutable map with copy-on-write shards.

A change copies only the shards of the changed keys, so the cost of changing
one key is that of copying 1/256 of the map.
"""

import typing
from collections.abc import Iterable, Iterator, Mapping

SHARD_COUNT = 256

_Value = typing.TypeVar('_Value')


class ShardMap(typing.Generic[_Value]):
    """An immutable map with string keys in a fixed number of shards."""

    __slots__ = ('_shards',)

    def __init__(self, entries: Mapping[str, _Value] | None = None) -> None:
        shards: list[dict[str, _Value]] = [{} for _ in range(SHARD_COUNT)]
        for key, content in (entries or {}).items():
            shards[_shard_index(key)][key] = content
        self._shards = tuple(shards)

    def get(self, key: str) -> _Value | None:
        """Return the value of a key, or None if the key is unknown."""
        return self._shards[_shard_index(key)].get(key)

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(len(shard) for shard in self._shards)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys in no particular order."""
        for shard in self._shards:
            yield from shard

    def with_changes(
        self, removed: Iterable[str], added: Mapping[str, _Value]
    ) -> typing.Self:
        """Return a changed map that shares the unchanged shards.

        Args:
            removed: Keys to remove; unknown ones are ignored.
            added: Entries to add or replace, after the removals.
        """
        copy_by_index: dict[int, dict[str, _Value]] = {}
        for key in removed:
            self._writable_shard(key, copy_by_index).pop(key, None)
        for key, content in added.items():
            self._writable_shard(key, copy_by_index)[key] = content
        shards = list(self._shards)
        for index, shard in copy_by_index.items():
            shards[index] = shard
        changed = type(self)()
        changed._shards = tuple(shards)
        return changed

    def _writable_shard(
        self, key: str, copy_by_index: dict[int, dict[str, _Value]]
    ) -> dict[str, _Value]:
        index = _shard_index(key)
        if index not in copy_by_index:
            copy_by_index[index] = dict(self._shards[index])
        return copy_by_index[index]


def _shard_index(key: str) -> int:
    return hash(key) % SHARD_COUNT
