"""Applies rows of a table one by one, so that no row keeps back the others."""

from collections.abc import Callable, Iterable

from ivystep.gateway import process_events
from ivystep.platform import rows
from ivystep.runtime import background, event_log


def apply_each(
    found: Iterable[rows.StoredRow],
    apply_row: Callable[[rows.StoredRow], None],
    log: event_log.EventLog,
) -> None:
    """Apply rows.

    A malformed row is refused as it is decoded. If a row still raises an error
    where it is used, it is logged and the next one is applied: a host that no
    longer follows a table sends requests to upstreams that have gone.

    Args:
        found: The rows.
        apply_row: Applies one row.
        log: Event log of failures.
    """
    for row in found:
        try:
            apply_row(row)
        except Exception as error:
            log.write(
                process_events.RowFailed(
                    row.table,
                    row.key,
                    row.version,
                    background.describe(error),
                    background.place(error),
                )
            )
