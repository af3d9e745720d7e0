"""Reads change logs; encodes cursors, which hold a position in each log.

The configuration and each slice have a change log in the table, whose entries
are numbered without gaps: a missing number means that entries were pruned.
"""

from __future__ import annotations

import base64
import binascii
import collections
import json
from collections.abc import Mapping

import attrs

from lentilmount.batch.records import make_change_key
from lentilmount.codec import structure
from lentilmount.coordination.table import Row, Table
from lentilmount.errors import (
    ErrorKind,
    FieldProblem,
    InvalidError,
    LentilmountError,
)

PAGE = 200
CACHE_SIZE = 512
"""Entries of each log that are cached, to save watchers reads of the table."""


@attrs.frozen
class LogPosition:
    """A position in a change log.

    Attributes:
      number: Number of the last entry that was delivered completely.
      taken: Number of changes of the next entry that were delivered; an entry
        holds the changes of one transaction.
    """

    number: int = 0
    taken: int = 0


Positions = dict[str, LogPosition]
"""Position in each change log, by name of the log."""


def encode_cursor(positions: Mapping[str, LogPosition]) -> str:
    """Encodes positions as a cursor, which is opaque to callers."""
    pairs = {log: [p.number, p.taken] for log, p in sorted(positions.items())}
    plain = json.dumps(pairs, separators=(',', ':'))
    return base64.urlsafe_b64encode(plain.encode()).decode().rstrip('=')


def decode_cursor(cursor: str) -> Positions:
    """Decodes a cursor.

    Raises:
      InvalidError: The cursor is malformed.
    """
    padded = cursor + '=' * (-len(cursor) % 4)
    try:
        plain = json.loads(base64.urlsafe_b64decode(padded.encode()))
        pairs = structure(plain, dict[str, tuple[int, int]])
    except (binascii.Error, ValueError, InvalidError) as error:
        raise make_cursor_error('is not one that a list or watch gave') from (
            error
        )
    if any(number < 0 or taken < 0 for number, taken in pairs.values()):
        raise make_cursor_error('is not one that a list or watch gave')
    return {log: LogPosition(*pair) for log, pair in pairs.items()}


def make_cursor_error(problem: str) -> InvalidError:
    """Builds the error for an unusable cursor."""
    field = FieldProblem('cursor', problem, 'list again and watch from there')
    return InvalidError(str(field), fields=(field,))


class ChangeLogReader:
    """Reads change logs through a cache that all watchers share."""

    def __init__(self, table: Table):
        self._table = table
        self._caches: dict[str, collections.deque[Row]] = {}

    async def read(self, log: str, after: int) -> list[Row]:
        """Returns the next entries after a number, at least one, without a gap.

        Raises:
          LentilmountError: Of kind GONE; the next entry was pruned.
          UnavailableError: The table service is unavailable.
        """
        cache = self._caches.setdefault(
            log, collections.deque(maxlen=CACHE_SIZE)
        )
        if cache and get_number(cache[0]) <= after + 1 <= get_number(cache[-1]):
            return [row for row in cache if get_number(row) > after]
        start = make_change_key(log, after)
        rows = await self._table.scan(start.partition, start.sort, PAGE)
        if not rows or get_number(rows[0]) != after + 1:
            raise LentilmountError(
                f'changes after {after} of {log} are no longer kept; list '
                f'again and watch from there',
                kind=ErrorKind.GONE,
            )
        self._extend_cache(cache, rows)
        return rows

    def _extend_cache(
        self, cache: collections.deque[Row], rows: list[Row]
    ) -> None:
        newest = get_number(cache[-1]) if cache else 0
        if newest + 1 < get_number(rows[0]):
            cache.clear()
        cache.extend(row for row in rows if get_number(row) > newest)


def get_number(row: Row) -> int:
    """Returns the number of a change log entry."""
    return int(row.key.sort)
