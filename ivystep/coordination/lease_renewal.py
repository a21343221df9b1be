"""A renewal of a lease, as another process was told of it by its holder."""

import dataclasses

from ivystep.coordination import lease_row
from ivystep.platform import table
from ivystep.runtime import clock

# Age, as a share of the duration, up to which a renewal that the holder has
# told of is recent. One that comes late once is no reason to read the row.
RECENT_SHARE = 1 / 2


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A write of the holder, as another process was told of it.

    Attributes:
        token: Fencing token of the written row.
        version: Version of the written row.
        sent_at: Uptime of this process, in seconds, before which the holder
            sent the write.
    """

    token: int
    version: int
    sent_at: float

    def is_recent(self, duration_s: float) -> bool:
        """Return whether the holder has renewed its lease lately.

        Args:
            duration_s: Duration of the lease.
        """
        return clock.uptime() < self.sent_at + RECENT_SHARE * duration_s

    def has_written(self, row: table.Row) -> bool:
        """Return whether a row is the one that this renewal has written."""
        token = lease_row.Record.from_row(row).token
        return (token, row.version) == (self.token, self.version)
