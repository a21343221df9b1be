"""Compare-and-set updates of one row in the table service.

The row's value contains the content and the ids of the most recent writes. A
writer that got no answer finds its own id there if its write took effect, even
if others have written since.
"""

import random
import typing
from collections.abc import Callable

from ivystep.core import errors, ids
from ivystep.platform import table
from ivystep.runtime import clock

MAX_TRIES = 8
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
# A writer that got no answer reads the row back within seconds; its id is still
# there if others have written fewer times than this in between.
KEPT_WRITE_IDS = 16

Content = typing.Any


def read(rows: table.Table, key: str) -> Content | None:
    """Return the content of a row written by ``update``, or None.

    Args:
        rows: The table service.
        key: Key of the row.

    Raises:
        errors.UnavailableError: The row could not be read.
    """
    row = rows.get(key)
    return row.value['content'] if row else None


def update(
    rows: table.Table,
    key: str,
    change: Callable[[Content | None], Content],
) -> Content:
    """Replace the content of a row by a function of it.

    Args:
        rows: The table service.
        key: Key of the row.
        change: Returns the new JSON content for the current one, which is
            None if the row is absent. It may be called several times, and may
            raise to cancel the update.

    Returns:
        The content that was written.

    Raises:
        errors.ConflictError: Others changed the row at every try.
        errors.UnavailableError: The change was not applied.
        errors.UncertainWriteError: The change may have been applied.
    """
    return _Update(rows, key, change).run()


class _Update:
    """One update with its unanswered write, if any."""

    def __init__(
        self,
        rows: table.Table,
        key: str,
        change: Callable[[Content | None], Content],
    ) -> None:
        self._rows = rows
        self._key = key
        self._change = change
        self._write_id = ids.new_id('write')
        self._unanswered: table.Put | None = None

    def run(self) -> Content:
        """Retry until the change is applied or ``MAX_TRIES`` is reached."""
        backoff_s = FIRST_BACKOFF_S
        for attempt in range(MAX_TRIES):
            if attempt:
                clock.sleep(random.uniform(0, backoff_s))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            try:
                return self._try()
            except errors.PlatformError as error:
                problem = error
        if self._unanswered is None:
            raise problem
        raise errors.UncertainWriteError(
            problem.reason, step='update', peer=problem.peer
        ) from problem

    def _try(self) -> Content:
        row = self._rows.get(self._key)
        put = self._resolve(row)
        if put is None:
            put = self._next_put(row)
        elif _has_write(row, self._write_id):
            return put.value['content']
        try:
            self._rows.transact((put,))
        except errors.UncertainWriteError:
            self._unanswered = put
            raise
        return put.value['content']

    def _resolve(self, row: table.Row | None) -> table.Put | None:
        """Return the unanswered put if it was applied or still may be.

        An unchanged row does not prove that the put failed: it may still take
        effect. Sending the same put again is safe, because only one of both
        can meet the expected version.
        """
        put = self._unanswered
        if put is None or _has_write(row, self._write_id):
            return put
        version = row.version if row else 0
        writes_since = version - put.expected_version
        if writes_since > KEPT_WRITE_IDS:
            raise errors.UncertainWriteError(
                'too many writes since to tell whether this one took effect',
                step='update',
            )
        if writes_since > 0:
            self._unanswered = None
        return self._unanswered

    def _next_put(self, row: table.Row | None) -> table.Put:
        content = self._change(row.value['content'] if row else None)
        earlier = row.value['write_ids'] if row else []
        write_ids = [*earlier, self._write_id][-KEPT_WRITE_IDS:]
        value = {'content': content, 'write_ids': write_ids}
        return table.Put.replacing(row, self._key, value)


def _has_write(row: table.Row | None, write_id: str) -> bool:
    return row is not None and write_id in row.value['write_ids']
