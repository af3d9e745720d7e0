"""Holds the rows of one slice in memory and writes all changes to them.

Each change is a transaction that also renews the slice's lease, so it applies
only while this daemon still holds the slice. No other daemon writes these
rows, so the copy in memory matches the table. Changes made while a
transaction is in progress are batched into the next one.
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
MAX_RETRY_SECONDS = 5.0
MAX_PRUNED_ENTRIES = 2
"""Maximum change log entries that a transaction deletes; it adds one."""


@attrs.frozen
class LedgerOptions:
    """Options of a ledger.

    Attributes:
      rows_per_second: Rate limit on writes; urgent changes are exempt.
      burst_rows: Rows that may be written at once after an idle time.
      gather_seconds: Time in which changes are batched into a transaction.
      changes_kept: Change log entries kept for its readers.
      offline_renewal_seconds: Time that task leases are renewed without the
        table.
      task_lease_seconds: Time that a task keeps running without renewal.
    """

    rows_per_second: float = 400.0
    burst_rows: float = 400.0
    gather_seconds: float = 0.2
    changes_kept: int = 2000
    offline_renewal_seconds: float = 600.0
    task_lease_seconds: float = 15.0

    def extend_offline_renewal(self, data: dict[str, Any]) -> dict[str, Any]:
        """Returns a lease's data to write on a takeover."""
        return extend_offline_renewal(
            data, self.offline_renewal_seconds, self.task_lease_seconds
        )


@attrs.define(eq=False)
class _CommitGroup:
    """A batch of changes that share one transaction.

    Attributes:
      draft: The changes.
      urgent: Set when one of the changes is urgent.
      opened: Set when the previous transaction has ended.
      closed: Whether no more changes may join.
      users: Number of callers that are changing the draft.
      commit: Commits the batch; done when the transaction has ended.
    """

    draft: Draft
    urgent: asyncio.Event = attrs.Factory(asyncio.Event)
    opened: asyncio.Event = attrs.Factory(asyncio.Event)
    closed: bool = False
    users: int = 0
    commit: asyncio.Task[None] | None = None


class Ledger:
    """In-memory copy of the rows of one slice, and their only writer.

    Attributes:
      slice_name: Name of the slice.
      lease: The slice's lease.
      tasks: Tasks that have not ended, by id.
      workers: Worker records, by name.
      observers: Called with the new state of each task after a commit.
      generation: Incremented by each commit that changed a task or worker.
      unreadable: Ids of tasks and names of workers with unreadable rows, which
        are left unchanged.
      offline_renewal_seconds: Longest time for which a previous owner may
        still be renewing task leases without the table.
      task_lease_seconds: Longest task lease that a previous owner granted.
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
        self._inherited_until = monotonic() + (
            self.offline_renewal_seconds + self.task_lease_seconds
        ) * (1 + CLOCK_DRIFT)
        self._versions: dict[Key, int] = {}
        self._lock = asyncio.Lock()
        self._group: _CommitGroup | None = None
        self._commits: set[asyncio.Task[None]] = set()
        self._next_write = monotonic()
        self._write_limiter = WriteLimiter(
            self._options.rows_per_second, self._options.burst_rows, monotonic
        )

    async def load(self) -> None:
        """Reads all rows of the slice.

        Raises:
          UnavailableError: The table does not answer.
        """
        await self._load(f'task/{self.slice_name}', self.tasks, Task)
        await self._load(
            f'worker/{self.slice_name}', self.workers, WorkerRecord
        )

    async def _load(
        self, partition: str, target: dict[str, T], cls: type[T]
    ) -> None:
        for row in await scan_all(self._table, partition):
            # A damaged row, or one written by a newer version, must not
            # prevent the slice from being owned. The row stays as it is, and
            # so does the task's commitment on its worker.
            try:
                target[row.key.sort] = structure(row.body, cls)
            except InvalidError as error:
                self.unreadable.add(row.key.sort)
                log.error('Row {} cannot be read: {}.', row.key, error)
            self._versions[row.key] = row.version

    def close(self) -> None:
        """Cancels pending transactions and withdraws the offline renewal time.

        Call it after all sessions have ended and before releasing the lease.
        """
        for commit in self._commits:
            commit.cancel()
        withdraw_offline_renewal(self.lease.data)

    @contextlib.asynccontextmanager
    async def change(self, *, urgent: bool = False) -> AsyncIterator[Draft]:
        """Yields a draft and commits it at the end of the block.

        The copy in memory changes only after the transaction is known to have
        been applied. While the table does not answer, the block waits and so
        does every other change of the slice, so that no unrecorded change
        takes effect. The draft is shared with other callers; if the block
        raises, its own changes are reverted. Check `is_full` before each
        transition.

        Args:
          urgent: Whether to bypass the rate limit on writes.

        Raises:
          LeaseLostError: Another daemon holds the slice.
          ConflictError: A row differs from the copy in memory; reload it.
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
        # Cancelling this caller must not cancel the shared transaction.
        await asyncio.shield(group.commit)

    async def renew(self) -> None:
        """Renews the slice's lease.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        async with self._lock:
            if self._monotonic() > self._inherited_until:
                options = self._options
                reset_offline_renewal(
                    self.lease.data,
                    options.offline_renewal_seconds,
                    options.task_lease_seconds,
                )
            await self._write([])

    @property
    def is_write_limited(self) -> bool:
        """Whether changes that are not urgent have to wait."""
        return not self._write_limiter.is_open

    async def _join(self, urgent: bool) -> _CommitGroup:
        while True:
            if not urgent:
                await self._write_limiter.wait()
            group = self._group or self._begin()
            if urgent:
                group.urgent.set()
            await group.opened.wait()
            must_wait = not urgent and not self._write_limiter.is_open
            if not (group.closed or group.draft.is_full or must_wait):
                return group
            await asyncio.sleep(0)

    def _begin(self) -> _CommitGroup:
        group = self._group = _CommitGroup(Draft(self))
        group.commit = asyncio.create_task(self._run_group(group))
        self._commits.add(group.commit)
        group.commit.add_done_callback(self._discard_commit)
        return group

    def _discard_commit(self, commit: asyncio.Task[None]) -> None:
        # Waiting callers receive the error. If all were cancelled, it is
        # retrieved here, and the next renewal of the lease fails likewise.
        self._commits.discard(commit)
        if not commit.cancelled():
            commit.exception()

    async def _run_group(self, group: _CommitGroup) -> None:
        async with self._lock:
            try:
                await self._wait_for_changes(group)
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

    async def _wait_for_changes(self, group: _CommitGroup) -> None:
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
        # Readers of the log compare their position with `oldest` and reload
        # the slice if entries that they have not read were deleted.
        surplus = newest - oldest + 1 - self._options.changes_kept
        for _ in range(min(MAX_PRUNED_ENTRIES, max(0, surplus))):
            key = make_change_key(self.slice_name, oldest)
            operations.append(Delete(key, ABSENT + 1))
            oldest += 1
        data.update(sequence=newest, oldest=oldest)
        # Routing follows services only and skips entries about jobs alone.
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
                # All slices wait for the same table. Without jitter they
                # would retry at the same moment and overload it again.
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(2 * pause, MAX_RETRY_SECONDS)
        self._write_limiter.spend(len(operations) + 1)

    def _apply(self, draft: Draft, operations: list[Operation]) -> None:
        for operation in operations:
            if isinstance(operation, Put):
                self._versions[operation.key] = operation.expected + 1
            else:
                self._versions.pop(operation.key, None)
        for key in self._list_write_once(operations):
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

    def _list_write_once(self, operations: list[Operation]) -> list[Key]:
        # Versions of rows that are written only once are not kept: over weeks
        # they would fill the daemon's memory.
        write_once = ('change/', 'done/', 'aside/')
        return [
            operation.key
            for operation in operations
            if operation.key.partition.startswith(write_once)
        ]
