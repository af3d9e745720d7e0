"""Reading a table of the store, then what changes in it."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

import attrs
import logbook

from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import (
    Changes,
    HistoryLostError,
    PlatformTable,
    RawRow,
)

log = logbook.Logger('feeds')

RETRY_SECONDS = 0.2
"""Before a table is read again after a failure."""

SLOW_SECONDS = 0.5
"""Time for an answer, beside the wait for a change, that is worth a line."""


@attrs.define
class TableFeed:
    """The rows of a table, and what changes in them.

    Where the history is gone everything is read again. After a failed call the
    feed is asked once more from where it was, which costs only what is new; if
    it stays silent, the list and the feed are tried by turns. Read whole after
    each failure, a long table filled a small link, so that the next call failed
    too, and so on.

    Attributes:
      table: Calls the store.
      name: The table.
      wait_seconds: How long the store's feed may wait for a change.
      part: The part that is listed; the store's feed tells of all parts.
      position: Version up to which changes are known; None to read all.
      failures: Calls that failed since the last one that was answered.
      monotonic: The clock for durations.
      as_of: Monotonic time at which the newest call that was answered was
        sent. What changed after it may not be known.
    """

    table: PlatformTable
    name: str
    wait_seconds: float
    part: str = ''
    position: int | None = None
    failures: int = 0
    monotonic: Callable[[], float] = time.monotonic
    as_of: float = -math.inf

    async def read(self) -> tuple[RawRow, ...]:
        """Returns all rows or those that changed; none after a failure."""
        asked_at = self.monotonic()
        try:
            found = await self._read()
        except HistoryLostError:
            self.position = None
            return ()
        except UnavailableError as error:
            log.warning('Cannot follow table {}: {}', self.name, error)
            self.failures += 1
            await asyncio.sleep(RETRY_SECONDS)
            return ()
        self.failures = 0
        self.position = found.version
        self.as_of = asked_at
        self._log_slow_reading(found.rows)
        return found.rows

    def _log_slow_reading(self, rows: tuple[RawRow, ...]) -> None:
        took = self.monotonic() - self.as_of
        if took > self.wait_seconds + SLOW_SECONDS:
            log.info(
                'Read table {} slowly.',
                self.name,
                extra={
                    'took': round(took, 3),
                    'rows': len(rows),
                    'bytes': sum(len(row.value) for row in rows),
                },
            )

    async def _read(self) -> Changes:
        if self.position is None or self._is_list_due():
            return await self.table.read_all(self.name, self.part)
        return await self.table.follow(
            self.name, self.position, self.wait_seconds
        )

    def _is_list_due(self) -> bool:
        return self.failures > 0 and self.failures % 2 == 0
