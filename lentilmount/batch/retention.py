"""Forgets jobs that ended long ago, a few at a time."""

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
from lentilmount.rows import is_deleted, make_job_key, make_stone

log = logbook.Logger('retention')


@attrs.frozen
class RetentionOptions:
    """How long what is over is kept.

    Attributes:
      kept_seconds: How long a job that is over can still be read.
      step_seconds: Between two looks.
      page: Rows read at each look; two are written for each that is old.
    """

    kept_seconds: float = 7 * 86400.0
    step_seconds: float = 60.0
    page: int = 40


class Retention:
    """Goes round the rows of a slice's ended jobs, a page a step.

    The name of a job stays taken by a small row, as when an operator deletes
    the job: sent again by a late retry, it would otherwise run again.

    Args:
      table: Where the rows are.
      slice_name: The slice.
      options: How long to keep what.
      wall: The clock that the rows' times are read on.
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
        """Forgets until cancelled."""
        while True:
            await asyncio.sleep(self._options.step_seconds)
            try:
                await self.step()
            except (ConflictError, UnavailableError) as error:
                # An operator deleted one of them, or the table is out; the
                # next round finds what is left.
                log.info('Old jobs are kept for now: {}.', error)

    async def step(self) -> int:
        """Looks at one page; returns how many jobs it forgot.

        Raises:
          ConflictError: Somebody else deleted one of them; none is forgotten.
          UnavailableError: The table does not answer.
        """
        page = self._options.page
        partition = f'done/{self._slice_name}'
        rows = await self._table.scan(partition, self._after, page)
        self._after = rows[-1].key.sort if len(rows) == page else ''
        before = self._wall() - self._options.kept_seconds
        old = [row for row in rows if row.body['at'] < before]
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
                stone = make_stone(self._slice_name)
                operations.append(Put(key, stone, row.version))
        await commit(self._table, operations, operations[-1].key)
