"""Loads a setup version, sharing unchanged parts with the previous one."""

import dataclasses
from collections.abc import Mapping

from ivystep.core import errors
from ivystep.platform import objects
from ivystep.setup import compiled, document, index, snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersion:
    """A setup version that was read, validated and compiled."""

    manifest: index.Manifest
    snapshot: snapshot.Snapshot
    setup: compiled.CompiledSetup


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedObjects:
    """Objects received from a peer, read like those of the object store."""

    body_by_digest: Mapping[str, bytes]

    def get(self, digest: str) -> bytes:
        """Return the bytes of the object with a digest.

        Raises:
            errors.SetupError: The object is missing or does not match its
                digest.
        """
        body = self.body_by_digest.get(digest, b'')
        if objects.digest_of(body) != digest:
            raise errors.SetupError(
                f'object {digest} is missing or damaged', step='adopt setup'
            )
        return body


def load(
    version: int,
    manifest: index.Manifest,
    fetch: snapshot.Fetch,
    previous: LoadedVersion | None,
) -> LoadedVersion:
    """Read, validate and compile a setup version.

    Args:
        version: Version of the manifest row.
        manifest: Value of the manifest row.
        fetch: Returns the bytes of the object with a digest.
        previous: The version loaded before, whose unchanged parts are shared;
            None if there is none.

    Raises:
        errors.PlatformError: An object could not be read.
        errors.SetupError: The version is invalid.
    """
    earlier = previous or _empty_version()
    new_snapshot = snapshot.read(manifest.root, fetch, earlier.snapshot)
    delta = snapshot.compare(earlier.snapshot, new_snapshot)
    common = new_snapshot.read_common()
    accounts = [new_snapshot.read_account(name) for name in delta.changed]
    checked = accounts
    if delta.is_common_changed:
        # An unchanged account may refer to a removed pool or service.
        checked = [
            new_snapshot.read_account(name)
            for name in new_snapshot.account_names()
        ]
    references = document.References.from_common(common)
    try:
        for account in checked:
            references.check(account)
    except ValueError as error:
        raise errors.SetupError(str(error), step='read setup') from error
    setup = earlier.setup.with_changes(version, common, accounts, delta.removed)
    return LoadedVersion(manifest, new_snapshot, setup)


def _empty_version() -> LoadedVersion:
    return LoadedVersion(
        index.Manifest(root='0' * 64, submission_id=''),
        snapshot.build(document.Common(), ()),
        compiled.CompiledSetup.from_document(document.Document(), 0),
    )
