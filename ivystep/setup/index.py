"""Two-level index of the sections of a setup.

The manifest row has the digest of a root object. The root lists the common
section and up to 256 shard objects, and a shard lists the sections of its
accounts. A change of one account therefore transfers only the root, one shard
and one section. With 80,000 accounts, a flat list of digests would take 7 MB.
"""

import hashlib
import json
import typing

import pydantic

from ivystep.core import errors
from ivystep.setup import document

SHARD_PREFIX_DIGITS = 2

ShardId = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{2}$')]


class Manifest(document.StrictModel):
    """Value of the row ``setup/current``.

    Attributes:
        root: Digest of the root object.
        submission_id: Id of the submission that wrote the row.
    """

    root: document.KeyDigest
    submission_id: str = pydantic.Field(max_length=128)


class Root(document.StrictModel):
    """The root object of the index.

    Attributes:
        common: Digest of the section of pools and services.
        shards: Digests of the shard objects by shard id.
    """

    common: document.KeyDigest
    shards: dict[ShardId, document.KeyDigest]


class ShardListing(document.StrictModel):
    """A shard object, which lists the sections of its accounts.

    Attributes:
        accounts: Digests of the sections by account name.
    """

    accounts: dict[document.Name, document.KeyDigest]


_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def shard_id(account: str) -> str:
    """Return the id of the shard that lists the section of an account.

    Args:
        account: Name of the account.
    """
    return hashlib.sha256(account.encode()).hexdigest()[:SHARD_PREFIX_DIGITS]


def canonical_bytes(part: pydantic.BaseModel) -> bytes:
    """Return the canonical JSON of a part, as used for its digest."""
    content = part.model_dump(mode='json')
    return json.dumps(content, sort_keys=True, separators=(',', ':')).encode()


def parse(model: type[_Model], body: bytes, name: str) -> _Model:
    """Parse and validate an object of the object store.

    Args:
        model: Model of the object.
        body: Bytes of the object.
        name: Description of the object for error messages.

    Raises:
        errors.SetupError: The object is not valid.
    """
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        problem = error.errors(include_url=False, include_input=False)[0]
        raise errors.SetupError(
            f'{name} is not valid: {problem["msg"]}', step='read setup'
        ) from error


def parse_manifest(content: typing.Any) -> Manifest:
    """Validate the value of the manifest row.

    Args:
        content: Value of the row.

    Raises:
        errors.SetupError: The value is not a manifest.
    """
    try:
        return Manifest.model_validate(content)
    except pydantic.ValidationError as error:
        raise errors.SetupError(
            'the manifest row is not valid', step='read setup'
        ) from error
