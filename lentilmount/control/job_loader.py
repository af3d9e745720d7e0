"""What an owner reads: jobs, cancellations, and the rows it takes over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import logbook

from lentilmount.clock import Clock
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
from lentilmount.scheduling.rows import restore_state

log = logbook.Logger('intake')

FEED_SECONDS = 1.0


@attrs.define(eq=False)
class JobLoader:
    """Brings jobs into the book of an owner.

    Attributes:
      service: Whose jobs they are.
      table: Where the rows are.
      cluster: Where they go.
      clock: The clocks.
      cancel: Cancels a job.
      wake: Called when there may be something to place.
    """

    service: str
    table: PlatformTable
    cluster: ClusterState
    clock: Clock
    cancel: Callable[[str], None]
    wake: Callable[[], None]
    _feed: TableFeed = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Follows the jobs' table."""
        self._feed = TableFeed(
            self.table, JOBS_TABLE, FEED_SECONDS, self.service
        )

    async def load(self, lapse_seconds: float) -> None:
        """Reads everything the previous owner left.

        Args:
          lapse_seconds: After how long its leases have run out on a worker
            that cannot be reached.

        Raises:
          UnavailableError: The rows cannot be read.
        """
        jobs = await self.table.read_all(JOBS_TABLE, self.service)
        partition = make_partition(STATES_TABLE, self.service)
        states = await scan_all(self.table, partition, PAGE_ROWS)
        cancelled = []
        for start in range(0, len(jobs.rows), PAGE_ROWS):
            cancelled += self._take_rows(jobs.rows[start : start + PAGE_ROWS])
            # Lets the lease be renewed.
            await asyncio.sleep(0)
        now = self.clock.monotonic()
        lapses_at = now + lapse_seconds
        for number, row in enumerate(states):
            if number % PAGE_ROWS == 0:
                await asyncio.sleep(0)
            job = self.cluster.jobs.get(row.key.sort)
            if job is not None:
                job.version = row.version
                restore_state(self.cluster, job, row.body, lapses_at, now)
        for job_id in cancelled:
            self.cluster.cancel(job_id, now)
        self._feed.position = jobs.version

    def _take_rows(self, rows: tuple[RawRow, ...]) -> list[str]:
        """Admits jobs; returns the ids of those that were cancelled."""
        cancelled = []
        for raw in rows:
            # The feed brings the jobs of all services. Admitted here, another
            # service's job would run on workers of this one, and twice.
            if raw.removed or raw.part != self.service:
                continue
            if raw.key.endswith(CANCEL_SUFFIX):
                job_id = raw.key.removesuffix(CANCEL_SUFFIX)
                cancelled.append(job_id)
                if job_id in self.cluster.jobs:
                    self.cluster.jobs[job_id].cancel_version = raw.version
            else:
                self._admit(raw)
        return cancelled

    def _admit(self, raw: RawRow) -> None:
        key = Key(make_partition(JOBS_TABLE, self.service), raw.key)
        try:
            spec = decode_job_row(decode_row(key, raw).body)
        except (ValueError, TypeError, KeyError) as error:
            log.error('Job {} cannot be read: {!r}', raw.key, error)
            return
        now, wall = self.clock.monotonic(), self.clock.wall()
        self.cluster.admit(spec, now, wall).row_version = raw.version

    async def follow(self) -> None:
        """Takes in what is handed in, for as long as it runs."""
        while True:
            found = await self._feed.read()
            for job_id in self._take_rows(found):
                self.cancel(job_id)
            if found:
                self.wake()
