"""Entries of the change logs, and cursors that name places in them.

The configuration and each slice have a change log in the table, whose entries
are numbered without gaps: a missing number tells that entries were pruned.
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
RING = 512
"""Entries of each log that are kept, so that watchers seldom read the table."""


@attrs.frozen
class Place:
    """A place in a change log.

    Attributes:
      number: Number of the last entry that was told whole.
      taken: Changes of the next entry that were told already; an entry
        holds the changes of one transaction.
    """

    number: int = 0
    taken: int = 0


Positions = dict[str, Place]
"""How far each log was told."""


def encode_cursor(positions: Mapping[str, Place]) -> str:
    """Builds a cursor; callers are not to look into it."""
    pairs = {log: [p.number, p.taken] for log, p in sorted(positions.items())}
    plain = json.dumps(pairs, separators=(',', ':'))
    return base64.urlsafe_b64encode(plain.encode()).decode().rstrip('=')


def decode_cursor(cursor: str) -> Positions:
    """Reads a cursor.

    Raises:
      InvalidError: It is none of ours.
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
    return {log: Place(*pair) for log, pair in pairs.items()}


def make_cursor_error(problem: str) -> InvalidError:
    """Builds the error of a cursor that cannot be used."""
    field = FieldProblem('cursor', problem, 'list again and watch from there')
    return InvalidError(str(field), fields=(field,))


class Feed:
    """Entries of the change logs, read once for all watchers."""

    def __init__(self, table: Table):
        self._table = table
        self._rings: dict[str, collections.deque[Row]] = {}

    async def read(self, log: str, after: int) -> list[Row]:
        """Returns some entries that follow a position, without a gap.

        Raises:
          LentilmountError: Of kind GONE; the next entry is no longer kept.
          UnavailableError: The table does not answer.
        """
        ring = self._rings.setdefault(log, collections.deque(maxlen=RING))
        if ring and get_number(ring[0]) <= after + 1 <= get_number(ring[-1]):
            return [row for row in ring if get_number(row) > after]
        start = make_change_key(log, after)
        rows = await self._table.scan(start.partition, start.sort, PAGE)
        if not rows or get_number(rows[0]) != after + 1:
            raise LentilmountError(
                f'changes after {after} of {log} are no longer kept; list '
                f'again and watch from there',
                kind=ErrorKind.GONE,
            )
        self._keep(ring, rows)
        return rows

    def _keep(self, ring: collections.deque[Row], rows: list[Row]) -> None:
        newest = get_number(ring[-1]) if ring else 0
        if newest + 1 < get_number(rows[0]):
            ring.clear()
        ring.extend(row for row in rows if get_number(row) > newest)


def get_number(row: Row) -> int:
    """Returns the number of a change log's entry."""
    return int(row.key.sort)
