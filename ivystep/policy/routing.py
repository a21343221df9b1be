"""Which upstream serves a request."""

import hashlib
from collections.abc import Iterable


def rendezvous(key: str, names: Iterable[str]) -> str:
    """Choose one name for a key by rendezvous hashing.

    All callers with the same names choose the same one, and a name that comes
    or goes moves only the keys that it had or gets.

    Args:
        key: What is assigned, for example the name of a pool.
        names: The candidates; must not be empty.

    Returns:
        The name with the highest hash.
    """
    return max(
        names,
        key=lambda name: hashlib.sha256(f'{key}\0{name}'.encode()).digest(),
    )
