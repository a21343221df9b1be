"""Loads a version of the setup on top of the version loaded before."""

import dataclasses
from collections.abc import Mapping

from ivystep.core import errors
from ivystep.platform import objects
from ivystep.setup import compiled, document, index, snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """A version that is ready to serve with."""

    manifest: index.Manifest
    snapshot: snapshot.Snapshot
    setup: compiled.CompiledSetup


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Objects that a peer has sent, read like the object store."""

    body_by_digest: Mapping[str, bytes]

    def get(self, digest: str) -> bytes:
        """Return an object.

        Raises:
            errors.SetupError: It is missing or damaged.
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
    previous: Loaded | None,
) -> Loaded:
    """Read, validate and compile a version.

    Args:
        version: Version of the manifest row.
        manifest: Value of the manifest row.
        fetch: Returns the bytes of a digest.
        previous: The version loaded before, whose parts are shared.

    Raises:
        errors.PlatformError: An object could not be read.
        errors.SetupError: The version is invalid.
    """
    earlier = previous or _empty()
    found = snapshot.read(manifest.root, fetch, earlier.snapshot)
    delta = snapshot.compare(earlier.snapshot, found)
    common = found.read_common()
    accounts = [found.read_account(name) for name in delta.changed]
    checked = accounts
    if delta.is_common_changed:
        # Other accounts may refer to a pool or service that was removed.
        checked = [found.read_account(name) for name in found.account_names()]
    references = document.References.from_common(common)
    try:
        for account in checked:
            references.check(account)
    except ValueError as error:
        raise errors.SetupError(str(error), step='read setup') from error
    setup = earlier.setup.changed(version, common, accounts, delta.removed)
    return Loaded(manifest, found, setup)


def _empty() -> Loaded:
    return Loaded(
        index.Manifest(root='0' * 64, submission_id=''),
        snapshot.build(document.Common(), ()),
        compiled.CompiledSetup.from_document(document.Document(), 0),
    )
