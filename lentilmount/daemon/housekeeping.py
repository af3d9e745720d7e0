"""Deletes rows of answers to commands when no retry can need them."""

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
"""Far longer than any operator's tool retries a command."""

ROUND_SECONDS = 1800.0
FIRST_ROUND_SECONDS = 60.0
PAGE = 200
PAGE_PAUSE_SECONDS = 0.5
"""Between two pages, so that the table's callers do not notice."""

JITTER = (0.5, 1.5)


async def prune_requests(
    table: Table, now: float, pause: float = PAGE_PAUSE_SECONDS
) -> int:
    """Deletes the answers that are older than the retention.

    Args:
      table: The table.
      now: Wall time, in seconds since the epoch.
      pause: Seconds between two pages.

    Returns:
      How many were deleted.

    Raises:
      UnavailableError: The table does not answer; what is left stays for the
        next round.
    """
    count, after = 0, ''
    while True:
        rows = await table.scan(REQUESTS, after, PAGE)
        old: list[Operation] = [
            Delete(row.key, row.version)
            for row in rows
            if now - row.body.get('at', 0.0) > RETENTION_SECONDS
        ]
        for start in range(0, len(old), MAX_OPERATIONS):
            some = old[start : start + MAX_OPERATIONS]
            try:
                await table.transact(make_token(), some)
            except ConflictError:
                # Another daemon deletes the same rows; no need for both.
                return count
            count += len(some)
        if len(rows) < PAGE:
            return count
        after = rows[-1].key.sort
        await asyncio.sleep(pause)


async def run_housekeeping(table: Table, is_chosen: Callable[[], bool]) -> None:
    """Prunes now and then until cancelled.

    Args:
      table: The table.
      is_chosen: Whether this daemon is the one to do it; two that both do it
        only waste reads.
    """
    wait = FIRST_ROUND_SECONDS
    while True:
        await asyncio.sleep(wait * random.uniform(*JITTER))
        wait = ROUND_SECONDS
        if not is_chosen():
            continue
        try:
            count = await prune_requests(table, time.time())
        except UnavailableError:
            continue
        if count:
            log.info('{} old answers to commands are deleted.', count)
