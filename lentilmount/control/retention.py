"""Removing jobs whose state nobody may ask for any more."""

from __future__ import annotations

import attrs

from lentilmount.control.keys import (
    make_cancel_key,
    make_job_key,
    make_state_key,
)
from lentilmount.coordination.table import Delete, Operation
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job

MARGIN_SECONDS = 30.0
"""Beyond the time that the platform asks for; clocks of hosts differ."""

REMOVED_AT_ONCE = 5
"""Jobs removed in one write: each takes up to six of its hundred entries."""


@attrs.define
class Retention:
    """Finds finished jobs that are old.

    Attributes:
      service: Whose jobs they are.
      cluster: Where they are.
      seconds: How long a finished job is kept.
    """

    service: str
    cluster: ClusterState
    seconds: float

    def list_expired(self, now: float) -> list[Job]:
        """Lists a few jobs whose rows can go."""
        keep = self.seconds + MARGIN_SECONDS
        old = []
        for job in self.cluster.jobs.values():
            if not job.state.is_final or now - job.ended_at <= keep:
                continue
            if not any(t.phase.is_placed for t in job.tasks.values()):
                old.append(job)
            if len(old) == REMOVED_AT_ONCE:
                break
        return old

    def make_removals(self, jobs: list[Job]) -> list[Operation]:
        """Builds the removal of the jobs' rows."""
        operations: list[Operation] = []
        for job in jobs:
            job_id = job.spec.id
            if job.row_version:
                key = make_job_key(self.service, job_id)
                operations.append(Delete(key, job.row_version))
            if job.cancel_version:
                key = make_cancel_key(self.service, job_id)
                operations.append(Delete(key, job.cancel_version))
            if job.version:
                key = make_state_key(self.service, job_id)
                operations.append(Delete(key, job.version))
        return operations

    def forget(self, jobs: list[Job]) -> None:
        """Drops jobs whose rows are gone.

        Job and tasks name each other. Taken apart they go at once; otherwise
        they stay until the collector walks the whole book, which it seldom
        does, while 24 jobs a second leave about 0.7 MB behind.
        """
        for job in jobs:
            self.cluster.jobs.pop(job.spec.id, None)
            job.tasks.clear()
