"""The platform in this process, with faults, for tests on virtual time.

Each daemon gets its own view of the table and of the workers, so that it can
be cut off from either while the others are not. Its gate, an event, is
cleared while the daemon is paused: what it had in hand leaves when it wakes.
"""

from __future__ import annotations

import asyncio
import random
from typing import TypeVar

import attrs

from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Row,
    UnavailableError,
)
from lentilmount.upstream.workers import (
    SyncAnswer,
    SyncRequest,
    WorkerError,
)
from stand_ins.table import MemoryTable
from stand_ins.worker import Worker

T = TypeVar('T')

TABLE_TIMEOUT_SECONDS = 2.0
WORKER_TIMEOUT_SECONDS = 1.0


@attrs.define
class PathFaults:
    """What is wrong on the way between a daemon and the platform.

    Attributes:
      down: Nothing gets through.
      delay: Seconds that each call takes.
      late: Seconds after which a call that timed out takes effect all the
        same; 0 if it never does.
      lose: Share of the calls whose answers are lost after the work.
      repeat: Share of the calls that arrive a second time, later.
      repeat_seconds: How much later.
    """

    down: bool = False
    delay: float = 0.002
    late: float = 0.0
    lose: float = 0.0
    repeat: float = 0.0
    repeat_seconds: float = 3.0


class TableView:
    """The `Table` protocol as one daemon reaches it."""

    def __init__(
        self,
        table: MemoryTable,
        faults: PathFaults,
        gate: asyncio.Event,
        seed: int = 1,
    ):
        self.faults = faults
        self._gate = gate
        self._table = table
        self._random = random.Random(seed)
        self._late: set[asyncio.Task[None]] = set()

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        await self._travel()
        rows = await self._table.read(keys)
        await self._gate.wait()
        return rows

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        await self._travel()
        rows = await self._table.scan(partition, after, limit)
        await self._gate.wait()
        return rows

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        try:
            await self._travel()
        except UnavailableError:
            if self.faults.late:
                self._apply_late(token, operations)
            raise
        await self._table.transact(token, operations)
        await self._gate.wait()
        if self._random.random() < self.faults.lose:
            raise UnavailableError('the answer is lost')

    async def _travel(self) -> None:
        faults = self.faults
        if faults.down or faults.delay > TABLE_TIMEOUT_SECONDS:
            await asyncio.sleep(TABLE_TIMEOUT_SECONDS)
            raise UnavailableError('no answer')
        await asyncio.sleep(faults.delay)
        await self._gate.wait()
        if self.faults.down:
            raise UnavailableError('no answer')

    def _apply_late(self, token: str, operations: list[Operation]) -> None:
        async def apply() -> None:
            await asyncio.sleep(self.faults.late)
            try:
                await self._table.transact(token, operations)
            except ConflictError:
                return

        task = asyncio.create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class WorkersView:
    """The `Workers` protocol as one daemon reaches it.

    Attributes:
      faults: What is wrong with each worker's path, by its name.
    """

    def __init__(
        self, workers: list[Worker], gate: asyncio.Event, seed: int = 1
    ):
        self._gate = gate
        self.faults = {w.options.name: PathFaults() for w in workers}
        self._workers = {w.options.name: w for w in workers}
        self._random = random.Random(seed)
        self._late: set[asyncio.Task[None]] = set()

    def set_down(self, down: bool, *names: str) -> None:
        """Cuts workers off or connects them; all if none is named."""
        for name in names or self.faults:
            self.faults[name].down = down

    async def sync(self, address: str, request: SyncRequest) -> SyncAnswer:
        """See `Workers`."""
        worker, faults = self._workers[address], self.faults[address]
        if faults.late or self._random.random() < faults.repeat:
            self._repeat(worker, faults.late or faults.repeat_seconds, request)
        elif worker.paused:
            self._repeat(worker, 0.0, request)
        if faults.down or faults.late or worker.paused:
            await asyncio.sleep(WORKER_TIMEOUT_SECONDS)
            raise WorkerError('no answer')
        await asyncio.sleep(faults.delay)
        await self._gate.wait()
        answer = worker.sync(request)
        await asyncio.sleep(faults.delay)
        await self._gate.wait()
        if self._random.random() < faults.lose:
            raise WorkerError('the answer is lost')
        return answer

    def _repeat(
        self, worker: Worker, seconds: float, request: SyncRequest
    ) -> None:
        async def arrive() -> None:
            await asyncio.sleep(seconds)
            while worker.paused:
                await asyncio.sleep(0.1)
            worker.sync(request)

        task = asyncio.create_task(arrive())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class MemoryObjects:
    """The `ObjectStore` protocol in memory.

    Attributes:
      down: Whether it answers nobody.
      delay: Seconds that each write takes.
      objects: What it holds, by name.
    """

    def __init__(self) -> None:
        self.down = False
        self.delay = 0.0
        self.objects: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes) -> None:
        """See `ObjectStore`."""
        self._check()
        await asyncio.sleep(self.delay)
        self._check()
        self.objects[name] = data

    async def get(self, name: str) -> bytes | None:
        """See `ObjectStore`."""
        self._check()
        return self.objects.get(name)

    def _check(self) -> None:
        if self.down:
            raise OSError('the object store is down')
