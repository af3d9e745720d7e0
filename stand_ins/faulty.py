"""A table in this process whose faults a test sets."""

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
      down: Whether nothing is answered.
      lose_answers: How many of the next writes take effect unanswered.
      hold_writes: How many of the next writes are kept back unanswered, to
        take effect when `release` is called.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lose_answers = 0
        self.hold_writes = 0
        self._held: list[tuple[str, list[Operation]]] = []

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
            self._held.append((token, operations))
            raise UnavailableError('the write is late')
        await super().transact(token, operations)
        if self.lose_answers:
            self.lose_answers -= 1
            raise UnavailableError('the answer is lost')

    def _check_up(self) -> None:
        if self.down:
            raise UnavailableError('the table is down')

    async def release(self) -> None:
        """Lets kept-back writes take effect, if they still can."""
        held, self._held = self._held, []
        for token, operations in held:
            try:
                await super().transact(token, operations)
            except ConflictError:
                continue
