"""Deletes finished jobs after their retention time."""

from __future__ import annotations

import attrs

from lentilmount.control.keys import (
    make_cancel_key,
    make_job_key,
    make_state_key,
)
from lentilmount.coordination.table import Delete, Operation
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job, Task

MARGIN_SECONDS = 30.0
"""Added to the retention time that the platform requires, as clocks of hosts
differ."""

MAX_REMOVALS = 5
"""Maximum number of jobs deleted in a write: each takes up to six of its 100
entries."""


@attrs.define
class Retention:
    """Selects finished jobs whose retention time has passed.

    Attributes:
      service: Name of the service.
      cluster: State of jobs, tasks and workers.
      seconds: How long a finished job is kept.
    """

    service: str
    cluster: ClusterState
    seconds: float

    def list_expired(self, now: float) -> list[Job]:
        """Lists up to `MAX_REMOVALS` jobs whose rows can be deleted."""
        keep = self.seconds + MARGIN_SECONDS
        expired = []
        for job in self.cluster.jobs.values():
            if not job.state.is_final or now - job.ended_at <= keep:
                continue
            if not any(map(_has_runs, job.tasks.values())):
                expired.append(job)
            if len(expired) == MAX_REMOVALS:
                break
        return expired

    def make_removals(self, jobs: list[Job]) -> list[Operation]:
        """Builds the deletion of the jobs' rows."""
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
        """Removes jobs whose rows are deleted.

        Job and tasks refer to each other. With the cycle broken they are freed
        at once; otherwise they stay until a full garbage collection, which is
        rare, while 24 jobs per second leave about 0.7 MB behind.
        """
        for job in jobs:
            self.cluster.jobs.pop(job.spec.id, None)
            job.tasks.clear()


def _has_runs(task: Task) -> bool:
    """Returns whether a worker may be running a task, or an older run."""
    return task.phase.is_placed or task.older is not None
