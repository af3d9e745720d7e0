"""The platform in this process, with faults, for tests on virtual time.

Each daemon has its own view of the table and of the workers, so that it can
lose either while the other daemons do not. Its gate, an event, is cleared
while the daemon is paused: calls and answers in progress wait for it.
"""

from __future__ import annotations

import asyncio
import contextlib
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
    """Faults of the network path between a daemon and the platform.

    Attributes:
      down: Whether every call times out.
      delay: Latency of each call, in seconds.
      late: Seconds after which a call that timed out still takes effect; 0
        if it never does.
      lose: Share of the calls whose answer is lost after they took effect.
      repeat: Share of the calls that are delivered a second time.
      repeat_seconds: Delay of the second delivery.
    """

    down: bool = False
    delay: float = 0.002
    late: float = 0.0
    lose: float = 0.0
    repeat: float = 0.0
    repeat_seconds: float = 3.0


class TableView:
    """The table as one daemon reaches it, with the faults of its path."""

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
        self._late_calls: set[asyncio.Task[None]] = set()

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        await self._reach_table()
        rows = await self._table.read(keys)
        await self._gate.wait()
        return rows

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        await self._reach_table()
        rows = await self._table.scan(partition, after, limit)
        await self._gate.wait()
        return rows

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        try:
            await self._reach_table()
        except UnavailableError:
            if self.faults.late:
                self._apply_late(token, operations)
            raise
        await self._table.transact(token, operations)
        await self._gate.wait()
        if self._random.random() < self.faults.lose:
            raise UnavailableError('the answer of the write was lost')

    async def _reach_table(self) -> None:
        faults = self.faults
        if faults.down or faults.delay > TABLE_TIMEOUT_SECONDS:
            await asyncio.sleep(TABLE_TIMEOUT_SECONDS)
            raise UnavailableError('the table did not answer in time')
        await asyncio.sleep(faults.delay)
        await self._gate.wait()
        if self.faults.down:
            raise UnavailableError('the table did not answer in time')

    def _apply_late(self, token: str, operations: list[Operation]) -> None:
        async def apply() -> None:
            await asyncio.sleep(self.faults.late)
            try:
                await self._table.transact(token, operations)
            except ConflictError:
                return

        task = asyncio.create_task(apply())
        self._late_calls.add(task)
        task.add_done_callback(self._late_calls.discard)


class WorkersView:
    """The workers as one daemon reaches them; implements `Workers`.

    Attributes:
      faults: Faults of the path to each worker, by the worker's name.
    """

    def __init__(
        self, workers: list[Worker], gate: asyncio.Event, seed: int = 1
    ):
        self._gate = gate
        self.faults = {w.options.name: PathFaults() for w in workers}
        self._workers = {w.options.name: w for w in workers}
        self._random = random.Random(seed)
        self._late_calls: set[asyncio.Task[None]] = set()

    def set_down(self, down: bool, *names: str) -> None:
        """Disconnects or reconnects the named workers, or all."""
        for name in names or self.faults:
            self.faults[name].down = down

    async def sync(self, address: str, request: SyncRequest) -> SyncAnswer:
        """See `Workers`."""
        worker, faults = self._workers[address], self.faults[address]
        if faults.late or self._random.random() < faults.repeat:
            self._deliver_later(
                worker, faults.late or faults.repeat_seconds, request
            )
        elif worker.paused:
            self._deliver_later(worker, 0.0, request)
        if faults.down or faults.late or worker.paused:
            await asyncio.sleep(WORKER_TIMEOUT_SECONDS)
            raise WorkerError('the worker did not answer in time')
        await asyncio.sleep(faults.delay)
        await self._gate.wait()
        answer = worker.sync(request)
        await asyncio.sleep(faults.delay)
        await self._gate.wait()
        if self._random.random() < faults.lose:
            raise WorkerError("the worker's answer was lost")
        return answer

    def _deliver_later(
        self, worker: Worker, seconds: float, request: SyncRequest
    ) -> None:
        async def deliver() -> None:
            await asyncio.sleep(seconds)
            while worker.paused:
                await asyncio.sleep(0.1)
            with contextlib.suppress(WorkerError):
                worker.sync(request)

        task = asyncio.create_task(deliver())
        self._late_calls.add(task)
        task.add_done_callback(self._late_calls.discard)


class MemoryObjects:
    """An in-memory implementation of the `ObjectStore` protocol.

    Attributes:
      down: Whether every call fails.
      delay: Duration of each write, in seconds.
      objects: Stored objects, by name.
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
