"""An in-memory table with faults that a test sets."""

from __future__ import annotations

from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Row,
    UnavailableError,
)
from stand_ins.table import MemoryTable


class FaultyTable(MemoryTable):
    """A `MemoryTable` that fails as the platform's service does.

    Attributes:
      down: Whether every call fails.
      lose_answers: Number of next writes that are applied but reported as
        failed.
      hold_writes: Number of next writes that are reported as failed and
        applied only when `release` is called.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lose_answers = 0
        self.hold_writes = 0
        self._delayed_writes: list[tuple[str, list[Operation]]] = []

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        self._check_up()
        return await super().read(keys)

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        self._check_up()
        return await super().scan(partition, after, limit)

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        self._check_up()
        if self.hold_writes:
            self.hold_writes -= 1
            self._delayed_writes.append((token, operations))
            raise UnavailableError(
                'the write is delayed; its outcome is unknown'
            )
        await super().transact(token, operations)
        if self.lose_answers:
            self.lose_answers -= 1
            raise UnavailableError('the answer of the write was lost')

    def _check_up(self) -> None:
        if self.down:
            raise UnavailableError('the table service is down')

    async def release(self) -> None:
        """Applies the delayed writes whose conditions still hold."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for token, operations in delayed:
            try:
                await super().transact(token, operations)
            except ConflictError:
                continue
