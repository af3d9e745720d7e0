"""Deletes stored answers to commands once no retry can need them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import logbook

from lentilmount.coordination.table import (
    MAX_OPERATIONS,
    ConflictError,
    Delete,
    Operation,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.rows import REQUESTS

log = logbook.Logger('housekeeping')

RETENTION_SECONDS = 24 * 3600.0
"""Age after which an answer is deleted; far longer than any tool retries."""

PRUNE_INTERVAL_SECONDS = 1800.0
FIRST_PRUNE_SECONDS = 60.0
PAGE_ROWS = 200
PAGE_PAUSE_SECONDS = 0.5
"""Pause between two pages, to limit the load on the table."""

JITTER = (0.5, 1.5)


async def prune_requests(
    table: Table, now: float, pause: float = PAGE_PAUSE_SECONDS
) -> int:
    """Deletes the answers that are older than `RETENTION_SECONDS`.

    Args:
      table: The table.
      now: Wall time, in seconds since the epoch.
      pause: Pause between two pages, in seconds.

    Returns:
      The number of answers deleted.

    Raises:
      UnavailableError: The table does not answer; the remaining answers are
        left for the next run.
    """
    count, after = 0, ''
    while True:
        rows = await table.scan(REQUESTS, after, PAGE_ROWS)
        expired: list[Operation] = [
            Delete(row.key, row.version)
            for row in rows
            if now - row.body.get('at', 0.0) > RETENTION_SECONDS
        ]
        for start in range(0, len(expired), MAX_OPERATIONS):
            chunk = expired[start : start + MAX_OPERATIONS]
            try:
                await table.transact(make_token(), chunk)
            except ConflictError:
                # Another daemon is deleting the same rows, so this one stops.
                return count
            count += len(chunk)
        if len(rows) < PAGE_ROWS:
            return count
        after = rows[-1].key.sort
        await asyncio.sleep(pause)


async def run_housekeeping(table: Table, is_chosen: Callable[[], bool]) -> None:
    """Prunes periodically until cancelled.

    Args:
      table: The table.
      is_chosen: Returns whether this daemon is the one to prune. If two do,
        they only waste reads.
    """
    wait = FIRST_PRUNE_SECONDS
    while True:
        await asyncio.sleep(wait * random.uniform(*JITTER))
        wait = PRUNE_INTERVAL_SECONDS
        if not is_chosen():
            continue
        try:
            count = await prune_requests(table, time.time())
        except UnavailableError:
            continue
        if count:
            log.info('{} expired answers to commands are deleted.', count)
