"""Interface of the transactional table that leases are built on.

A row has a key, a body, a version that each write increments, and the token
of the transaction that last wrote it.
"""

from __future__ import annotations

from typing import Any, Protocol

import attrs

ABSENT = 0
"""Expected version of a row that must not exist."""

MAX_OPERATIONS = 100
"""Maximum operations in a transaction (a limit of the platform's service)."""


class TableError(Exception):
    """Base class of the errors of a table."""


class ConflictError(TableError):
    """A condition did not hold; nothing was written.

    Attributes:
      keys: Keys of the rows whose condition failed.
    """

    def __init__(self, keys: tuple[Key, ...]):
        names = ', '.join(str(key) for key in keys)
        super().__init__(f'conflict on {names}')
        self.keys = keys


class UnavailableError(TableError):
    """No response; a write may or may not be applied, now or later."""


@attrs.frozen(order=True)
class Key:
    """Key of a row: a partition, and a sort key within it."""

    partition: str
    sort: str

    def __str__(self) -> str:
        """Formats the key for messages."""
        return f'{self.partition}:{self.sort}'


@attrs.frozen
class Row:
    """A row as read."""

    key: Key
    version: int
    token: str
    body: dict[str, Any]


@attrs.frozen
class Put:
    """Writes a row if its version is as expected."""

    key: Key
    body: dict[str, Any]
    expected: int = ABSENT


@attrs.frozen
class Delete:
    """Deletes a row if its version is as expected."""

    key: Key
    expected: int


@attrs.frozen
class Check:
    """Requires that a row's version is as expected, without writing it."""

    key: Key
    expected: int


Operation = Put | Delete | Check


def count_entries(operations: list[Operation]) -> int:
    """Returns the entries of a transaction; what is written takes two."""
    return sum(1 if isinstance(op, Check) else 2 for op in operations)


class Table(Protocol):
    """The platform's table service."""

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """Reads rows in one consistent view; omits rows that do not exist."""

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Reads rows of a partition with sort keys above `after`, in order."""

    async def transact(
        self, token: str, operations: list[Operation]
    ) -> int | None:
        """Applies all operations or none.

        Args:
          token: Token of the transaction.
          operations: Operations to apply.

        Returns:
          The new version of every row written, or None if the table
          increments the version of each row.

        Raises:
          ConflictError: A condition did not hold.
          UnavailableError: It is unknown whether the operations were applied.
        """


async def scan_all(table: Table, partition: str, page: int = 1000) -> list[Row]:
    """Reads a whole partition, page by page."""
    rows: list[Row] = []
    after = ''
    while True:
        found = await table.scan(partition, after, page)
        rows.extend(found)
        if len(found) < page:
            return rows
        after = found[-1].key.sort
