"""Reads the jobs, cancellations and job states of a service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.cancellations import Cancellation, Cancellations
from lentilmount.control.keys import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    STATES_TABLE,
)
from lentilmount.control.table_feed import TableFeed
from lentilmount.coordination.table import Key, scan_all
from lentilmount.platform.documents import decode_job_row
from lentilmount.platform.store import (
    PAGE_ROWS,
    PlatformTable,
    RawRow,
    decode_row,
    make_partition,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState
from lentilmount.scheduling.rows import restore_state

log = logbook.Logger('intake')

FEED_SECONDS = 1.0

LOGGED_JOBS = 5
"""Number of jobs that a log line on cancellations names at most."""


@attrs.define(eq=False)
class JobLoader:
    """Loads the jobs of a service into the cluster state of its owner.

    Attributes:
      service: Name of the service.
      table: Table with the rows of the service.
      cluster: State of jobs, tasks and workers.
      clock: Wall and monotonic clocks.
      cancel: Cancels the job with an id.
      wake: Called when there may be tasks to place.
      early: Cancellations whose jobs are not known.
    """

    service: str
    table: PlatformTable
    cluster: ClusterState
    clock: Clock
    cancel: Callable[[str], None]
    wake: Callable[[], None]
    early: Cancellations = attrs.Factory(Cancellations)
    _feed: TableFeed = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the feed of the jobs table."""
        self._feed = TableFeed(
            self.table,
            JOBS_TABLE,
            FEED_SECONDS,
            self.service,
            monotonic=self.clock.monotonic,
        )

    async def load(self, lease_expiry_seconds: float) -> None:
        """Loads all rows that the previous owner left.

        Args:
          lease_expiry_seconds: Time until its leases have expired on a worker
            that cannot be reached.

        Raises:
          UnavailableError: The rows cannot be read.
        """
        jobs = await self.table.read_all(JOBS_TABLE, self.service)
        partition = make_partition(STATES_TABLE, self.service)
        states = await scan_all(self.table, partition, PAGE_ROWS)
        cancelled = []
        for start in range(0, len(jobs.rows), PAGE_ROWS):
            cancelled += self._apply_rows(jobs.rows[start : start + PAGE_ROWS])
            # Yields, so that the lease can be renewed.
            await asyncio.sleep(0)
        now = self.clock.monotonic()
        leases_expire_at = now + lease_expiry_seconds
        for number, row in enumerate(states):
            if number % PAGE_ROWS == 0:
                await asyncio.sleep(0)
            job = self.cluster.jobs.get(row.key.sort)
            if job is not None:
                job.version = row.version
                restore_state(
                    self.cluster, job, row.body, leases_expire_at, now
                )
        self._log_without_effect(cancelled)
        for job_id in cancelled:
            self.cluster.cancel(job_id, now)
        self._feed.position = jobs.version

    def _apply_rows(self, rows: tuple[RawRow, ...]) -> list[str]:
        """Admits jobs; returns the ids of those that were cancelled.

        A cancellation may be read before its job, or while the row of the job
        cannot be decoded. It is kept until the job is admitted.
        """
        cancelled = []
        for row in rows:
            # The feed contains the jobs of all services. A job of another
            # service would run on workers of this one, and twice.
            if row.part != self.service:
                continue
            job_id = row.key.removesuffix(CANCEL_SUFFIX)
            is_cancellation = job_id != row.key
            if row.removed:
                if is_cancellation:
                    self.early.pop(job_id)
                else:
                    self.cluster.unreadable_jobs.discard(job_id)
                continue
            if is_cancellation:
                self.early.add(self._date_cancellation(job_id, row.version))
            else:
                self._admit(row)
            if job_id not in self.early:
                continue
            cancelled.append(job_id)
            if job_id in self.cluster.jobs:
                cancellation = self.early.pop(job_id)
                if cancellation is not None:
                    job = self.cluster.jobs[job_id]
                    job.cancel_version = cancellation.version
        return cancelled

    def _date_cancellation(self, job_id: str, version: int) -> Cancellation:
        age = self.table.version_times.bound_age(version).least
        return Cancellation(job_id, version, self.clock.monotonic() - age)

    def _log_without_effect(self, cancelled: list[str]) -> None:
        """Logs the cancellations that change nothing, many to a line."""
        unknown = []
        over = {}
        for job_id in cancelled:
            job = self.cluster.jobs.get(job_id)
            if job is None:
                unknown.append(job_id)
            elif job.state.is_final and job.state is not JobState.CANCELLED:
                over[job_id] = job.state.value
        if unknown:
            log.warning(
                'Not cancelled: {} jobs are not known here.',
                len(unknown),
                extra={
                    'service': self.service,
                    'jobs': unknown[:LOGGED_JOBS],
                },
            )
        if over:
            log.info(
                'Not cancelled: {} jobs are over already.',
                len(over),
                extra={
                    'service': self.service,
                    'jobs': list(over.items())[:LOGGED_JOBS],
                },
            )

    def _admit(self, row: RawRow) -> None:
        key = Key(make_partition(JOBS_TABLE, self.service), row.key)
        try:
            spec = decode_job_row(decode_row(key, row).body)
        except (ValueError, TypeError, KeyError) as error:
            log.error('Job {} cannot be read: {!r}', row.key, error)
            self.cluster.unreadable_jobs.add(row.key)
            return
        self.cluster.unreadable_jobs.discard(row.key)
        job = self.cluster.admit(
            spec,
            self.clock.monotonic(),
            self.clock.wall(),
            self.table.version_times.bound_age(row.version),
        )
        job.row_version = row.version

    async def follow(self) -> None:
        """Applies new jobs and cancellations until it is cancelled."""
        while True:
            rows = await self._feed.read()
            if self._feed.is_listed:
                # Those that were removed meanwhile are in no answer.
                self.early.clear()
            cancelled = self._apply_rows(rows)
            self.cluster.jobs_as_of = self._feed.as_of
            self._log_without_effect(cancelled)
            for job_id in cancelled:
                self.cancel(job_id)
            if rows:
                self.wake()
