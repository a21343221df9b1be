"""Creates identifiers and digests."""

import hashlib
import secrets

ID_BYTES = 12


def new_id(prefix: str) -> str:
    """Return a random identifier.

    Args:
        prefix: Kind of object, for example ``req``.

    Returns:
        The prefix, a hyphen and 96 random bits in hexadecimal.
    """
    return f'{prefix}-{secrets.token_hex(ID_BYTES)}'


def digest(*parts: bytes | bytearray) -> bytes:
    """Return the SHA-256 digest of length-prefixed parts.

    Args:
        parts: Byte strings. The length prefixes ensure that ('ab', 'c') and
            ('a', 'bc') have different digests.

    Returns:
        32 bytes.
    """
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return hasher.digest()
