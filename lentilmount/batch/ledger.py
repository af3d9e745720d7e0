"""The rows of one slice and the one way to change them.

Every change is one transaction that also renews the slice's lease, so it
applies only while this daemon still holds the slice. No other daemon writes
these rows, and what is in memory is what the table last said.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs

from lentilmount.batch.records import (
    Task,
    WorkerRecord,
    make_change_key,
    make_done_key,
    make_task_key,
    make_worker_key,
)
from lentilmount.batch.states import EVENTS, HOLDING, Move, next_phase
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.leases import Lease, LeaseKeeper
from lentilmount.coordination.table import (
    ABSENT,
    MAX_OPERATIONS,
    Delete,
    Key,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
    scan_all,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.events import EventKind, EventLog
from lentilmount.resources import FINAL_PHASES, Phase

RETRY_SECONDS = 0.5
OPERATIONS_A_MOVE = 4
"""Most rows that one move writes: task, done row, worker, change."""

MOVES_A_TRANSACTION = (MAX_OPERATIONS - 1) // OPERATIONS_A_MOVE


class OvercommitError(Exception):
    """A placement that the worker's ledger has no room for."""


@attrs.define
class Draft:
    """What one transaction is going to change.

    Attributes:
      tasks: New states of tasks.
      workers: New states of workers.
      changes: Entries for the slice's change log.
      consumed: Inbox rows that this transaction answers.
      notes: What goes to the time line once it is committed.
    """

    ledger: Ledger
    tasks: dict[str, Task] = attrs.Factory(dict)
    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    changes: list[dict[str, Any]] = attrs.Factory(list)
    consumed: list[Row] = attrs.Factory(list)
    notes: list[tuple[EventKind, Task, str]] = attrs.Factory(list)

    def get_task(self, task: str) -> Task | None:
        """Returns a task as this transaction would leave it."""
        return self.tasks.get(task) or self.ledger.tasks.get(task)

    def get_worker(self, name: str) -> WorkerRecord:
        """Returns a worker as this transaction would leave it."""
        return self.workers.get(name) or self.ledger.workers[name]

    @property
    def is_full(self) -> bool:
        """Whether another move might not fit in the transaction."""
        used = len(self.changes) * OPERATIONS_A_MOVE + len(self.consumed)
        return used + OPERATIONS_A_MOVE + 1 >= MAX_OPERATIONS

    def admit(self, task: Task) -> None:
        """Adds a task that is new to the slice."""
        self._note(EventKind.ACCEPTED, task)

    def set_worker(self, worker: WorkerRecord) -> None:
        """Adds a worker or changes its row."""
        self.workers[worker.name] = worker

    def place(self, task: Task, worker: WorkerRecord) -> Task:
        """Commits a pending task to a worker.

        Raises:
          OvercommitError: The worker has no room for it.
        """
        room = self.get_worker(worker.name)
        if not task.demand.fits(room.free):
            raise OvercommitError(f'{task.id} does not fit on {worker.name}')
        placed = attrs.evolve(
            task,
            phase=next_phase(task.phase, Move.PLACE),
            reason='',
            attempt=task.attempt + 1,
            worker=worker.name,
            boot=room.boot,
            endpoint='',
        )
        self.workers[worker.name] = room.commit(placed)
        kind = EventKind.RESUMED if task.attempt else EventKind.PLACED
        self._note(kind, placed)
        return placed

    def move(self, task: Task, move: Move, **changes: Any) -> Task:
        """Makes any other move, releasing the commitment where it ends."""
        phase = next_phase(task.phase, move)
        moved = attrs.evolve(task, phase=phase, **changes)
        if task.phase in HOLDING and phase not in HOLDING:
            held = self.get_worker(task.worker)
            self.workers[task.worker] = held.release(task)
            moved = attrs.evolve(moved, endpoint='')
            if phase is Phase.PENDING:
                moved = attrs.evolve(moved, worker='', boot='')
        self._note(EVENTS[move], moved)
        return moved

    def _note(self, kind: EventKind, task: Task) -> None:
        self.tasks[task.id] = task
        self.notes.append((kind, task, task.reason))
        self.changes.append({'event': kind.value, 'task': unstructure(task)})


class Ledger:
    """The rows of one slice, in memory as in the table.

    Attributes:
      slice_name: The slice.
      lease: The slice's lease.
      tasks: Tasks that are not over, by id.
      workers: Workers, by name.
    """

    def __init__(
        self,
        slice_name: str,
        table: Table,
        keeper: LeaseKeeper,
        lease: Lease,
        events: EventLog,
    ):
        self.slice_name = slice_name
        self.lease = lease
        self.tasks: dict[str, Task] = {}
        self.workers: dict[str, WorkerRecord] = {}
        self._table = table
        self._keeper = keeper
        self._events = events
        self._versions: dict[Key, int] = {}
        self._lock = asyncio.Lock()

    async def load(self) -> None:
        """Reads every row of the slice."""
        for row in await scan_all(self._table, f'task/{self.slice_name}'):
            self.tasks[row.key.sort] = structure(row.body, Task)
            self._versions[row.key] = row.version
        for row in await scan_all(self._table, f'worker/{self.slice_name}'):
            self.workers[row.key.sort] = structure(row.body, WorkerRecord)
            self._versions[row.key] = row.version

    @contextlib.asynccontextmanager
    async def change(self) -> AsyncIterator[Draft]:
        """Gives a draft, and commits it when the block ends.

        Nothing in memory changes unless the transaction is known to have
        applied. While the table does not answer, the block waits, and with
        it every other change of the slice: nothing new is promised.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        async with self._lock:
            draft = Draft(self)
            yield draft
            if draft.tasks or draft.workers or draft.consumed:
                await self._commit(draft)

    async def renew(self) -> None:
        """Renews the slice's lease.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        async with self._lock:
            await self._write([])

    async def _commit(self, draft: Draft) -> None:
        operations: list[Operation] = []
        for task in draft.tasks.values():
            operations += self._write_task(task)
        for worker in draft.workers.values():
            key = make_worker_key(self.slice_name, worker.name)
            operations.append(self._put(key, unstructure(worker)))
        sequence = int(self.lease.data.get('sequence', 0))
        for change in draft.changes:
            sequence += 1
            key = make_change_key(self.slice_name, sequence)
            operations.append(Put(key, change))
        operations += [Delete(row.key, row.version) for row in draft.consumed]
        self.lease.data['sequence'] = sequence
        await self._write(operations)
        self._apply(draft, operations)

    def _write_task(self, task: Task) -> list[Operation]:
        key = make_task_key(self.slice_name, task.id)
        if task.phase not in FINAL_PHASES:
            return [self._put(key, unstructure(task))]
        version = self._versions.get(key, ABSENT)
        delete = [Delete(key, version)] if version else []
        if task.is_service:
            return [*delete]
        done = Put(
            make_done_key(self.slice_name, task.id),
            {'task': unstructure(task), 'at': time.time()},
        )
        return [done, *delete]

    def _put(self, key: Key, body: dict[str, Any]) -> Put:
        return Put(key, body, self._versions.get(key, ABSENT))

    async def _write(self, operations: list[Operation]) -> None:
        token = make_token()
        while True:
            try:
                await self._keeper.renew(self.lease, operations, token)
                return
            except UnavailableError:
                await asyncio.sleep(RETRY_SECONDS)

    def _apply(self, draft: Draft, operations: list[Operation]) -> None:
        for operation in operations:
            if isinstance(operation, Put):
                self._versions[operation.key] = operation.expected + 1
            else:
                self._versions.pop(operation.key, None)
        for task in draft.tasks.values():
            if task.phase in FINAL_PHASES:
                self.tasks.pop(task.id, None)
            else:
                self.tasks[task.id] = task
        self.workers.update(draft.workers)
        for kind, task, cause in draft.notes:
            self._events.record(
                'batch',
                kind,
                task.id,
                attempt=task.attempt,
                worker=task.worker,
                cause=cause,
            )
