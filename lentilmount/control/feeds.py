"""Reading a table of the store, then what changes in it."""

from __future__ import annotations

import asyncio

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


@attrs.define
class Feed:
    """The rows of a table, and what changes in them.

    A list is the truth and the store's feed a hint: after each failure, and
    where the history is gone, everything is read again.

    Attributes:
      table: Calls the store.
      name: The table.
      wait_seconds: How long the store's feed may wait for a change.
      part: The part that is listed; the store's feed tells of all parts.
      position: Version up to which changes are known; None to read all.
    """

    table: PlatformTable
    name: str
    wait_seconds: float
    part: str = ''
    position: int | None = None

    async def read(self) -> tuple[RawRow, ...]:
        """Returns all rows or those that changed; none after a failure."""
        try:
            found = await self._read()
        except HistoryLostError:
            self.position = None
            return ()
        except UnavailableError as error:
            log.warning('Cannot follow table {}: {}', self.name, error)
            self.position = None
            await asyncio.sleep(RETRY_SECONDS)
            return ()
        self.position = found.version
        return found.rows

    async def _read(self) -> Changes:
        if self.position is None:
            return await self.table.read_all(self.name, self.part)
        return await self.table.follow(
            self.name, self.position, self.wait_seconds
        )
