"""Defines factors for unit conversion."""

import math

MS_PER_S = 1000
US_PER_S = 1_000_000
KIB = 1024
MIB = 1024 * KIB


def whole_ms(seconds: float) -> int:
    """Return a time as milliseconds for a log; -1 if it is infinite."""
    return -1 if math.isinf(seconds) else int(seconds * MS_PER_S)
