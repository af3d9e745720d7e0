"""Transactions that are applied exactly once, even if responses are lost."""

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
    """Returns a unique token for a transaction."""
    return uuid.uuid4().hex


async def commit(
    table: Table,
    operations: list[Operation],
    token_row: Key,
    *,
    token: str = '',
    attempts: int = 4,
) -> int:
    """Applies a transaction exactly once, even if responses are lost.

    A response can be lost after the write was applied, and a write can be
    applied after its sender gave up, so reading back and finding nothing
    proves nothing. The same transaction is therefore sent again, unchanged:
    each of its writes increments the version it expects, so at most one copy
    can be applied. If a copy conflicts, the token in `token_row` shows whether
    an earlier copy was applied.

    Args:
      table: Table to write to.
      operations: Operations of the transaction; must include a put of
        `token_row`.
      token_row: Key of a row that no other writer overwrites without checking
        the same version, so its token shows whether this transaction was
        applied.
      token: Token of the transaction; a new one if empty.
      attempts: Maximum number of times to send it.

    Returns:
      The new version of `token_row`.

    Raises:
      ConflictError: The transaction was not applied and never will be.
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
