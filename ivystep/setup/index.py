"""The index of a setup's sections: two levels of objects under the manifest.

The manifest row names one root object. The root names the common section and
up to 256 shard objects; a shard names the sections of its accounts. A change
of one account therefore transfers the root, one shard and one section, also
with 80,000 accounts, where a flat list of digests would take 7 MB.
"""

import hashlib
import json
import typing

import pydantic

from ivystep.core import errors
from ivystep.setup import document

SHARD_PREFIX_DIGITS = 2

ShardId = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{2}$')]


class Manifest(document.Part):
    """Value of the row ``setup/current``.

    Attributes:
        root: Digest of the root object.
        submission_id: Submission that wrote the row.
    """

    root: document.KeyDigest
    submission_id: str = pydantic.Field(max_length=128)


class Root(document.Part):
    """The root object.

    Attributes:
        common: Digest of the section with pools and services.
        shards: Digests of the shard objects by shard id.
    """

    common: document.KeyDigest
    shards: dict[ShardId, document.KeyDigest]


class Shard(document.Part):
    """A shard object.

    Attributes:
        accounts: Digests of the sections by account name.
    """

    accounts: dict[document.Name, document.KeyDigest]


_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def shard_id(account: str) -> str:
    """Return the shard in which an account's section is listed.

    Args:
        account: Name of the account.
    """
    return hashlib.sha256(account.encode()).hexdigest()[:SHARD_PREFIX_DIGITS]


def canonical(part: pydantic.BaseModel) -> bytes:
    """Return the bytes of a part that its digest is computed from."""
    content = part.model_dump(mode='json')
    return json.dumps(content, sort_keys=True, separators=(',', ':')).encode()


def parse(model: type[_Model], body: bytes, name: str) -> _Model:
    """Parse an object that a submission has stored.

    Args:
        model: Model of the object.
        body: Bytes of the object.
        name: What the object is, for error messages.

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


def manifest(content: typing.Any) -> Manifest:
    """Check the value of the manifest row.

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
