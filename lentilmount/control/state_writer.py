"""What an owner writes: the rows of jobs, each write renewing its lease."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Mapping

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.keys import (
    make_counts_key,
    make_model_key,
    make_state_key,
)
from lentilmount.control.lease_data import describe
from lentilmount.control.retention import Retention
from lentilmount.control.worker_session import WorkerSession
from lentilmount.coordination.leases import Lease, LeaseKeeper, LeaseLostError
from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, Task, TaskPhase
from lentilmount.scheduling.rows import encode_state
from lentilmount.scheduling.takeover import UnrecordedStarts
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('commits')

COMMIT_SECONDS = 0.03
"""Between two writes. Each takes 6 ms of the partition's time, so an owner
leaves four fifths of it to submissions."""

START_COMMIT_SECONDS = 0.01
"""The same while starts wait for the write: it adds to each task's time."""

RENEW_SECONDS = 0.5
"""Longest time between two writes: a quarter of the lease's length."""

COMMIT_ROWS = 45
"""Most jobs in a write. The platform takes 100 entries, and each row counts
twice, with its condition; the lease and two more rows take six."""

MODEL_SECONDS = 3.0
"""Between two writes of what was learned of interference: a few KB, lost in
part at a takeover, and learned again within about as long."""

COUNTS_SECONDS = 0.5
"""Between two writes of the counts of waiting jobs, which may be 2 s old."""

RETRY_SECONDS = 0.2
"""Before a write without an answer is sent again."""

SETTLE_SECONDS = 1.0
"""Longest wait for the last write: a call to the store and its repetition. A
planned stop has 6 s for all that it does."""


OLDEST_ROWS = 10
"""Rows of a write kept for the jobs that have waited longest. Jobs with
waiting starts take the others first; with all of them, ends of other jobs would
never be acknowledged while starts keep coming."""


@attrs.define
class _Mark:
    """Ends that may be forgotten once some jobs are written.

    Attributes:
      received: For each link, the life of its worker and the number of the
        last end in the book.
      waiting: Ids of the jobs that had changed by then and are not written.
    """

    received: list[tuple[WorkerSession, int, int]]
    waiting: set[str]


@attrs.define(eq=False)
class StateWriter:
    """Writes what changed in the book.

    Attributes:
      service: Whose rows they are.
      table: Where the rows are.
      keeper: Renews the lease with each write.
      lease: The lease.
      cluster: What is written.
      interference_model: What was learned of interference.
      sessions: Links, told which ends are written.
      clock: The clocks.
      send: Starts a task whose place is written.
      handle_lease_lost: Called when the lease is lost.
      retention: Finds jobs whose rows can go.
      forget: Called with the jobs whose rows are gone.
      unrecorded_starts: What the previous owner may have started unwritten.
    """

    service: str
    table: Table
    keeper: LeaseKeeper
    lease: Lease
    cluster: ClusterState
    interference_model: InterferenceModel
    sessions: dict[str, WorkerSession]
    clock: Clock
    send: Callable[[Task], None]
    handle_lease_lost: Callable[[str], None]
    retention: Retention
    forget: Callable[[list[Job]], None]
    unrecorded_starts: UnrecordedStarts | None = None
    _dirty: asyncio.Event = attrs.field(factory=asyncio.Event)
    _is_closing: bool = False
    _has_sent_unwritten: bool = False
    _settled: asyncio.Event = attrs.field(factory=asyncio.Event)
    _marks: collections.deque[_Mark] = attrs.Factory(collections.deque)
    _unsent: list[Task] = attrs.Factory(list)
    _in_write: list[Task] = attrs.Factory(list)
    _counts: dict[str, int] = attrs.Factory(dict)
    _counts_version: int = 0
    _counts_at: float = 0.0
    _model_version: int = 0
    _model_at: float = 0.0

    def note_change(self) -> None:
        """Makes the next write come soon."""
        self._dirty.set()

    def add_start(self, task: Task) -> None:
        """Sends a start once the row tells where the task is.

        An owner cut off together with some workers goes on until its lease
        ends. Tasks that it started there and that stand in no row would be
        started again elsewhere by the next owner, which cannot ask those
        workers; so the row comes first. Costs about 15 ms a start.
        """
        self._unsent.append(task)
        self._dirty.set()

    def send_unrecorded(self) -> None:
        """Sends all starts at once: nobody can take over meanwhile.

        Those of a write on its way too: it may take as long as the outage.
        """
        placed = [*self._in_write, *self._unsent]
        self._in_write, self._unsent = [], []
        self._has_sent_unwritten |= bool(placed)
        self._send_starts(placed, set(self.cluster.jobs.values()))

    def _send_starts(self, placed: list[Task], written: set[Job]) -> None:
        """Sends the starts of jobs that were written; the others wait.

        Args:
          placed: Tasks that were placed before the rows were made. One placed
            since, of a job that was just written, is not in its row.
          written: Jobs whose rows are written.
        """
        for task in placed:
            if task.phase is not TaskPhase.STARTING:
                continue
            if task.job in written:
                self.send(task)
            else:
                self._unsent.append(task)

    async def run(self) -> None:
        """Writes for as long as the lease is held, or until `settle`."""
        while not self._is_closing:
            await wait_with_timeout(self._dirty, self._get_pause())
            self._dirty.clear()
            if self._is_closing:
                break
            await self._commit()
            pause = START_COMMIT_SECONDS if self._unsent else COMMIT_SECONDS
            await asyncio.sleep(pause)
        self._settled.set()

    async def settle(self) -> None:
        """Waits for the write that is on its way; none is begun after it.

        Given up instead, it would take effect after the lease's release and
        make that fail: nobody would own the service for as long as a lease.
        """
        self._is_closing = True
        self._dirty.set()
        await wait_with_timeout(self._settled, SETTLE_SECONDS)

    async def renew(self) -> bool:
        """Renews the lease alone; returns whether it is still held."""
        return await self._write([], [])

    def _get_pause(self) -> float:
        age = self.clock.monotonic() - self.lease.renewed_at
        return max(0.01, RENEW_SECONDS - age)

    async def _commit(self) -> None:
        """Writes what changed, then lets workers forget the ends in it."""
        received = [
            (session, session.incarnation, session.received_end)
            for session in self.sessions.values()
        ]
        jobs = self._take_dirty()
        self._in_write, self._unsent = self._unsent, []
        mark = _Mark(received, set(self.cluster.dirty))
        counts = self._make_counts(jobs)
        model = self._make_model()
        states = [self._make_state(job) for job in jobs]
        old = (
            [] if jobs else self.retention.list_expired(self.clock.monotonic())
        )
        removals = self.retention.make_removals(old)
        operations = [*states, *counts, *model, *removals]
        silent = self._tell_next_owner(bool(mark.waiting))
        is_written = await self._write(operations, [*jobs, *old])
        placed, self._in_write = self._in_write, []
        if not is_written:
            self._unsent += placed
            return
        for worker in self.cluster.workers.values():
            worker.is_reported_unreachable = worker.id in silent
        self.retention.forget(old)
        self.forget(old)
        for job in jobs:
            job.version = self.lease.version
        if counts:
            self._counts_version = self.lease.version
        if model:
            self._model_version = self.lease.version
        self._tell_ended(jobs)
        self._send_starts(placed, set(jobs))
        if self.cluster.dirty:
            self._dirty.set()
        else:
            self._has_sent_unwritten = False
        self._acknowledge(mark, {job.spec.id for job in jobs})

    def _tell_ended(self, jobs: list[Job]) -> None:
        """Logs once of each job that is over, and how long it took."""
        for job in jobs:
            if not job.state.is_final or job.is_end_logged:
                continue
            job.is_end_logged = True
            took = job.ended_at - job.accepted_at
            log.info(
                'Job is {}.',
                job.state.value,
                extra={
                    'job': job.spec.id,
                    'queue': job.spec.queue.name,
                    'took': round(took, 3),
                    'objective': round(job.objective, 3),
                },
            )

    def _tell_next_owner(self, leaves_some: bool) -> Mapping[str, float]:
        """Tells with the lease what no other row tells of.

        From this moment no lease is given to a worker that is told as silent,
        until a write that does not tell it is known to be in the store.

        Returns:
          The silent workers, as told.
        """
        has_unrecorded_starts = self._has_sent_unwritten and leaves_some
        now = self.clock.monotonic()
        data = describe(
            self.cluster, self.unrecorded_starts, has_unrecorded_starts, now
        )
        for worker_id in data.remaining:
            self.cluster.workers[worker_id].is_reported_unreachable = True
        self.lease.data = data.encode(self.lease.epoch)
        return data.remaining

    def _acknowledge(self, mark: _Mark, written: set[str]) -> None:
        """Lets workers forget the ends whose jobs are all written.

        With more changed jobs than a write holds there is never a moment at
        which all is written. Waiting for one, each worker that told of an end
        was left alone for 0.25 s, and the steps after it started so much later.
        """
        for older in self._marks:
            older.waiting -= written
        self._marks.append(mark)
        while self._marks and not self._marks[0].waiting:
            for session, incarnation, number in self._marks.popleft().received:
                session.acknowledge(incarnation, number)

    async def _write(
        self, operations: list[Operation], jobs: list[Job]
    ) -> bool:
        """Writes until it is known to be written; returns whether it was."""
        token = make_token()
        while True:
            try:
                await self.keeper.renew(self.lease, operations, token)
                return True
            except LeaseLostError:
                self.handle_lease_lost('another daemon took the lease')
                return False
            except ConflictError as error:
                log.error('A row of ours was changed: {}', error)
                await self.read_versions(jobs)
                for job in jobs:
                    self.cluster.dirty[job.spec.id] = None
                self._dirty.set()
                return False
            except UnavailableError as error:
                log.warning('Cannot write: {}', error)
                await asyncio.sleep(RETRY_SECONDS)

    def _make_state(self, job: Job) -> Operation:
        key = make_state_key(self.service, job.spec.id)
        return Put(key, encode_state(job), job.version)

    def _take_dirty(self) -> list[Job]:
        """Takes the jobs to be written, those with waiting starts first."""
        starts = dict.fromkeys(task.id.job for task in self._unsent)
        first = list(starts)[: COMMIT_ROWS - OLDEST_ROWS]
        oldest = [
            job_id for job_id in self.cluster.dirty if job_id not in starts
        ]
        chosen = [*first, *oldest, *list(starts)[len(first) :]][:COMMIT_ROWS]
        for job_id in chosen:
            self.cluster.dirty.pop(job_id, None)
        return [self.cluster.jobs[job_id] for job_id in chosen]

    def _make_counts(self, jobs: list[Job]) -> list[Operation]:
        """Counts the waiting jobs, if they were not just counted.

        They go with the row of a job that has ended: otherwise a job that
        callers see completed would still count as waiting.
        """
        now = self.clock.monotonic()
        has_ended = any(job.state.is_final for job in jobs)
        if now - self._counts_at < COUNTS_SECONDS and not has_ended:
            return []
        self._counts_at = now
        counts = self.cluster.count_pending()
        if counts == self._counts and self._counts_version:
            return []
        self._counts = counts
        key = make_counts_key(self.service)
        return [Put(key, counts, self._counts_version)]

    def _make_model(self) -> list[Operation]:
        now = self.clock.monotonic()
        if now - self._model_at < MODEL_SECONDS:
            return []
        self._model_at = now
        key = make_model_key(self.service)
        body = {'pairs': self.interference_model.export()}
        return [Put(key, body, self._model_version)]

    async def restore(self) -> None:
        """Takes over what the previous owner wrote beside the jobs' rows.

        Raises:
          UnavailableError: It cannot be read.
        """
        counts_key = make_counts_key(self.service)
        model_key = make_model_key(self.service)
        rows = await self.table.read([counts_key, model_key])
        self._take_versions(rows)
        if model_key in rows:
            pairs = rows[model_key].body['pairs']
            self.interference_model.restore(pairs)

    async def read_versions(self, jobs: list[Job]) -> None:
        """Reads the versions of rows anew after a conflict."""
        keys = {make_state_key(self.service, j.spec.id): j for j in jobs}
        counts_key = make_counts_key(self.service)
        model_key = make_model_key(self.service)
        try:
            rows = await self.table.read([*keys, counts_key, model_key])
        except UnavailableError as error:
            log.warning('Cannot read versions: {}', error)
            return
        for key, job in keys.items():
            job.version = rows[key].version if key in rows else 0
        self._take_versions(rows)

    def _take_versions(self, rows: Mapping[Key, Row]) -> None:
        counts = rows.get(make_counts_key(self.service))
        if counts is not None:
            self._counts_version = counts.version
        model = rows.get(make_model_key(self.service))
        if model is not None:
            self._model_version = model.version
