"""Transactions that are applied once, whatever happens to the answer."""

from __future__ import annotations

import asyncio
import uuid

from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Table,
    UnavailableError,
)

FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 2.0


def make_token() -> str:
    """Returns a token that no other transaction has."""
    return uuid.uuid4().hex


async def commit(
    table: Table,
    operations: list[Operation],
    token_row: Key,
    *,
    token: str = '',
    attempts: int = 4,
) -> int:
    """Applies a transaction once, through lost answers.

    An answer can be lost after the write took effect, and a write can take
    effect after it was given up; reading back and seeing nothing proves
    nothing. So the same transaction is sent again, unchanged: each of its
    writes raises the version it expects, so at most one copy can apply. When
    a copy conflicts, the witness tells whose write came first.

    Args:
      table: Where to write.
      operations: What to write; must put `token_row`.
      token_row: A row that no other writer overwrites without checking the
        same version, so its token says whether this transaction applied.
      token: The transaction's token; a new one if empty.
      attempts: How often to send.

    Returns:
      The version that the witness has now.

    Raises:
      ConflictError: It was not applied and never will be.
      UnavailableError: Still unknown after all attempts.
    """
    token = token or make_token()
    pause = FIRST_PAUSE_SECONDS
    for attempt in range(attempts):
        try:
            version = await table.transact(token, operations)
            return _get_version(operations, token_row, version)
        except ConflictError:
            row = (await table.read([token_row])).get(token_row)
            if row is not None and row.token == token:
                return row.version
            raise
        except UnavailableError:
            if attempt + 1 == attempts:
                raise
        await asyncio.sleep(pause)
        pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
    raise AssertionError('the last attempt returns or raises')


def _get_version(
    operations: list[Operation], token_row: Key, version: int | None
) -> int:
    if version is not None:
        return version
    written = [op.expected for op in operations if op.key == token_row]
    return max(written, default=0) + 1
