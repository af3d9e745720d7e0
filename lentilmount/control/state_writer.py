"""Writes changed job states, renewing the service lease with each write."""

from __future__ import annotations

import asyncio
import collections
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.cancellations import Cancellation
from lentilmount.control.grouped_submissions import (
    GroupedSubmissions,
    Submission,
)
from lentilmount.control.keys import (
    make_cancel_key,
    make_counts_key,
    make_model_key,
    make_state_key,
)
from lentilmount.control.lease_data import (
    add_unrecorded_starts,
    make_lease_data,
)
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
    count_entries,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, PlacedRun, Task
from lentilmount.scheduling.rows import encode_state
from lentilmount.scheduling.takeover import UnrecordedStarts
from lentilmount.version_times import VersionTimes
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('commits')

WRITE_INTERVAL_SECONDS = 0.03
"""Interval between writes. Each takes 6 ms of the partition's time, so an owner
leaves four fifths of it to submissions."""

START_COMMIT_SECONDS = 0.01
"""Interval between writes while task starts wait for one: it adds to the
latency of each task."""

RENEW_SECONDS = 0.5
"""Longest interval between writes: a quarter of the lease duration."""

COMMIT_ROWS = 45
"""Maximum number of jobs in a write. A transaction takes 100 entries, and each
row uses two, one for its condition; the lease and two more rows use six."""

MAX_CANCELLATION_REMOVALS = 10
"""Maximum number of cancellations of unknown jobs deleted in a write, also in
one that is full: more than clients can add between two writes."""

MAX_WRITE_SECONDS = 0.1
"""Longest time that a write takes on an otherwise idle link. The lease is
renewed with each write, and a call to the store times out after 0.6 s."""

TASK_BYTES = 60
"""Bytes of a task in an encoded state row, without its checkpoint."""

MODEL_SECONDS = 3.0
"""Interval between writes of the interference model: a few KB. Estimates lost
in a takeover are learned again within about the same time."""

COUNTS_SECONDS = 0.5
"""Interval between writes of pending job counts, which may be 2 s old."""

RETRY_SECONDS = 0.2
"""Delay before a write without an answer is retried."""

SETTLE_SECONDS = 1.0
"""Timeout for the last write: one call to the store and one retry. A graceful
shutdown has 6 s for all its steps."""


OLDEST_ROWS = 10
"""Rows of a write reserved for the jobs that have waited longest. Jobs with
pending starts take the other rows first; if they took all of them, a steady
flow of starts would keep run ends of other jobs from being acknowledged."""


STARTS_SHARE = 0.75
"""Share of the bytes of a write for jobs with pending starts, where bytes limit
it; the jobs that have waited longest take the rest."""


@attrs.define
class _PendingAck:
    """Run ends that can be acknowledged once certain jobs are written.

    Attributes:
      last_ends: For each session, the number of its worker's incarnation and
        that of the last run end applied to the cluster state.
      unwritten_jobs: Ids of the jobs that had changed by then and are not
        written yet.
    """

    last_ends: list[tuple[WorkerSession, int, int]]
    unwritten_jobs: set[str]


@attrs.define(eq=False)
class StateWriter:
    """Writes the changes in the cluster state to the table.

    Attributes:
      service: Name of the service.
      table: Table with the rows of the service.
      keeper: Renews the lease with each write.
      lease: The lease on the service.
      cluster: State of jobs, tasks and workers.
      interference_model: Model of interference between tasks.
      sessions: Worker sessions by worker id; they acknowledge run ends.
      clock: Wall and monotonic clocks.
      send: Sends the start of a task whose placement is written.
      handle_lease_lost: Called with the reason when the lease is lost.
      retention: Selects jobs whose rows can be deleted.
      forget: Called with the jobs whose rows were deleted.
      version_times: Times of versions of the store, for the next owner.
      submissions: Jobs to be accepted with the next writes.
      admit: Called with each job that was accepted so.
      link_bytes_per_second: Rate of the host's network link.
      make_lease_data: Returns further data of the lease row.
      unrecorded_starts: Starts by the previous owner that may be in no row.
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
    version_times: VersionTimes
    submissions: GroupedSubmissions
    admit: Callable[[Submission], None]
    link_bytes_per_second: float = math.inf
    make_lease_data: Callable[[float], dict[str, Any]] = lambda now: {}
    unrecorded_starts: UnrecordedStarts | None = None
    _write_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _is_closing: bool = False
    _has_sent_unrecorded: bool = False
    _finished: asyncio.Event = attrs.field(factory=asyncio.Event)
    _pending_acks: collections.deque[_PendingAck] = attrs.Factory(
        collections.deque
    )
    _pending_starts: list[PlacedRun] = attrs.Factory(list)
    _starts_in_flight: list[PlacedRun] = attrs.Factory(list)
    _counts: dict[str, int] = attrs.Factory(dict)
    _counts_version: int = 0
    _counts_at: float = 0.0
    _model_version: int = 0
    _model_at: float = 0.0

    def request_write(self) -> None:
        """Requests a write as soon as possible."""
        self._write_requested.set()

    def add_start(self, task: Task) -> None:
        """Sends the start of a task after its placement is written.

        An owner that is cut off from the store together with some workers keeps
        working until its lease ends. The next owner cannot ask those workers,
        and would start a task elsewhere that runs there but is in no row.
        Writing first costs about 15 ms per start.
        """
        self._pending_starts.append(PlacedRun(task, task.run))
        self._write_requested.set()

    def send_unrecorded(self) -> None:
        """Sends all pending starts at once, without waiting for a write.

        Nobody can take over in an outage for all daemons. This includes the
        starts of a write in flight, which may take as long as the outage. If
        the service is released before the next write, the next owner learns
        from the release that there are such starts.
        """
        placed = [*self._starts_in_flight, *self._pending_starts]
        self._starts_in_flight, self._pending_starts = [], []
        if placed:
            self._has_sent_unrecorded = True
            self.lease.data = add_unrecorded_starts(self.lease.data)
        self._send_starts(placed, set(self.cluster.jobs.values()))

    def _send_starts(self, placed: list[PlacedRun], written: set[Job]) -> None:
        """Sends the starts of written jobs; the others wait for the next write.

        A task may have been placed anew during the write. The row then names
        the worker before, and the start of the new run waits for its own write.

        Args:
          placed: Runs placed before the rows were encoded. A run of a written
            job that was placed later is not in the job's row.
          written: Jobs whose rows are written.
        """
        for placed_run in placed:
            if not placed_run.is_due:
                continue
            if placed_run.task.job in written:
                self.send(placed_run.task)
            else:
                self._pending_starts.append(placed_run)

    async def run(self) -> None:
        """Writes until the lease is lost or `finish` is called."""
        while not self._is_closing:
            await wait_with_timeout(self._write_requested, self._get_pause())
            self._write_requested.clear()
            if self._is_closing:
                break
            await self._write_changes()
            pause = (
                START_COMMIT_SECONDS
                if self._pending_starts
                else WRITE_INTERVAL_SECONDS
            )
            await asyncio.sleep(pause)
        self._finished.set()

    async def finish(self) -> None:
        """Waits for the write in flight and starts no other.

        A write that was abandoned could take effect before the lease is
        released and make the release fail: the service would have no owner
        until the lease expires.
        """
        self._is_closing = True
        self._write_requested.set()
        await wait_with_timeout(self._finished, SETTLE_SECONDS)

    async def renew(self) -> bool:
        """Renews the lease alone; returns whether it is still held."""
        return await self._write([], [])

    def _get_pause(self) -> float:
        seconds_since_renewal = self.clock.monotonic() - self.lease.renewed_at
        return max(0.01, RENEW_SECONDS - seconds_since_renewal)

    async def _write_changes(self) -> None:
        """Writes the changes, then acknowledges the run ends among them."""
        last_ends = [
            (session, session.incarnation, session.received_end)
            for session in self.sessions.values()
        ]
        submitted = self.submissions.begin_write(self._max_bytes)
        cancellations = self._list_expired_cancellations(submitted)
        others = [
            *submitted,
            *self.retention.make_cancellation_removals(cancellations),
        ]
        jobs = self._select_jobs(
            COMMIT_ROWS - math.ceil(count_entries(others) / 2)
        )
        self._starts_in_flight, self._pending_starts = self._pending_starts, []
        pending = _PendingAck(last_ends, set(self.cluster.dirty))
        counts = self._make_counts(jobs)
        model = self._make_model()
        states = [self._make_state(job) for job in jobs]
        expired_jobs = (
            []
            if jobs or others
            else self.retention.list_expired(self.clock.monotonic())
        )
        removals = self.retention.make_removals(expired_jobs)
        operations = [*states, *counts, *model, *removals, *others]
        unreachable = self._update_lease_data(bool(pending.unwritten_jobs))
        is_written = await self._write(operations, [*jobs, *expired_jobs])
        placed, self._starts_in_flight = self._starts_in_flight, []
        if not is_written:
            self._pending_starts += placed
            return
        for worker in self.cluster.workers.values():
            worker.is_reported_unreachable = worker.id in unreachable
        for submission in self.submissions.end_write():
            self.admit(submission)
        self.retention.forget_cancellations(cancellations)
        self.retention.forget(expired_jobs)
        self.forget(expired_jobs)
        for job in jobs:
            job.version = self.lease.version
        if counts:
            self._counts_version = self.lease.version
        if model:
            self._model_version = self.lease.version
        self._log_ended(jobs)
        self._send_starts(placed, set(jobs))
        is_more_expired = len(cancellations) == MAX_CANCELLATION_REMOVALS
        if self.cluster.dirty or self.submissions.is_waiting or is_more_expired:
            self._write_requested.set()
        if not self.cluster.dirty:
            self._has_sent_unrecorded = False
        self._acknowledge_ends(pending, {job.spec.id for job in jobs})

    def _list_expired_cancellations(
        self, submitted: list[Operation]
    ) -> list[Cancellation]:
        """Lists cancellations to delete, but none that a submission checks."""
        checked = {operation.key for operation in submitted}
        expired = self.retention.list_expired_cancellations(
            self.clock.monotonic(), MAX_CANCELLATION_REMOVALS
        )
        return [
            cancellation
            for cancellation in expired
            if make_cancel_key(self.service, cancellation.job) not in checked
        ]

    def _log_ended(self, jobs: list[Job]) -> None:
        """Logs each finished job once, with its duration."""
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

    def _update_lease_data(self, leaves_unwritten: bool) -> Mapping[str, float]:
        """Puts into the lease row what the next owner finds in no other row.

        Workers listed there as not responding get no new lease from now on,
        until a write that no longer lists them is known to have succeeded.

        Returns:
          Seconds left of the leases on the workers that are listed, by worker
          id.
        """
        has_unrecorded_starts = self._has_sent_unrecorded and leaves_unwritten
        now = self.clock.monotonic()
        data = make_lease_data(
            self.cluster, self.unrecorded_starts, has_unrecorded_starts, now
        )
        for worker_id in data.remaining:
            self.cluster.workers[worker_id].is_reported_unreachable = True
        self.lease.data = {
            **data.encode(self.lease.epoch),
            **self.make_lease_data(now),
        }
        return data.remaining

    def _acknowledge_ends(
        self, pending: _PendingAck, written: set[str]
    ) -> None:
        """Acknowledges to workers the run ends whose jobs are all written.

        When more jobs change than a write holds, there is no moment at which
        everything is written. Waiting for one delayed the polls of each worker
        that had reported an end by 0.25 s, and with them the following steps.
        """
        for earlier in self._pending_acks:
            earlier.unwritten_jobs -= written
        self._pending_acks.append(pending)
        while self._pending_acks and not self._pending_acks[0].unwritten_jobs:
            for (
                session,
                incarnation,
                number,
            ) in self._pending_acks.popleft().last_ends:
                session.acknowledge(incarnation, number)

    async def _write(
        self, operations: list[Operation], jobs: list[Job]
    ) -> bool:
        """Writes with retries; returns whether the write was applied."""
        token = make_token()
        while True:
            try:
                await self.keeper.renew(self.lease, operations, token)
                return True
            except LeaseLostError:
                self.handle_lease_lost('another daemon took the lease')
                return False
            except ConflictError as error:
                if not self.submissions.abandon_write(error.keys):
                    log.error('A row of this service was changed: {}', error)
                    self.retention.forget_changed_cancellations(error.keys)
                    await self.read_versions(jobs)
                for job in jobs:
                    self.cluster.dirty[job.spec.id] = None
                self._write_requested.set()
                return False
            except UnavailableError as error:
                log.warning('Cannot write: {}', error)
                await asyncio.sleep(RETRY_SECONDS)

    def _make_state(self, job: Job) -> Operation:
        key = make_state_key(self.service, job.spec.id)
        return Put(key, encode_state(job), job.version)

    @property
    def _max_bytes(self) -> float:
        """Bytes that a write may have."""
        return MAX_WRITE_SECONDS * self.link_bytes_per_second

    def _select_jobs(self, most: int = COMMIT_ROWS) -> list[Job]:
        """Selects the jobs to write, those with pending starts first.

        Args:
          most: Number of jobs that the write may hold.
        """
        with_starts = dict.fromkeys(
            placed_run.task.id.job for placed_run in self._pending_starts
        )
        max_bytes = self._max_bytes
        first = self._limit_size(
            list(with_starts)[: most - OLDEST_ROWS],
            STARTS_SHARE * max_bytes,
        )
        oldest = [
            job_id for job_id in self.cluster.dirty if job_id not in with_starts
        ]
        chosen = self._limit_size(
            [*first, *oldest, *list(with_starts)[len(first) :]][:most],
            max_bytes,
        )
        if oldest and oldest[0] not in chosen:
            chosen.append(oldest[0])
        for job_id in chosen:
            self.cluster.dirty.pop(job_id, None)
        return [self.cluster.jobs[job_id] for job_id in chosen]

    def _limit_size(self, job_ids: list[str], max_bytes: float) -> list[str]:
        """Returns the first jobs whose rows have that size, at least one."""
        size = 0
        for number, job_id in enumerate(job_ids):
            size += TASK_BYTES * len(self.cluster.jobs[job_id].tasks)
            if number and size > max_bytes:
                return job_ids[:number]
        return job_ids

    def _make_counts(self, jobs: list[Job]) -> list[Operation]:
        """Builds the write of the counts of pending jobs if they are due.

        They are written together with the row of a finished job; otherwise a
        job that callers see as completed would still be counted as pending.
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
        body = {
            'pairs': self.interference_model.export(),
            'versions': self.version_times.export(),
        }
        return [Put(key, body, self._model_version)]

    async def restore(self) -> None:
        """Reads the rows that the previous owner wrote beside those of jobs.

        Raises:
          UnavailableError: The rows cannot be read.
        """
        counts_key = make_counts_key(self.service)
        model_key = make_model_key(self.service)
        rows = await self.table.read([counts_key, model_key])
        self._update_versions(rows)
        if model_key in rows:
            body = rows[model_key].body
            self.interference_model.restore(body['pairs'])
            # Daemons of earlier versions write none.
            self.version_times.restore(body.get('versions', ()))

    async def read_versions(self, jobs: list[Job]) -> None:
        """Reads the versions of rows again after a conflict."""
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
        self._update_versions(rows)

    def _update_versions(self, rows: Mapping[Key, Row]) -> None:
        counts = rows.get(make_counts_key(self.service))
        if counts is not None:
            self._counts_version = counts.version
        model = rows.get(make_model_key(self.service))
        if model is not None:
            self._model_version = model.version
