"""Has the C library return the memory of freed long blocks to the system.

A long block is a mapping of its own, which grows without a copy and is unmapped
when it is freed. But each time that the GNU C library frees one, it raises the
length from which blocks are mappings, up to 32 MB. Later bodies then come from
the heap, where they are copied as they grow and stay resident after their end.
A length that is set is not raised.
"""

import ctypes

from ivystep.core import units

# Parameter ``M_MMAP_THRESHOLD`` of mallopt(3).
_MMAP_THRESHOLD = -3
MAPPED_BYTES = 128 * units.KIB


def map_long_blocks() -> bool:
    """Have blocks of ``MAPPED_BYTES`` or more always be mappings.

    Returns:
        Whether the C library does so; others than GNU's may not.
    """
    library = ctypes.CDLL(None)
    if not hasattr(library, 'mallopt'):
        return False
    return bool(library.mallopt(_MMAP_THRESHOLD, MAPPED_BYTES))
