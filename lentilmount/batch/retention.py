"""Deletes the rows of jobs that ended long ago, a page at a time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs
import logbook

from lentilmount.coordination.table import (
    ConflictError,
    Delete,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import commit
from lentilmount.rows import is_deleted, make_job_key, make_tombstone

log = logbook.Logger('retention')


@attrs.frozen
class RetentionOptions:
    """Options of the retention of ended jobs.

    Attributes:
      kept_seconds: Time that an ended job can still be read.
      step_seconds: Interval between two steps.
      page: Rows read in a step; two are written for each expired one.
    """

    kept_seconds: float = 7 * 86400.0
    step_seconds: float = 60.0
    page: int = 40


class Retention:
    """Scans the ended jobs of a slice in turn and deletes expired ones.

    The name of a job stays reserved by a small row, as when an operator
    deletes the job: a late retry of its submission would otherwise run it
    again.

    Args:
      table: The table with the rows.
      slice_name: Name of the slice.
      options: Options of the retention.
      wall: Clock of the times in the rows.
    """

    def __init__(
        self,
        table: Table,
        slice_name: str,
        options: RetentionOptions | None = None,
        wall: Callable[[], float] = time.time,
    ):
        self._table = table
        self._slice_name = slice_name
        self._options = options or RetentionOptions()
        self._wall = wall
        self._after = ''

    async def run(self) -> None:
        """Runs a step at each interval until cancelled."""
        while True:
            await asyncio.sleep(self._options.step_seconds)
            try:
                await self.step()
            except (ConflictError, UnavailableError) as error:
                # An operator deleted one of the jobs, or the table is
                # unavailable; a later step deletes the remaining ones.
                log.info('Old jobs are kept until a later step: {}.', error)

    async def step(self) -> int:
        """Processes one page; returns the number of jobs deleted.

        Raises:
          ConflictError: Another writer deleted one of the jobs; none of the
            page is deleted.
          UnavailableError: The table does not answer.
        """
        page = self._options.page
        partition = f'done/{self._slice_name}'
        rows = await self._table.scan(partition, self._after, page)
        self._after = rows[-1].key.sort if len(rows) == page else ''
        cutoff = self._wall() - self._options.kept_seconds
        old = [row for row in rows if row.body['at'] < cutoff]
        if old:
            await self._forget(old)
        return len(old)

    async def _forget(self, old: list[Row]) -> None:
        keys = [make_job_key(*row.key.sort.split('/')[1:3]) for row in old]
        jobs = await self._table.read(keys)
        operations: list[Operation] = [
            Delete(row.key, row.version) for row in old
        ]
        for key in keys:
            row = jobs.get(key)
            if row is not None and not is_deleted(row):
                tombstone = make_tombstone(self._slice_name)
                operations.append(Put(key, tombstone, row.version))
        await commit(self._table, operations, operations[-1].key)
