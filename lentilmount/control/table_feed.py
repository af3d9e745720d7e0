"""Reads a table of the store, then follows its changes."""

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
"""Delay before a table is read again after a failure."""

SLOW_READ_SECONDS = 0.5
"""Duration of a call, beyond its wait for a change, from which it is logged."""


@attrs.define
class TableFeed:
    """Reads all rows of a table, then its changes from the store's feed.

    All rows are read again when the store has dropped the history. After a
    failed call the feed is called again from the same position, which transfers
    only new rows; if it fails again, listing and feed are tried in turns.
    Reading a long table whole after each failure saturated a small network
    link, so that the next call failed too.

    Attributes:
      table: Client of the store.
      name: Name of the table.
      wait_seconds: How long the store's feed may wait for a change.
      part: The part that is listed; the store's feed covers all parts.
      position: Version up to which changes are known; None to read all rows.
      failures: Number of failed calls since the last successful one.
      monotonic: Returns monotonic time in seconds.
      as_of: Monotonic time at which the last successful call was sent. Later
        changes may be missing.
      is_listed: Whether the last call returned all rows. Rows that were removed
        before it are in no answer.
    """

    table: PlatformTable
    name: str
    wait_seconds: float
    part: str = ''
    position: int | None = None
    failures: int = 0
    monotonic: Callable[[], float] = time.monotonic
    as_of: float = -math.inf
    is_listed: bool = False

    async def read(self) -> tuple[RawRow, ...]:
        """Returns all rows or the changed ones; none after a failure."""
        sent_at = self.monotonic()
        self.is_listed = False
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
        self.as_of = sent_at
        self._log_slow_read(found.rows)
        return found.rows

    def _log_slow_read(self, rows: tuple[RawRow, ...]) -> None:
        took = self.monotonic() - self.as_of
        if took > self.wait_seconds + SLOW_READ_SECONDS:
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
            found = await self.table.read_all(self.name, self.part)
            self.is_listed = True
            return found
        return await self.table.follow(
            self.name, self.position, self.wait_seconds
        )

    def _is_list_due(self) -> bool:
        return self.failures > 0 and self.failures % 2 == 0
