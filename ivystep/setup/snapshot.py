"""Snapshot of a setup version: its stored objects, compressed in memory.

The exact bytes are kept so that an entry can send the objects to a peer that
cannot reach the object store. Compression reduces them to about a tenth.
"""

import dataclasses
import typing
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping

import eventlet
import pydantic

from ivystep.core import errors
from ivystep.platform import objects
from ivystep.setup import document, index

PARALLEL_READS = 8
COMPRESSION_LEVEL = 1

Fetch = Callable[[str], bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the object store, compressed in memory."""

    digest: str
    compressed: bytes

    @classmethod
    def from_body(cls, body: bytes, digest: str = '') -> typing.Self:
        """Compress the bytes of an object.

        Args:
            body: The bytes.
            digest: Digest of the bytes; computed if empty.
        """
        compressed = zlib.compress(body, COMPRESSION_LEVEL)
        return cls(digest or objects.digest_of(body), compressed)

    @classmethod
    def from_part(cls, part: pydantic.BaseModel) -> typing.Self:
        """Compress the canonical bytes of a part."""
        return cls.from_body(index.canonical_bytes(part))

    @property
    def body(self) -> bytes:
        """The decompressed bytes of the object."""
        return zlib.decompress(self.compressed)


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """A shard object and the sections that it lists."""

    stored: StoredObject
    section_by_account: Mapping[str, StoredObject]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of one version, sharing unchanged ones with others."""

    root: StoredObject
    common: StoredObject
    shard_by_id: Mapping[str, Shard]

    def section(self, account: str) -> StoredObject | None:
        """Return the section of an account, or None if it is unknown."""
        shard = self.shard_by_id.get(index.shard_id(account))
        return shard.section_by_account.get(account) if shard else None

    def objects(self) -> Iterator[StoredObject]:
        """Iterate over all objects, those of the index included."""
        yield self.root
        yield self.common
        for shard in self.shard_by_id.values():
            yield shard.stored
            yield from shard.section_by_account.values()

    def read_common(self) -> document.Common:
        """Parse the section of pools and services.

        Raises:
            errors.SetupError: The section is not valid.
        """
        return index.parse(document.Common, self.common.body, 'common section')

    def read_account(self, name: str) -> document.Account:
        """Parse the section of an account.

        Args:
            name: Name of an account of this snapshot.

        Raises:
            errors.SetupError: The section is not valid or does not exist.
        """
        stored = self.section(name)
        if stored is None:
            raise errors.SetupError(f'there is no account {name}')
        account = index.parse(
            document.Account, stored.body, f'section of account {name}'
        )
        if account.name != name:
            raise errors.SetupError(
                f'the section of account {name} names {account.name}'
            )
        return account

    def account_names(self) -> list[str]:
        """Return the names of all accounts, sorted."""
        return sorted(
            name
            for shard in self.shard_by_id.values()
            for name in shard.section_by_account
        )

    def read_document(self) -> document.Document:
        """Parse and validate the whole document.

        Raises:
            errors.SetupError: A section is not valid.
        """
        common = self.read_common()
        accounts = [self.read_account(name) for name in self.account_names()]
        try:
            return document.Document(
                pools=common.pools,
                services=common.services,
                accounts=tuple(accounts),
            )
        except pydantic.ValidationError as error:
            raise errors.SetupError(str(error), step='read setup') from error


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Difference between two snapshots.

    Attributes:
        is_common_changed: Whether pools or services differ.
        changed: Names of new and changed accounts, sorted.
        removed: Names of removed accounts, sorted.
    """

    is_common_changed: bool
    changed: tuple[str, ...]
    removed: tuple[str, ...]


def compare(old: Snapshot, new: Snapshot) -> Delta:
    """Compare two snapshots by their digests.

    Args:
        old: The earlier snapshot.
        new: The later snapshot.
    """
    changed: list[str] = []
    removed: list[str] = []
    for key in old.shard_by_id.keys() | new.shard_by_id.keys():
        before, after = old.shard_by_id.get(key), new.shard_by_id.get(key)
        if before and after and before.stored.digest == after.stored.digest:
            continue
        earlier = before.section_by_account if before else {}
        later = after.section_by_account if after else {}
        removed.extend(name for name in earlier if name not in later)
        changed.extend(
            name
            for name, stored in later.items()
            if name not in earlier or earlier[name].digest != stored.digest
        )
    return Delta(
        old.common.digest != new.common.digest,
        tuple(sorted(changed)),
        tuple(sorted(removed)),
    )


def read(root_digest: str, fetch: Fetch, previous: Snapshot | None) -> Snapshot:
    """Read a snapshot, fetching only objects that the previous one lacks.

    Args:
        root_digest: Digest of the root object.
        fetch: Returns the bytes of the object with a digest.
        previous: A snapshot to share equal objects with, or None.

    Raises:
        errors.PlatformError: An object could not be read.
        errors.SetupError: An object of the index is not valid.
    """
    if previous is not None and previous.root.digest == root_digest:
        return previous
    root = StoredObject.from_body(fetch(root_digest), root_digest)
    listing = index.parse(index.Root, root.body, 'index')
    common = previous.common if previous else None
    if common is None or common.digest != listing.common:
        common = StoredObject.from_body(fetch(listing.common), listing.common)
    earlier = previous.shard_by_id if previous else {}
    shard_by_id = {
        key: earlier[key]
        for key, digest in listing.shards.items()
        if key in earlier and earlier[key].stored.digest == digest
    }
    missing = [key for key in listing.shards if key not in shard_by_id]
    workers = eventlet.GreenPool(PARALLEL_READS)
    shards = workers.imap(
        lambda key: _read_shard(listing.shards[key], fetch, earlier.get(key)),
        missing,
    )
    shard_by_id.update(zip(missing, shards, strict=True))
    return Snapshot(root, common, shard_by_id)


def build(
    common: document.Common,
    accounts: Iterable[document.Account],
    previous: Snapshot | None = None,
) -> Snapshot:
    """Build the snapshot of a validated document.

    Args:
        common: Pools and services.
        accounts: All accounts.
        previous: A snapshot to share equal objects with, or None.
    """
    sections_by_shard: dict[str, dict[str, StoredObject]] = {}
    for account in accounts:
        shard = sections_by_shard.setdefault(index.shard_id(account.name), {})
        shard[account.name] = StoredObject.from_part(account)
    earlier = previous.shard_by_id if previous else {}
    shard_by_id = {
        shard_id: _build_shard(section_by_account, earlier.get(shard_id))
        for shard_id, section_by_account in sections_by_shard.items()
    }
    stored_common = StoredObject.from_part(common)
    root = index.Root(
        common=stored_common.digest,
        shards={key: shard.stored.digest for key, shard in shard_by_id.items()},
    )
    return Snapshot(StoredObject.from_part(root), stored_common, shard_by_id)


def _build_shard(
    section_by_account: dict[str, StoredObject], previous: Shard | None
) -> Shard:
    listing = index.ShardListing(
        accounts={
            name: stored.digest for name, stored in section_by_account.items()
        }
    )
    stored = StoredObject.from_part(listing)
    if previous is not None and previous.stored.digest == stored.digest:
        return previous
    return Shard(stored, section_by_account)


def _read_shard(digest: str, fetch: Fetch, previous: Shard | None) -> Shard:
    earlier = previous.section_by_account if previous else {}
    stored_by_digest = {part.digest: part for part in earlier.values()}
    stored = StoredObject.from_body(fetch(digest), digest)
    listing = index.parse(
        index.ShardListing, stored.body, 'index shard'
    ).accounts
    section_by_account = {}
    for account, section_digest in listing.items():
        section = stored_by_digest.get(section_digest)
        if section is None:
            section = StoredObject.from_body(
                fetch(section_digest), section_digest
            )
        section_by_account[account] = section
    return Shard(stored, section_by_account)
