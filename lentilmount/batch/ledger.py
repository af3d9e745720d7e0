"""The rows of one slice and the one way to change them.

Every change is one transaction that also renews the slice's lease, so it
applies only while this daemon still holds the slice. No other daemon writes
these rows, and what is in memory is what the table last said. Changes that
come while a transaction is under way share the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import attrs
import logbook

from lentilmount.batch.drafts import Draft, OvercommitError
from lentilmount.batch.offline_renewal import (
    INHERITED,
    TASK_LEASE,
    extend_offline_renewal,
    reset_offline_renewal,
    withdraw_offline_renewal,
)
from lentilmount.batch.records import (
    Task,
    WorkerRecord,
    make_change_key,
    make_done_key,
    make_task_key,
    make_unreadable_key,
    make_worker_key,
)
from lentilmount.batch.write_limiter import WriteLimiter
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.leases import CLOCK_DRIFT, Lease, LeaseKeeper
from lentilmount.coordination.table import (
    ABSENT,
    Delete,
    Key,
    Operation,
    Put,
    Table,
    UnavailableError,
    scan_all,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.errors import InvalidError
from lentilmount.events import EventLog
from lentilmount.resources import FINAL_PHASES
from lentilmount.waiting import wait_with_timeout

__all__ = ['Draft', 'Ledger', 'LedgerOptions', 'OvercommitError']

log = logbook.Logger('ledger')

T = TypeVar('T')

FIRST_RETRY_SECONDS = 0.25
LONGEST_RETRY_SECONDS = 5.0
PRUNED_AT_ONCE = 2
"""Entries of the change log that a transaction deletes; it adds one."""


@attrs.frozen
class LedgerOptions:
    """How a ledger writes.

    Attributes:
      rows_per_second: Most rows that changes which are not urgent write.
      burst_rows: Rows that may be written at once after a quiet time.
      gather_seconds: Changes within this time share a transaction.
      changes_kept: Entries of the change log kept for those who follow it.
      offline_renewal_seconds: How long leases are renewed without the table.
      task_lease_seconds: How long a task runs on without renewal.
    """

    rows_per_second: float = 400.0
    burst_rows: float = 400.0
    gather_seconds: float = 0.2
    changes_kept: int = 2000
    offline_renewal_seconds: float = 600.0
    task_lease_seconds: float = 15.0

    def extend_offline_renewal(self, data: dict[str, Any]) -> dict[str, Any]:
        """Returns a lease's data for a takeover; see `promise`."""
        return extend_offline_renewal(
            data, self.offline_renewal_seconds, self.task_lease_seconds
        )


@attrs.define(eq=False)
class _Group:
    """Changes that share one transaction.

    Attributes:
      draft: What they change.
      urgent: Set when one of them cannot wait.
      opened: Set when the transaction before is over.
      closed: Whether nobody may join any more.
      users: How many are changing the draft now.
      commit: Ends when the transaction has ended.
    """

    draft: Draft
    urgent: asyncio.Event = attrs.Factory(asyncio.Event)
    opened: asyncio.Event = attrs.Factory(asyncio.Event)
    closed: bool = False
    users: int = 0
    commit: asyncio.Task[None] | None = None


class Ledger:
    """The rows of one slice, in memory as in the table.

    Attributes:
      slice_name: The slice.
      lease: The slice's lease.
      tasks: Tasks that are not over, by id.
      workers: Workers, by name.
      observers: Called with each task as a transaction left it.
      generation: Raised by each transaction that changed a task or worker.
      unread: Tasks and workers whose rows cannot be read; left alone.
      offline_renewal_seconds: The longest promise that a former owner may be
        keeping.
      task_lease_seconds: The longest lease that it may have given.
    """

    def __init__(
        self,
        slice_name: str,
        table: Table,
        keeper: LeaseKeeper,
        lease: Lease,
        events: EventLog,
        options: LedgerOptions | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        self.slice_name = slice_name
        self.lease = lease
        self.tasks: dict[str, Task] = {}
        self.workers: dict[str, WorkerRecord] = {}
        self.observers: list[Callable[[Task], None]] = []
        self.generation = 0
        self.unreadable: set[str] = set()
        self._table = table
        self._keeper = keeper
        self._events = events
        self._options = options or LedgerOptions()
        self._monotonic = monotonic
        data = lease.data
        self.offline_renewal_seconds = float(data.get(INHERITED, 0.0))
        self.task_lease_seconds = max(
            float(data.get(TASK_LEASE, 0.0)), self._options.task_lease_seconds
        )
        self._settles_at = monotonic() + (
            self.offline_renewal_seconds + self.task_lease_seconds
        ) * (1 + CLOCK_DRIFT)
        self._versions: dict[Key, int] = {}
        self._lock = asyncio.Lock()
        self._group: _Group | None = None
        self._commits: set[asyncio.Task[None]] = set()
        self._next_write = monotonic()
        self._pace = WriteLimiter(
            self._options.rows_per_second, self._options.burst_rows, monotonic
        )

    async def load(self) -> None:
        """Reads every row of the slice."""
        await self._load(f'task/{self.slice_name}', self.tasks, Task)
        await self._load(
            f'worker/{self.slice_name}', self.workers, WorkerRecord
        )

    async def _load(
        self, partition: str, into: dict[str, T], cls: type[T]
    ) -> None:
        for row in await scan_all(self._table, partition):
            # One row that a newer version wrote, or a damaged one, must not
            # keep the whole slice from being owned: it stays as it is, and
            # with it what its worker's ledger holds for it.
            try:
                into[row.key.sort] = structure(row.body, cls)
            except InvalidError as error:
                self.unreadable.add(row.key.sort)
                log.error('Row {} cannot be read: {}.', row.key, error)
            self._versions[row.key] = row.version

    def close(self) -> None:
        """Gives up the transactions under way, and the promise to renew.

        Call it when every link has ended, before the lease is released.
        """
        for commit in self._commits:
            commit.cancel()
        withdraw_offline_renewal(self.lease.data)

    @contextlib.asynccontextmanager
    async def change(self, *, urgent: bool = False) -> AsyncIterator[Draft]:
        """Gives a draft, and commits it when the block ends.

        Nothing in memory changes unless the transaction is known to have
        applied. While the table does not answer, the block waits, and with
        it every other change of the slice: nothing new is promised. The
        draft is shared with others; a block that raises takes its own part
        back. Check `is_full` before each move.

        Args:
          urgent: Whether to go ahead of the limit on writes.

        Raises:
          LeaseLostError: Another daemon holds the slice.
          ConflictError: A row is not as in memory; load the slice again.
        """
        group = await self._join(urgent)
        before = group.draft.copy()
        group.users += 1
        try:
            yield group.draft
        except BaseException:
            group.draft.restore(before)
            raise
        finally:
            group.users -= 1
        assert group.commit is not None
        # Who is cancelled here leaves; the transaction is not cut off.
        await asyncio.shield(group.commit)

    async def renew(self) -> None:
        """Renews the slice's lease.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        async with self._lock:
            if self._monotonic() > self._settles_at:
                options = self._options
                reset_offline_renewal(
                    self.lease.data,
                    options.offline_renewal_seconds,
                    options.task_lease_seconds,
                )
            await self._write([])

    @property
    def is_write_limited(self) -> bool:
        """Whether what is not urgent has to wait."""
        return not self._pace.is_open

    async def _join(self, urgent: bool) -> _Group:
        while True:
            if not urgent:
                await self._pace.wait()
            group = self._group or self._begin()
            if urgent:
                group.urgent.set()
            await group.opened.wait()
            waits = not urgent and not self._pace.is_open
            if not (group.closed or group.draft.is_full or waits):
                return group
            await asyncio.sleep(0)

    def _begin(self) -> _Group:
        group = self._group = _Group(Draft(self))
        group.commit = asyncio.create_task(self._run_group(group))
        self._commits.add(group.commit)
        group.commit.add_done_callback(self._note_end)
        return group

    def _note_end(self, commit: asyncio.Task[None]) -> None:
        # Those who wait for it get the error; if all were cancelled, the
        # next renewal of the lease meets the same one.
        self._commits.discard(commit)
        if not commit.cancelled():
            commit.exception()

    async def _run_group(self, group: _Group) -> None:
        async with self._lock:
            try:
                await self._gather(group)
                group.opened.set()
                await asyncio.sleep(0)
                while group.users:
                    await asyncio.sleep(0)
            finally:
                group.closed = True
                group.opened.set()
                self._group = None
            if not group.draft.is_empty:
                await self._commit(group.draft)

    async def _gather(self, group: _Group) -> None:
        pause = self._next_write - self._monotonic()
        if pause > 0:
            await wait_with_timeout(group.urgent, pause)
        self._next_write = self._monotonic() + self._options.gather_seconds

    async def _commit(self, draft: Draft) -> None:
        operations: list[Operation] = []
        for task in draft.tasks.values():
            operations += self._write_task(task)
        for worker in draft.workers.values():
            key = make_worker_key(self.slice_name, worker.name)
            operations.append(self._put(key, unstructure(worker)))
        operations += [Delete(row.key, row.version) for row in draft.consumed]
        for row, error in draft.unreadable:
            key = make_unreadable_key(self.slice_name, row.key.sort)
            operations.append(Put(key, {'row': row.body, 'error': error}))
        if draft.changes:
            operations += self._log_changes(draft.changes)
        await self._write(operations)
        self._apply(draft, operations)

    def _log_changes(self, changes: list[dict[str, Any]]) -> list[Operation]:
        data = self.lease.data
        newest = int(data.get('sequence', 0)) + 1
        oldest = int(data.get('oldest', 1))
        key = make_change_key(self.slice_name, newest)
        operations: list[Operation] = [Put(key, {'changes': changes})]
        # Who follows the log compares with `oldest` and starts afresh when
        # entries that it has not seen are gone.
        surplus = newest - oldest + 1 - self._options.changes_kept
        for _ in range(min(PRUNED_AT_ONCE, max(0, surplus))):
            key = make_change_key(self.slice_name, oldest)
            operations.append(Delete(key, ABSENT + 1))
            oldest += 1
        data.update(sequence=newest, oldest=oldest)
        # Routing follows services only, and need not read what jobs do.
        data.setdefault('services', 0)
        if any(c['task']['id'].startswith('Service/') for c in changes):
            data['services'] = newest
        return operations

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
        pause = FIRST_RETRY_SECONDS
        while True:
            try:
                await self._keeper.renew(self.lease, operations, token)
                break
            except UnavailableError:
                # Every slice waits for the same table; without jitter all
                # would come back in the same moment and bring it down again.
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(2 * pause, LONGEST_RETRY_SECONDS)
        self._pace.spend(len(operations) + 1)

    def _apply(self, draft: Draft, operations: list[Operation]) -> None:
        for operation in operations:
            if isinstance(operation, Put):
                self._versions[operation.key] = operation.expected + 1
            else:
                self._versions.pop(operation.key, None)
        for key in self._list_passing(operations):
            self._versions.pop(key, None)
        for task in draft.tasks.values():
            if task.phase in FINAL_PHASES:
                self.tasks.pop(task.id, None)
            else:
                self.tasks[task.id] = task
            for observe in self.observers:
                observe(task)
        self.workers.update(draft.workers)
        self.generation += 1
        for kind, task, cause in draft.events:
            self._events.record(
                'batch',
                kind,
                task.id,
                attempt=task.attempt,
                worker=task.worker,
                cause=cause,
            )

    def _list_passing(self, operations: list[Operation]) -> list[Key]:
        # Rows that are written once are not remembered: over weeks their
        # versions would fill the daemon's memory.
        once = ('change/', 'done/', 'aside/')
        return [
            operation.key
            for operation in operations
            if operation.key.partition.startswith(once)
        ]
